"""Handles starts that runners refuse."""

import datetime

from tamarackhatch import platform
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state

# A runner that refused a start gets no new tasks for this long. Within this
# time a renewal corrects the scheduler's state of the runner.
_REFUSAL_PAUSE = datetime.timedelta(milliseconds=300)
# The pause doubles with each refusal for lack of capacity, because each has a
# price. A runner writes its registry row about once a second, so that a longer
# pause would outlast the correction of a capacity.
_MAX_CAPACITY_REFUSAL_PAUSE = datetime.timedelta(milliseconds=2400)
_UNHEALTHY_PAUSE = datetime.timedelta(seconds=1)

_Outcome = platform.CommandOutcome


def apply_refusal(
    context: _context.SchedulerContext,
    task: _state.TaskEntry,
    entry: _fleet.RunnerEntry,
    outcome: platform.CommandOutcome,
) -> None:
    """Requeues a task after the refusal of its start.

    Args:
        context: Shared components of the scheduler.
        task: The task.
        entry: The runner, which gets no new tasks for a while.
        outcome: The refusal.
    """
    context.log.info(
        "start_refused",
        task=str(task.key),
        run=task.run,
        runner=entry.identifier,
        outcome=outcome.value,
    )
    if outcome is _Outcome.DELAYED:
        context.job_tracker.undo_start(task)
        return
    if outcome is _Outcome.NO_TICKET:
        key = task.key
        step = (key.job, key.occurrence, key.step)
        context.tickets.discard_ticket(step, entry.identifier)
        if task.job.job.queue.advice is None:
            # The queue got its policy after this job was submitted, so
            # further starts would be refused as well.
            entry.avoid_until = context.get_now() + _UNHEALTHY_PAUSE
        context.job_tracker.undo_start(task)
        return
    now = context.get_now()
    pause = _REFUSAL_PAUSE
    if outcome in (_Outcome.UNHEALTHY, _Outcome.RESTARTED):
        pause = _UNHEALTHY_PAUSE
    elif outcome is _Outcome.NO_CAPACITY:
        if now < entry.avoid_until:
            # Refused together with a start that began the pause.
            context.job_tracker.undo_start(task)
            return
        pause = min(
            _REFUSAL_PAUSE * 2**entry.capacity_refusals,
            _MAX_CAPACITY_REFUSAL_PAUSE,
        )
        entry.capacity_refusals = min(entry.capacity_refusals + 1, 10)
    entry.avoid_until = now + pause
    context.job_tracker.undo_start(task)


def resolve_uncertain_start(
    context: _context.SchedulerContext,
    task: _state.TaskEntry,
    entry: _fleet.RunnerEntry,
    outcome: platform.CommandOutcome,
) -> None:
    """Handles the refusal of a start after an unanswered attempt."""
    if outcome is _Outcome.OUTDATED:
        # The run has started and exited; the next report lists the exit.
        context.job_tracker.confirm_run(task, entry)
        return
    # The unanswered attempt may still be carried out; a stop prevents
    # that.
    context.job_tracker.evict_task(task, f"start {outcome.value}")
