"""Row of the start commands that runners may still carry out."""

from collections.abc import Iterable
import datetime

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _limits
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

_MILLISECOND = datetime.timedelta(milliseconds=1)
# The rest is for the names of the fields.
_MAX_STARTS_BYTES = _limits.MAX_VALUE_BYTES - 100
# Position in the list of single starts, with its comma.
_POSITION_BYTES = 5


@attrs.frozen
class OpenStart:
    """A start command that may still be carried out.

    Attributes:
        task: The task.
        run: Number of the run.
        runner: Identifier of the runner.
        remaining: Longest time from the write of the row after which it may
            be carried out.
        is_repeated: Whether other commands may have been sent for the same
            run.
    """

    task: model.TaskKey
    run: int
    runner: str
    remaining: datetime.timedelta
    is_repeated: bool = True


def select_fitting_starts(starts: Iterable[OpenStart]) -> list[OpenStart]:
    """Returns the first starts, as many as fit into the row.

    Args:
        starts: The commands, the latest first, since the last ones are nearly
            over.
    """
    selected = []
    size = 0
    for start in starts:
        size += len(orjson.dumps(_encode_start(start))) + 1 + _POSITION_BYTES
        if size > _MAX_STARTS_BYTES:
            break
        selected.append(start)
    return selected


def encode_open_starts(starts: Iterable[OpenStart]) -> bytes:
    """Returns the row value of open starts.

    Earlier builds do not know the list of single starts, and take each start
    for a repeated one.

    Args:
        starts: The commands, the latest first; those that do not fit are
            left out.
    """
    selected = select_fitting_starts(starts)
    document: dict[str, object] = {
        "starts": [_encode_start(start) for start in selected]
    }
    single = [
        position
        for position, start in enumerate(selected)
        if not start.is_repeated
    ]
    if single:
        document["single"] = single
    return orjson.dumps(document)


def _encode_start(start: OpenStart) -> list[object]:
    task = start.task
    return [
        task.job,
        task.occurrence,
        task.step,
        task.index,
        start.run,
        start.runner,
        -(-start.remaining // _MILLISECOND),
    ]


def decode_open_starts(value: bytes) -> tuple[OpenStart, ...]:
    """Returns the open starts of a row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        document = orjson.loads(value)
        single = frozenset(document.get("single", ()))
        starts = tuple(
            OpenStart(
                model.TaskKey(job, occurrence, step, index),
                run,
                runner,
                remaining * _MILLISECOND,
                is_repeated=position not in single,
            )
            for position, (
                job,
                occurrence,
                step,
                index,
                run,
                runner,
                remaining,
            ) in enumerate(document["starts"])
        )
        for start in starts:
            _types.check_types(start)
        return starts
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        ArithmeticError,
    ) as error:
        raise _progress.MalformedRowError(
            f"malformed open starts in row starts: {error!r}"
        ) from error
