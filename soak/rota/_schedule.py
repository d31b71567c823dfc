"""Random schedules of the troubles of brindle-rota; pure code."""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import enum
import random
import signal

from soak.rota import _troubles

MACHINES = 24
INSTANCES_BY_DATA_CENTRE = (4, 3, 2)
INSTANCES = sum(INSTANCES_BY_DATA_CENTRE)
_MEAN_GAP_S = 1.1
_CUT_S = 5.5
_CUT_SHARE = 0.17
_RESTARTED_SHARE = 0.14
# Durations of the profile with restarts that are followed by cuts.
_RESTART_S = 0.6
_RECUT_S = 9.0
_LATE_SHARE = 0.055
_HIGHEST_LATE_SHARE = 0.5
_BURST_FACTOR = 2.6
# Shares of the troubles that are followed by a failure of the active scheduler
# while they last. Some faults show only under a scheduler that lasts.
_SERIES_SHARES = (0.0, 0.3)
# Each play has its own mixture of troubles.
_FACTORS = (0.0, 1.0, 1.0, 2.0)
_Drawn = tuple[_troubles.Trouble, float]


class Profile(enum.Enum):
    """What kind of schedule is drawn.

    Attributes:
        ROTA: All troubles of brindle-rota.
        CUTS: Cuts and restarts of runners only, so that many leases expire
            while one scheduler lasts.
        RECUTS: Runners of a data centre restart, and are cut off soon after,
            again and again; at times the active scheduler ends in between.
    """

    ROTA = "rota"
    CUTS = "cuts"
    RECUTS = "recuts"


def make_schedule(
    seed: int,
    duration: datetime.timedelta,
    profile: Profile = Profile.ROTA,
) -> tuple[_troubles.PlannedTrouble, ...]:
    """Returns the troubles of a play, ordered by their start.

    Troubles of one kind with a common target do not overlap. All have ended
    after ``duration``. Equal arguments give equal schedules.

    Args:
        seed: Seed of the troubles.
        duration: How long they last.
        profile: Kind of the schedule.
    """
    source = random.Random(f"rota {seed}")
    end_s = duration.total_seconds()
    if profile is Profile.RECUTS:
        return _remove_overlaps(list(_draw_recuts(source, end_s)))
    planned: list[_troubles.PlannedTrouble] = []
    weights = [it * source.choice(_FACTORS) for it in _WEIGHTS.values()]
    series_share = source.choice(_SERIES_SHARES)
    if profile is Profile.CUTS:
        weights = [_WEIGHTS[it] * (it is _draw_cut) for it in _WEIGHTS]
        series_share = 0.0
    time_s = source.uniform(2, 4)
    while time_s < end_s - 1:
        draw = source.choices(list(_WEIGHTS), weights)[0]
        fault, length_s = draw(source)
        planned.append(_plan(time_s, length_s, end_s, fault))
        if source.random() < series_share:
            later_s = time_s + source.uniform(0.1, 0.9) * length_s
            fault, length_s = _draw_scheduler_failure(source)
            if later_s < end_s - 1:
                planned.append(_plan(later_s, length_s, end_s, fault))
        time_s += source.expovariate(1 / _MEAN_GAP_S)
    return _remove_overlaps(planned)


def _draw_recuts(
    source: random.Random, end_s: float
) -> Iterator[_troubles.PlannedTrouble]:
    """Yields restarts of a data centre's runners, each with a cut after it."""
    time_s = source.uniform(4, 6)
    runners = MACHINES // len(INSTANCES_BY_DATA_CENTRE)
    while time_s + _RESTART_S + _RECUT_S < end_s - 1:
        first = runners * source.randrange(len(INSTANCES_BY_DATA_CENTRE))
        machines = tuple(range(first, first + runners))
        restart = _troubles.RunnerRestart(machines, is_dark=True)
        yield _plan(time_s, _RESTART_S, end_s, restart)
        time_s += _RESTART_S
        cut_s = time_s + source.uniform(0.3, 2.3)
        if source.random() < 0.3:
            ended = _troubles.InstanceEnd(
                (_troubles.ACTIVE_SCHEDULER,),
                signal.SIGKILL,
                datetime.timedelta(seconds=1),
            )
            yield _plan(source.uniform(time_s, cut_s), 2.0, end_s, ended)
        cut = _troubles.RunnerCut(
            machines, _troubles.Way.BOTH, source.random() < 0.5, False
        )
        yield _plan(cut_s, _RECUT_S, end_s, cut)
        time_s = cut_s + _RECUT_S + source.uniform(1.0, 3.0)


def _plan(
    start_s: float, length_s: float, end_s: float, fault: _troubles.Trouble
) -> _troubles.PlannedTrouble:
    start_s = round(start_s, 2)
    return _troubles.PlannedTrouble(
        datetime.timedelta(seconds=start_s),
        datetime.timedelta(seconds=min(round(length_s, 2), end_s - start_s)),
        fault,
    )


def _draw_machines(source: random.Random, share: float) -> tuple[int, ...]:
    count = max(1, round(share * MACHINES * source.uniform(0.3, 1.5)))
    return tuple(sorted(source.sample(range(MACHINES), count)))


def _draw_instances(source: random.Random) -> tuple[int, ...]:
    if source.random() < 0.6:
        return (_troubles.ACTIVE_SCHEDULER,)
    count = source.randint(1, 3)
    return tuple(sorted(source.sample(range(INSTANCES), count)))


def _draw_pause(source: random.Random) -> tuple[float, float]:
    """Returns the share of the time that a process gets, and a duration."""
    if source.random() < 0.5:
        return 0.0, min(12.0, 0.5 + source.expovariate(1 / 2.5))
    return source.choice([0.1, 0.2, 0.4]), source.uniform(3, 8)


