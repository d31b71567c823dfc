"""Reports the waiting batch work, from which instances refuse new jobs."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import datetime

from tamarackhatch import admission
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _state

Group = Mapping[int, _state.TaskEntry]

_MILLISECOND = datetime.timedelta(milliseconds=1)
# Passes are at most 260 ms apart while tasks wait, so that a summary is
# replaced before it is too old to be sent. Most passes are only 10 ms apart.
_INTERVAL = 200 * _MILLISECOND


class WaitReporter:
    """Summarises the work that placement passes leave waiting.

    Capacity that becomes free is used by the next pass, 10 ms later at most.
    What is free right after a pass is of no use to the tasks that wait.
    """

    def __init__(
        self,
        context: _context.SchedulerContext,
        is_paused: Callable[[_state.TaskEntry], bool],
    ) -> None:
        """Creates the reporter of a term.

        Args:
            context: Components of the scheduler.
            is_paused: Returns whether the start of a task is paused.
        """
        self._context = context
        self._is_paused = is_paused
        self._summaries: tuple[model.WaitSummary, ...] = ()
        self._refreshed_at: datetime.timedelta | None = None

    def record_pass(
        self,
        ordered: Sequence[tuple[placement.OrderKey, Group]],
        candidates: Mapping[str, Sequence[placement.CandidateRunner]],
    ) -> None:
        """Records a placement pass that has ended.

        Args:
            ordered: The groups of waiting tasks, of which some are empty now,
                with their sort keys.
            candidates: Runners that any task may use, by service.
        """
        context = self._context
        now = context.get_now()
        if (
            self._refreshed_at is not None
            and now - self._refreshed_at < _INTERVAL
        ):
            return
        self._refreshed_at = now
        self._summaries = context.wait_estimator.summarise(
            self._list_waiting(ordered),
            lambda: self._make_pools(candidates),
            now,
        )

    def get_summaries(self) -> tuple[model.WaitSummary, ...]:
        """Returns summaries of the work that waits for capacity."""
        context = self._context
        if (
            not context.job_tracker.waiting
            or self._refreshed_at is None
            or context.get_now() - self._refreshed_at
            > admission.MAX_SUMMARY_AGE
        ):
            return ()
        return self._summaries

    def _list_waiting(
        self, ordered: Sequence[tuple[placement.OrderKey, Group]]
    ) -> Iterator[admission.WaitingWork]:
        now = self._context.get_now()
        for order, group in ordered:
            first = next(iter(group.values()), None)
            if (
                first is None
                or first.step.is_long_running
                or all(map(self._is_paused, group.values()))
            ):
                continue
            yield admission.WaitingWork(
                first.job.job.queue.service,
                first.step,
                order,
                # It is not known how much is left of the others.
                sum(not task.checkpoint for task in group.values()),
                first.compute_wait(now),
                _may_run_anywhere(first),
            )

    def _make_pools(
        self, candidates: Mapping[str, Sequence[placement.CandidateRunner]]
    ) -> dict[str, admission.Pool]:
        usable = {
            candidate.load.identifier
            for group in candidates.values()
            for candidate in group
        }
        pools: dict[str, admission.Pool] = {}
        for entry in self._context.fleet.values():
            service = entry.record.service
            pool = pools.setdefault(service, admission.Pool())
            pool.add_runner(entry.load, entry.identifier in usable)
        return pools


def _may_run_anywhere(task: _state.TaskEntry) -> bool:
    """Returns whether a task waits for nothing but capacity."""
    step = task.step
    return not (
        step.is_gang
        or step.max_per_runner
        or step.required_label
        or task.job.job.queue.advice is not None
        or task.failed_runs
        or task.departure is not None
        or _crash_suspects.is_suspect(task)
    )
