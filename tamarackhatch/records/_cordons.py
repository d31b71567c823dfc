"""Row of the runners on which the active scheduler starts nothing more."""

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

# A row may have 65,536 bytes.
_MAX_RUNNERS_BYTES = 60_000


@attrs.frozen
class CordonedRunner:
    """A runner on which the scheduler of a term starts nothing more.

    Attributes:
        identifier: Identifier of the runner.
        tasks: The only tasks that may run there.
    """

    identifier: str
    tasks: tuple[model.TaskKey, ...]


@attrs.frozen
class Cordons:
    """The cordoned runners of one term.

    Attributes:
        term: Number of the term.
        runners: The runners.
    """

    term: int
    runners: tuple[CordonedRunner, ...] = ()


def encode_cordons(cordons: Cordons) -> bytes:
    """Returns the row value of cordons.

    Runners that do not fit are left out, those with the most tasks first. A
    later scheduler then knows nothing of their tasks.
    """
    rows = []
    size = 0
    for runner in sorted(cordons.runners, key=lambda item: len(item.tasks)):
        row = (
            runner.identifier,
            [attrs.astuple(key) for key in runner.tasks],
        )
        size += len(orjson.dumps(row)) + 1
        if size > _MAX_RUNNERS_BYTES:
            break
        rows.append(row)
    return orjson.dumps({"term": cordons.term, "runners": rows})


def decode_cordons(value: bytes) -> Cordons:
    """Returns the cordons of a row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        document = orjson.loads(value)
        cordons = Cordons(
            document["term"],
            tuple(
                CordonedRunner(
                    identifier, tuple(model.TaskKey(*key) for key in keys)
                )
                for identifier, keys in document["runners"]
            ),
        )
        _types.check_types(cordons)
        return cordons
    except (ValueError, KeyError, TypeError) as error:
        raise _progress.MalformedRowError(
            f"malformed cordoned runners in row cordons: {error!r}"
        ) from error
