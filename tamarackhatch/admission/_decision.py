"""Decides whether a new job is refused.

Answers the load in which more work arrives for many seconds than fits: a job
that would miss three times its objective is worth nothing to its caller, and
keeps capacity from others.
"""

from collections.abc import Sequence
import datetime

import attrs

from tamarackhatch.admission import _figures
from tamarackhatch import model
from tamarackhatch import placement

_SECOND = datetime.timedelta(seconds=1)
_NO_TIME = datetime.timedelta()
# A submitter's estimate may be too long by this factor. Estimates that are all
# too long do not change the figure for the wait, because work that waits and
# work that was placed are counted by the same estimates.
_ESTIMATE_EXCESS = 2.0


@attrs.frozen
class Overload:
    """Why a job is refused.

    Attributes:
        expected_wait: Time that the job would wait for capacity.
        objective: Its latency objective.
        work_time: Time for which it would occupy the service's capacity.
    """

    expected_wait: datetime.timedelta
    objective: datetime.timedelta
    work_time: datetime.timedelta


def assess_job(
    job: model.Job,
    reports: Sequence[_figures.Waits],
    elapsed: datetime.timedelta = _NO_TIME,
) -> Overload | None:
    """Returns why a job is to be refused; None if it is accepted.

    Args:
        job: The job.
        reports: What the latest heartbeats report; all have to agree.
        elapsed: Time since the caller's first attempt.
    """
    if not reports or not _is_candidate(job):
        return None
    queue = job.queue
    chain = model.compute_longest_chain(job.steps)
    objective = queue.compute_objective(chain)
    limit = placement.MAX_LATENESS * objective
    run_time = chain / _ESTIMATE_EXCESS
    # A job that free capacity would not help is no matter of overload.
    if elapsed + run_time > limit:
        return None
    # The scheduler takes a job for late only after this time.
    late_after = queue.compute_objective(placement.ESTIMATE_ERROR * chain)
    overloads = []
    for waits in reports:
        wait = _estimate_wait(job, waits, False)
        if wait is None or elapsed + wait <= late_after:
            return None
        # Once the job is late, more work goes before it.
        wait = _estimate_wait(job, waits, True)
        if wait is None or elapsed + wait + run_time <= limit:
            return None
        overloads.append(
            Overload(wait, objective, _estimate_work_time(job, waits))
        )
    return min(overloads, key=lambda overload: overload.expected_wait)


def _is_candidate(job: model.Job) -> bool:
    """Returns whether anything can be said about the wait of a job."""
    return (
        job.schedule is None
        and not job.is_long_running
        and job.queue.target_latency > _NO_TIME
        # Tickets decide where these tasks run, and for how long they wait.
        and job.queue.advice is None
        and all(
            # A label selects runners on which less may wait than elsewhere.
            not step.required_label and step.estimate > _NO_TIME
            for step in job.steps
        )
    )


def _estimate_wait(
    job: model.Job, waits: _figures.Waits, is_late: bool
) -> datetime.timedelta | None:
    """Returns the wait of a job for capacity; None if it may have none.

    Args:
        job: The job.
        waits: What a heartbeat reports.
        is_late: Whether the job misses its objective meanwhile.
    """
    demand = sum(step.resources.processors * step.count for step in job.steps)
    found = []
    for step in job.steps:
        summary = _find_summary(job, step, waits)
        if summary is None or not _is_blocked(step, summary):
            return None
        work = summary.get_work_before(job.queue.priority, demand, is_late)
        found.append(_SECOND * (work / summary.rate))
    return min(found)


def _find_summary(
    job: model.Job, step: model.Step, waits: _figures.Waits
) -> model.WaitSummary | None:
    return next(
        (
            summary
            for summary in waits
            if summary.service == job.queue.service
            and summary.is_best_effort == step.is_best_effort
            and summary.rate > 0
        ),
        None,
    )


def _is_blocked(step: model.Step, summary: model.WaitSummary) -> bool:
    """Returns whether tasks of a step certainly do not start at once."""
    # Best-effort tasks reserve no processors, so that a place on a runner
    # depends on the tasks beside them; only waiting tasks of the same image
    # prove that there is none.
    if not step.is_best_effort and step.reserved.fits_in(summary.free):
        return False
    image = step.image if step.is_best_effort else ""
    return any(
        task.image == image and task.resources.fits_in(step.resources)
        for task in summary.blocked
    )


def _estimate_work_time(
    job: model.Job, waits: _figures.Waits
) -> datetime.timedelta:
    """Returns for how long a job would occupy all capacity of its kind."""
    total = _NO_TIME
    for step in job.steps:
        summary = _find_summary(job, step, waits)
        assert summary is not None
        processors = step.resources.processors * step.count
        total += step.estimate * (processors / summary.rate)
    return total
