"""Estimates how often runners crash whatever runs on them."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch.scheduler import _fleet

# Crashes often come in bursts. The highest rate of these windows counts.
_WINDOWS = (datetime.timedelta(seconds=10), datetime.timedelta(seconds=60))
_LONGEST_WINDOW = max(_WINDOWS)
# Expected before anything is known, as if it had been observed: a new
# scheduler does not know the crashes before its term.
_PRIOR_CRASHES = 0.3
_PRIOR_RUNNER_SECONDS = 30.0


@attrs.frozen
class _Crash:
    """A crash of a runner.

    Attributes:
        time: Monotonic time at which it was recorded.
        tasks: Tasks whose runs were lost.
    """

    time: datetime.timedelta
    tasks: frozenset[model.TaskKey]


class CrashRates:
    """Knows the recent crashes of the runners of each service."""

    def __init__(
        self,
        time_source: clock.Clock,
        fleet: Mapping[str, _fleet.RunnerEntry],
    ) -> None:
        """Creates the component of one term.

        Args:
            time_source: Source of time.
            fleet: Runners by identifier.
        """
        self._clock = time_source
        self._fleet = fleet
        self._began = time_source.get_monotonic()
        self._crashes: dict[str, collections.deque[_Crash]] = {}
        # Probable causes, with the times of their latest crashes.
        self._causes: dict[model.TaskKey, datetime.timedelta] = {}

    def record_crash(
        self,
        service: str,
        tasks: Iterable[model.TaskKey],
        cause: model.TaskKey | None,
    ) -> None:
        """Records a crash of a runner.

        Args:
            service: Service of the runner.
            tasks: Tasks whose runs were lost.
            cause: Task that has probably caused it, if any.
        """
        now = self._clock.get_monotonic()
        crashes = self._crashes.setdefault(service, collections.deque())
        crashes.append(_Crash(now, frozenset(tasks)))
        if cause is not None:
            self._causes[cause] = now
        while now - crashes[0].time > _LONGEST_WINDOW:
            crashes.popleft()
        for key, time in list(self._causes.items()):
            if now - time > _LONGEST_WINDOW:
                del self._causes[key]

    def estimate_rate(self, service: str, task: model.TaskKey) -> float:
        """Returns crashes per runner and second that a task did not cause.

        Args:
            service: Service of the runners.
            task: The task; crashes of its runners do not count.
        """
        now = self._clock.get_monotonic()
        # A crash without tasks is not recorded.
        runners = sum(
            entry.record.service == service and bool(entry.tasks)
            for entry in self._fleet.values()
        )
        ages = [
            now - crash.time
            for crash in self._crashes.get(service, ())
            if task not in crash.tasks
            and self._causes.keys().isdisjoint(crash.tasks)
        ]
        rates = []
        for window in _WINDOWS:
            observed = min(now - self._began, window).total_seconds()
            crashes = sum(age <= window for age in ages)
            rates.append(
                (crashes + _PRIOR_CRASHES)
                / (runners * observed + _PRIOR_RUNNER_SECONDS)
            )
        return max(rates)
