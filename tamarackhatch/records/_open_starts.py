"""Row of the start commands that a scheduler has got no answer to."""

from collections.abc import Iterable
import datetime

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _limits
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

_MILLISECOND = datetime.timedelta(milliseconds=1)
# The rest is for the name of the field.
_MAX_STARTS_BYTES = _limits.MAX_VALUE_BYTES - 100


@attrs.frozen
class OpenStart:
    """A start command that may still be carried out.

    Attributes:
        task: The task.
        run: Number of the run.
        runner: Identifier of the runner.
        remaining: Longest time from the write of the row after which it may
            be carried out.
    """

    task: model.TaskKey
    run: int
    runner: str
    remaining: datetime.timedelta


def encode_open_starts(starts: Iterable[OpenStart]) -> bytes:
    """Returns the row value of open starts.

    Args:
        starts: The commands, the latest first; the last ones, which are
            nearly over, are left out if they do not fit.
    """
    rows = []
    size = 0
    for start in starts:
        row = [
            *attrs.astuple(start.task),
            start.run,
            start.runner,
            -(-start.remaining // _MILLISECOND),
        ]
        size += len(orjson.dumps(row)) + 1
        if size > _MAX_STARTS_BYTES:
            break
        rows.append(row)
    return orjson.dumps({"starts": rows})


def decode_open_starts(value: bytes) -> tuple[OpenStart, ...]:
    """Returns the open starts of a row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        starts = tuple(
            OpenStart(
                model.TaskKey(job, occurrence, step, index),
                run,
                runner,
                remaining * _MILLISECOND,
            )
            for job, occurrence, step, index, run, runner, remaining in (
                orjson.loads(value)["starts"]
            )
        )
        for start in starts:
            _types.check_types(start)
        return starts
    except (ValueError, KeyError, TypeError, ArithmeticError) as error:
        raise _progress.MalformedRowError(
            f"malformed open starts in row starts: {error!r}"
        ) from error
