"""Lists the runners on which waiting tasks may be placed now."""

from collections.abc import Callable
import datetime

from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _health
from tamarackhatch.scheduler import _isolation
from tamarackhatch.scheduler import _state

# Long-running tasks have to run again nine seconds after their last run. Some
# of that has passed when the end of the run is known.
_MAX_LONG_RUNNING_WAIT = datetime.timedelta(seconds=2)

Candidates = dict[str, list[placement.CandidateRunner]]
MakeCandidate = Callable[
    [placement.RunnerLoad, datetime.timedelta], placement.CandidateRunner
]


def list_candidates(
    context: _context.SchedulerContext,
    make_candidate: MakeCandidate,
    is_registry_outdated: bool,
    service: str | None = None,
) -> Candidates:
    """Returns the runners that may start tasks now, by service.

    Args:
        context: Shared components of the scheduler.
        make_candidate: Returns the candidate of a runner's load for a
            monotonic time.
        is_registry_outdated: Whether runners may have shrunk since the
            registry was read.
        service: Service whose runners are listed; None for all.
    """
    now = context.get_now()
    entries = [
        entry
        for entry in context.list_open_runners()
        if service in (None, entry.record.service)
        and is_available(context, entry, now)
        and not (
            is_registry_outdated
            and not context.enforces_capacity(entry.record.service)
        )
    ]
    candidates: Candidates = {}
    urgent = {
        task.job.job.queue.service for task in list_urgent_tasks(context, now)
    }
    for entry in _isolation.list_unclosed(entries, urgent, now):
        candidate = make_candidate(entry.load, now)
        _health.restrict_candidate(context, candidate, entry, now)
        candidates.setdefault(entry.record.service, []).append(candidate)
    for group in candidates.values():
        _health.relax_limits(group)
    return candidates


def list_urgent_tasks(
    context: _context.SchedulerContext, now: datetime.timedelta
) -> list[_state.TaskEntry]:
    """Returns long-running tasks that have waited long, one of each step.

    Those that are suspects of crashes themselves are left out.
    """
    urgent = []
    for group in context.job_tracker.waiting.values():
        if not next(iter(group.values())).step.is_long_running:
            continue
        for task in group.values():
            waited = task.compute_wait(now)
            if waited < _MAX_LONG_RUNNING_WAIT:
                continue
            if not _crash_suspects.is_suspect(task):
                urgent.append(task)
                break
    return urgent


def is_available(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    now: datetime.timedelta,
) -> bool:
    """Returns whether tasks that are no probes may start on a runner.

    It may be closed to them all the same while a suspect of crashes is
    observed there.

    Args:
        context: Shared components of the scheduler.
        entry: A runner in a data centre that is not evacuated.
        now: Monotonic time.
    """
    return entry.is_schedulable(now) and not context.health.is_ejected(
        entry.identifier
    )


def describe_closure(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    now: datetime.timedelta,
) -> str:
    """Returns why usual tasks cannot start on a runner; empty if they can.

    Args:
        context: Shared components of the scheduler.
        entry: The runner.
        now: Monotonic time.
    """
    if not entry.is_registered:
        return "unregistered"
    if entry.record.is_draining:
        return "draining"
    if not entry.is_answering(now):
        return "not answering"
    if not entry.is_schedulable(now):
        return "not reconciled"
    if context.health.is_ejected(entry.identifier):
        return "ejected"
    if entry.suspects and entry.is_isolated(now):
        return "isolated"
    return ""
