"""Reports tasks that have run twice, as the reports of runners show it."""

import collections
import datetime
import enum

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state

# About 50 s of a scheduler that completes 100 tasks a second.
_MAX_DONE_RUNS = 5_000
_MAX_KNOWN_REPETITIONS = 1_000
_MAX_LINES_PER_WINDOW = 10
_WINDOW = datetime.timedelta(seconds=10)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Form(enum.Enum):
    """How a task ran twice.

    Attributes:
        AT_ONCE: A run is listed while the task runs elsewhere, or was begun
            before another run was done.
        AFTER_DONE: A run is listed that was begun after another one was done,
            or was done itself after or before that one.
    """

    AT_ONCE = "at once"
    AFTER_DONE = "after done"


@attrs.frozen
class _OtherRun:
    """The run that counts, beside a repeated one.

    Attributes:
        run: Number of the run; None if it was done in an earlier term.
        runner: Identifier of its runner; None as above.
        since: Monotonic time at which it was placed, or seen to be done;
            None as above.
        incarnation: Incarnation of the runner; 0 if it is not known.
    """

    run: int | None = None
    runner: str | None = None
    since: datetime.timedelta | None = None
    incarnation: int = 0

    def is_same(self, run: int, entry: _fleet.RunnerEntry) -> bool:
        """Returns whether it is a run that a runner lists.

        A late start repeats a run on another incarnation under its number.
        """
        return (self.run, self.runner, self.incarnation) == (
            run,
            entry.identifier,
            entry.incarnation,
        )


class RepeatedRunRecorder:
    """Logs and counts repeated runs, each once."""

    def __init__(
        self,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        # The latest entries, in the order in which they came.
        self._done: collections.OrderedDict[model.TaskKey, _OtherRun]
        self._done = collections.OrderedDict()
        self._known: collections.OrderedDict[tuple[object, ...], None]
        self._known = collections.OrderedDict()
        self._window_start = time_source.get_monotonic()
        self._lines_in_window = 0
        self._omitted_lines = 0

    def record_running(
        self,
        entry: _fleet.RunnerEntry,
        item: model.RunningTask,
        task: _state.TaskEntry | None,
        job: _state.JobEntry | None,
    ) -> None:
        """Records a listed run that belongs to no task on its runner.

        Args:
            entry: The runner that lists it.
            item: The run.
            task: Its task; None if the task is not known any more.
            job: Its job; None if the job is not known.
        """
        other = self._done.get(item.task)
        if other is not None and other.run is not None:
            if not other.is_same(item.run, entry):
                is_later = item.run >= other.run
                form = Form.AFTER_DONE if is_later else Form.AT_ONCE
                self._record(form, "running", entry, item, other)
        elif job is not None and job.state is model.JobState.COMPLETED:
            self._record(Form.AFTER_DONE, "running", entry, item, _OtherRun())
        elif task is not None and _runs_elsewhere(task, entry):
            self._record(Form.AT_ONCE, "running", entry, item, _get_run(task))

    def record_exit(
        self,
        entry: _fleet.RunnerEntry,
        run_exit: model.RunExit,
        task: _state.TaskEntry | None,
    ) -> None:
        """Records an exit, which repeats a task if it was done before.

        Must be called before the exit is applied.

        Args:
            entry: The runner that lists it.
            run_exit: The exit.
            task: Its task; None if the task is not known any more.
        """
        if run_exit.reason is not model.ExitReason.DONE:
            return
        if task is not None and task.step.is_long_running:
            return
        other = self._done.get(run_exit.task)
        if other is not None:
            if not other.is_same(run_exit.run, entry):
                self._record(Form.AFTER_DONE, "done", entry, run_exit, other)
            return
        if task is not None and _runs_elsewhere(task, entry):
            self._record(
                Form.AFTER_DONE, "done", entry, run_exit, _get_run(task)
            )
        self._done[run_exit.task] = _OtherRun(
            run_exit.run,
            entry.identifier,
            self._clock.get_monotonic(),
            entry.incarnation,
        )
        if len(self._done) > _MAX_DONE_RUNS:
            self._done.popitem(last=False)

    def _record(
        self,
        form: Form,
        state: str,
        entry: _fleet.RunnerEntry,
        repeated: model.RunningTask | model.RunExit,
        other: _OtherRun,
    ) -> None:
        key = (
            repeated.task,
            repeated.run,
            entry.identifier,
            entry.incarnation,
        )
        if key in self._known:
            return
        self._known[key] = None
        if len(self._known) > _MAX_KNOWN_REPETITIONS:
            self._known.popitem(last=False)
        self._metrics.repeated_runs.labels(form.value).inc()
        now = self._clock.get_monotonic()
        if now - self._window_start >= _WINDOW:
            self._window_start, self._lines_in_window = now, 0
        if self._lines_in_window >= _MAX_LINES_PER_WINDOW:
            self._omitted_lines += 1
            return
        self._lines_in_window += 1
        omitted, self._omitted_lines = self._omitted_lines, 0
        self._log.warning(
            "repeated_run_found",
            form=form.value,
            task=str(repeated.task),
            run=repeated.run,
            state=state,
            runner=entry.identifier,
            incarnation=entry.incarnation,
            other_run=other.run,
            other_runner=other.runner,
            other_since_ms=_count_ms(now, other.since),
            restarted_ms=_count_ms(now, entry.restarted_at),
            answering_again_ms=_count_ms(now, entry.answering_again_at),
            omitted_lines=omitted,
        )


def _runs_elsewhere(task: _state.TaskEntry, entry: _fleet.RunnerEntry) -> bool:
    return task.runner is not None and task.runner is not entry


def _get_run(task: _state.TaskEntry) -> _OtherRun:
    assert task.runner is not None
    return _OtherRun(task.run, task.runner.identifier, task.placed_at)


def _count_ms(
    now: datetime.timedelta, since: datetime.timedelta | None
) -> int | None:
    return None if since is None else (now - since) // _MILLISECOND
