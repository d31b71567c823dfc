"""Reasons in words that a dry run adds to its answer.

Further decisions of the scheduler that delay or refuse a job are reported from
here: one more remark in one of the lists, or a refusal.
"""

from tamarackhatch import admission
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _state
from tamarackhatch import where


def find_refusal(
    summaries: tuple[model.WaitSummary, ...], job: model.Job
) -> str | None:
    """Returns why an instance would refuse a job; None if it accepts it.

    Instances refuse only what two heartbeats in a row say, so that they may
    still accept the job.

    Args:
        summaries: Waiting work as the next heartbeat will report it.
        job: The job.
    """
    overload = admission.assess_job(job, [summaries])
    if overload is None:
        return None
    return (
        f"it would wait {overload.expected_wait.total_seconds():.1f} s, and "
        f"miss three times its objective of "
        f"{overload.objective.total_seconds():.1f} s"
    )


def list_job_remarks(
    context: _context.SchedulerContext, job: _state.JobEntry
) -> tuple[where.Remark, ...]:
    """Returns remarks about a whole job.

    Args:
        context: Shared components of the scheduler.
        job: The job.
    """
    remarks = []
    if not context.leader_lease.is_valid:
        remarks.append(
            where.Remark(
                "no_leader_lease",
                "the store has not confirmed the scheduler's term for a "
                "while; nothing starts until it does",
            )
        )
    if not any(
        entry.record.service == job.job.queue.service
        for entry in context.fleet.values()
    ):
        remarks.append(
            where.Remark("no_runners", "the service has no runner at all")
        )
    return tuple(remarks)


def list_step_remarks(
    context: _context.SchedulerContext,
    tasks: list[_state.TaskEntry],
    placed: int,
    applies_near: bool,
) -> tuple[where.Remark, ...]:
    """Returns remarks about a step that could start now.

    Args:
        context: Shared components of the scheduler.
        tasks: Its tasks.
        placed: Number of tasks that would start.
        applies_near: Whether its tasks may wait for a near place.
    """
    first = tasks[0]
    step = first.step
    remarks = []
    if step.is_long_running:
        delay = round(context.policy.grouping_delay.total_seconds() * 1000)
        remarks.append(
            where.Remark(
                "grouped",
                f"new long-running tasks wait {delay} ms for others of their "
                "image, and are placed together",
            )
        )
    if step.is_gang and placed < len(tasks):
        remarks.append(
            where.Remark(
                "gang",
                f"the tasks start together: all {len(tasks)} have to fit at "
                "the same time",
            )
        )
    if first.job.job.queue.advice is not None:
        remarks.append(
            where.Remark(
                "tickets",
                "the queue has a placement policy; once the job is stored, "
                "the scheduler asks it about runners with capacity, and the "
                "runners listed as next best are rated without its answer",
            )
        )
    if step.is_best_effort and placed < len(tasks):
        wait = context.policy.full_speed_wait.total_seconds()
        remarks.append(
            where.Remark(
                "full_speed",
                f"for {wait:.0f} s a best-effort task waits for a runner "
                "where it runs at full speed; after that "
                f"{round(100 * context.policy.min_speed)} % is enough",
            )
        )
    if applies_near:
        longest = placement.MAX_NEAR_WAIT.total_seconds()
        remarks.append(
            where.Remark(
                "near_place",
                "its tasks take longer on other racks; one that finds no "
                "place near waits for it while that pays, at most "
                f"{longest:.1f} s, and starts elsewhere after that",
            )
        )
    if step.preferred_rack and not any(
        entry.record.service == first.job.job.queue.service
        and step.preferred_rack in entry.record.labels
        for entry in context.fleet.values()
    ):
        remarks.append(
            where.Remark(
                "unknown_rack",
                f"no runner of the service has the label "
                f"{step.preferred_rack}, so the preferred rack has no effect",
            )
        )
    return tuple(remarks)
