"""What the stand-ins and the load generator record, and their JSON form."""

import enum
import typing

import attrs
import cattrs.preconf.json

_T = typing.TypeVar("_T")
_CONVERTER = cattrs.preconf.json.make_converter()


@attrs.frozen
class Amounts:
    """Resources: thousandths of a core, MiB, whole accelerators."""

    processors: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, other: "Amounts") -> "Amounts":
        """Returns the sum."""
        return Amounts(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def fits_in(self, other: "Amounts") -> bool:
        """Tells whether every amount is at most the other one."""
        return (
            self.processors <= other.processors
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


class EventKind(enum.Enum):
    """What happened on a worker."""

    EPOCH = "epoch"
    START = "start"
    FINISH = "finish"
    FAIL = "fail"
    STOP = "stop"
    LAPSE = "lapse"
    CHECKPOINT = "checkpoint"
    REFUSE = "refuse"


END_KINDS = frozenset(
    {EventKind.FINISH, EventKind.FAIL, EventKind.STOP, EventKind.LAPSE}
)
# An attempt that ended like this has work left, which must be resumed.
UNFINISHED_KINDS = frozenset({EventKind.STOP, EventKind.LAPSE})


@attrs.frozen
class WorkerEvent:
    """One event on a worker.

    Attributes:
        at: Wall-clock time in seconds since 1970.
        kind: What happened.
        task: Task, or the empty text for an epoch.
        attempt: Attempt of the task.
        epoch: Epoch of the order, or the highest seen.
        amounts: Resources of the attempt, for a start.
        checkpoint: Object key: resumed from, or written.
        detail: Reason or state, for people.
    """

    at: float
    kind: EventKind
    task: str = ""
    attempt: int = 0
    epoch: int = 0
    amounts: Amounts = Amounts()
    checkpoint: str | None = None
    detail: str = ""


@attrs.frozen
class WorkerRecords:
    """All records of one worker; events are in the order they happened."""

    worker: str
    capacity: Amounts
    events: tuple[WorkerEvent, ...] = ()
    violations: tuple[str, ...] = ()


class RequestKind(enum.Enum):
    """The kinds of request of a service."""

    QUERY = "query"
    RENEWAL = "renewal"
    WATCH = "watch"


@attrs.frozen
class RunnerRequest:
    """One request that ran on a runner.

    Attributes:
        request_id: Identity given by the caller.
        kind: Kind of the request.
        started_at: Wall-clock time in seconds since 1970.
        ended_at: End of the work, or None while it runs.
        status: Status of the answer, or None if none was sent.
        digest: SHA-256 of the whole answer body, in hexadecimal.
    """

    request_id: str
    kind: RequestKind
    started_at: float
    ended_at: float | None = None
    status: int | None = None
    digest: str | None = None


@attrs.frozen
class RunnerRecords:
    """All records of one runner."""

    runner: str
    requests: tuple[RunnerRequest, ...] = ()
    max_slots: int = 0
    max_connections: int = 0
    late: int = 0


class CallerOutcome(enum.Enum):
    """What a caller learned; LOST means that its connection broke."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LOST = "lost"


@attrs.frozen
class CallerRequest:
    """One request as its caller saw it.

    Attributes:
        request_id: Identity, unique in the history.
        kind: Kind of the request.
        is_repeatable: Whether it may run more than once.
        sent_at: Wall-clock time in seconds since 1970.
        latency_ms: Time to the whole answer.
        outcome: What the caller learned.
        status: Status of the answer, or 0.
        digest: SHA-256 of the body, in hexadecimal.
        is_matching: Whether the body is the answer to this request.
        code: Error code of a refusal, or the empty text.
    """

    request_id: str
    kind: RequestKind
    is_repeatable: bool
    sent_at: float
    latency_ms: float
    outcome: CallerOutcome
    status: int = 0
    digest: str = ""
    is_matching: bool = True
    code: str = ""


def encode(value: object) -> typing.Any:
    """Returns the JSON form of records."""
    return _CONVERTER.unstructure(value)


def decode(value: typing.Any, cls: type[_T]) -> _T:
    """Returns the records for their JSON form."""
    return _CONVERTER.structure(value, cls)
