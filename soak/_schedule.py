"""Random schedules of faults; pure code."""

import datetime
import random
import signal

from soak import _faults

INSTANCES = 4
RUNNERS = 9
# Runners that are processes of their own, one in each data centre.
PROCESS_RUNNERS = (6, 7, 8)
DATA_CENTRES = ("here", "east", "west")
_MEAN_GAP_S = 1.2
_DURATIONS_S = (0.5, 7.0)
# An evacuation shorter than its bound of 5 s could not be checked.
_EVACUATION_DURATIONS_S = (7.0, 15.0)
# Share of the faults that are followed by a failure of the active scheduler
# while they last. Written exits, terms and leases are at risk only then.
_SERIES_SHARE = 0.35
_INSTANCE_KINDS = tuple(_faults.InstanceKind)
_PAUSE_KINDS = tuple(_faults.PauseKind)
_RUNNER_KINDS = tuple(_faults.RunnerKind)


def make_schedule(
    seed: int, duration: datetime.timedelta
) -> tuple[_faults.PlannedFault, ...]:
    """Returns the faults of a run, ordered by their start.

    Faults of one kind with the same target do not overlap. All have ended
    after ``duration``. Equal arguments give equal schedules.
    """
    source = random.Random(seed)
    end_s = duration.total_seconds()
    planned: list[_faults.PlannedFault] = []
    time_s = source.uniform(0.5, 1.5)
    while time_s < end_s - 1:
        fault = _draw_fault(source)
        lengths_s = _DURATIONS_S
        if isinstance(fault, _faults.Evacuation):
            lengths_s = _EVACUATION_DURATIONS_S
        length_s = min(source.uniform(*lengths_s), end_s - time_s)
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
    signals = (signal.SIGKILL, signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
    link = source.choice(list(_faults.LinkKind))
    return source.choice(
        [
            *(_faults.ProcessFault(target, number) for number in signals),
            _faults.StoreLinkFault(target, link),
        ]
    )


def _draw_fault(source: random.Random) -> _faults.Fault:
    instance = source.choice(
        [_faults.ACTIVE_SCHEDULER, source.randrange(INSTANCES)]
    )
    runner = source.randrange(RUNNERS)
    stand_in = source.randrange(PROCESS_RUNNERS[0])
    process = source.choice(PROCESS_RUNNERS)
    link = source.choice(list(_faults.LinkKind))
    signals = (signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP)
    own = (_faults.InstanceStoreFault(instance, it) for it in _INSTANCE_KINDS)
    return source.choice(
        [
            *(_faults.ProcessFault(instance, number) for number in signals),
            *(_faults.StoreFault(kind) for kind in _faults.StoreKind),
            *own,
            _faults.StoreLinkFault(instance, link),
            _faults.RunnerLinkFault(runner, link),
            _faults.RunnerLinkFault(runner, link),
            *(_faults.RunnerFault(stand_in, kind) for kind in _RUNNER_KINDS),
            *(_faults.RunnerPause(process, kind) for kind in _PAUSE_KINDS),
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
    """Returns what a fault disturbs; its end would lift an equal one."""
    names = ("instance", "runner", "data_centre")
    target = tuple(getattr(fault, name, None) for name in names)
    if isinstance(fault, (_faults.ProcessFault, _faults.RunnerLinkFault)):
        # A process may be paused and killed at the same time, and a link may
        # have several faults.
        return (fault, *target)
    return (type(fault), *target)
