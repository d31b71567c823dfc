"""Holds waiting tasks back while enough starts are in progress."""

from collections.abc import Iterable

from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _group_order


class StartLimiter:
    """Applies the window of starts to the groups of a placement pass."""

    def __init__(self, context: _context.SchedulerContext) -> None:
        self._context = context

    def begin_pass(self, groups: Iterable[_group_order.Group]) -> bool:
        """Returns whether a pass could start a task, and begins it if so.

        Args:
            groups: Waiting tasks by step.
        """
        window = self._context.start_window
        window.begin_pass()
        held_back = 0
        for group in groups:
            if self._count_startable(group):
                return True
            held_back += len(group)
        window.hold_back()
        self._context.load_monitor.waiting.held_back = held_back
        return False

    def count_startable(self, group: _group_order.Group) -> int:
        """Returns how many of the waiting tasks of a step may start now."""
        count = self._count_startable(group)
        if count < len(group):
            waiting = self._context.load_monitor.waiting
            waiting.held_back += len(group) - count
            self._context.start_window.hold_back()
        return count

    def _count_startable(self, group: _group_order.Group) -> int:
        if not group:
            # Its tasks were placed earlier in the same pass.
            return 0
        window, first = self._context.start_window, next(iter(group.values()))
        free = window.count_free(not first.step.is_best_effort)
        if len(group) <= free:
            return len(group)
        # They are placed together so that they fill runners, and those that
        # ran before have to run again within seconds.
        if first.step.is_long_running:
            return len(group)
        if first.step.is_gang:
            return 0 if window.in_progress else len(group)
        return free
