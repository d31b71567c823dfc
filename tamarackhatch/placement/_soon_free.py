"""What is free on runners within the longest time that one is reserved.

Most runners cannot take a large task within that time, and passes are a few
milliseconds apart. Therefore what a runner has by then is kept until its tasks
change, and a search that found no runner is not repeated in its pass.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import datetime

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _candidate
from tamarackhatch.placement import _load
from tamarackhatch.placement import _reservations

ListRuns = Callable[[str], Iterable[_reservations.TransientRun]]


@attrs.frozen(eq=False)
class _Reach:
    """What a runner has free at the end of the time.

    Attributes:
        load: Reservations on the runner.
        changes: Count of the load's changes that this is based on.
        capacity: Capacity that this is based on.
        unassigned: The same for resources of runs that are being stopped.
        until: Monotonic time until which no further run ends in time.
        processors: Processors, in thousandths of a core; may be negative.
        memory_mb: Memory, in megabytes; may be negative.
        accelerators: Number of accelerators; may be negative.
    """

    load: _load.RunnerLoad
    changes: int
    capacity: model.Resources
    unassigned: model.Resources
    until: datetime.timedelta
    processors: int
    memory_mb: int
    accelerators: int


@attrs.frozen(eq=False)
class _FailedSearch:
    """A search of the present pass that found no runner.

    Attributes:
        service: Service of the runners.
        demand: What had to be free.
        until: Monotonic time until which no further run ends in time.
    """

    service: str
    demand: model.Resources
    until: datetime.timedelta


class SoonFreeRunners:
    """Finds the runners on which a task fits soon enough to reserve them."""

    def __init__(self) -> None:
        self._reaches: dict[str, _Reach] = {}
        self._failed: list[_FailedSearch] = []

    def begin_pass(self, identifiers: Collection[str]) -> None:
        """Begins a placement pass.

        In a pass, tasks are only added to runners, and the runners of a
        service only become fewer.

        Args:
            identifiers: Identifiers of all runners.
        """
        self._failed.clear()
        if len(self._reaches) > len(identifiers):
            self._reaches = {
                identifier: reach
                for identifier, reach in self._reaches.items()
                if identifier in identifiers
            }

    def list_fitting(
        self,
        demand: model.Resources,
        service: str,
        candidates: Iterable[_candidate.CandidateRunner],
        now: datetime.timedelta,
        list_runs: ListRuns,
    ) -> list[_candidate.CandidateRunner]:
        """Returns the runners on which a task fits soon enough.

        These are the ones for which `compute_release_time` returns less than
        the longest duration of a reservation.

        Args:
            demand: What the task reserves.
            service: Service of the runners.
            candidates: The runners of the service that may get tasks.
            now: Monotonic time.
            list_runs: Returns the runs on a runner that end by themselves.
        """
        if any(
            failed.service == service
            and now <= failed.until
            and failed.demand.fits_in(demand)
            for failed in self._failed
        ):
            return []
        processors = demand.processors
        memory_mb, accelerators = demand.memory_mb, demand.accelerators
        reaches = self._reaches
        until = datetime.timedelta.max
        fitting = []
        for candidate in candidates:
            load = candidate.load
            if load.free_cpu + load.batch_cpu < processors:
                # Serving tasks hold the processors, and do not end.
                continue
            reach = reaches.get(load.identifier)
            if (
                reach is None
                or reach.changes != load.changes
                or reach.load is not load
                or reach.capacity is not load.capacity
                or reach.unassigned is not load.unassigned
                or reach.until < now
            ):
                reach = _compute_reach(load, now, list_runs(load.identifier))
                reaches[load.identifier] = reach
            if reach.until < until:
                until = reach.until
            if (
                processors <= reach.processors
                and memory_mb <= reach.memory_mb
                and accelerators <= reach.accelerators
            ):
                fitting.append(candidate)
        if not fitting:
            self._failed.append(_FailedSearch(service, demand, until))
        return fitting


def _compute_reach(
    load: _load.RunnerLoad,
    now: datetime.timedelta,
    runs: Iterable[_reservations.TransientRun],
) -> _Reach:
    free = load.compute_free()
    processors, memory_mb = free.processors, free.memory_mb
    accelerators = free.accelerators
    until = datetime.timedelta.max
    for run in runs:
        if run.remaining < _reservations.MAX_DURATION:
            processors += run.reserved.processors
            memory_mb += run.reserved.memory_mb
            accelerators += run.reserved.accelerators
        else:
            until = min(
                until, now + run.remaining - _reservations.MAX_DURATION
            )
    return _Reach(
        load,
        load.changes,
        load.capacity,
        load.unassigned,
        until,
        processors,
        memory_mb,
        accelerators,
    )
