"""Schedules of faults."""

import datetime
import itertools

import pytest

from soak import _faults
from soak import _schedule

_DURATION = datetime.timedelta(seconds=60)


@pytest.mark.parametrize("seed", range(20))
def test_schedule_is_repeatable_ends_in_time_and_does_not_overlap(
    seed: int,
) -> None:
    """Guards against findings that cannot be repeated or explained.

    The end of a fault must not lift another one.
    """
    schedule = _schedule.make_schedule(seed, _DURATION)
    assert schedule == _schedule.make_schedule(seed, _DURATION)
    assert all(item.start + item.duration <= _DURATION for item in schedule)
    for first, second in itertools.combinations(schedule, 2):
        targets = [_schedule.get_target(it.fault) for it in (first, second)]
        if targets[0] == targets[1]:
            assert first.start + first.duration <= second.start


def test_all_kinds_of_faults_are_drawn() -> None:
    """Guards against a kind of fault that is never injected."""
    drawn = {
        type(item.fault)
        for seed in range(20)
        for item in _schedule.make_schedule(seed, _DURATION)
    }
    assert drawn == set(_faults.Fault.__subclasses__())
