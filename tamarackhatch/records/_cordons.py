"""Row of the runners on which the active scheduler starts nothing more."""

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _limits
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

# The rest is for the name of the field.
_MAX_RUNNERS_BYTES = _limits.MAX_VALUE_BYTES - 100


@attrs.frozen
class CordonedRunner:
    """A runner on which the active scheduler starts nothing more.

    Attributes:
        identifier: Identifier of the runner.
        tasks: The only tasks that may run there.
    """

    identifier: str
    tasks: tuple[model.TaskKey, ...]


def encode_cordons(runners: tuple[CordonedRunner, ...]) -> bytes:
    """Returns the row value of the cordoned runners.

    Runners that do not fit are left out, those with the most tasks first. A
    later scheduler then knows nothing of their tasks.
    """
    rows = []
    size = 0
    for runner in sorted(runners, key=lambda item: len(item.tasks)):
        row = (
            runner.identifier,
            [attrs.astuple(key) for key in runner.tasks],
        )
        size += len(orjson.dumps(row)) + 1
        if size > _MAX_RUNNERS_BYTES:
            break
        rows.append(row)
    return orjson.dumps({"runners": rows})


def decode_cordons(value: bytes) -> tuple[CordonedRunner, ...]:
    """Returns the cordoned runners of a row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        runners = tuple(
            CordonedRunner(
                identifier, tuple(model.TaskKey(*key) for key in keys)
            )
            for identifier, keys in orjson.loads(value)["runners"]
        )
        for runner in runners:
            _types.check_types(runner)
        return runners
    except (ValueError, KeyError, TypeError) as error:
        raise _progress.MalformedRowError(
            f"malformed cordoned runners in row cordons: {error!r}"
        ) from error
