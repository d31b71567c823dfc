"""Records moves, and limits how many runs are moved per second."""

import collections
from collections.abc import Callable
import datetime

import attrs

from tamarackhatch import model
from tamarackhatch.stragglers import _progress

_PERIOD = datetime.timedelta(seconds=1)
# A wrong measurement must not stop much of the work at once.
_MAX_MOVED_SHARE = 0.02
# Where few runs are in progress, the share alone would allow none.
_MIN_MOVES = 1


@attrs.frozen
class TaskMoves:
    """Moves of one task.

    Attributes:
        count: Their number.
        last: Monotonic time of the last one; None if there was none.
    """

    count: int = 0
    last: datetime.timedelta | None = None


class MoveLog:
    """Moves of all tasks, and the limit of the moves in any second."""

    def __init__(self) -> None:
        self._times: collections.deque[datetime.timedelta]
        self._times = collections.deque()
        self._moves: dict[model.TaskKey, TaskMoves] = {}

    def count_allowed(self, running: int, now: datetime.timedelta) -> int:
        """Returns how many runs may be moved at a monotonic time.

        Args:
            running: Number of runs in progress.
            now: Monotonic time.
        """
        recent = sum(1 for time in self._times if now - time < _PERIOD)
        limit = max(_MIN_MOVES, int(_MAX_MOVED_SHARE * running))
        return max(0, limit - recent)

    def get_moves(self, task: model.TaskKey) -> TaskMoves:
        """Returns the moves of a task."""
        return self._moves.get(task, _NO_MOVES)

    def record_move(
        self, task: model.TaskKey, now: datetime.timedelta
    ) -> None:
        """Records that a task is moved at a monotonic time."""
        self._moves[task] = TaskMoves(self.get_moves(task).count + 1, now)
        self._times.append(now)
        while now - self._times[0] >= _PERIOD:
            self._times.popleft()

    def retain_steps(
        self, is_unfinished: Callable[[_progress.StepName], bool]
    ) -> None:
        """Discards the moves of the tasks of finished steps."""
        for task in list(self._moves):
            if not is_unfinished((task.job, task.occurrence, task.step)):
                del self._moves[task]


_NO_MOVES = TaskMoves()
