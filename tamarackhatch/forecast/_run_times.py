"""Run times by kind of task, learned from runs that are done.

Answers the load of long-tailed run times and of submitters' estimates that are
off by a factor of ten.
"""

import collections
from collections.abc import Sequence
import datetime
import enum
import typing

import attrs

from tamarackhatch.forecast import _distribution
from tamarackhatch.forecast import _sketch

_SECOND = datetime.timedelta(seconds=1)
# With fewer runs, the next weaker evidence counts.
_MIN_STEP_RUNS = 3
_MIN_KIND_WEIGHT = 3.0
# Images and queues are named by callers; the memory must stay bounded.
_MAX_KINDS = 4_096
_MAX_STEPS = 4_096
# An estimate counts for a quarter of the runs as twice, and for a quarter as
# half as long; submitters' estimates are off by up to 0.9.
_ESTIMATE_SPREAD = ((0.5, 1.0), (1.0, 2.0), (2.0, 1.0))
_LOW, _MEDIAN, _HIGH = 0.25, 0.5, 0.9
# Progress is reported in whole per cent, and a run needs time to begin.
_MIN_PERCENT = 10
_DONE_PERCENT = 100
# Reports of an end are late by up to this.
_MIN_REMAINING = datetime.timedelta(milliseconds=10)

StepName = tuple[str, int, int]
RunKind = tuple[str, str, int]
_Value = typing.TypeVar("_Value")


class Evidence(enum.Enum):
    """What an estimate is based on, from the strongest on.

    Attributes:
        STEP: Other tasks of the same step.
        KIND: Tasks of the same queue, image and position of the step.
        ESTIMATE: The submitter's estimate.
    """

    STEP = "step"
    KIND = "kind"
    ESTIMATE = "estimate"


@attrs.frozen
class StepWork:
    """What the run time of a step's tasks depends on.

    Attributes:
        name: Job, occurrence and index of the step.
        kind: Queue, image and index of the step.
        estimate: The submitter's estimate; zero if there is none.
    """

    name: StepName
    kind: RunKind
    estimate: datetime.timedelta = datetime.timedelta()


@attrs.frozen
class RunTime:
    """Quantiles of the run time of a task near its data.

    Attributes:
        low: Run time that a quarter of the runs does not exceed.
        median: The same for half of them.
        high: The same for nine tenths.
        evidence: What they are based on.
    """

    low: datetime.timedelta
    median: datetime.timedelta
    high: datetime.timedelta
    evidence: Evidence


@attrs.frozen
class RunInProgress:
    """A run of which the remaining time is asked for.

    Attributes:
        work: Step of its task.
        began: Monotonic time at which it began.
        slowdown: Factor by which it takes longer where it runs.
        percent: Progress in the last report, 0 to 100.
        reported_at: Monotonic time of that report; None without one.
        rate: Its present progress in per cent per second; None if it was not
            measured.
        is_partial: Whether it may have resumed from a checkpoint, or have
            begun earlier, so that its average rate is not known.
    """

    work: StepWork
    began: datetime.timedelta
    slowdown: float = 1.0
    percent: int = 0
    reported_at: datetime.timedelta | None = None
    rate: float | None = None
    is_partial: bool = False


@attrs.define
class _StepRecord:
    """Run times of the tasks of one step that are done, in seconds."""

    run_times: list[float] = attrs.field(factory=list)
    distribution: _distribution.Distribution | None = None


