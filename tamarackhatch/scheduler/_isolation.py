"""Chooses runners on which suspects of crashes are observed."""

import collections
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime

from tamarackhatch import placement
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state

# A crashed runner is empty when it is back, about when its tasks wait again.
# A suspect waits this long for an empty runner, where it does least harm.
_EMPTY_RUNNER_WAIT = datetime.timedelta(seconds=1)
# Of each service, at most every third runner, and at least one, is closed to
# other tasks: many tasks become suspects when many runners crash at once.
_RUNNERS_PER_ISOLATED_RUNNER = 3


def count_allowances(
    fleet: Iterable[_fleet.RunnerEntry], now: datetime.timedelta
) -> collections.Counter[str]:
    """Returns how many more runners may be isolated, by service.

    Args:
        fleet: Runners outside evacuated data centres; the others run nothing
            new, so they do not count.
        now: Monotonic time.
    """
    runners: collections.Counter[str] = collections.Counter()
    isolated: collections.Counter[str] = collections.Counter()
    for entry in fleet:
        if entry.is_schedulable(now):
            runners[entry.record.service] += 1
            isolated[entry.record.service] += entry.is_isolated(now)
    return collections.Counter(
        {
            service: max(1, count // _RUNNERS_PER_ISOLATED_RUNNER)
            - isolated[service]
            for service, count in runners.items()
        }
    )


def list_unclosed(
    entries: Sequence[_fleet.RunnerEntry],
    urgent: Container[str],
    now: datetime.timedelta,
) -> list[_fleet.RunnerEntry]:
    """Returns the runners that are not closed to tasks beside a suspect.

    A task that may crash its runner late is observed as long as it runs. If
    all runners of a service were closed for that, nothing else of the service
    would start meanwhile. The suspect is then observed alone only until it is
    settled, and so it is while long-running tasks lack room.

    Args:
        entries: All runners on which tasks could start otherwise.
        urgent: Services with long-running tasks that have waited for long.
        now: Monotonic time.
    """
    closed = [
        entry for entry in entries if entry.suspects and entry.is_isolated(now)
    ]
    if not closed:
        return list(entries)
    unclosed = [entry for entry in entries if entry not in closed]
    services = {entry.record.service for entry in unclosed}
    unclosed += (
        entry
        for entry in closed
        if (
            entry.record.service not in services
            or entry.record.service in urgent
        )
        and not entry.has_starting_run(now)
    )
    return unclosed


def order_suspects(
    tasks: Iterable[_state.TaskEntry],
) -> list[_state.TaskEntry]:
    """Returns suspects, those first that most probably cause crashes.

    These were lost most often, or started last before the crash.
    """
    return sorted(
        tasks, key=lambda task: (-len(task.crashes), -task.placed_at)
    )


def find_reserved_candidate(
    task: _state.TaskEntry,
    candidates: Iterable[placement.CandidateRunner],
    fleet: Mapping[str, _fleet.RunnerEntry],
    now: datetime.timedelta,
) -> placement.CandidateRunner | None:
    """Returns the runner to keep free of other starts for a suspect.

    On busy runners some task has always just started. A suspect that has
    waited for an empty runner gets the one that is free of these soonest.
    """
    if now - task.phase_since < _EMPTY_RUNNER_WAIT:
        return None
    return min(
        _list_possible(task, candidates),
        key=lambda candidate: max(
            (
                other.placed_at
                for other in fleet[candidate.load.identifier].tasks.values()
            ),
            default=datetime.timedelta(),
        ),
        default=None,
    )


def list_isolation_candidates(
    task: _state.TaskEntry,
    candidates: Iterable[placement.CandidateRunner],
    fleet: Mapping[str, _fleet.RunnerEntry],
    now: datetime.timedelta,
) -> list[placement.CandidateRunner]:
    """Returns the runners on which a suspect may start now.

    These have capacity, and nothing has just started there. Empty ones are
    preferred, first those at addresses at which the task has not been in a
    crash, then the one with the fewest long-running tasks, then tasks.

    Args:
        task: The suspect.
        candidates: Runners that may get new tasks.
        fleet: Runners by identifier.
        now: Monotonic time.
    """
    possible = [
        candidate
        for candidate in _list_possible(task, candidates)
        if not fleet[candidate.load.identifier].has_starting_run(now)
    ]
    empty = [
        candidate
        for candidate in possible
        if not fleet[candidate.load.identifier].tasks
    ]
    former = set(task.crash_addresses.values())
    elsewhere = [
        candidate
        for candidate in empty
        if fleet[candidate.load.identifier].record.address not in former
    ]
    empty = elsewhere or empty
    if empty or not possible or now - task.phase_since < _EMPTY_RUNNER_WAIT:
        return empty
    return [
        min(
            possible,
            key=lambda candidate: _count_tasks_at_risk(
                fleet[candidate.load.identifier]
            ),
        )
    ]


def _list_possible(
    task: _state.TaskEntry, candidates: Iterable[placement.CandidateRunner]
) -> list[placement.CandidateRunner]:
    return [
        candidate
        for candidate in candidates
        if candidate.load.has_capacity(task.step)
        and placement.is_allowed(candidate.load, task.key, task.step)
    ]


def _count_tasks_at_risk(entry: _fleet.RunnerEntry) -> tuple[int, int]:
    long_running = sum(
        task.step.is_long_running for task in entry.tasks.values()
    )
    return long_running, len(entry.tasks)