def _draw_cut(source: random.Random) -> _Drawn:
    way = source.choice([_troubles.Way.BOTH, *_troubles.Way])
    is_whole = source.random() < 0.04
    machines = _draw_machines(source, _CUT_SHARE)
    if is_whole:
        machines = tuple(range(MACHINES))
    restarts = not is_whole and source.random() < 0.35
    from_store = source.random() < 0.5
    cut = _troubles.RunnerCut(machines, way, from_store, restarts)
    return cut, _CUT_S * source.uniform(0.92, 1.08)


def _draw_restart(source: random.Random) -> _Drawn:
    machines = _draw_machines(source, _RESTARTED_SHARE)
    is_dark = source.random() < 0.5
    restart = _troubles.RunnerRestart(machines, is_dark)
    return restart, source.uniform(0.1, 4.5)


def _draw_replacement(source: random.Random) -> _Drawn:
    machine, drains = source.randrange(MACHINES), source.random() < 0.5
    replacement = _troubles.RunnerReplacement(machine, drains)
    return replacement, source.uniform(3, 7)


def _draw_runner_pause(source: random.Random) -> _Drawn:
    share, length_s = _draw_pause(source)
    machines = _draw_machines(source, 0.1)
    return _troubles.RunnerPause(machines, share), length_s


def _draw_instance_pause(source: random.Random) -> _Drawn:
    share, length_s = _draw_pause(source)
    return _troubles.InstancePause(_draw_instances(source), share), length_s


def _draw_late_calls(source: random.Random) -> _Drawn:
    share = _LATE_SHARE
    if source.random() < 0.2:
        share = round(source.uniform(0.1, _HIGHEST_LATE_SHARE), 3)
    return _troubles.LateCalls(share), 5.5


def _draw_delayed_answers(source: random.Random) -> _Drawn:
    machines = _draw_machines(source, 0.3)
    share = source.choice([0.05, 0.2, 0.5])
    longest_s = source.choice([0.5, 1.5, 4.0])
    delayed = _troubles.DelayedAnswers(machines, share, longest_s)
    return delayed, source.uniform(3, 7)


def _draw_store_trouble(source: random.Random) -> _Drawn:
    kind = source.choice(list(_troubles.StoreKind))
    refused = tuple(sorted(source.sample(range(INSTANCES), 3)))
    if kind is not _troubles.StoreKind.REFUSING:
        refused = ()
    trouble = _troubles.StoreTrouble(kind, refused)
    return trouble, source.uniform(1.5, 5.5)


def _draw_instance_end(source: random.Random) -> _Drawn:
    number = source.choice([signal.SIGTERM, signal.SIGKILL])
    instances = _draw_instances(source)
    if number is signal.SIGTERM:
        others = source.sample(range(INSTANCES), source.randint(0, 3))
        instances = (_troubles.ACTIVE_SCHEDULER, *others)
    gap = datetime.timedelta(seconds=round(source.uniform(0.5, 2), 2))
    ended = _troubles.InstanceEnd(instances, number, gap)
    return ended, source.uniform(0.5, 3.5)


def _draw_cancellation(source: random.Random) -> _Drawn:
    return _troubles.BulkCancellation(source.choice([0.2, 0.5, 1.0])), 0.0


def _draw_burst(source: random.Random) -> _Drawn:
    return _troubles.Burst(_BURST_FACTOR), 4.0


_WEIGHTS: dict[Callable[[random.Random], _Drawn], float] = {
    _draw_cut: 6,
    _draw_restart: 4,
    _draw_late_calls: 4,
    _draw_runner_pause: 3,
    _draw_instance_pause: 3,
    _draw_delayed_answers: 2.5,
    _draw_store_trouble: 2,
    _draw_instance_end: 1.5,
    _draw_replacement: 1.5,
    _draw_cancellation: 0.4,
    _draw_burst: 0.8,
}


def _draw_scheduler_failure(source: random.Random) -> _Drawn:
    target = (_troubles.ACTIVE_SCHEDULER,)
    if source.random() < 0.5:
        share, length_s = _draw_pause(source)
        return _troubles.InstancePause(target, share), length_s
    number = source.choice([signal.SIGTERM, signal.SIGKILL])
    gap = datetime.timedelta(seconds=1)
    ended = _troubles.InstanceEnd(target, number, gap)
    return ended, source.uniform(0.5, 3.5)


def _remove_overlaps(
    planned: list[_troubles.PlannedTrouble],
) -> tuple[_troubles.PlannedTrouble, ...]:
    """Removes troubles that begin while one like them lasts."""
    ends: dict[tuple[object, ...], datetime.timedelta] = {}
    kept = []
    for item in sorted(planned, key=lambda item: item.start):
        keys = list_targets(item.fault)
        latest = max(ends.get(key, datetime.timedelta()) for key in keys)
        if item.start >= latest:
            ends.update(dict.fromkeys(keys, item.start + item.duration))
            kept.append(item)
    return tuple(kept)


def list_targets(trouble: _troubles.Trouble) -> list[tuple[object, ...]]:
    """Returns what a trouble disturbs; its end would lift one like it."""
    kind: object = type(trouble)
    if isinstance(trouble, _troubles.RunnerReplacement):
        # A machine has one process at a time.
        return [(_troubles.RunnerRestart, trouble.machine)]
    if isinstance(trouble, _troubles.RunnerCut) and trouble.restarts:
        restarted = [(_troubles.RunnerRestart, it) for it in trouble.machines]
        return [*restarted, *((kind, it) for it in trouble.machines)]
    if isinstance(trouble, _troubles.StoreTrouble):
        return [(kind,)]
    names = ("machines", "instances")
    targets = [it for name in names for it in getattr(trouble, name, ())]
    return [(kind, it) for it in targets] or [(kind,)]
