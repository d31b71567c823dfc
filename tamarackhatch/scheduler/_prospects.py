"""How well jobs can still be served, from their tasks and their queue."""

import datetime

from tamarackhatch import placement
from tamarackhatch.scheduler import _state


def assess_job(
    task: _state.TaskEntry, now: datetime.datetime
) -> placement.Prospect:
    """Returns how well the job of a waiting task can still be served.

    Args:
        task: A task that waits.
        now: Time in UTC.
    """
    queue = task.job.job.queue
    if not queue.target_latency:
        # Without an objective, batch work has no claim to precede
        # long-running tasks that have waited for a while.
        return placement.Prospect.LATE
    objective = compute_order_objective(task.job)
    return placement.assess_prospect(
        _compute_elapsed(task, now),
        task.step.estimate / placement.ESTIMATE_ERROR,
        objective,
    )


def compute_objective(
    entry: _state.JobEntry, estimate_error: float = 1.0
) -> datetime.timedelta:
    """Returns the latency objective of a job, from its acceptance on.

    Args:
        entry: The job, of a queue with an objective.
        estimate_error: Factor by which the estimated run times may be short.
    """
    return entry.job.queue.compute_objective(
        estimate_error * entry.longest_chain
    )


def compute_order_objective(entry: _state.JobEntry) -> datetime.timedelta:
    """Returns the objective that counts for the order of a job."""
    return compute_objective(entry, placement.ESTIMATE_ERROR)


def compute_slack(
    task: _state.TaskEntry,
    run_time: datetime.timedelta,
    now: datetime.datetime,
) -> datetime.timedelta | None:
    """Returns how long a task can wait without its job missing its objective.

    Unlike the order of waiting work, this trusts the submitter's estimates: a
    wait by choice must not use up time that may be needed.

    Args:
        task: A task that waits.
        run_time: Its expected run time.
        now: Time in UTC.

    Returns:
        The time, negative if the objective is missed anyway; None for a queue
        without an objective.
    """
    queue, job = task.job.job.queue, task.job
    if not queue.target_latency:
        return None
    objective = compute_objective(job)
    following = job.compute_following(task.key.step)
    return objective - _compute_elapsed(task, now) - run_time - following


def _compute_elapsed(
    task: _state.TaskEntry, now: datetime.datetime
) -> datetime.timedelta:
    """Returns the time since the job was accepted or became due."""
    job = task.job.job
    if job.schedule is None:
        return now - job.accepted_at
    return now - job.schedule.get_due(task.key.occurrence)
