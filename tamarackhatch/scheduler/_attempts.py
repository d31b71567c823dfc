"""Groups waiting tasks by where their next attempt may start."""

import attrs

from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _state

Candidates = list[placement.CandidateRunner]


@attrs.frozen(eq=False)
class Batch:
    """Tasks of one step that are placed together.

    Attributes:
        tasks: The tasks.
        candidates: Runners on which they may start now.
        exclusions: Sets of runners to exclude, the first to try first.
        is_repeated: Whether a run of the tasks failed or was moved.
    """

    tasks: list[_state.TaskEntry]
    candidates: Candidates
    exclusions: list[frozenset[str]]
    is_repeated: bool = False


def list_batches(
    context: _context.SchedulerContext,
    tasks: list[_state.TaskEntry],
    candidates: Candidates,
) -> list[Batch]:
    """Returns the tasks of a step in batches: repeated attempts go first.

    Args:
        context: Shared components of the scheduler.
        tasks: The tasks.
        candidates: Runners that may start tasks of the step.
    """
    now = context.get_now()
    first_attempts: list[_state.TaskEntry] = []
    last_attempts: list[_state.TaskEntry] = []
    batches = []
    for task in tasks:
        is_last = is_last_attempt(task)
        exclusions = task.list_exclusions(now)
        if exclusions:
            possible = candidates
            if is_last:
                possible = _filter_for_last_attempt(context, task, candidates)
            batches.append(Batch([task], possible, exclusions, True))
        elif is_last:
            last_attempts.append(task)
        else:
            first_attempts.append(task)
    anywhere: list[frozenset[str]] = [frozenset()]
    if last_attempts:
        possible = _filter_for_last_attempt(
            context, last_attempts[0], candidates
        )
        batches.append(Batch(last_attempts, possible, anywhere))
    batches.append(Batch(first_attempts, candidates, anywhere))
    return batches


def count_attempts_left(task: _state.TaskEntry) -> int:
    """Returns how many more runs of a task may fail, with this one."""
    return task.job.job.queue.max_attempts - task.failures


def is_last_attempt(task: _state.TaskEntry) -> bool:
    """Returns whether another failed run of a task fails its job."""
    return not task.step.is_long_running and count_attempts_left(task) <= 1


def _filter_for_last_attempt(
    context: _context.SchedulerContext,
    task: _state.TaskEntry,
    candidates: Candidates,
) -> Candidates:
    """Returns the runners on which a last attempt may start now.

    A task without a failed run waits for sound runners only if some are known:
    when a term begins nothing is known, and a wait gains nothing.
    """
    waited = task.compute_wait(context.get_now())
    monitor = context.health
    allowed = [
        candidate
        for candidate in candidates
        if monitor.may_start(candidate.load.identifier, True, waited)
    ]
    return allowed if allowed or task.failures else candidates
