"""What waiting tasks lack, and in which pieces capacity is free."""

import datetime

import attrs
import pytest

from tamarackhatch import model
from tamarackhatch import placement

_POLICY = placement.PlacementPolicy()
_STEP = model.Step(4, model.Resources(20_000, 40_000))
_KEY = model.TaskKey("job", 0, 0, 0)


def _make_candidate(
    free_cpu: int, free_memory_mb: int
) -> placement.CandidateRunner:
    load = placement.RunnerLoad(
        f"r-{free_cpu}-{free_memory_mb}",
        "s",
        model.Resources(64_000, 256_000),
        ("kind", "rack"),
    )
    load.add_task(
        model.TaskKey("busy", 0, 0, 0),
        model.Step(
            1, model.Resources(64_000 - free_cpu, 256_000 - free_memory_mb)
        ),
    )
    return placement.CandidateRunner(
        load,
        placement.InterferenceModel(),
        _POLICY,
        datetime.timedelta(),
    )


@pytest.mark.parametrize(
    ("step", "pieces", "expected"),
    [
        pytest.param(_STEP, [], "PROCESSORS", id="no runner"),
        pytest.param(
            _STEP, [(9_000, 99_000)], "PROCESSORS", id="processors in pieces"
        ),
        pytest.param(
            _STEP,
            [(9_000, 99_000), (30_000, 9_000)],
            "MEMORY",
            id="processors are free where memory is not",
        ),
        pytest.param(
            attrs.evolve(_STEP, resources=model.Resources(1_000, 0, 1)),
            [(30_000, 99_000)],
            "ACCELERATORS",
            id="accelerators",
        ),
        pytest.param(
            attrs.evolve(_STEP, required_label="other"),
            [(30_000, 99_000)],
            "RESTRICTION",
            id="label",
        ),
        pytest.param(
            _STEP, [(9_000, 99_000), (30_000, 99_000)], "NONE", id="fits"
        ),
    ],
)
def test_shortage_on_the_closest_runner(
    step: model.Step, pieces: list[tuple[int, int]], expected: str
) -> None:
    """Guards against a log that blames the wrong resource."""
    candidates = [_make_candidate(*piece) for piece in pieces]
    shortage = placement.find_shortage(_KEY, step, candidates)
    assert shortage.name == expected


def test_runner_with_too_many_starts_lacks_starts() -> None:
    """Guards against a full fleet reported where runners are unproven."""
    candidate = _make_candidate(30_000, 99_000)
    candidate.start_limit, candidate.is_limit_strict = 1, True
    shortage = placement.find_shortage(_KEY, _STEP, [candidate])
    assert shortage is placement.Shortage.STARTS


def test_free_room_by_size_of_the_pieces() -> None:
    """Guards against free processors that look usable but lie in pieces."""
    room = placement.describe_free_room(
        _make_candidate(free, 9_000).load
        for free in (0, 3_000, 4_000, 5_000, 33_000)
    )
    assert room.pieces == (7_000, 5_000, 0, 0, 33_000)
    assert (room.runners, room.processors, room.largest) == (5, 45_000, 33_000)
