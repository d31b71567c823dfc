"""Placement of batch tasks when little capacity is left."""

import pytest

from tamarackhatch import model
from tamarackhatch import placement

_POLICY = placement.PlacementPolicy()


def _make_load(
    identifier: str, reserved_cores: int, cores: int = 64
) -> placement.RunnerLoad:
    load = placement.RunnerLoad(
        identifier, "s", model.Resources(cores * 1_000, 256_000)
    )
    load.reserved_cpu = reserved_cores * 1_000
    return load


@pytest.mark.parametrize(
    ("reserved", "expected"),
    [
        pytest.param([], 1.0, id="no runners"),
        pytest.param([0, 64], 0.5, id="one full, one empty"),
        pytest.param([64, 70], 0.0, id="a runner that has shrunk"),
    ],
)
def test_free_share(reserved: list[int], expected: float) -> None:
    """Guards against free capacity that is not there."""
    loads = [_make_load("r", cores) for cores in reserved]
    assert placement.compute_free_share(loads) == expected


@pytest.mark.parametrize(
    ("free_share", "expected"),
    [(0.5, -0.5), (0.1, -0.5), (0.08, 0.0), (0.06, 0.5), (0.0, 0.5)],
)
def test_batch_tasks_are_packed_when_room_is_scarce(
    free_share: float, expected: float
) -> None:
    """Guards against a sudden change, and packing while there is room."""
    adapted = placement.adapt_policy(_POLICY, free_share)
    assert adapted.batch_packing == pytest.approx(expected)


def test_small_batch_tasks_leave_the_piece_that_a_large_one_needs() -> None:
    """Guards against small tasks on the only runner with a large free piece.

    Load: 96 % of the processors are reserved; 20 tasks of 3 cores come first,
    then one of 29 cores.
    """
    loads = [_make_load(f"r-{index}", 60) for index in range(40)]
    loads.append(_make_load("open", 34))
    policy = placement.adapt_policy(
        _POLICY, placement.compute_free_share(loads)
    )
    interference = placement.InterferenceModel()
    now = model.Step(1, model.Resources()).estimate
    candidates = [
        placement.CandidateRunner(load, interference, policy, now)
        for load in loads
    ]
    small = model.Step(20, model.Resources(3_000, 100))
    keys = [model.TaskKey("small", 0, 0, index) for index in range(20)]
    placed = placement.choose_runners(keys, small, candidates, policy)
    assert len(placed) == 20
    large = model.Step(1, model.Resources(29_000, 100))
    key = model.TaskKey("large", 0, 0, 0)
    assert placement.choose_runners([key], large, candidates, policy)
