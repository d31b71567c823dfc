"""Order of waiting tasks, and how well their jobs can still be served."""

import datetime

from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _state

# A submitter's estimate of a run time may be short by this factor. A job that
# can still be served must not be put behind the others for a poor estimate.
_ESTIMATE_ERROR = 2.0


def assess_job(
    task: _state.TaskEntry, now: datetime.datetime
) -> placement.Prospect:
    """Returns how well the job of a waiting task can still be served.

    Args:
        task: A task that waits.
        now: Time in UTC.
    """
    entry = task.job
    queue = entry.job.queue
    if not queue.target_latency:
        # Without an objective, batch work has no claim to precede
        # long-running tasks that have waited for a while.
        return placement.Prospect.LATE
    objective = (
        queue.stretch * _ESTIMATE_ERROR * entry.longest_chain
        + queue.target_latency
    )
    due = entry.job.accepted_at
    if entry.job.schedule is not None:
        due = entry.job.schedule.get_due(task.key.occurrence)
    return placement.assess_prospect(
        now - due, task.step.estimate / _ESTIMATE_ERROR, objective
    )


def make_order_key(
    group: dict[int, _state.TaskEntry], context: _context.SchedulerContext
) -> placement.OrderKey:
    """Returns the sort key of the waiting tasks of one step.

    Args:
        group: The tasks by index.
        context: Components of the scheduler.
    """
    task = next(iter(group.values()))
    now = context.get_now()
    is_moved = any(waiting.departure for waiting in group.values())
    step = task.step
    priority, accepted = task.job.order
    return placement.make_order_key(
        placement.WaitingGroup(
            priority,
            accepted,
            max(waiting.compute_wait(now) for waiting in group.values()),
            step.is_long_running,
            not step.max_per_runner,
            step.image,
            # A moved task has waited and worked before.
            (
                0
                if is_moved or step.is_long_running
                else task.job.compute_demand()
            ),
            assess_job(task, context.clock.get_utc()),
        ),
        context.policy,
    )
