"""Finds runners whose runs make no progress while others do."""

import collections
from collections.abc import Iterable
import datetime

import attrs

from tamarackhatch.health import _records

# Runs without progress for this long, on a runner with several of different
# jobs, show that the runner hangs. Most tasks take less than 3 s.
_MIN_STALL = datetime.timedelta(seconds=3)
# A single run may hang by itself.
_MIN_SINGLE_STALL = datetime.timedelta(seconds=8)
# Progress is reported in whole per cent; a run that needs longer than this
# share of the stall for one of them is slow, not stalled.
_PERCENT_PER_STALL = 5
_DONE_PERCENT = 100
# So many other runners must have made progress in the meantime.
_MIN_PEERS = 2


@attrs.frozen
class RunObservation:
    """A batch run in a runner's latest report.

    Attributes:
        runner: Identifier of the runner.
        queue: Name of the job's queue.
        name: Task and number of the run.
        percent: Progress, 0 to 100.
        speed_limit: Share of its full speed at which it may run, 0 to 1.
        started: Monotonic time at which it was placed or adopted.
    """

    runner: str
    queue: str
    name: _records.RunName
    percent: int
    speed_limit: float
    started: datetime.timedelta


@attrs.frozen
class Stall:
    """A run that makes no progress on a runner that hangs.

    Attributes:
        runner: Identifier of the runner.
        name: Task and number of the run.
        since: Monotonic time of its latest progress.
        worked: How long it had run until then.
    """

    runner: str
    name: _records.RunName
    since: datetime.timedelta
    worked: datetime.timedelta


@attrs.define
class _Progress:
    percent: int
    since: datetime.timedelta


class StallDetector:
    """Compares the progress of runs on different runners."""

    def __init__(self) -> None:
        self._progress: dict[_records.RunName, _Progress] = {}
        # Latest progress or exit, by queue and runner.
        self._activity: dict[str, dict[str, datetime.timedelta]] = {}
        self._latest: dict[str, datetime.timedelta] = {}

    def record_exit(
        self, runner: str, queue: str, now: datetime.timedelta
    ) -> None:
        """Records that a run of a queue ended by itself."""
        self._activity.setdefault(queue, {})[runner] = now
        self._latest[runner] = now

    def forget(self, runner: str) -> None:
        """Forgets a runner."""
        self._latest.pop(runner, None)
        for runners in self._activity.values():
            runners.pop(runner, None)

    def find_stalls(
        self, runs: Iterable[RunObservation], now: datetime.timedelta
    ) -> list[Stall]:
        """Returns the stalled runs on runners that hang.

        A run at speed limit 0 is not stalled. Nor is one of which 100 % is
        reported: some tasks report no other progress.

        Args:
            runs: All batch runs on the runners that answer.
            now: Monotonic time.
        """
        progress: dict[_records.RunName, _Progress] = {}
        by_runner: dict[str, list[RunObservation]] = collections.defaultdict(
            list
        )
        for run in runs:
            known = self._progress.get(run.name)
            if known is None:
                known = _Progress(run.percent, now)
            elif run.percent != known.percent or not run.speed_limit:
                if run.percent != known.percent:
                    self.record_exit(run.runner, run.queue, now)
                known = _Progress(run.percent, now)
            progress[run.name] = known
            by_runner[run.runner].append(run)
        self._progress = progress
        stalls: list[Stall] = []
        for runner, group in by_runner.items():
            stalls += self._find_stalls_on(runner, group, now)
        return stalls

    def _find_stalls_on(
        self, runner: str, runs: list[RunObservation], now: datetime.timedelta
    ) -> list[Stall]:
        measurable = [
            run
            for run in runs
            if run.percent < _DONE_PERCENT and run.speed_limit
        ]
        is_alone = len({run.name[0].job for run in measurable}) < 2
        stall = _MIN_SINGLE_STALL if is_alone else _MIN_STALL
        latest = self._latest.get(runner)
        if not measurable or latest is not None and now - latest < stall:
            return []
        stalled = [
            run for run in measurable if self._is_stalled(run, stall, now)
        ]
        # A run that has just started is neither stalled nor at work.
        if not stalled or not all(
            run in stalled or now - run.started < stall for run in measurable
        ):
            return []
        if is_alone is False and len({run.name[0].job for run in stalled}) < 2:
            return []
        if not self._has_active_peers(stalled[0], now - stall):
            return []
        return [
            Stall(
                runner,
                run.name,
                self._progress[run.name].since,
                max(
                    datetime.timedelta(),
                    self._progress[run.name].since - run.started,
                ),
            )
            for run in stalled
        ]

    def _is_stalled(
        self,
        run: RunObservation,
        stall: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        since = self._progress[run.name].since
        worked = since - run.started
        needed = stall / run.speed_limit
        if run.percent:
            needed = max(needed, _PERCENT_PER_STALL * worked / run.percent)
        return now - since >= needed

    def _has_active_peers(
        self, run: RunObservation, since: datetime.timedelta
    ) -> bool:
        active = sum(
            1
            for runner, time in self._activity.get(run.queue, {}).items()
            if runner != run.runner and time >= since
        )
        return active >= _MIN_PEERS
