"""Requests of callers to services, and their answers."""

import datetime
import enum

import attrs

from tamarackhatch import errors


class Outcome(enum.Enum):
    """What a caller is told about its request; exactly one of these."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class ServiceRequest:
    """One request of a caller.

    Attributes:
        request_id: Chosen by the caller; echoed in the answer.
        service: Name of the service.
        method: HTTP method.
        path: Path below the service, with its query string.
        headers: Headers that are passed on, as name and value.
        body: Whole body.
        deadline: UTC time after which an answer is of no use.
        is_repeatable: Whether running it twice does no harm.
        is_watch: Whether it is a long poll, which holds a connection but
            no slot.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: datetime.datetime
    is_repeatable: bool
    is_watch: bool = False


@attrs.frozen
class ServiceAnswer:
    """What the caller gets.

    Attributes:
        outcome: One of the three documented outcomes.
        status: HTTP status; the runner's own if answered.
        headers: Headers of the runner's answer.
        body: Whole body.
        code: Why it was not answered, else None.
        reason: The same in words.
        retry_after: When a retry may help, else None.
    """

    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    code: errors.ErrorCode | None = None
    reason: str = ""
    retry_after: datetime.timedelta | None = None
