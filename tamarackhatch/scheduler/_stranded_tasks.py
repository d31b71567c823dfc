"""Finds waiting tasks that no runner can serve but those that are ejected.

Such a task gains nothing from the ejection: it waits until the runner returns.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime

from tamarackhatch import model
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _group_order
from tamarackhatch.scheduler import _state

# Capacity beside which a task waits for 3 s is a fault.
_MIN_WAIT = datetime.timedelta(milliseconds=2500)
# One task is enough to probe a runner; a search looks at all runners.
_MAX_TASKS = 16


def list_stranded_tasks(
    context: _context.SchedulerContext,
    groups: Iterable[_group_order.Group],
    is_paused: _group_order.IsPaused,
    ejected: Sequence[_fleet.RunnerEntry],
    now: datetime.timedelta,
) -> list[_state.TaskEntry]:
    """Returns tasks that wait only because some runners are ejected.

    They have waited for a while. Where half of a service is in use or more,
    a task that would fit on some empty runner waits for room instead.

    Args:
        context: Shared components of the scheduler.
        groups: The waiting tasks, by step.
        is_paused: Returns whether a task must not start yet.
        ejected: The ejected runners.
        now: Monotonic time.

    Returns:
        One task of each step, not more than are needed.
    """
    sound: dict[str, list[_fleet.RunnerEntry]] = {}
    for entry in context.list_open_runners():
        if entry.is_schedulable(now) and not context.health.is_ejected(
            entry.identifier
        ):
            sound.setdefault(entry.record.service, []).append(entry)
    busy = {service for service, entries in sound.items() if _is_busy(entries)}
    stranded = []
    for group in groups:
        task = next(
            (
                task
                for task in group.values()
                if task.compute_wait(now) >= _MIN_WAIT and not is_paused(task)
            ),
            None,
        )
        if task is None or not any(
            has_place(context, entry, task) for entry in ejected
        ):
            continue
        service = task.job.job.queue.service
        needed = _count_needed_places(task, group)
        for entry in sound.get(service, ()):
            needed -= _count_places(context, entry, task, service in busy)
            if needed <= 0:
                break
        else:
            stranded.append(task)
            if len(stranded) == _MAX_TASKS:
                break
    return stranded


def has_place(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    task: _state.TaskEntry,
) -> bool:
    """Returns whether a runner has room for a task now, were it not ejected.

    Args:
        context: Shared components of the scheduler.
        entry: A runner.
        task: A waiting task.
    """
    return task.job.job.queue.service == entry.record.service and bool(
        _count_places(context, entry, task, is_empty=False)
    )


def _count_places(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    task: _state.TaskEntry,
    is_empty: bool,
) -> int:
    """Returns how many tasks of a task's step a runner has room for.

    Args:
        context: Shared components of the scheduler.
        entry: A runner of the task's service.
        task: A waiting task.
        is_empty: Whether to assume that nothing else runs there.
    """
    key, step, load = task.key, task.step, entry.load
    step_key = (key.job, key.occurrence, key.step)
    if step.required_label and step.required_label not in load.labels:
        return 0
    if task.job.job.queue.advice is not None and context.tickets.is_denied(
        step_key, entry.identifier
    ):
        return 0
    places = _count_fitting(
        load.capacity if is_empty else load.compute_free(),
        step.reserved,
        step.count,
    )
    if step.max_per_runner:
        left = step.max_per_runner - load.step_counts[step_key]
        places = min(places, max(0, left))
    return places


def _count_needed_places(
    task: _state.TaskEntry, group: _group_order.Group
) -> int:
    """Returns how many tasks need places of their own at the same time."""
    if task.step.is_gang:
        return len(task.siblings)
    return len(group) if task.step.max_per_runner else 1


def _count_fitting(
    room: model.Resources, demand: model.Resources, most: int
) -> int:
    counts = [most]
    for available, needed in (
        (room.processors, demand.processors),
        (room.memory_mb, demand.memory_mb),
        (room.accelerators, demand.accelerators),
    ):
        if needed > 0:
            counts.append(available // needed)
    return max(0, min(counts))


def _is_busy(entries: Sequence[_fleet.RunnerEntry]) -> bool:
    """Returns whether half of some runners' processors is reserved."""
    reserved = sum(entry.load.reserved_cpu for entry in entries)
    capacity = sum(entry.load.capacity.processors for entry in entries)
    return 2 * reserved >= capacity
