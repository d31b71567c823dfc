"""The scheduler's estimate of how long new batch work waits."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import datetime

import attrs

from tamarackhatch import model
from tamarackhatch import placement

_SECOND = datetime.timedelta(seconds=1)
# Starts of the last seconds give the rate. A second of a burst may start
# nothing, while a step of its tasks runs for 2 to 3 s.
_RATE_WINDOW = datetime.timedelta(seconds=4)
_BUCKET = datetime.timedelta(milliseconds=500)
# Tasks that have waited for this long prove that tasks of their size do not
# start at once. A best-effort task waits 2 s for a runner at full speed even
# beside free capacity.
_MIN_BLOCKED_TIME = datetime.timedelta(milliseconds=2500)
# Limits of the summaries, which all instances read with each heartbeat. What
# is left out shortens the estimated waits.
_MAX_SUMMARIES = 16
_MAX_LEVELS = 4
_MAX_POINTS = 4
_MAX_BLOCKED = 4

_Kind = tuple[str, bool]


@attrs.frozen
class WaitingWork:
    """Waiting batch tasks of one step.

    Attributes:
        service: Name of the service.
        step: The step.
        order: Sort key of the tasks.
        count: Number of tasks whose work counts.
        waited: How long the first of them has waited.
        may_run_anywhere: Whether nothing but capacity keeps a task from
            starting, so that its wait tells something of other tasks.
    """

    service: str
    step: model.Step
    order: placement.OrderKey
    count: int
    waited: datetime.timedelta
    may_run_anywhere: bool


@attrs.define
class Pool:
    """Runners of a service.

    Attributes:
        free_processors: Most millicores that are free on any one runner that
            may start tasks.
        free_memory_mb: The same for the memory.
        free_accelerators: The same for the accelerators.
        batch_processors: Millicores that batch tasks reserve.
        best_effort_processors: Millicores that best-effort tasks ask for.
    """

    free_processors: int = 0
    free_memory_mb: int = 0
    free_accelerators: int = 0
    batch_processors: int = 0
    best_effort_processors: int = 0

    @property
    def free(self) -> model.Resources:
        """For each resource, the most that is free on any one runner."""
        return model.Resources(
            self.free_processors, self.free_memory_mb, self.free_accelerators
        )

    def add_runner(self, load: placement.RunnerLoad, is_usable: bool) -> None:
        """Adds a runner.

        Args:
            load: What the runner's tasks reserve and use.
            is_usable: Whether any task may start there.
        """
        self.batch_processors += load.batch_cpu
        self.best_effort_processors += load.best_effort_cpu
        if not is_usable:
            return
        free = load.compute_free()
        self.free_processors = max(self.free_processors, free.processors)
        self.free_memory_mb = max(self.free_memory_mb, free.memory_mb)
        self.free_accelerators = max(self.free_accelerators, free.accelerators)


class WaitEstimator:
    """Records starts, and summarises the work that waits."""

    def __init__(self) -> None:
        self._started: dict[_Kind, collections.Counter[int]] = {}

    def record_start(
        self, service: str, step: model.Step, now: datetime.timedelta
    ) -> None:
        """Records the start of a task."""
        if step.is_long_running:
            return
        kind = (service, step.is_best_effort)
        buckets = self._started.get(kind)
        if buckets is None:
            buckets = self._started[kind] = collections.Counter()
        bucket = now // _BUCKET
        if bucket not in buckets:
            _expire(buckets, now)
        buckets[bucket] += _compute_work(step)

    def summarise(
        self,
        waiting: Iterable[WaitingWork],
        make_pools: Callable[[], Mapping[str, Pool]],
        now: datetime.timedelta,
    ) -> tuple[model.WaitSummary, ...]:
        """Returns summaries of the kinds of work of which some is blocked.

        Args:
            waiting: All waiting batch tasks.
            make_pools: Returns the runners by service. It is called only if
                some work is blocked, because it takes time.
            now: Monotonic time.
        """
        by_kind: dict[_Kind, list[WaitingWork]] = {}
        for work in waiting:
            kind = (work.service, work.step.is_best_effort)
            by_kind.setdefault(kind, []).append(work)
        blocked_by_kind = {
            kind: blocked
            for kind, works in by_kind.items()
            if (blocked := _list_blocked(works))
        }
        if not blocked_by_kind:
            return ()
        pools = make_pools()
        summaries = []
        for kind, blocked in blocked_by_kind.items():
            works = by_kind[kind]
            pool = pools.get(kind[0], Pool())
            rate = self._estimate_rate(kind, pool, now)
            # Without any progress there is no figure for the wait. Serving
            # tasks that hold everything may still end at any time.
            if rate > 0:
                summaries.append(
                    model.WaitSummary(
                        *kind, rate, pool.free, blocked, _list_levels(works)
                    )
                )
        summaries.sort(key=lambda summary: -summary.levels[-1].total_work)
        return tuple(summaries[:_MAX_SUMMARIES])

    def _estimate_rate(
        self, kind: _Kind, pool: Pool, now: datetime.timedelta
    ) -> int:
        """Returns the work that a service gets done in a second.

        Tasks that start in bursts make the starts of the last seconds too few
        at times, so that the work in progress counts if it is more.
        """
        started = self._started.get(kind, collections.Counter())
        _expire(started, now)
        window_s = _RATE_WINDOW / _SECOND
        in_progress = (
            pool.best_effort_processors if kind[1] else pool.batch_processors
        )
        return max(int(started.total() / window_s), in_progress)


def _expire(
    buckets: collections.Counter[int], now: datetime.timedelta
) -> None:
    """Removes the starts before the last seconds."""
    oldest = (now - _RATE_WINDOW) // _BUCKET
    for number in [number for number in buckets if number < oldest]:
        del buckets[number]


def _compute_work(step: model.Step) -> int:
    """Returns the work of one task, in millicore seconds."""
    return int(step.resources.processors * (step.estimate / _SECOND))


def _list_blocked(works: list[WaitingWork]) -> tuple[model.BlockedTask, ...]:
    """Returns the smallest tasks that have waited for a while."""
    found = {
        model.BlockedTask(
            work.step.resources,
            work.step.image if work.step.is_best_effort else "",
        )
        for work in works
        if work.may_run_anywhere and work.waited >= _MIN_BLOCKED_TIME
    }
    smallest = [
        task
        for task in found
        if not any(
            other != task
            and other.image == task.image
            and other.resources.fits_in(task.resources)
            for other in found
        )
    ]
    smallest.sort(key=lambda task: (task.resources.processors, task.image))
    return tuple(smallest[:_MAX_BLOCKED])


def _list_levels(works: list[WaitingWork]) -> tuple[model.WaitLevel, ...]:
    by_priority: dict[int, list[WaitingWork]] = {}
    for work in works:
        by_priority.setdefault(int(work.order.priority), []).append(work)
    levels = []
    total = 0
    for priority in sorted(by_priority):
        urgent = total
        amounts: collections.Counter[int] = collections.Counter()
        late: collections.Counter[int] = collections.Counter()
        for work in by_priority[priority]:
            amount = _compute_work(work.step) * work.count
            total += amount
            if work.order.rank <= placement.Rank.BATCH:
                amounts[work.order.demand] += amount
            if work.order.rank <= placement.Rank.LATE_BATCH:
                late[work.order.demand] += amount
        levels.append(
            model.WaitLevel(
                priority,
                urgent,
                total,
                _make_points(urgent, amounts),
                _make_points(urgent, late),
            )
        )
    return tuple(levels[:_MAX_LEVELS])


def _make_points(
    urgent: int, amounts: Mapping[int, int]
) -> tuple[model.WorkPoint, ...]:
    points = []
    work = urgent
    for demand in sorted(amounts):
        work += amounts[demand]
        points.append(model.WorkPoint(demand, work))
    if len(points) <= _MAX_POINTS:
        return tuple(points)
    last = len(points) - 1
    return tuple(
        points[last * index // (_MAX_POINTS - 1)]
        for index in range(_MAX_POINTS)
    )
