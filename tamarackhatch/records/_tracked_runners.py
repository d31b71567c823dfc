"""Rows of the runners that schedulers track."""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _limits
from tamarackhatch.records import _names
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

# The rest of a row is for the number of rows.
_MAX_RUNNERS_BYTES = _limits.MAX_VALUE_BYTES - 100


@attrs.frozen
class TrackedRunner:
    """A runner that may hold runs of earlier terms.

    The row holds the fields by position.

    Attributes:
        identifier: Identifier of the runner.
        address: ``host:port`` at which it takes calls.
        service: Name of the service that it belongs to.
        incarnation: Start time of its process, in Unix ms; 0 if unknown.
    """

    identifier: str
    address: str
    service: str
    incarnation: int


def encode_tracked_runners(
    runners: Iterable[TrackedRunner],
) -> list[model.Put]:
    """Returns the rows of the list of tracked runners, the first one first.

    They are written in one transaction. A list that fits into one row has the
    form of earlier builds. These find no list in the first of several rows,
    and so wait until no earlier task can run.
    """
    groups: list[list[tuple[object, ...]]] = [[]]
    size = 0
    for runner in runners:
        row = attrs.astuple(runner)
        size += len(orjson.dumps(row)) + 1
        if size > _MAX_RUNNERS_BYTES and groups[-1]:
            groups.append([])
            size = len(orjson.dumps(row)) + 1
        groups[-1].append(row)
    if len(groups) == 1:
        return [model.Put(_names.TRACKED_RUNNERS, orjson.dumps(groups[0]))]
    first = {"rows": len(groups), "runners": groups[0]}
    return [
        model.Put(_names.TRACKED_RUNNERS, orjson.dumps(first)),
        *(
            model.Put(_names.get_tracked_runners_ref(number), value)
            for number, value in enumerate(map(orjson.dumps, groups[1:]), 1)
        ),
    ]


def decode_tracked_runners(
    rows: Sequence[model.Row],
) -> tuple[TrackedRunner, ...]:
    """Returns the list of tracked runners; empty if there is none.

    Args:
        rows: All rows of its table.

    Raises:
        MalformedRowError: A row is malformed, missing or of another list.
    """
    by_ref = {row.ref: row for row in rows}
    first = by_ref.get(_names.TRACKED_RUNNERS)
    if first is None:
        return ()
    try:
        document = orjson.loads(first.value)
        if isinstance(document, dict):
            entries = list(document["runners"])
            for number in range(1, document["rows"]):
                row = by_ref[_names.get_tracked_runners_ref(number)]
                if row.version != first.version:
                    raise ValueError(f"row {number} is of another list")
                entries += orjson.loads(row.value)
        else:
            entries = document
        runners = tuple(TrackedRunner(*entry) for entry in entries)
        for runner in runners:
            _types.check_types(runner)
        return runners
    except (ValueError, KeyError, TypeError) as error:
        raise _progress.MalformedRowError(
            f"malformed tracked runners in row roster: {error!r}"
        ) from error
