"""Decides which tasks may have crashed their runners.

A task may crash each runner that starts it, and takes all other runs there
with it. These wait together for new runners, so that a sound task may be
lost with the same crashing one several times. Therefore neither the number of
crashes nor the time since the start proves anything: a suspect is started
where and while nothing else starts, and only a crash during that observation
does.
"""

from collections.abc import Collection
import datetime
import enum
import math

import attrs

from tamarackhatch import model
from tamarackhatch.scheduler import _state

# A run that its runner has survived for this long is settled. A crash later
# has probably another cause.
_SETTLING_TIME = datetime.timedelta(milliseconds=500)
# Batch tasks lost in this many crashes are suspects even if they were settled.
_MIN_BYSTANDER_CRASHES = 2
# After this many crashes a batch task is observed as long as it runs, since it
# may crash its runners late.
_MIN_LATE_CRASHES = 3
# If more runs than this had just started, the older ones are bystanders:
# observing each of them would keep too many runners from starting others.
_MAX_SUSPECTS = 6
# Crashes with a sole suspect that prove it the cause if the runners are not
# known to have ended.
_MAX_UNCERTAIN_CRASHES = 3
# A task that crashes its runners must not be started a sixth time, and one
# crash may go unnoticed in a takeover.
_MAX_CRASHES = 4
# Crashes at one address prove less, since a runner may crash by itself.
_MIN_CRASHES_AT_ONE_ADDRESS = 3
# The members of a gang start together and cannot be observed one by one.
_MAX_GANG_CRASHES = 4
# A task is given up if a sound one is lost as often with these probabilities
# at most, after crashes at the same age of its runs or at different ones.
_MAX_REGULAR_CHANCE = 1e-4
_MAX_CHANCE = 1e-6
# The last answer of a runner is up to so much earlier than its crash.
_MAX_AGE_DIFFERENCE = datetime.timedelta(milliseconds=1600)
# In millionths; for five seconds and a crash per 100 seconds.
_UNKNOWN_EXPECTATION = 50_000
# Least age of a run at a crash, whose time is not known exactly.
_MIN_AGE = datetime.timedelta(milliseconds=100)

_Role = model.CrashRole


class Evidence(enum.IntEnum):
    """Evidence that a runner has crashed, from weak to strong.

    Attributes:
        SILENT: Calls get no answer; the runner may only be cut off.
        REFUSED: Connections to it break or are refused.
        ENDED: Another incarnation or another runner answers.
    """

    SILENT = 0
    REFUSED = 1
    ENDED = 2


@attrs.frozen
class Crash:
    """A crash of a runner.

    Attributes:
        time: Earliest monotonic time at which it may have happened.
        evidence: What shows that it happened.
    """

    time: datetime.timedelta
    evidence: Evidence


def is_suspect(task: _state.TaskEntry) -> bool:
    """Returns whether a task has to be observed when it starts.

    A crash of the present run, as long as it is only supposed, does not count.
    """
    if not task.crashes or task.step.is_gang:
        return False
    roles = [
        role
        for run, role in task.crashes.items()
        if run != task.run or not task.is_placed
    ]
    return any(role is not _Role.BYSTANDER for role in roles) or (
        len(roles) >= _MIN_BYSTANDER_CRASHES
    )


def is_settled(task: _state.TaskEntry, time: datetime.timedelta) -> bool:
    """Returns whether a task has run for a while at a monotonic time."""
    return time - task.placed_at >= _SETTLING_TIME


def is_observed(task: _state.TaskEntry, time: datetime.timedelta) -> bool:
    """Returns whether a placed task is under observation.

    A batch task that was lost in several crashes is observed as long as it
    runs.
    """
    if not is_suspect(task):
        return False
    earlier = len(task.crashes.keys() - {task.run})
    is_late_suspect = (
        not task.step.is_long_running and earlier >= _MIN_LATE_CRASHES
    )
    return is_late_suspect or not is_settled(task, time)


