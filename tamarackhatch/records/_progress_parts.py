"""Progress of a job that does not fit into one row.

The tasks of each step are divided into units of neighbouring tasks, and the
units are spread over the parts by their number. Each row holds its units
whole, so that of several rows with a unit the one written last counts. Rows
can therefore be written one after the other, also while their number grows.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import typing

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

# Tasks in a unit. With a checkpoint and a hundred failed runs for each task, a
# unit still fits into a row.
UNIT_TASKS = 64
# A power of two, as is each number of parts: a unit keeps its part, or moves
# to one that did not exist, when their number doubles. A transaction with the
# removal of all parts has at most 100 entries.
MAX_PARTS = 64


@attrs.frozen
class UnitName:
    """Name of a unit.

    Attributes:
        occurrence: Number of the occurrence.
        step: Index of the step.
        block: Number of the unit among those of the step.
    """

    occurrence: int
    step: int
    block: int


@attrs.frozen
class UnitProgress:
    """Progress of neighbouring tasks.

    Attributes:
        name: Name of the unit.
        done: Bit set of the finished tasks, by their position in the unit.
        tasks: Histories of unfinished tasks, by their position in the unit.
    """

    name: UnitName
    done: int = 0
    tasks: dict[int, _progress.TaskHistory] = attrs.field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether there is no progress."""
        return not (self.done or self.tasks)


