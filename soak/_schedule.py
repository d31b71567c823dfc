"""Random schedules of faults; pure code."""

import datetime
import random

from soak import _faults

INSTANCES = 4
RUNNERS = 9
DATA_CENTRES = ("here", "east", "west")
_MEAN_GAP_S = 1.2
_DURATIONS_S = (0.5, 7.0)
# An evacuation shorter than its bound of 5 s could not be checked.
_EVACUATION_DURATIONS_S = (7.0, 15.0)
# Share of the faults that are followed by a failure of the active scheduler
# while they last. Written exits, terms and leases are at risk only then.
_SERIES_SHARE = 0.35


def make_schedule(
    seed: int, duration: datetime.timedelta
) -> tuple[_faults.PlannedFault, ...]:
    """Returns the faults of a run, ordered by their start.

    Faults of one kind with the same target do not overlap. All faults have
    ended after ``duration``.

    Args:
        seed: Equal seeds and durations give equal schedules.
        duration: Time from the start of the run.
    """
    source = random.Random(seed)
    end_s = duration.total_seconds()
    planned: list[_faults.PlannedFault] = []
    time_s = source.uniform(0.5, 1.5)
    while time_s < end_s - 1:
        fault = _draw_fault(source)
        shortest, longest = _DURATIONS_S
        if isinstance(fault, _faults.Evacuation):
            shortest, longest = _EVACUATION_DURATIONS_S
        length_s = min(source.uniform(shortest, longest), end_s - time_s)
        planned.append(_plan(time_s, length_s, end_s, fault))
        if source.random() < _SERIES_SHARE:
            later_s = time_s + source.uniform(0.2, 0.9) * length_s
            if later_s < end_s - 1:
                later_length_s = source.uniform(*_DURATIONS_S)
                failure = _draw_scheduler_failure(source)
                planned.append(_plan(later_s, later_length_s, end_s, failure))
        time_s += source.expovariate(1 / _MEAN_GAP_S)
    return _remove_overlaps(planned)


def _plan(
    start_s: float, length_s: float, end_s: float, fault: _faults.Fault
) -> _faults.PlannedFault:
    start_s = round(start_s, 2)
    return _faults.PlannedFault(
        datetime.timedelta(seconds=start_s),
        datetime.timedelta(seconds=min(round(length_s, 1), end_s - start_s)),
        fault,
    )


def _draw_scheduler_failure(source: random.Random) -> _faults.Fault:
    target = _faults.ACTIVE_SCHEDULER
    return source.choice(
        [
            _faults.KillProcess(target),
            _faults.KillProcess(target),
            _faults.StopProcess(target),
            _faults.PauseProcess(target),
            _faults.StoreLinkFault(
                target, source.choice(list(_faults.LinkFault))
            ),
        ]
    )


def _draw_fault(source: random.Random) -> _faults.Fault:
    instance = source.choice(
        [_faults.ACTIVE_SCHEDULER, source.randrange(INSTANCES)]
    )
    runner = source.randrange(RUNNERS)
    kind = source.choice(list(_faults.LinkFault))
    return source.choice(
        [
            _faults.StopProcess(instance),
            _faults.KillProcess(instance),
            _faults.PauseProcess(instance),
            _faults.StoreUnavailable(),
            _faults.StoreSilent(),
            _faults.StoreSlow(source.choice([20.0, 76.0])),
            _faults.StoreHistoryLost(),
            _faults.StoreRefusesInstance(instance, source.choice([429, 503])),
            _faults.StoreAnswersLost(instance),
            _faults.StoreLinkFault(instance, kind),
            _faults.RunnerLinkFault(runner, kind),
            _faults.RunnerLinkFault(runner, kind),
            _faults.RunnerFailsTasks(runner),
            _faults.RunnerSlow(runner, source.choice([0.0, 0.3])),
            _faults.RunnerRestarts(runner),
            _faults.RunnerDrains(runner),
            _faults.Evacuation(source.choice(DATA_CENTRES)),
            _faults.ConfigurationChange(),
            _faults.Burst(source.randint(8, 20)),
        ]
    )


def _remove_overlaps(
    planned: list[_faults.PlannedFault],
) -> tuple[_faults.PlannedFault, ...]:
    """Removes faults that begin while an equal kind and target lasts."""
    ends: dict[tuple[object, ...], datetime.timedelta] = {}
    kept = []
    for item in sorted(planned, key=lambda item: item.start):
        key = get_target(item.fault)
        if item.start >= ends.get(key, datetime.timedelta()):
            ends[key] = item.start + item.duration
            kept.append(item)
    return tuple(kept)


def get_target(fault: _faults.Fault) -> tuple[object, ...]:
    names = ("instance", "runner", "data_centre")
    target = tuple(getattr(fault, name, None) for name in names)
    return (type(fault), *target)
