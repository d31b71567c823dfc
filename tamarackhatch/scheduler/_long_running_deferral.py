"""Defers new long-running tasks while urgent batch tasks lack room.

Answers the load in which urgent tasks need more than what long-running tasks
leave. Batch tasks return their room within seconds, and several of them a
piece that is large enough for the next one. A long-running task that takes a
part of it meanwhile keeps it for minutes.
"""

from collections.abc import Collection
import datetime
import itertools

from tamarackhatch import placement
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _state

# A long-running task that waits beside room for two for three seconds is a
# fault. The rest is for its start, and for exits that are not known yet.
_MAX_WAIT_BESIDE_ROOM = datetime.timedelta(milliseconds=1500)
_URGENT_RANKS = (placement.Rank.BATCH, placement.Rank.LATE_BATCH)

StepKey = tuple[str, int, int]


class LongRunningDeferral:
    """Decides how many new long-running tasks of a step start in a pass."""

    def __init__(self, context: _context.SchedulerContext) -> None:
        self._context = context
        # Since when there has been room for two tasks of a step.
        self._room_since: dict[StepKey, datetime.timedelta] = {}
        # Services and priorities with urgent tasks that found no room.
        self._short: set[tuple[str, float]] = set()

    def begin_pass(self, waiting: Collection[StepKey]) -> None:
        """Begins a placement pass.

        Args:
            waiting: Steps with waiting tasks.
        """
        self._short.clear()
        for step in self._room_since.keys() - set(waiting):
            del self._room_since[step]

    def record_shortage(
        self, task: _state.TaskEntry, order: placement.OrderKey
    ) -> None:
        """Records that tasks of a step could have started and found no room.

        Args:
            task: One of them.
            order: Sort key of the step.
        """
        queue = task.job.job.queue
        if (
            order.rank in _URGENT_RANKS
            and queue.target_latency
            and not task.step.is_best_effort
        ):
            self._short.add((queue.service, order.priority))

    def count_due(
        self, tasks: list[_state.TaskEntry], order: placement.OrderKey
    ) -> int:
        """Returns how many of the waiting tasks of a step may start now.

        Args:
            tasks: The tasks.
            order: Their sort key.
        """
        first = tasks[0]
        if not first.step.is_long_running or any(task.run for task in tasks):
            return len(tasks)
        key = (first.key.job, first.key.occurrence, first.key.step)
        if not self._is_short(first, order):
            self._room_since.pop(key, None)
            return len(tasks)
        rooms = self._count_rooms(first, len(tasks) + 1)
        if rooms < 2:
            self._room_since.pop(key, None)
            return 0
        now = self._context.get_now()
        since = self._room_since.setdefault(key, now)
        # One place is left for the urgent tasks.
        return rooms - 1 if now - since >= _MAX_WAIT_BESIDE_ROOM else 0

    def _is_short(
        self, task: _state.TaskEntry, order: placement.OrderKey
    ) -> bool:
        """Returns whether urgent tasks lack the room that a task would use."""
        service = task.job.job.queue.service
        return any(
            short == service and priority <= order.priority
            for short, priority in self._short
        )

    def _count_rooms(self, task: _state.TaskEntry, most: int) -> int:
        """Returns how many runners have room for a task, up to a number.

        Those that get no tasks at present count as well: what is free there is
        room in the sense of the fault.
        """
        service = task.job.job.queue.service
        rooms = (
            entry
            for entry in self._context.fleet.values()
            if entry.load.has_capacity(task.step)
            and entry.load.service == service
            and entry.is_registered
            and not entry.record.is_draining
            and placement.is_allowed(entry.load, task.key, task.step)
        )
        return sum(1 for _ in itertools.islice(rooms, most))
