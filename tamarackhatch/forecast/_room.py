"""When capacity becomes free on the runners of a rack.

Answers the load in which most urgent jobs prefer one rack: each waiting task
holds its place in the forecast, so that no two count on the same capacity.
"""

import bisect
from collections.abc import Collection
from collections.abc import Mapping
import datetime
import heapq

import attrs

from tamarackhatch import model


@attrs.frozen
class Release:
    """Resources that become free at a monotonic time."""

    at: datetime.timedelta
    resources: model.Resources


@attrs.frozen
class RunnerRoom:
    """Free resources of a runner, and when more become free.

    Attributes:
        free: Resources that are free from `since` on; negative amounts if the
            runner has shrunk.
        releases: Expected releases, the earliest first.
        since: Monotonic time before which no further place is forecast.
    """

    free: model.Resources
    releases: tuple[Release, ...] = ()
    since: datetime.timedelta = datetime.timedelta()

    def find_time(
        self,
        demand: model.Resources,
        now: datetime.timedelta,
        latest: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns when a demand fits, from now until a latest time.

        None if it does not fit until then.
        """
        processors = self.free.processors - demand.processors
        memory = self.free.memory_mb - demand.memory_mb
        accelerators = self.free.accelerators - demand.accelerators
        time = max(now, self.since)
        if min(processors, memory, accelerators) >= 0:
            return time if time <= latest else None
        for release in self.releases:
            if release.at > latest:
                return None
            released = release.resources
            processors += released.processors
            memory += released.memory_mb
            accelerators += released.accelerators
            if min(processors, memory, accelerators) >= 0:
                return max(time, release.at)
        return None

    def hold(
        self,
        demand: model.Resources,
        at: datetime.timedelta,
        run_time: datetime.timedelta,
    ) -> "RunnerRoom":
        """Returns the room with a place that is held from a time on.

        Args:
            demand: Resources of the place.
            at: Monotonic time at which the demand fits.
            run_time: How long they are needed.
        """
        passed = 0
        free = self.free - demand
        for release in self.releases:
            if release.at > at:
                break
            free += release.resources
            passed += 1
        remaining = list(self.releases[passed:])
        bisect.insort(remaining, Release(at + run_time, demand), key=_get_time)
        return RunnerRoom(free, tuple(remaining), at)


@attrs.frozen
class RoomForecast:
    """Places of several tasks on the runners of a rack.

    Attributes:
        times: Monotonic time of each place, the earliest first; fewer than
            were asked for if the others come too late.
        rooms: Rooms of all runners, with these places held.
    """

    times: tuple[datetime.timedelta, ...]
    rooms: Mapping[str, RunnerRoom]


def forecast_room(
    rooms: Mapping[str, RunnerRoom],
    runners: Collection[str],
    demand: model.Resources,
    count: int,
    run_time: datetime.timedelta,
    now: datetime.timedelta,
    latest: datetime.timedelta,
    max_per_runner: int = 0,
) -> RoomForecast:
    """Forecasts places for equal tasks.

    Args:
        rooms: Rooms of the runners of a rack, with the places that are held.
        runners: Runners that the tasks may use.
        demand: Resources of one task.
        count: Number of tasks.
        run_time: Their expected run time.
        now: Monotonic time.
        latest: Latest time of a place.
        max_per_runner: Largest number of places on one runner; 0 for no
            limit.
    """
    heap = []
    for runner in runners:
        time = rooms[runner].find_time(demand, now, latest)
        if time is not None:
            heap.append((time, runner))
    heapq.heapify(heap)
    times: list[datetime.timedelta] = []
    held = dict(rooms)
    places: dict[str, int] = {}
    while heap and len(times) < count:
        time, runner = heapq.heappop(heap)
        times.append(time)
        held[runner] = held[runner].hold(demand, time, run_time)
        places[runner] = places.get(runner, 0) + 1
        if max_per_runner and places[runner] >= max_per_runner:
            continue
        following = held[runner].find_time(demand, now, latest)
        if following is not None:
            heapq.heappush(heap, (following, runner))
    return RoomForecast(tuple(times), held)


def _get_time(release: Release) -> datetime.timedelta:
    return release.at
