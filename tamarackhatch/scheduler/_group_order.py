"""Order in which a placement pass considers the groups of waiting tasks."""

from collections.abc import Callable
from collections.abc import Iterable
import sys

import attrs

from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _prospects
from tamarackhatch.scheduler import _state

# Waiting tasks of one step, by index.
Group = dict[int, _state.TaskEntry]
OrderedGroup = tuple[placement.OrderKey, Group]
IsPaused = Callable[[_state.TaskEntry], bool]


@attrs.frozen
class Selection:
    """Tasks of a group that a placement pass may place beside others.

    Attributes:
        tasks: The tasks.
        paused: Number of tasks that were looked at and whose start is paused.
        suspects: The same of those that may have crashed a runner.
    """

    tasks: list[_state.TaskEntry]
    paused: int
    suspects: int


def order_groups(
    context: _context.SchedulerContext, groups: Iterable[Group]
) -> list[OrderedGroup]:
    """Returns the groups with their sort keys, the first to place first."""
    return sorted(
        ((_get_order_key(context, group), group) for group in groups),
        key=lambda item: item[0].sort_key,
    )


def select_tasks(
    group: Group, is_paused: IsPaused, most: int = sys.maxsize
) -> Selection:
    """Returns the tasks that may be placed beside others now.

    Args:
        group: The waiting tasks of a step.
        is_paused: Returns whether a task must not start yet.
        most: Number of tasks after which the others are not looked at.
    """
    tasks: list[_state.TaskEntry] = []
    paused = suspects = 0
    for task in group.values():
        if len(tasks) >= most:
            break
        if is_paused(task):
            paused += 1
        elif _crash_suspects.is_suspect(task):
            suspects += 1
        else:
            tasks.append(task)
    return Selection(tasks, paused, suspects)


def is_new(task: _state.TaskEntry) -> bool:
    """Returns whether a long-running task waits for others of its image."""
    return task.step.is_long_running and not task.run


def is_grouping(
    context: _context.SchedulerContext, groups: Iterable[Group]
) -> bool:
    """Returns whether new long-running tasks are still being collected.

    They are placed together once the oldest has waited long enough.

    Args:
        context: Shared components of the scheduler.
        groups: Waiting tasks by step.
    """
    firsts = (next(iter(group.values())) for group in groups)
    oldest = min(
        (task.phase_since for task in firsts if is_new(task)), default=None
    )
    return oldest is not None and (
        context.get_now() - oldest < context.policy.grouping_delay
    )


def _get_order_key(
    context: _context.SchedulerContext, group: Group
) -> placement.OrderKey:
    task = next(iter(group.values()))
    now = context.get_now()
    is_moved = is_interrupted = False
    oldest = now
    for waiting in group.values():
        since = waiting.waiting_since
        if since is not None and since < oldest:
            oldest = since
        if waiting.departure is not None:
            is_moved = True
        if waiting.last_exited_run:
            is_interrupted = True
    step = task.step
    priority, accepted = task.job.order
    return placement.make_order_key(
        placement.WaitingGroup(
            priority,
            accepted,
            now - oldest,
            step.is_long_running,
            not step.max_per_runner,
            step.image,
            # A moved task has waited and worked before.
            (
                0
                if is_moved or step.is_long_running
                else task.job.compute_demand()
            ),
            _prospects.assess_job(task, context.clock.get_utc()),
            is_interrupted,
        ),
        context.policy,
    )
