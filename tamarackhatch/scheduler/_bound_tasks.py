"""Tasks that may start on one runner only, or not at all for now.

A start command without an answer may still start its task on the runner that
it was sent to. A second attempt there is safe: the runner carries out one of
them, and if it restarts, the run of its earlier incarnation is over. Elsewhere
it is not.
"""

from collections.abc import Callable
from collections.abc import Iterable
import datetime

from tamarackhatch import placement
from tamarackhatch.scheduler import _candidates
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _group_order
from tamarackhatch.scheduler import _start_attempts
from tamarackhatch.scheduler import _state

# A long-running task waits this long for the runner of an attempt.
_MAX_LONG_RUNNING_WAIT = datetime.timedelta(seconds=2)

Candidates = list[placement.CandidateRunner]


class BoundTasks:
    """Decides which waiting tasks are bound, and starts these."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        place: Callable[[_state.TaskEntry, Candidates], int],
    ) -> None:
        """Creates the component of one term.

        Args:
            context: Shared components of the scheduler.
            place: Starts a task on one of the runners, and returns the number
                of started tasks.
        """
        self._context = context
        self._place = place

    def is_bound(self, task: _state.TaskEntry) -> bool:
        """Returns whether a waiting task must not start on any runner."""
        attempts = self._context.start_attempts
        # Nearly all waiting tasks are asked about in each pass.
        if not attempts.concerns(task.key):
            return False
        if attempts.has_stray_run(task.key):
            return True
        return any(
            not self._is_released(task, attempt)
            for attempt in attempts.list_open(task.key)
        )

    def list_allowed(
        self, task: _state.TaskEntry, candidates: Candidates
    ) -> Candidates:
        """Returns those of some runners on which a waiting task may start.

        Args:
            task: The task.
            candidates: The runners.
        """
        if not self.is_bound(task):
            return candidates
        entry = self._find_runner(task)
        if entry is None:
            return []
        return [
            candidate
            for candidate in candidates
            if candidate.load.identifier == entry.identifier
        ]

    def place_tasks(
        self,
        groups: Iterable[_group_order.Group],
        is_paused: _group_order.IsPaused,
        make_candidate: _candidates.MakeCandidate,
    ) -> int:
        """Starts bound tasks on their runners, and returns their number.

        Args:
            groups: The waiting tasks.
            is_paused: Returns whether a task must not start yet after a
                takeover.
            make_candidate: Returns the candidate of a runner's load for a
                monotonic time.
        """
        context = self._context
        if not context.start_attempts.count:
            return 0
        now = context.get_now()
        bound = [
            (task, entry)
            for group in groups
            for task in group.values()
            if not task.step.is_gang
            and not _crash_suspects.is_suspect(task)
            and not is_paused(task)
            and (entry := self._find_runner(task)) is not None
            and self._may_start_on(entry, now)
        ]
        return sum(
            self._place(task, [make_candidate(entry.load, now)])
            for task, entry in bound
        )

    def _find_runner(
        self, task: _state.TaskEntry
    ) -> _fleet.RunnerEntry | None:
        """Returns the only runner on which a task may start, if any."""
        attempts = self._context.start_attempts
        if attempts.has_stray_run(task.key) or not self.is_bound(task):
            return None
        runners = {it.runner for it in attempts.list_open(task.key)}
        if len(runners) > 1:
            return None
        return self._context.fleet.get(runners.pop())

    def _may_start_on(
        self, entry: _fleet.RunnerEntry, now: datetime.timedelta
    ) -> bool:
        return (
            entry.is_schedulable(now)
            and not entry.is_isolated(now)
            and not self._is_leaving(entry)
        )

    def _is_leaving(self, entry: _fleet.RunnerEntry) -> bool:
        """Returns whether a runner gets no tasks for longer than a moment."""
        context = self._context
        return (
            entry.record.is_draining
            or not entry.is_registered
            or context.health.is_ejected(entry.identifier)
            or context.evacuations.is_evacuated(entry.record.data_centre)
        )

    def _is_released(
        self, task: _state.TaskEntry, attempt: _start_attempts.StartAttempt
    ) -> bool:
        """Returns whether a task may start in spite of an attempt.

        A runner that has answered a higher token refuses the attempt; only
        its next incarnation could carry it out. Tasks that have to run again
        within seconds do not wait until that is impossible.
        """
        entry = self._context.fleet.get(attempt.runner)
        if entry is None:
            return True
        if attempt.possible_until is None:
            return False
        if self._context.get_now() >= attempt.possible_until:
            # Another incarnation that has not reported may run the task.
            return (
                task.step.is_long_running
                or not entry.missed_renewals
                or not entry.names_other_incarnation(entry.record)
            )
        if not task.step.is_long_running:
            return False
        # A silent runner has been given up for these by now.
        if entry.missed_renewals:
            return True
        waited = self._context.get_now() - task.phase_since
        return entry.fence.shuts_out(attempt.token) and (
            waited >= _MAX_LONG_RUNNING_WAIT or self._is_leaving(entry)
        )
