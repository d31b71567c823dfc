"""Jobs, their tasks, and the changes that events bring to them."""

from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
# Runs of a term are numbered above those of earlier terms, because a
# scheduler does not know all runs that its predecessors started.
_RUNS_PER_TERM = 1000

StepName = tuple[str, int, int]
StopCommand = Callable[[_state.TaskEntry], None]
JobMark = Callable[[_state.JobEntry], int]


class JobTracker:
    """All jobs that are not finished.

    Methods are called from one event loop and never wait. Commands and writes
    that follow from a change are handed to callbacks.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        term: int,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        self._clock = time_source
        self._first_run = (term - 1) * _RUNS_PER_TERM + 1
        self._log = log
        self._metrics = metrics
        self._jobs: dict[str, _state.JobEntry] = {}
        self._waiting: dict[StepName, dict[int, _state.TaskEntry]] = {}
        self._scheduled: set[str] = set()
        self._mark: JobMark = lambda job: 0
        self._stop: StopCommand = lambda task: None
        self._wake: Callable[[], None] = lambda: None
        self._on_finished: Callable[[_state.JobEntry], None]
        self._on_finished = lambda job: None

    def connect(
        self,
        mark: JobMark,
        stop: StopCommand,
        wake: Callable[[], None],
        on_finished: Callable[[_state.JobEntry], None],
    ) -> None:
        """Sets the callbacks.

        Args:
            mark: Requests that a job's progress be written, and returns the
                writer's generation.
            stop: Sends the command that stops a task.
            wake: Announces tasks that wait.
            on_finished: Announces jobs that are finished.
        """
        self._on_finished = on_finished
        self._mark = mark
        self._stop = stop
        self._wake = wake

    @property
    def waiting(self) -> dict[StepName, dict[int, _state.TaskEntry]]:
        """Tasks that wait for a runner, by step and index."""
        return self._waiting

    def find_task(self, key: model.TaskKey) -> _state.TaskEntry | None:
        """Returns the task of a key; None if it is not known."""
        job = self._jobs.get(key.job)
        occurrence = job and job.occurrences.get(key.occurrence)
        if not occurrence or key.step >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[key.step]
        return tasks[key.index] if key.index < len(tasks) else None

    def has_job(self, identifier: str) -> bool:
        """Tells whether a job is known."""
        return identifier in self._jobs

    def remove_job(self, identifier: str) -> None:
        """Drops a finished job whose rows are removed."""
        entry = self._jobs.get(identifier)
        if entry is not None and entry.state.is_final:
            del self._jobs[identifier]

    def count_pending(self) -> dict[str, int]:
        """Returns for each queue the jobs of which no task has started."""
        counts: dict[str, int] = {}
        for job in self._jobs.values():
            if not job.has_started and not job.state.is_final:
                name = job.job.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts

    def add_job(
        self,
        job: model.Job,
        version: int,
        progress: records.JobProgress | None = None,
    ) -> None:
        """Takes in a job that was accepted, unless it is known."""
        if job.identifier in self._jobs:
            return
        entry = _state.JobEntry(job, version)
        self._jobs[job.identifier] = entry
        entry.order = (
            job.queue.priority,
            (job.accepted - _EPOCH).total_seconds(),
        )
        if progress is not None:
            entry.state = progress.state
            entry.has_started = progress.state is not model.JobState.QUEUED
            entry.finished = entry.next_occurrence = progress.finished
            if entry.state.is_final:
                self._on_finished(entry)
                return
        self._log.info(
            "job_added",
            job=job.identifier,
            queue=job.queue.name,
            version=version,
            tasks=sum(step.count for step in job.steps),
        )
        if job.schedule is not None:
            self._scheduled.add(job.identifier)
            if progress is not None:
                for number in sorted(progress.occurrences):
                    self._open(entry, number, progress.occurrences[number])
            self.open_due_occurrences()
        else:
            known = None if progress is None else progress.occurrences.get(0)
            self._open(entry, 0, known)

    def open_due_occurrences(self) -> None:
        """Opens the occurrences of scheduled jobs whose time has come."""
        now = self._clock.get_utc()
        for identifier in list(self._scheduled):
            entry = self._jobs[identifier]
            schedule = entry.job.schedule
            assert schedule is not None
            while (
                not entry.state.is_final
                and entry.next_occurrence < schedule.count
                and schedule.get_due(entry.next_occurrence) <= now
            ):
                self._open(entry, entry.next_occurrence, None)
            if entry.state.is_final or entry.next_occurrence == schedule.count:
                self._scheduled.discard(identifier)

    def _open(
        self,
        entry: _state.JobEntry,
        number: int,
        progress: records.OccurrenceProgress | None,
    ) -> None:
        occurrence = _state.build_occurrence(entry, number, progress)
        entry.occurrences[number] = occurrence
        entry.next_occurrence = max(entry.next_occurrence, number + 1)
        self._unblock(occurrence)
        self._close_finished(entry)

    def cancel_job(self, identifier: str) -> None:
        """Stops all tasks of a job, because a caller cancelled it."""
        entry = self._jobs.get(identifier)
        if entry is None or entry.state.is_final:
            return
        entry.is_cancelled = True
        self._log.info("job_cancelled", job=identifier)
        self._finish_job(entry, model.JobState.CANCELLED)

    def allocate_run(self, task: _state.TaskEntry) -> int:
        """Numbers the next run of a task."""
        task.run = max(task.run + 1, self._first_run)
        return task.run

    def begin_start(
        self, task: _state.TaskEntry, runner: _fleet.RunnerEntry
    ) -> None:
        """Reserves capacity for a task whose start is about to be sent."""
        self._remove_waiting(task)
        runner.assign(task)
        task.speed_limit_percent = 100
        task.percent = 0
        task.ready_since = None
        task.confirmed = None
        self._enter(task, _state.TaskPhase.STARTING)

    def confirm_run(
        self, task: _state.TaskEntry, runner: _fleet.RunnerEntry
    ) -> None:
        """Notes that a run of a task exists on a runner."""
        if task.runner is None:
            self._remove_waiting(task)
            runner.assign(task)
            # An earlier scheduler has started it, and may have slowed it.
            task.speed_limit_percent = None
        task.confirmed = self._clock.get_monotonic()
        if task.phase is _state.TaskPhase.STOPPING:
            return
        if task.phase is _state.TaskPhase.STARTING:
            waited = task.confirmed - task.since
            self._metrics.start_seconds.observe(waited.total_seconds())
        if task.phase is not _state.TaskPhase.RUNNING:
            runner.record_working(task, task.confirmed)
        self._enter(task, _state.TaskPhase.RUNNING)
        entry = task.job
        if not entry.has_started:
            entry.has_started = True
            entry.state = model.JobState.RUNNING
            self._mark(entry)

    def withdraw_start(self, task: _state.TaskEntry) -> None:
        """Lets a task wait again, because its run never began."""
        if task.runner is not None:
            task.runner.release(task, self._clock.get_monotonic())
        self._requeue(task)

    def evict(self, task: _state.TaskEntry, reason: str) -> None:
        """Stops a run of a task, which then waits for another runner."""
        if task.phase not in (
            _state.TaskPhase.STARTING,
            _state.TaskPhase.RUNNING,
        ):
            return
        self._log.info(
            "task_evicted",
            task=str(task.key),
            run=task.run,
            runner=task.runner and task.runner.identifier,
            reason=reason,
        )
        self._enter(task, _state.TaskPhase.STOPPING)
        self._stop(task)

    def lose_run(self, task: _state.TaskEntry, reason: str) -> None:
        """Notes that a run has exited without an exit in a list."""
        self._log.info(
            "run_lost",
            task=str(task.key),
            run=task.run,
            runner=task.runner and task.runner.identifier,
            reason=reason,
        )
        self._metrics.run_exits.labels("lost").inc()
        if task.runner is not None:
            task.runner.release(task, self._clock.get_monotonic())
        task.last_exited_run = max(task.last_exited_run, task.run)
        self._requeue(task)

    def record_exit(
        self,
        task: _state.TaskEntry,
        run_exit: model.RunExit,
        runner: _fleet.RunnerEntry,
    ) -> int:
        """Takes the exit of a task's latest run into account.

        Returns:
            The writer's generation in which it becomes durable.
        """
        self._metrics.run_exits.labels(run_exit.reason.value).inc()
        self._log.info(
            "run_ended",
            task=str(task.key),
            run=run_exit.run,
            runner=runner.identifier,
            how=run_exit.reason.value,
            number=run_exit.number,
            phase=task.phase.value,
            failures=task.failures,
        )
        task.is_opened_in_term = task.runner is runner
        if task.runner is not None:
            task.runner.release(task, self._clock.get_monotonic())
        else:
            self._remove_waiting(task)
        task.run = max(task.run, run_exit.run)
        task.last_exited_run = max(task.last_exited_run, run_exit.run)
        entry = task.job
        is_done = run_exit.reason is model.ExitReason.DONE
        if task.phase is _state.TaskPhase.DONE or entry.state.is_final:
            self._enter(task, _state.TaskPhase.DONE)
        elif is_done and not task.step.is_long_running:
            self._complete(task)
        else:
            self._record_broken_run(task, run_exit, runner)
        if not entry.has_started and not entry.state.is_final:
            entry.has_started = True
            entry.state = model.JobState.RUNNING
        return self._mark(entry)

    def _record_broken_run(
        self,
        task: _state.TaskEntry,
        run_exit: model.RunExit,
        runner: _fleet.RunnerEntry,
    ) -> None:
        if run_exit.checkpoint:
            task.checkpoint = run_exit.checkpoint
        if run_exit.reason is model.ExitReason.FAILED:
            task.failed_on |= {runner.identifier}
            if not task.step.is_long_running:
                task.failed_runs |= {run_exit.run}
        if not self._fail_job_at_limit(task):
            self._requeue(task)

    def record_old_exit(
        self,
        task: _state.TaskEntry,
        run_exit: model.RunExit,
        runner: _fleet.RunnerEntry,
    ) -> int:
        """Takes the exit of an earlier run of a task into account.

        Such an exit is listed by a runner that was silent for longer than its
        lease, or to a scheduler that reads several lists after a takeover.
        Only a failure changes anything: it counts as an attempt.

        Returns:
            The writer's generation in which it becomes durable.
        """
        if (
            run_exit.reason is not model.ExitReason.FAILED
            or run_exit.run in task.failed_runs
            or task.step.is_long_running
            or task.phase is _state.TaskPhase.DONE
            or task.job.state.is_final
        ):
            return 0
        task.failed_runs |= {run_exit.run}
        self._log.info(
            "old_run_failed",
            task=str(task.key),
            run=run_exit.run,
            runner=runner.identifier,
            failures=task.failures,
        )
        self._fail_job_at_limit(task)
        return self._mark(task.job)

    def _fail_job_at_limit(self, task: _state.TaskEntry) -> bool:
        """Fails the job of a task that has used up its attempts."""
        limit = task.job.job.queue.max_attempts
        if task.failures < limit:
            return False
        self._log.info(
            "job_failed",
            job=task.key.job,
            task=str(task.key),
            failures=task.failures,
            limit=limit,
        )
        self._finish_job(task.job, model.JobState.FAILED)
        return True

    def _complete(self, task: _state.TaskEntry) -> None:
        self._enter(task, _state.TaskPhase.DONE)
        task.checkpoint = ""
        entry = task.job
        occurrence = entry.occurrences[task.key.occurrence]
        if task.step.is_gang:
            # The exit of one member stands for all of them.
            occurrence.remaining[task.key.step] = 0
            for member in occurrence.steps[task.key.step]:
                self._remove_waiting(member)
                if not member.is_placed:
                    self._enter(member, _state.TaskPhase.DONE)
                elif member.phase is not _state.TaskPhase.DONE:
                    member.phase = _state.TaskPhase.DONE
        else:
            occurrence.remaining[task.key.step] -= 1
        if occurrence.remaining[task.key.step] == 0:
            occurrence.is_opened_in_term = task.is_opened_in_term
            self._unblock(occurrence)
            self._close_finished(entry)

    def _close_finished(self, entry: _state.JobEntry) -> None:
        while (
            entry.finished in entry.occurrences
            and entry.occurrences[entry.finished].is_finished
        ):
            del entry.occurrences[entry.finished]
            entry.finished += 1
        if entry.finished == entry.job.occurrences:
            self._log.info("job_completed", job=entry.identifier)
            self._finish_job(entry, model.JobState.COMPLETED)

    def _finish_job(
        self, entry: _state.JobEntry, state: model.JobState
    ) -> None:
        entry.state = state
        for task in entry.iterate_tasks():
            self._remove_waiting(task)
            if task.is_placed and task.phase in (
                _state.TaskPhase.STARTING,
                _state.TaskPhase.RUNNING,
            ):
                self._enter(task, _state.TaskPhase.STOPPING)
                self._stop(task)
            elif not task.is_placed:
                self._enter(task, _state.TaskPhase.DONE)
        self._mark(entry)
        self._on_finished(entry)

    def _unblock(self, occurrence: _state.OccurrenceEntry) -> None:
        for step_index, tasks in enumerate(occurrence.steps):
            step = tasks[0].step
            if any(occurrence.remaining[before] for before in step.after):
                continue
            for task in tasks:
                if task.phase is _state.TaskPhase.BLOCKED:
                    task.is_opened_in_term = occurrence.is_opened_in_term
                    self._requeue(task)

    def _requeue(self, task: _state.TaskEntry) -> None:
        entry = task.job
        if entry.state.is_final or task.phase is _state.TaskPhase.DONE:
            self._enter(task, _state.TaskPhase.DONE)
            return
        task.confirmed = None
        key = task.key
        occurrence = entry.occurrences[key.occurrence]
        if any(occurrence.remaining[before] for before in task.step.after):
            self._enter(task, _state.TaskPhase.BLOCKED)
            return
        self._enter(task, _state.TaskPhase.WAITING)
        name = (key.job, key.occurrence, key.step)
        self._waiting.setdefault(name, {})[key.index] = task
        self._wake()

    def _remove_waiting(self, task: _state.TaskEntry) -> None:
        key = task.key
        name = (key.job, key.occurrence, key.step)
        group = self._waiting.get(name)
        if group is not None and group.pop(key.index, None) is not None:
            if not group:
                del self._waiting[name]

    def _enter(self, task: _state.TaskEntry, phase: _state.TaskPhase) -> None:
        task.phase = phase
        task.since = self._clock.get_monotonic()
