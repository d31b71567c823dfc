"""Messages between instances: forwarded requests and their answers."""

import datetime
import enum
import re
import typing

import attrs
import orjson

from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import records

_MILLISECOND = datetime.timedelta(milliseconds=1)
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
_PATH_PREFIX: typing.Final = "/v1/forwarded/"
_IDENTIFIER_PATTERN = re.compile("[0-9A-Za-z]{1,64}")
# A longer wait than that of any caller would only hold memory.
_MAX_TIMEOUT_MS = 60_000
# Length of an error message, in characters; it may quote a message.
_MAX_MESSAGE = 500
# Outcomes after which no other instance has to be asked.
DEFINITE: typing.Final = frozenset(
    (
        model.Outcome.DONE,
        model.Outcome.NO_JOB,
        model.Outcome.REFUSED,
        model.Outcome.CANCELLED,
    )
)
# Answer of an instance that has not tried to carry out a request.
_NOT_HERE: typing.Final = "not here"


class MalformedMessageError(errors.CodedError):
    """A message of another instance does not have the expected form."""

    def __init__(self, message: str) -> None:
        super().__init__(
            errors.ErrorCode.BAD_PEER_MESSAGE, message[:_MAX_MESSAGE]
        )


class Kind(enum.Enum):
    """Kind of a forwarded request; the values are part of its path."""

    SUBMISSION = "jobs"
    CANCELLATION = "cancellations"
    STATE = "states"


@attrs.frozen
class ForwardedRequest:
    """A request that one instance asks another one to carry out.

    Attributes:
        kind: Kind of the request.
        identifier: Identifier of the job.
        job: The job; None unless it is submitted.
        store_version: A version that the store had reached when the caller's
            attempt began; None if the job is not submitted, or if the sender
            is of a build that does not know refusals.
    """

    kind: Kind
    identifier: str
    job: model.Job | None = None
    store_version: int | None = None

    @property
    def path(self) -> str:
        """Path of the call."""
        return f"{_PATH_PREFIX}{self.kind.value}/{self.identifier}"


def make_submission(job: model.Job, store_version: int) -> ForwardedRequest:
    """Returns the request that submits a job."""
    return ForwardedRequest(
        Kind.SUBMISSION, job.identifier, job, store_version
    )


@attrs.frozen
class ReceivedRequest:
    """A forwarded request as it arrived.

    Attributes:
        request: The request.
        timeout: How long the sender waits for the answer.
        sent_at: When it was sent, by the sender's time of day.
    """

    request: ForwardedRequest
    timeout: datetime.timedelta
    sent_at: datetime.datetime


def encode_request(
    request: ForwardedRequest,
    timeout: datetime.timedelta,
    now: datetime.datetime,
) -> bytes:
    """Returns the body of a call that forwards a request.

    Args:
        request: The request.
        timeout: How long the sender waits for the answer.
        now: Time of day.
    """
    document: dict[str, typing.Any] = {
        "timeout_ms": timeout // _MILLISECOND,
        "sent_ms": (now - _EPOCH) // _MILLISECOND,
    }
    if request.job is not None:
        queue = request.job.queue
        # The stored form of a job does not say where it was submitted.
        document["host"] = queue.host
        document["path_prefix"] = queue.path_prefix
        document["store_version"] = request.store_version
        document["job"] = orjson.Fragment(records.encode_job(request.job))
    return orjson.dumps(document)


def decode_request(path: str, body: bytes) -> ReceivedRequest:
    """Returns the request of a call.

    Raises:
        MalformedMessageError: The path or the body is malformed, or the job
            has fields that this build does not know.
    """
    kind, identifier = _decode_path(path)
    try:
        document = orjson.loads(body)
        job = store_version = None
        if kind is Kind.SUBMISSION:
            job = _decode_job(identifier, document)
            store_version = document.get("store_version")
            if store_version is not None and type(store_version) is not int:
                raise TypeError("store_version is not a whole number")
        timeout_ms, sent_ms = document["timeout_ms"], document["sent_ms"]
        if type(timeout_ms) is not int or type(sent_ms) is not int:
            raise TypeError("a time is not a whole number")
        if not 0 <= timeout_ms <= _MAX_TIMEOUT_MS:
            raise ValueError(f"timeout_ms is {timeout_ms}")
        return ReceivedRequest(
            ForwardedRequest(kind, identifier, job, store_version),
            timeout_ms * _MILLISECOND,
            _EPOCH + sent_ms * _MILLISECOND,
        )
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
        records.MalformedRowError,
    ) as error:
        raise MalformedMessageError(
            f"malformed forwarded request {identifier}: {error!r}"
        ) from error


def encode_answer(lookup: model.JobLookup | None) -> bytes:
    """Returns the body of an answer; None if the request was not tried."""
    if lookup is None:
        return orjson.dumps({"outcome": _NOT_HERE})
    document: dict[str, typing.Any] = {"outcome": lookup.outcome.value}
    if lookup.state is not None:
        document["state"] = lookup.state.value
    if lookup.retry_after is not None:
        document["retry_after_ms"] = lookup.retry_after // _MILLISECOND
    return orjson.dumps(document)


def decode_answer(kind: Kind, body: bytes) -> model.JobLookup | None:
    """Returns the result in an answer; None if the request was not tried.

    Raises:
        MalformedMessageError: The answer is malformed.
    """
    try:
        document = orjson.loads(body)
        if document["outcome"] == _NOT_HERE:
            return None
        outcome = model.Outcome(document["outcome"])
        state = None
        if kind is Kind.STATE and outcome is model.Outcome.DONE:
            state = model.JobState(document["state"])
        retry_after = None
        if outcome is model.Outcome.REFUSED:
            if type(document["retry_after_ms"]) is not int:
                raise TypeError("retry_after_ms is not a whole number")
            retry_after = document["retry_after_ms"] * _MILLISECOND
        return model.JobLookup(outcome, state, retry_after)
    except (
        ArithmeticError,
        LookupError,
        TypeError,
        ValueError,
        # An enumeration quotes the value that it rejects, which may be nested
        # too deeply for that.
        RecursionError,
    ) as error:
        raise MalformedMessageError(
            f"malformed answer to a forwarded request: {error!r}"
        ) from error


def _decode_path(path: str) -> tuple[Kind, str]:
    if not path.startswith(_PATH_PREFIX):
        raise MalformedMessageError(f"unknown path {path[:80]!r}")
    name, _, identifier = path.removeprefix(_PATH_PREFIX).partition("/")
    try:
        kind = Kind(name)
    except ValueError as error:
        raise MalformedMessageError(f"unknown path {path[:80]!r}") from error
    if not _IDENTIFIER_PATTERN.fullmatch(identifier):
        raise MalformedMessageError(
            f"{identifier[:80]!r} is not an identifier of a job"
        )
    return kind, identifier


def _decode_job(identifier: str, document: dict[str, typing.Any]) -> model.Job:
    """Returns the job of a submission, with the place of its queue."""
    stored = document["job"]
    job = records.decode_job(identifier, orjson.dumps(stored))
    # A job of a newer build must not lose what this build does not know.
    known = orjson.loads(records.encode_job(job))
    unknown = sorted(stored.keys() - known.keys())
    if unknown:
        raise ValueError(f"unknown fields {unknown[:5]}")
    host, prefix = document["host"], document["path_prefix"]
    if not isinstance(host, str) or not isinstance(prefix, str):
        raise TypeError("host or path_prefix is not text")
    return attrs.evolve(
        job, queue=attrs.evolve(job.queue, host=host, path_prefix=prefix)
    )
