"""Schedules of faults."""

import datetime
import itertools

import pytest

from soak import _faults
from soak import _schedule

_DURATION = datetime.timedelta(seconds=60)


@pytest.mark.parametrize("seed", [1, 2, 50])
def test_equal_seeds_give_equal_schedules(seed: int) -> None:
    """Guards against findings that cannot be repeated."""
    schedule = _schedule.make_schedule(seed, _DURATION)
    assert schedule == _schedule.make_schedule(seed, _DURATION)
    assert schedule != _schedule.make_schedule(seed + 1, _DURATION)


@pytest.mark.parametrize("seed", range(20))
def test_faults_end_in_time_and_targets_do_not_overlap(seed: int) -> None:
    """Guards against a fault whose end lifts another one early."""
    schedule = _schedule.make_schedule(seed, _DURATION)
    assert all(item.start + item.duration <= _DURATION for item in schedule)
    for first, second in itertools.combinations(schedule, 2):
        if _schedule.get_target(first.fault) == _schedule.get_target(
            second.fault
        ):
            assert first.start + first.duration <= second.start


def test_all_kinds_of_faults_are_drawn() -> None:
    """Guards against a kind of fault that is never injected."""
    drawn = {
        type(item.fault)
        for seed in range(20)
        for item in _schedule.make_schedule(seed, _DURATION)
    }
    assert drawn == set(_faults.Fault.__subclasses__())