def assign_roles(
    tasks: Collection[_state.TaskEntry], crash: Crash
) -> list[tuple[_state.TaskEntry, model.CrashRole]]:
    """Returns the role of each task that a crash is recorded for.

    A long-running task that was settled is left out: over its long life it
    sees many crashes.

    Args:
        tasks: All tasks with a run that existed, or may have existed, on the
            runner.
        crash: The crash.
    """
    starting = sorted(
        (task for task in tasks if not is_settled(task, crash.time)),
        key=lambda task: task.placed_at,
        reverse=True,
    )
    observed = [task for task in tasks if is_observed(task, crash.time)]
    suspects = starting or observed
    roles = []
    for task in tasks:
        role = _Role.BYSTANDER
        is_likely = crash.evidence is not Evidence.SILENT
        if [task] == suspects and (is_likely or is_suspect(task)):
            role = _Role.SOLE_SUSPECT
        elif task in starting[:_MAX_SUSPECTS] and is_likely:
            role = _Role.SUSPECT
        elif task.step.is_long_running and task not in starting:
            continue
        roles.append((task, role))
    return roles


def is_proven_cause(task: _state.TaskEntry, evidence: Evidence) -> bool:
    """Returns whether a task is proven to crash its runners.

    Args:
        task: A task whose part in the latest crash is recorded.
        evidence: Evidence of the latest crash.
    """
    roles = list(task.crashes.values())
    if task.step.is_gang:
        suspected = [role for role in roles if role is not _Role.BYSTANDER]
        return len(suspected) >= _MAX_GANG_CRASHES
    if task.crashes.get(task.run) is not _Role.SOLE_SUSPECT:
        return False
    if len(roles) >= _MAX_CRASHES:
        return True
    if len(roles) < _MIN_CRASHES_AT_ONE_ADDRESS and _has_one_address(task):
        return False
    if evidence is not Evidence.ENDED:
        return roles.count(_Role.SOLE_SUSPECT) >= _MAX_UNCERTAIN_CRASHES
    if task.step.is_long_running:
        return roles.count(_Role.SOLE_SUSPECT) > 1
    return any(
        role is not _Role.BYSTANDER
        for run, role in task.crashes.items()
        if run != task.run
    )


def record_expectation(
    task: _state.TaskEntry, crash: Crash, crash_rate: float
) -> None:
    """Records how many crashes were to be expected while a task ran.

    Args:
        task: A task whose latest run was lost in a crash.
        crash: The crash.
        crash_rate: Crashes per runner and second that it did not cause.
    """
    age = max(crash.time - task.placed_at, _MIN_AGE)
    task.crash_ages[task.run] = age
    task.expected_crashes[task.run] = round(
        crash_rate * age.total_seconds() * 1_000_000
    )


def may_be_chance(task: _state.TaskEntry) -> bool:
    """Returns whether a sound task may be lost as often as a task was.

    A task that crashes its runners mostly does so at the same point of its
    run. If it has survived that point, more evidence is needed.
    """
    ages = [task.crash_ages.get(run) for run in task.crashes]
    known = [age for age in ages if age is not None]
    is_regular = (
        len(known) == len(ages)
        and max(known) - min(known) <= _MAX_AGE_DIFFERENCE
    )
    limit = _MAX_REGULAR_CHANCE if is_regular else _MAX_CHANCE
    return compute_chance(task) > limit


def compute_chance(task: _state.TaskEntry) -> float:
    """Returns how probably a sound task is lost as often as a task was.

    Where runners crash often, so that each second of a run has its risk, many
    crashes prove little, unless they came soon after the starts.

    Args:
        task: A task that was in crashes.
    """
    expected = (
        sum(
            task.expected_crashes.get(run, _UNKNOWN_EXPECTATION)
            for run in task.crashes
        )
        / 1_000_000
    )
    # Of a Poisson distribution.
    fewer = sum(
        expected**count / math.factorial(count)
        for count in range(len(task.crashes))
    )
    return 1 - math.exp(-expected) * fewer


def _has_one_address(task: _state.TaskEntry) -> bool:
    """Returns whether all crashes are known to be at one address."""
    addresses = {task.crash_addresses.get(run) for run in task.crashes}
    return len(addresses) == 1 and None not in addresses
