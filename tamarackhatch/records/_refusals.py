"""Rows that record the refusal of a job."""

import datetime
import typing

import attrs
import orjson

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class Refusal:
    """Record of the refusals of a job.

    Attributes:
        first_refused_at: When the job was first refused, in UTC.
        count: How often it was refused.
        token: Identifies the latest refusal, so that its author recognises it
            if the answer to the write was lost.
    """

    first_refused_at: datetime.datetime
    count: int
    token: str


@attrs.frozen
class RefusalState:
    """State of a job's refusal row.

    Attributes:
        version: Version of the row; 0 if it is absent.
        refusal: Its content; None if it is absent or malformed.
    """

    version: int = 0
    refusal: Refusal | None = None


def encode_refusal(refusal: Refusal) -> bytes:
    """Returns the row value of a refusal."""
    first = (refusal.first_refused_at - _EPOCH) // _MILLISECOND
    document: dict[str, typing.Any] = {
        "first_ms": first,
        "count": refusal.count,
        "token": refusal.token,
    }
    return orjson.dumps(document)


def decode_refusal(value: bytes) -> Refusal | None:
    """Returns the refusal of a row value; None if it is malformed.

    The version of a malformed row still keeps earlier writes from being
    carried out.
    """
    try:
        document = orjson.loads(value)
        first, count, token = (
            document["first_ms"],
            document["count"],
            document["token"],
        )
        if type(first) is not int or type(count) is not int:
            return None
        if not isinstance(token, str):
            return None
        return Refusal(_EPOCH + first * _MILLISECOND, count, token)
    except (ArithmeticError, LookupError, TypeError, ValueError):
        return None
