"""State of unfinished jobs and tasks, and its transitions."""

from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.scheduler import _cancellations
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _occurrences
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _task_phases

# Run numbers of a term are above those of earlier terms, because a scheduler
# does not know all runs that its predecessors started.
_RUNS_PER_TERM = 1000


class JobTracker:
    """Tracks all jobs that are not finished.

    No method waits. Commands and writes that follow from a change are
    requested through callbacks.
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
        self._phases = _task_phases.TaskPhases(time_source)
        self._occurrences = _occurrences.OccurrenceTracker(
            time_source, self._phases, log, metrics
        )
        self._cancellations = _cancellations.Cancellations(
            self._jobs, self._occurrences.finish_job, log
        )
        self._synced_until: datetime.timedelta | None = None
        self._request_write: _occurrences.WriteRequest = lambda job: 0
        self._stop_task: _occurrences.StopCommand = lambda task: None
        self._on_finished: Callable[[_state.JobEntry], None]
        self._on_finished = lambda job: None

    def set_callbacks(
        self,
        request_write: _occurrences.WriteRequest,
        stop_task: _occurrences.StopCommand,
        wake: Callable[[], None],
        on_finished: Callable[[_state.JobEntry], None],
    ) -> None:
        """Sets the callbacks.

        Args:
            request_write: Requests that a job's progress be written, and
                returns the writer's generation.
            stop_task: Sends the command that stops a task.
            wake: Called when a task starts to wait for a runner.
            on_finished: Called with each finished job.
        """
        self._on_finished = on_finished
        self._request_write, self._stop_task = request_write, stop_task
        self._phases.set_callback(wake)
        self._occurrences.set_callbacks(request_write, stop_task, on_finished)

    @property
    def cancellations(self) -> _cancellations.Cancellations:
        """Ends jobs that callers have cancelled."""
        return self._cancellations

    @property
    def waiting(
        self,
    ) -> dict[_task_phases.StepName, dict[int, _state.TaskEntry]]:
        """Tasks that wait for a runner, by step and index."""
        return self._phases.waiting

    def find_task(self, key: model.TaskKey) -> _state.TaskEntry | None:
        """Returns the task with a key, or None if it is unknown."""
        job = self._jobs.get(key.job)
        occurrence = job and job.occurrences.get(key.occurrence)
        if not occurrence or key.step >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[key.step]
        return tasks[key.index] if key.index < len(tasks) else None

    def find_step(self, key: model.TaskKey) -> model.Step | None:
        """Returns the step of a task, or None if the job is unknown."""
        job = self._jobs.get(key.job)
        if job is None or key.step >= len(job.job.steps):
            return None
        return job.job.steps[key.step]

    def has_job(self, identifier: str) -> bool:
        """Returns whether a job is known."""
        return identifier in self._jobs

    def find_job(self, identifier: str) -> _state.JobEntry | None:
        """Returns a job, or None if it is unknown."""
        return self._jobs.get(identifier)

    def needs_service(self, name: str) -> bool:
        """Returns whether a job needs the runners of a service."""
        return any(
            entry.job.queue.service == name for entry in self._jobs.values()
        )

    def mark_synced(self, time: datetime.timedelta) -> None:
        """Records that all jobs stored before a monotonic time were read."""
        self._synced_until = time

    def may_be_unread(self, identifier: str, time: datetime.timedelta) -> bool:
        """Returns whether an unknown job may have existed at a time."""
        return identifier not in self._jobs and (
            self._synced_until is None or self._synced_until <= time
        )

    def remove_job(self, identifier: str) -> None:
        """Removes a finished job whose rows were removed."""
        entry = self._jobs.get(identifier)
        if entry is not None and entry.state.is_final:
            del self._jobs[identifier]

    def count_pending(self) -> dict[str, int]:
        """Counts unfinished jobs without a started task, by queue."""
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
        """Adds an accepted job, unless it is known.

        Args:
            job: The job.
            version: Version of its row.
            progress: Its durable progress; None if it has none.
        """
        if job.identifier in self._jobs:
            return
        entry = _state.JobEntry(job, version)
        self._jobs[job.identifier] = entry
        entry.order = _state.compute_order(job)
        if progress is not None:
            entry.state = progress.state
            entry.has_started = progress.state is not model.JobState.QUEUED
            entry.finished_occurrences = entry.next_occurrence = (
                progress.finished_occurrences
            )
            entry.progress_parts = progress.parts
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
        known = {} if progress is None else progress.occurrences
        for number in sorted(known):
            if entry.finished_occurrences <= number < job.occurrences:
                self._occurrences.hold_occurrence(entry, number, known[number])
        if job.schedule is not None:
            self._occurrences.add_scheduled_job(entry)
            self.open_due_occurrences()
        else:
            self._occurrences.open_next_occurrence(entry)
        self._cancellations.apply_early(job.identifier)

    def open_due_occurrences(self) -> None:
        """Opens the occurrences of scheduled jobs whose time has come."""
        self._occurrences.open_due_occurrences()

    def hold_reported_occurrence(self, key: model.TaskKey) -> None:
        """Adds the occurrence of a listed task, if it is unknown."""
        entry = self._jobs.get(key.job)
        if entry is not None and key.occurrence not in entry.occurrences:
            self._occurrences.hold_reported_occurrence(entry, key)

    def allocate_run(self, task: _state.TaskEntry) -> int:
        """Returns the number of the next run of a task."""
        task.run = max(task.run + 1, self._first_run)
        return task.run

    def begin_start(
        self, task: _state.TaskEntry, runner: _fleet.RunnerEntry
    ) -> None:
        """Reserves capacity for a task before its start command is sent."""
        self._phases.remove_waiting(task)
        runner.assign_task(task)
        task.placed_at = self._clock.get_monotonic()
        task.is_adopted = False
        task.speed_limit_percent = 100
        task.progress_percent = 0
        task.progress_reported_at = None
        task.ready_since = None
        task.confirmed = None
        self._phases.enter_phase(task, _state.TaskPhase.STARTING)

    def confirm_run(
        self, task: _state.TaskEntry, runner: _fleet.RunnerEntry
    ) -> None:
        """Records that the latest run of a task exists on a runner."""
        if task.runner is None:
            self._phases.remove_waiting(task)
            runner.assign_task(task)
            task.placed_at = self._clock.get_monotonic()
            task.is_adopted = True
            # An earlier scheduler started the run and may have throttled it.
            task.speed_limit_percent = None
        task.confirmed = self._clock.get_monotonic()
        if task.phase is _state.TaskPhase.STOPPING:
            return
        if task.phase is _state.TaskPhase.STARTING:
            waited = task.confirmed - task.phase_since
            self._metrics.start_seconds.observe(waited.total_seconds())
        task.waiting_since = None
        task.near_wait = None
        task.departure = None
        if task.phase is not _state.TaskPhase.RUNNING:
            runner.record_running_task(task, task.confirmed)
        self._phases.enter_phase(task, _state.TaskPhase.RUNNING)
        entry = task.job
        if not entry.has_started:
            entry.has_started = True
            entry.state = model.JobState.RUNNING
            self._request_write(entry)

    def undo_start(self, task: _state.TaskEntry) -> None:
        """Requeues a task whose run was never started."""
        if task.runner is not None:
            task.runner.release_task(task, self._clock.get_monotonic())
        self._phases.requeue_task(task)

    def evict_task(self, task: _state.TaskEntry, reason: str) -> None:
        """Stops the run of a task, which is queued again after its exit."""
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
        self._phases.enter_phase(task, _state.TaskPhase.STOPPING)
        self._stop_task(task)

    def record_lost_run(self, task: _state.TaskEntry, reason: str) -> None:
        """Records that a run ended although no runner reported its exit."""
        self._log.info(
            "run_lost",
            task=str(task.key),
            run=task.run,
            runner=task.runner and task.runner.identifier,
            reason=reason,
        )
        self._metrics.run_exits.labels("lost").inc()
        if task.runner is not None:
            task.runner.release_task(task, self._clock.get_monotonic())
        task.last_exited_run = max(task.last_exited_run, task.run)
        self._phases.requeue_task(task)

    def record_exit(
        self,
        task: _state.TaskEntry,
        run_exit: model.RunExit,
        runner: _fleet.RunnerEntry,
    ) -> int:
        """Records the exit of a task's latest run.

        Returns:
            The writer's generation in which the exit becomes durable.
        """
        self._metrics.run_exits.labels(run_exit.reason.value).inc()
        self._log.info(
            "run_exited",
            task=str(task.key),
            run=run_exit.run,
            runner=runner.identifier,
            exit_reason=run_exit.reason.value,
            exit_number=run_exit.number,
            phase=task.phase.value,
            failures=task.failures,
        )
        # A run whose exit is listed has not ended by a crash.
        task.crashes.pop(run_exit.run, None)
        task.is_unblocked_in_term = (
            task.runner is runner
            and runner.reports_exclusively(self._clock.get_monotonic())
        )
        if task.runner is not None:
            task.runner.release_task(task, self._clock.get_monotonic())
        else:
            self._phases.remove_waiting(task)
        task.waiting_since = None
        task.run = max(task.run, run_exit.run)
        task.last_exited_run = max(task.last_exited_run, run_exit.run)
        entry = task.job
        is_done = run_exit.reason is model.ExitReason.DONE
        if task.phase is _state.TaskPhase.DONE or entry.state.is_final:
            self._phases.enter_phase(task, _state.TaskPhase.DONE)
        elif is_done and not task.step.is_long_running:
            self._occurrences.complete_task(task)
        else:
            self._record_unsuccessful_exit(task, run_exit, runner)
        if not entry.has_started and not entry.state.is_final:
            entry.has_started = True
            entry.state = model.JobState.RUNNING
        return self._write_task(task)

    def _record_unsuccessful_exit(
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
        if not self._occurrences.fail_job_at_limit(task):
            self._phases.requeue_task(task)

    def record_earlier_exit(
        self,
        task: _state.TaskEntry,
        run_exit: model.RunExit,
        runner: _fleet.RunnerEntry,
    ) -> int:
        """Records the exit of an earlier run of a task.

        A runner reports one after it did not answer for longer than its
        lease, or after a takeover. A failure counts as an attempt; a success
        completes a task that was not started again.

        Returns:
            The writer's generation in which the exit becomes durable; 0 if
            nothing has to be written.
        """
        self.retract_crash(task, run_exit.run)
        if (
            task.step.is_long_running
            or task.phase is _state.TaskPhase.DONE
            or task.job.state.is_final
        ):
            return 0
        if run_exit.reason is model.ExitReason.DONE:
            return self._record_late_success(task, run_exit, runner)
        if (
            run_exit.reason is not model.ExitReason.FAILED
            or run_exit.run in task.failed_runs
        ):
            return 0
        task.failed_runs |= {run_exit.run}
        self._log.info(
            "earlier_run_failed",
            task=str(task.key),
            run=run_exit.run,
            runner=runner.identifier,
            failures=task.failures,
        )
        self._occurrences.fail_job_at_limit(task)
        return self._write_task(task)

    def _record_late_success(
        self,
        task: _state.TaskEntry,
        run_exit: model.RunExit,
        runner: _fleet.RunnerEntry,
    ) -> int:
        """Completes a task whose run was lost after it succeeded.

        A blocked one may have run: its occurrence is held, or this term does
        not know all exits of the steps that it depends on.
        """
        if task.phase not in (
            _state.TaskPhase.WAITING,
            _state.TaskPhase.BLOCKED,
        ):
            return 0
        self._log.info(
            "lost_run_was_done",
            task=str(task.key),
            run=run_exit.run,
            runner=runner.identifier,
        )
        self._phases.remove_waiting(task)
        task.is_unblocked_in_term = False
        task.waiting_since = None
        self._occurrences.complete_task(task)
        return self._write_task(task)

    def _write_task(self, task: _state.TaskEntry) -> int:
        """Requests a write after a change of a task's progress."""
        task.job.record_change(task)
        return self._request_write(task.job)

    def record_crash(
        self, task: _state.TaskEntry, role: model.CrashRole, address: str
    ) -> None:
        """Records that the runner of a task's latest run has crashed."""
        if not task.job.state.is_final:
            task.crashes[task.run] = role
            task.crash_addresses[task.run] = address
            self._write_task(task)

    def retract_crash(self, task: _state.TaskEntry, run: int) -> None:
        """Removes the record of a crash that did not happen."""
        if not task.job.state.is_final and run in task.crashes:
            del task.crashes[run]
            self._write_task(task)

    def fail_crashing_job(self, task: _state.TaskEntry) -> None:
        """Fails the job of a task that crashes the runners that start it."""
        if task.job.state.is_final:
            return
        self._log.warning(
            "job_failed",
            job=task.key.job,
            task=str(task.key),
            reason="task crashes its runners",
            crashes=sorted(task.crashes),
        )
        self._metrics.failed_jobs.labels("crashes").inc()
        self._occurrences.finish_job(task.job, model.JobState.FAILED)