class PartMap:
    """Assigns the units of a job to parts."""

    def __init__(self, steps: Sequence[model.Step]) -> None:
        """Creates the map of a job.

        Args:
            steps: The steps of the job.
        """
        # Steps and blocks of the units of an occurrence, by number.
        self._units: list[tuple[int, int]] = []
        self._first_units: list[int] = []
        for index, step in enumerate(steps):
            self._first_units.append(len(self._units))
            blocks = -(-step.count // UNIT_TASKS)
            self._units += [(index, block) for block in range(blocks)]

    def get_part(self, name: UnitName, parts: int) -> int:
        """Returns the part of a unit among so many parts."""
        number = self._first_units[name.step] + name.block
        return (name.occurrence * len(self._units) + number) % parts

    def list_units(
        self, occurrence: int, part: int, parts: int
    ) -> list[UnitName]:
        """Returns the names of the units of an occurrence in a part."""
        first = (part - occurrence * len(self._units)) % parts
        return [
            UnitName(occurrence, step, block)
            for step, block in self._units[first::parts]
        ]


def get_unit(key: model.TaskKey) -> UnitName:
    """Returns the name of the unit that a task belongs to."""
    return UnitName(key.occurrence, key.step, key.index // UNIT_TASKS)


def split_progress(
    progress: _progress.JobProgress,
) -> Iterator[UnitProgress]:
    """Yields the units of progress that one row holds."""
    for number, occurrence in progress.occurrences.items():
        units: dict[UnitName, UnitProgress] = {}

        def find(step: int, block: int) -> UnitProgress:
            name = UnitName(number, step, block)
            return units.setdefault(name, UnitProgress(name))

        for step, done in occurrence.done_tasks.items():
            block = 0
            while done >> block * UNIT_TASKS:
                bits = done >> block * UNIT_TASKS & (1 << UNIT_TASKS) - 1
                if bits:
                    unit = attrs.evolve(find(step, block), done=bits)
                    units[unit.name] = unit
                block += 1
        for (step, index), history in occurrence.tasks.items():
            unit = find(step, index // UNIT_TASKS)
            unit.tasks[index % UNIT_TASKS] = history
        yield from units.values()


def encode_part(units: Iterable[UnitProgress]) -> bytes:
    """Returns the row value of a part with units."""
    return orjson.dumps({"u": [_encode_unit(unit) for unit in units]})


def decode_part(value: bytes) -> tuple[UnitProgress, ...]:
    """Returns the units of a part's row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        units = tuple(map(_decode_unit, orjson.loads(value)["u"]))
        for unit in units:
            _types.check_types(unit)
            if not 0 <= unit.done < 1 << UNIT_TASKS or not all(
                0 <= position < UNIT_TASKS for position in unit.tasks
            ):
                raise ValueError("a position is outside its unit")
        return units
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        RecursionError,
    ) as error:
        raise _progress.MalformedRowError(
            f"malformed part of a job's progress: {error!r}"
        ) from error


def encode_split_progress(
    progress: _progress.JobProgress,
) -> bytes:
    """Returns the row value of a job whose progress is in parts.

    Earlier builds find no state in it, and so schedule no task of the job:
    they do not know the parts, and would repeat its finished tasks.
    """
    return orjson.dumps(
        {
            "parts": progress.parts,
            "state": progress.state.value,
            "finished": progress.finished_occurrences,
            "open": sorted(progress.occurrences),
        }
    )


def decode_progress_row(value: bytes) -> _progress.JobProgress:
    """Returns what a job's own row holds, whole or in parts.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        document = orjson.loads(value)
        if not isinstance(document, dict) or "parts" not in document:
            return _progress.decode_progress(value)
        progress = _progress.JobProgress(
            model.JobState(document["state"]),
            document["finished"],
            {
                number: _progress.OccurrenceProgress()
                for number in document["open"]
            },
            document["parts"],
        )
        _types.check_types(progress)
        if not 0 < progress.parts <= MAX_PARTS:
            raise ValueError("impossible number of parts")
        return progress
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise _progress.MalformedRowError(
            f"malformed job progress in a progress row: {error!r}"
        ) from error


def merge_parts(
    progress: _progress.JobProgress,
    version: int,
    parts: Iterable[tuple[int, Sequence[UnitProgress]]],
    count: int,
) -> _progress.JobProgress:
    """Returns the progress of a job from all its rows.

    Args:
        progress: What its own row holds.
        version: Version of that row.
        parts: Versions and units of its parts.
        count: Least number of parts that they may be a part of. Their number
            may have grown since the job's own row was written.
    """
    newest: dict[UnitName, tuple[int, UnitProgress]] = {}
    for row_version, units in [
        (version, tuple(split_progress(progress))),
        *parts,
    ]:
        for unit in units:
            known = newest.get(unit.name)
            if known is None or known[0] < row_version:
                newest[unit.name] = row_version, unit
    occurrences = {
        number: _progress.OccurrenceProgress()
        for number in progress.occurrences
    }
    for name, (_, unit) in newest.items():
        if name.occurrence < progress.finished_occurrences or unit.is_empty:
            continue
        occurrence = occurrences.setdefault(
            name.occurrence, _progress.OccurrenceProgress()
        )
        first = name.block * UNIT_TASKS
        done = occurrence.done_tasks.get(name.step, 0) | unit.done << first
        if done:
            occurrence.done_tasks[name.step] = done
        for position, history in unit.tasks.items():
            occurrence.tasks[name.step, first + position] = history
    number = 1 << max(progress.parts, count, 1).bit_length() - 1
    if number < max(progress.parts, count):
        number *= 2
    return attrs.evolve(progress, occurrences=occurrences, parts=number)


def _encode_unit(unit: UnitProgress) -> list[typing.Any]:
    return [
        *attrs.astuple(unit.name),
        f"{unit.done:x}",
        [
            [
                position,
                history.last_exited_run,
                history.failed_runs,
                history.checkpoint,
                [[run, int(role)] for run, role in history.crashes.items()],
                *(
                    [list(history.expected_crashes.items())]
                    if history.expected_crashes
                    else []
                ),
            ]
            for position, history in unit.tasks.items()
        ],
    ]


def _decode_unit(row: list[typing.Any]) -> UnitProgress:
    occurrence, step, block, done, tasks = row
    return UnitProgress(
        UnitName(occurrence, step, block),
        int(done, 16),
        {
            position: _progress.TaskHistory(
                run,
                tuple(failed),
                checkpoint,
                {number: model.CrashRole(role) for number, role in crashes},
                dict(*expected),
            )
            for position, run, failed, checkpoint, crashes, *expected in tasks
        },
    )
