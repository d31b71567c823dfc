"""Progress of jobs through their occurrences and steps."""

from collections.abc import Callable

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.scheduler import _restored_occurrences
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _task_phases

# Further occurrences of a job wait until some are finished. A job whose
# occurrences are due faster than they run must not fill the memory. Held ones
# do not count: at most as many exist as runners report.
_MAX_OPEN_OCCURRENCES = 100

StopCommand = Callable[[_state.TaskEntry], None]
WriteRequest = Callable[[_state.JobEntry], int]


class OccurrenceTracker:
    """Opens the occurrences of jobs and finishes them and their jobs."""

    def __init__(
        self,
        time_source: clock.Clock,
        phases: _task_phases.TaskPhases,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        self._clock = time_source
        self._phases = phases
        self._log = log
        self._metrics = metrics
        self._scheduled: dict[str, _state.JobEntry] = {}
        self._request_write: WriteRequest = lambda job: 0
        self._stop_task: StopCommand = lambda task: None
        self._on_finished: Callable[[_state.JobEntry], None]
        self._on_finished = lambda job: None

    def set_callbacks(
        self,
        request_write: WriteRequest,
        stop_task: StopCommand,
        on_finished: Callable[[_state.JobEntry], None],
    ) -> None:
        """Sets the callbacks; see `JobTracker.set_callbacks`."""
        self._request_write = request_write
        self._stop_task = stop_task
        self._on_finished = on_finished

    def add_scheduled_job(self, entry: _state.JobEntry) -> None:
        """Adds a job whose occurrences are opened when they are due."""
        self._scheduled[entry.identifier] = entry

    def open_due_occurrences(self) -> None:
        """Opens the occurrences of scheduled jobs whose time has come."""
        now = self._clock.get_utc()
        for identifier, entry in list(self._scheduled.items()):
            schedule = entry.job.schedule
            assert schedule is not None
            while (
                not entry.state.is_final
                and entry.next_occurrence < schedule.count
                and _count_in_turn(entry) < _MAX_OPEN_OCCURRENCES
                and schedule.get_due(entry.next_occurrence) <= now
            ):
                self.open_next_occurrence(entry)
            if entry.state.is_final or entry.next_occurrence == schedule.count:
                self._scheduled.pop(identifier, None)

    def open_next_occurrence(self, entry: _state.JobEntry) -> None:
        """Lets the tasks of a job's next occurrence start."""
        number = entry.next_occurrence
        entry.next_occurrence += 1
        if number not in entry.occurrences:
            self.hold_occurrence(entry, number, None)
        occurrence = entry.occurrences[number]
        occurrence.is_held = False
        self._requeue_unblocked_tasks(occurrence)
        self._close_finished_occurrences(entry)

    def hold_occurrence(
        self,
        entry: _state.JobEntry,
        number: int,
        progress: records.OccurrenceProgress | None,
    ) -> None:
        """Adds an occurrence that an earlier scheduler may have opened.

        Its tasks start in its turn: when the time of day, which may be behind
        that of the earlier scheduler, has reached it, and when it is among
        the oldest unfinished ones.

        Args:
            entry: The job.
            number: Number of the occurrence.
            progress: Its durable progress; None if it has none.
        """
        occurrence = _restored_occurrences.build_occurrence(
            entry, number, progress
        )
        occurrence.is_held = True
        entry.occurrences[number] = occurrence

    def hold_reported_occurrence(
        self, entry: _state.JobEntry, key: model.TaskKey
    ) -> None:
        """Adds the occurrence of a task that a runner lists.

        An earlier scheduler has opened it, though it may lie beyond those
        that are open in this term, or not be due by its time of day.

        Args:
            entry: The job.
            key: The task; if the job has no such task, nothing is added.
        """
        number, steps = key.occurrence, entry.job.steps
        if (
            not entry.state.is_final
            and entry.finished_occurrences <= number < entry.job.occurrences
            and key.step < len(steps)
            and key.index < steps[key.step].count
        ):
            self._log.info("occurrence_held", job=key.job, occurrence=number)
            self.hold_occurrence(entry, number, None)

    def complete_task(self, task: _state.TaskEntry) -> None:
        """Completes a task, and what is finished with it."""
        self._phases.enter_phase(task, _state.TaskPhase.DONE)
        task.checkpoint = ""
        entry = task.job
        occurrence = entry.occurrences[task.key.occurrence]
        if task.step.is_gang:
            # The exit of one member completes the whole gang.
            occurrence.remaining[task.key.step] = 0
            for member in occurrence.steps[task.key.step]:
                self._phases.remove_waiting(member)
                if not member.is_placed:
                    self._phases.enter_phase(member, _state.TaskPhase.DONE)
                elif member.phase is not _state.TaskPhase.DONE:
                    member.phase = _state.TaskPhase.DONE
        else:
            occurrence.remaining[task.key.step] -= 1
        if occurrence.remaining[task.key.step] == 0:
            occurrence.is_unblocked_in_term = task.is_unblocked_in_term
            self._requeue_unblocked_tasks(occurrence)
            self._close_finished_occurrences(entry)

    def _close_finished_occurrences(self, entry: _state.JobEntry) -> None:
        while (
            entry.finished_occurrences in entry.occurrences
            and entry.occurrences[entry.finished_occurrences].is_finished
        ):
            del entry.occurrences[entry.finished_occurrences]
            entry.finished_occurrences += 1
        # A held occurrence may have been finished before its turn.
        entry.next_occurrence = max(
            entry.next_occurrence, entry.finished_occurrences
        )
        if entry.finished_occurrences == entry.job.occurrences:
            self._log.info("job_completed", job=entry.identifier)
            self.finish_job(entry, model.JobState.COMPLETED)

    def finish_job(
        self, entry: _state.JobEntry, state: model.JobState
    ) -> None:
        """Stops all tasks of a job, which has reached a final state."""
        entry.state = state
        for task in entry.iterate_tasks():
            self._phases.remove_waiting(task)
            if task.is_placed and task.phase in (
                _state.TaskPhase.STARTING,
                _state.TaskPhase.RUNNING,
            ):
                self._phases.enter_phase(task, _state.TaskPhase.STOPPING)
                self._stop_task(task)
            elif not task.is_placed:
                self._phases.enter_phase(task, _state.TaskPhase.DONE)
        self._request_write(entry)
        self._on_finished(entry)

    def fail_job_at_limit(self, task: _state.TaskEntry) -> bool:
        """Fails the job if its task has used up its attempts.

        Returns:
            Whether the job has failed.
        """
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
        self._metrics.failed_jobs.labels("attempts").inc()
        self.finish_job(task.job, model.JobState.FAILED)
        return True

    def _requeue_unblocked_tasks(
        self, occurrence: _state.OccurrenceEntry
    ) -> None:
        if occurrence.is_held:
            return
        for step_index, tasks in enumerate(occurrence.steps):
            step = tasks[0].step
            if any(occurrence.remaining[before] for before in step.after):
                continue
            for task in tasks:
                if task.phase is _state.TaskPhase.BLOCKED:
                    task.is_unblocked_in_term = occurrence.is_unblocked_in_term
                    self._phases.requeue_task(task)


def _count_in_turn(entry: _state.JobEntry) -> int:
    return sum(
        not occurrence.is_held for occurrence in entry.occurrences.values()
    )
