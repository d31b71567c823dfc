"""Rows by which instances agree on the active scheduler."""

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _progress


@attrs.frozen
class Beat:
    """Sign of life of the active scheduler, with what callers ask for.

    Attributes:
        instance: Instance of the scheduler.
        incarnation: Incarnation of its process.
        term: Number of the term, from 1.
        count: Number of the beat in this term.
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
class RosterEntry:
    """A runner on which tasks of earlier terms may run.

    Attributes:
        identifier: The runner.
        address: ``host:port`` of its calls.
        service: Its service.
        born: Its incarnation.
    """

    identifier: str
    address: str
    service: str
    born: int


def encode_beat(beat: Beat) -> bytes:
    """Returns the row value of a sign of life."""
    return orjson.dumps(attrs.asdict(beat))


def decode_beat(value: bytes) -> Beat:
    """Returns the sign of life of a row value.

    Raises:
        BadRecordError: The value is malformed.
    """
    try:
        return Beat(**orjson.loads(value))
    except (ValueError, TypeError) as error:
        raise _progress.BadRecordError(f"bad beat row: {error!r}") from error


def encode_roster(roster: tuple[RosterEntry, ...]) -> bytes:
    """Returns the row value of the roster."""
    return orjson.dumps([attrs.astuple(entry) for entry in roster])


def decode_roster(value: bytes) -> tuple[RosterEntry, ...]:
    """Returns the roster of a row value.

    Raises:
        BadRecordError: The value is malformed.
    """
    try:
        return tuple(RosterEntry(*entry) for entry in orjson.loads(value))
    except (ValueError, TypeError) as error:
        raise _progress.BadRecordError(f"bad roster row: {error!r}") from error


def find_row(
    rows: tuple[model.Row, ...], ref: model.RowRef
) -> model.Row | None:
    """Returns the row of a name, or None."""
    return next((row for row in rows if row.ref == ref), None)
