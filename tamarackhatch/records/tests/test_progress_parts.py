"""Tests progress that is divided among several rows."""

import itertools
import random

import attrs
import pytest

from tamarackhatch import model
from tamarackhatch import records

_STEPS = (
    model.Step(130, model.Resources(1, 1)),
    model.Step(1, model.Resources(1, 1)),
    model.Step(64, model.Resources(1, 1)),
)
_RUNNING = model.JobState.RUNNING


def _make_unit(
    name: records.UnitName, done: int = 0, run: int = 0
) -> records.UnitProgress:
    crashes = {run: model.CrashRole.SUSPECT}
    tasks = {5: records.TaskHistory(run, (run,), "0b", crashes)} if run else {}
    return records.UnitProgress(name, done, tasks)


@pytest.mark.parametrize("parts", [1, 2, 4, 64])
@pytest.mark.parametrize("occurrence", [0, 1, 7])
def test_each_unit_is_in_one_part(occurrence: int, parts: int) -> None:
    """Guards against tasks whose progress no row holds, or two rows hold."""
    part_map = records.PartMap(_STEPS)
    listed = {
        part: part_map.list_units(occurrence, part, parts)
        for part in range(parts)
    }
    for part, names in listed.items():
        for name in names:
            assert part_map.get_part(name, parts) == part
            # When their number doubles, a unit stays or goes to a new part.
            later = part_map.get_part(name, 2 * parts)
            assert later in (part, part + parts)
    names = list(itertools.chain.from_iterable(listed.values()))
    assert sorted((name.step, name.block) for name in names) == [
        (0, 0),
        (0, 1),
        (0, 2),
        (1, 0),
        (2, 0),
    ]


@pytest.mark.parametrize(
    ("row", "expected_crashes"),
    [
        (b'{"u":[[3,1,2,"5",[[5,7,[7],"0b",[[7,1]]]]]]}', {}),
        (b'{"u":[[3,1,2,"5",[[5,7,[7],"0b",[[7,1]],[[7,500]]]]]]}', {7: 500}),
    ],
)
def test_part_keeps_its_form(
    row: bytes, expected_crashes: dict[int, int]
) -> None:
    """Guards against parts misread by other releases in an upgrade."""
    unit = _make_unit(records.UnitName(3, 1, 2), 5, 7)
    unit.tasks[5] = attrs.evolve(
        unit.tasks[5], expected_crashes=expected_crashes
    )
    assert records.decode_part(row) == (unit,)
    assert records.encode_part([unit]) == row


def test_own_row_of_divided_progress_keeps_its_form() -> None:
    """Guards against a state misread by other releases in an upgrade."""
    row = b'{"parts":4,"state":"running","finished":2,"open":[2,3]}'
    progress = records.JobProgress(
        _RUNNING,
        2,
        {2: records.OccurrenceProgress(), 3: records.OccurrenceProgress()},
        4,
    )
    assert records.decode_progress_row(row) == progress
    assert records.encode_split_progress(progress) == row
    # A build that does not know the parts must not take the tasks for new.
    with pytest.raises(records.MalformedRowError):
        records.decode_progress(row)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b"{}",
        b'{"u":3}',
        b'{"u":[[0,0,0,"zz",[]]]}',
        b'{"u":[[0,0,0,"1",[[64,1,[],"",[]]]]]}',
        b'{"u":[[0,0,0,"10000000000000000",[]]]}',
        b'{"u":[["0",0,0,"1",[]]]}',
        b'{"parts":65,"state":"running","finished":0,"open":[]}',
        b'{"parts":"4","state":"running","finished":0,"open":[]}',
        b'{"parts":4,"state":"lost","finished":0,"open":[]}',
        b'{"parts":4,"state":"running","finished":0,"open":3}',
    ],
)
def test_malformed_parts_raise_malformed_row_error(value: bytes) -> None:
    """Guards against malformed rows that raise an unexpected error."""
    with pytest.raises(records.MalformedRowError):
        records.decode_part(value)
    with pytest.raises(records.MalformedRowError):
        records.decode_progress_row(value)


def test_newest_row_of_a_unit_counts() -> None:
    """Guards against older progress of a unit that has moved to a new part."""
    name, other = records.UnitName(0, 0, 1), records.UnitName(0, 0, 2)
    merged = records.merge_parts(
        records.JobProgress(_RUNNING, 0, {}, 2),
        9,
        [
            (4, (_make_unit(name, 0, 3), _make_unit(other, 1))),
            (6, (_make_unit(name, 2, 5),)),
            (5, (_make_unit(name, 0, 4),)),
        ],
        4,
    )
    occurrence = merged.occurrences[0]
    assert occurrence.done_tasks == {0: 2 << 64 | 1 << 128}
    assert list(occurrence.tasks) == [(0, 69)]
    assert occurrence.tasks[0, 69].last_exited_run == 5
    assert merged.parts == 4


@pytest.mark.parametrize("seed", range(5))
def test_progress_survives_a_division_that_stops_halfway(seed: int) -> None:
    """Guards against progress that is lost while its rows are divided.

    The rows are written one after the other, and any number of them may be
    written when a scheduler ends.
    """
    draw = random.Random(seed)
    tasks = {
        (0, index): records.TaskHistory(
            draw.randint(1, 9), (draw.randint(1, 9),), "0b"
        )
        for index in draw.sample(range(130), 40)
    }
    done = {0: draw.getrandbits(130), 2: draw.getrandbits(64)}
    for _, index in tasks:
        done[0] &= ~(1 << index)
    progress = records.JobProgress(
        _RUNNING, 1, {1: records.OccurrenceProgress(done, tasks)}
    )
    part_map = records.PartMap(_STEPS)
    units = {unit.name: unit for unit in records.split_progress(progress)}
    rows = [
        (
            10 - part,
            tuple(
                units[name]
                for name in part_map.list_units(1, part, 4)
                if name in units
            ),
        )
        for part in reversed(range(4))
    ]
    for written in range(5):
        own = progress
        if written == 4:
            own = records.JobProgress(_RUNNING, 1, {}, 4)
        merged = records.merge_parts(own, 3, rows[:written], written)
        assert merged.occurrences == progress.occurrences
