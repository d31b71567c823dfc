"""Decides which exits a runner may forget."""

from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet


def acknowledge_exits(
    context: _context.SchedulerContext, entry: _fleet.RunnerEntry
) -> None:
    """Advances a runner's acknowledged exit over all exits it may forget.

    An exit has to be durable. That of a task which a late command may still
    start is kept back, because a start after its acknowledgement would repeat
    the task. Numbers are acknowledged in order, so that later exits wait too.

    Args:
        context: Shared components of the scheduler.
        entry: The runner.
    """
    was_held, entry.has_held_exit = entry.has_held_exit, False
    for number, pending in list(entry.pending_acks.items()):
        generation = pending.generation
        if generation is None or not context.writer.is_durable(
            pending.task.job, generation
        ):
            return
        if context.start_attempts.may_start(pending.task):
            entry.has_held_exit = True
            if not was_held:
                context.log.info(
                    "exits_held",
                    runner=entry.identifier,
                    task=str(pending.task),
                    count=len(entry.pending_acks),
                )
            return
        entry.acknowledged_exit = number
        del entry.pending_acks[number]
