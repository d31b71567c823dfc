"""Progress rates of runs, from successive reports of their runners."""

import collections
from collections.abc import Callable
import datetime
import statistics

import attrs

from tamarackhatch import model

# A rate is measured over at least this time. Runners report every 0.1 to
# 1.5 s, so that most windows are 1 to 2 s long.
_MIN_WINDOW = datetime.timedelta(seconds=1)
# Runs that were allowed less time at full speed than this, in seconds, have
# made too little progress to tell how fast they would be without a limit.
_MIN_ALLOWED_S = 0.3
# Progress is reported in whole per cent, rounded down, so that a difference of
# two reports is inexact by up to this much.
_ROUNDING_PERCENT = 1
_MIN_PEERS = 3
_DONE_PERCENT = 100

StepName = tuple[str, int, int]


@attrs.frozen
class ProgressSample:
    """Progress of a run in one report.

    Attributes:
        time: Monotonic time of the report.
        percent: Progress, 0 to 100.
        speed_limit: Share of its full speed at which the run may proceed, 0
            to 1. 1 if it is not known, which never overestimates how fast the
            run would be without a limit.
    """

    time: datetime.timedelta
    percent: int
    speed_limit: float = 1.0


@attrs.frozen
class RunProgress:
    """What the reports of a run say about its progress.

    Rates are in per cent of the task's work per second.

    Attributes:
        rate: Upper estimate of the rate in the last 1 to 2 s; None if the
            reports cover less than a second.
        unlimited_rate: Rate that the run would have had in that time without
            its speed limit; None if the limit was too low to tell.
        best_rate: Highest unlimited rate of all runs of the task; None if it
            was never measured.
        stopped_since: Monotonic time since which the speed limit has been 0;
            None if it is not.
    """

    rate: float | None = None
    unlimited_rate: float | None = None
    best_rate: float | None = None
    stopped_since: datetime.timedelta | None = None


@attrs.define
class _TaskRecord:
    """Recent samples of a task's latest run, and the task's best rate.

    Attributes:
        run: Number of the run.
        first: First sample of the run.
        samples: Its samples in the window, each with the time in seconds that
            the run was allowed at full speed since the first sample.
        was_limited: Whether the run ever had a speed limit.
        progress: What the samples say.
    """

    run: int
    first: ProgressSample
    samples: collections.deque[tuple[ProgressSample, float]] = attrs.field(
        factory=collections.deque
    )
    was_limited: bool = False
    progress: RunProgress = RunProgress()

    def begin_run(self, run: int, sample: ProgressSample) -> None:
        """Starts to record another run of the task."""
        self.run, self.first = run, sample
        self.samples.clear()
        self.was_limited = False
        self.progress = RunProgress(best_rate=self.progress.best_rate)

    def add(self, sample: ProgressSample) -> None:
        """Adds a sample that is newer than all others."""
        allowed_s = 0.0
        if self.samples:
            previous, allowed_s = self.samples[-1]
            elapsed = (sample.time - previous.time).total_seconds()
            # The limit has changed at an unknown time between the reports.
            allowed_s += elapsed * max(
                previous.speed_limit, sample.speed_limit
            )
        self.samples.append((sample, allowed_s))
        self.was_limited = self.was_limited or sample.speed_limit < 1.0
        while (
            len(self.samples) > 1
            and sample.time - self.samples[1][0].time >= _MIN_WINDOW
        ):
            self.samples.popleft()
        self._update_progress(sample, allowed_s)

    def _update_progress(
        self, sample: ProgressSample, allowed_s: float
    ) -> None:
        stopped_since = None
        if not sample.speed_limit:
            stopped_since = self.progress.stopped_since or sample.time
        oldest, allowed_before_s = self.samples[0]
        window = sample.time - oldest.time
        if window < _MIN_WINDOW:
            self.progress = attrs.evolve(
                self.progress, stopped_since=stopped_since
            )
            return
        gained = max(0, sample.percent - oldest.percent)
        rate = (gained + _ROUNDING_PERCENT) / window.total_seconds()
        unlimited_rate = None
        best_rate = self.progress.best_rate
        allowed_s -= allowed_before_s
        if allowed_s >= _MIN_ALLOWED_S:
            unlimited_rate = max(0, gained - _ROUNDING_PERCENT) / allowed_s
            best_rate = max(best_rate or 0.0, unlimited_rate)
        self.progress = RunProgress(
            rate, unlimited_rate, best_rate, stopped_since
        )

    def complete(self, time: datetime.timedelta) -> None:
        """Records that the run was done at a monotonic time."""
        elapsed_s = (time - self.first.time).total_seconds()
        gained = _DONE_PERCENT - self.first.percent
        if self.was_limited or elapsed_s < _MIN_ALLOWED_S or gained <= 0:
            return
        best_rate = max(self.progress.best_rate or 0.0, gained / elapsed_s)
        self.progress = attrs.evolve(self.progress, best_rate=best_rate)


class ProgressMonitor:
    """Measures the progress rates of runs, by step."""

    def __init__(self) -> None:
        self._steps: dict[StepName, dict[int, _TaskRecord]] = {}

    def record_progress(
        self, task: model.TaskKey, run: int, sample: ProgressSample
    ) -> RunProgress:
        """Records a report, unless it is recorded, and returns the progress.

        Args:
            task: The task.
            run: Number of the run.
            sample: Its progress in the report.
        """
        records = self._steps.setdefault(_get_step_name(task), {})
        record = records.get(task.index)
        if record is None:
            record = records[task.index] = _TaskRecord(run, sample)
        elif record.run != run:
            record.begin_run(run, sample)
        elif record.samples and sample.time <= record.samples[-1][0].time:
            return record.progress
        record.add(sample)
        return record.progress

    def get_progress(self, task: model.TaskKey, run: int) -> RunProgress:
        """Returns what the recorded reports of a run say."""
        record = self._steps.get(_get_step_name(task), {}).get(task.index)
        if record is None or record.run != run:
            return RunProgress()
        return record.progress

    def record_done(
        self, task: model.TaskKey, run: int, time: datetime.timedelta
    ) -> None:
        """Records that a run was done at a monotonic time."""
        record = self._steps.get(_get_step_name(task), {}).get(task.index)
        if record is not None and record.run == run:
            record.complete(time)

    def retain_steps(self, is_unfinished: Callable[[StepName], bool]) -> None:
        """Discards the records of steps that are finished."""
        for name in list(self._steps):
            if not is_unfinished(name):
                del self._steps[name]

    def compute_peer_rate(self, step: StepName) -> float | None:
        """Returns the median of the best rates of a step's tasks.

        None if it was measured for too few of them.
        """
        rates = [
            record.progress.best_rate
            for record in self._steps.get(step, {}).values()
            if record.progress.best_rate is not None
        ]
        if len(rates) < _MIN_PEERS:
            return None
        return statistics.median(rates)


def _get_step_name(task: model.TaskKey) -> StepName:
    return (task.job, task.occurrence, task.step)
