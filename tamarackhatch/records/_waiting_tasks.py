"""Row of the tasks that run nowhere when a term is handed over."""

from collections.abc import Iterable

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _limits
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

# The rest is for the term and the names of the fields.
_MAX_TASKS_BYTES = _limits.MAX_VALUE_BYTES - 100


@attrs.frozen
class WaitingTasks:
    """Tasks that can run nowhere at the end of a term.

    Attributes:
        term: Number of the term.
        tasks: The tasks.
    """

    term: int
    tasks: tuple[model.TaskKey, ...]


def encode_waiting_tasks(term: int, tasks: Iterable[model.TaskKey]) -> bytes:
    """Returns the row value of the waiting tasks of a term.

    Args:
        term: Number of the term.
        tasks: The tasks, the most important first; the last ones are left out
            if they do not fit. A later scheduler then waits longer for them.
    """
    rows = []
    size = 0
    for key in tasks:
        row = attrs.astuple(key)
        size += len(orjson.dumps(row)) + 1
        if size > _MAX_TASKS_BYTES:
            break
        rows.append(row)
    return orjson.dumps({"term": term, "tasks": rows})


def decode_waiting_tasks(value: bytes) -> WaitingTasks:
    """Returns the waiting tasks of a row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        document = orjson.loads(value)
        waiting = WaitingTasks(
            document["term"],
            tuple(model.TaskKey(*key) for key in document["tasks"]),
        )
        _types.check_types(waiting)
        return waiting
    except (ValueError, KeyError, TypeError) as error:
        raise _progress.MalformedRowError(
            f"malformed tasks in row waiting: {error!r}"
        ) from error
