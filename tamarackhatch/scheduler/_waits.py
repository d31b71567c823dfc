"""Reports the waiting batch work, from which instances refuse new jobs."""

from collections.abc import Callable
from collections.abc import Iterator

from tamarackhatch import admission
from tamarackhatch import model
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _prospects
from tamarackhatch.scheduler import _state


class WaitReporter:
    """Summarises the waiting work for a heartbeat.

    Nothing is computed in a placement pass, only once for each heartbeat.
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

    def summarise(self) -> tuple[model.WaitSummary, ...]:
        """Returns summaries of the work that waits for capacity."""
        context = self._context
        if not context.job_tracker.waiting:
            return ()
        return context.wait_estimator.summarise(
            list(self._list_waiting()), self._make_pools(), context.get_now()
        )

    def _list_waiting(self) -> Iterator[admission.WaitingWork]:
        now = self._context.get_now()
        for group in self._context.job_tracker.waiting.values():
            first = next(iter(group.values()))
            if first.step.is_long_running or self._is_paused(first):
                continue
            yield admission.WaitingWork(
                first.job.job.queue.service,
                first.step,
                _prospects.make_order_key(group, self._context),
                # It is not known how much is left of the others.
                sum(not task.checkpoint for task in group.values()),
                first.compute_wait(now),
                _may_run_anywhere(first),
            )

    def _make_pools(self) -> dict[str, admission.Pool]:
        context = self._context
        now = context.get_now()
        pools: dict[str, admission.Pool] = {}
        for entry in context.list_open_runners():
            if entry.is_schedulable(now) and not context.health.is_ejected(
                entry.identifier
            ):
                service = entry.record.service
                pool = pools.get(service, admission.Pool())
                pools[service] = pool.add_runner(entry.load)
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