class RunTimeModel:
    """Run times of all kinds of tasks; in memory only."""

    def __init__(self) -> None:
        self._kinds: collections.OrderedDict[RunKind, _sketch.RunTimeSketch]
        self._kinds = collections.OrderedDict()
        self._steps: collections.OrderedDict[StepName, _StepRecord]
        self._steps = collections.OrderedDict()

    def record_run(
        self,
        work: StepWork,
        duration: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Records a whole run that was done at a monotonic time.

        Args:
            work: Step of its task.
            duration: Run time that it would have had near its data.
            now: Monotonic time.
        """
        seconds = duration / _SECOND
        step = self._steps.get(work.name)
        if step is None:
            step = self._steps[work.name] = _StepRecord()
            _drop_oldest(self._steps, _MAX_STEPS)
        step.run_times.append(seconds)
        step.distribution = None
        sketch = self._kinds.get(work.kind)
        if sketch is None:
            sketch = _sketch.RunTimeSketch(now)
            self._kinds[work.kind] = sketch
            _drop_oldest(self._kinds, _MAX_KINDS)
        self._kinds.move_to_end(work.kind)
        sketch.record(seconds, now)

    def estimate_run_time(
        self,
        work: StepWork,
        now: datetime.timedelta,
        projections: Sequence[datetime.timedelta] = (),
    ) -> RunTime | None:
        """Returns quantiles of the run time of a step's tasks.

        Args:
            work: The step.
            now: Monotonic time.
            projections: Run times of other tasks of the step that run now, as
                projected from their progress.

        Returns:
            The quantiles; None if nothing is known.
        """
        found = self._find_distribution(work, now, projections)
        if found is None:
            return None
        distribution, evidence = found
        low, median, high = (
            distribution.compute_quantile(share) * _SECOND
            for share in (_LOW, _MEDIAN, _HIGH)
        )
        return RunTime(low, median, high, evidence)

    def estimate_remaining(
        self, run: RunInProgress, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns the expected remaining time of a run.

        None if it does not proceed, or if nothing is known.
        """
        remaining = _project_remaining(run, now)
        if remaining is None:
            if run.rate is not None and run.rate <= 0:
                return None
            found = self._find_distribution(run.work, now, ())
            if found is None:
                return None
            age = (now - run.began) / _SECOND / run.slowdown
            remaining = (
                found[0].estimate_remaining(max(0.0, age))
                * run.slowdown
                * _SECOND
            )
        return max(_MIN_REMAINING, remaining)

    def _find_distribution(
        self,
        work: StepWork,
        now: datetime.timedelta,
        projections: Sequence[datetime.timedelta],
    ) -> tuple[_distribution.Distribution, Evidence] | None:
        step = self._steps.get(work.name)
        done = step.run_times if step is not None else []
        if step is not None and len(done) >= _MIN_STEP_RUNS:
            if step.distribution is None:
                step.distribution = _distribution.Distribution(
                    (seconds, 1.0) for seconds in done
                )
            return step.distribution, Evidence.STEP
        if len(done) + len(projections) >= _MIN_STEP_RUNS:
            projected = [projection / _SECOND for projection in projections]
            return (
                _distribution.Distribution(
                    (seconds, 1.0) for seconds in [*done, *projected]
                ),
                Evidence.STEP,
            )
        sketch = self._kinds.get(work.kind)
        if (
            sketch is not None
            and sketch.compute_weight(now) >= _MIN_KIND_WEIGHT
        ):
            return sketch.get_distribution(), Evidence.KIND
        if not work.estimate:
            return None
        seconds = work.estimate / _SECOND
        return (
            _distribution.Distribution(
                (factor * seconds, weight)
                for factor, weight in _ESTIMATE_SPREAD
            ),
            Evidence.ESTIMATE,
        )


def project_run_time(run: RunInProgress) -> datetime.timedelta | None:
    """Returns the whole run time near its data that its progress suggests.

    None if the run has made too little progress, or may have begun earlier.
    """
    if (
        run.reported_at is None
        or run.is_partial
        or not _MIN_PERCENT <= run.percent < _DONE_PERCENT
    ):
        return None
    elapsed = run.reported_at - run.began
    return elapsed * (_DONE_PERCENT / run.percent / run.slowdown)


def _project_remaining(
    run: RunInProgress, now: datetime.timedelta
) -> datetime.timedelta | None:
    """Returns the remaining time by progress; None if that is not known."""
    if run.reported_at is None or run.percent >= _DONE_PERCENT:
        return None
    since = now - run.reported_at
    if run.rate is not None and run.rate > 0:
        return (_DONE_PERCENT - run.percent) / run.rate * _SECOND - since
    if run.rate is not None:
        return None
    projected = project_run_time(run)
    if projected is None:
        return None
    return projected * run.slowdown - (now - run.began)


def _drop_oldest(
    records: "collections.OrderedDict[typing.Any, _Value]", limit: int
) -> None:
    if len(records) > limit:
        records.popitem(last=False)
