"""Rows by which instances agree on the active scheduler."""

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _progress


@attrs.frozen
class LeaderHeartbeat:
    """Heartbeat of the active scheduler, with what callers ask for.

    Attributes:
        instance: Instance of the scheduler.
        incarnation: Incarnation of its process.
        term: Number of the term, from 1.
        count: Number of the heartbeat in this term.
        is_released: Whether the scheduler has handed its term over.
        pending: For each queue, jobs of which no task has started yet.
    """

    instance: str
    incarnation: str
    term: int
    count: int = 0
    is_released: bool = False
    pending: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class TrackedRunner:
    """A runner on which tasks of earlier terms may run.

    Attributes:
        identifier: The runner.
        address: ``host:port`` of its calls.
        service: Its service.
        incarnation: Its incarnation.
    """

    identifier: str
    address: str
    service: str
    incarnation: int


def encode_leader_heartbeat(heartbeat: LeaderHeartbeat) -> bytes:
    """Returns the row value of a heartbeat."""
    return orjson.dumps(attrs.asdict(heartbeat))


def decode_leader_heartbeat(value: bytes) -> LeaderHeartbeat:
    """Returns the heartbeat of a row value.

    Raises:
        BadRecordError: The value is malformed.
    """
    try:
        return LeaderHeartbeat(**orjson.loads(value))
    except (ValueError, TypeError) as error:
        raise _progress.BadRecordError(f"bad beat row: {error!r}") from error


def encode_tracked_runners(
    tracked_runners: tuple[TrackedRunner, ...],
) -> bytes:
    """Returns the row value of the list of tracked runners."""
    return orjson.dumps([attrs.astuple(entry) for entry in tracked_runners])


def decode_tracked_runners(value: bytes) -> tuple[TrackedRunner, ...]:
    """Returns the list of tracked runners of a row value.

    Raises:
        BadRecordError: The value is malformed.
    """
    try:
        return tuple(TrackedRunner(*entry) for entry in orjson.loads(value))
    except (ValueError, TypeError) as error:
        raise _progress.BadRecordError(f"bad roster row: {error!r}") from error


def find_row(
    rows: tuple[model.Row, ...], ref: model.RowRef
) -> model.Row | None:
    """Returns the row of a name, or None."""
    return next((row for row in rows if row.ref == ref), None)
