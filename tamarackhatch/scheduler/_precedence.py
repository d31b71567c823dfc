"""Limits how long a waiting task keeps others back.

A task that goes first starts in the pass in which it can. If it does not,
something else prevents it, for which those that are kept back must not wait.
"""

from collections.abc import Iterable
import datetime

from tamarackhatch import model
from tamarackhatch.scheduler import _state

_MAX_DURATION = datetime.timedelta(seconds=1)


class Precedence:
    """Long-running tasks that go before suspects of crashes.

    Each has precedence for a limited time, from the first pass in which it
    seems to have a place until it starts.
    """

    def __init__(self) -> None:
        # By task and its latest run, since it may wait anew after that.
        self._since: dict[tuple[model.TaskKey, int], datetime.timedelta] = {}

    def copy(self) -> "Precedence":
        """Returns a copy, for a dry run."""
        copied = Precedence()
        copied._since = dict(self._since)
        return copied

    def retain(self, tasks: Iterable[_state.TaskEntry]) -> None:
        """Forgets all tasks but those that still wait."""
        if self._since:
            keys = {(task.key, task.run) for task in tasks}
            self._since = {
                key: since for key, since in self._since.items() if key in keys
            }

    def may_claim(
        self, task: _state.TaskEntry, now: datetime.timedelta
    ) -> bool:
        """Returns whether a task may still go first."""
        since = self._since.get((task.key, task.run))
        return since is None or now - since < _MAX_DURATION

    def claim(self, task: _state.TaskEntry, now: datetime.timedelta) -> None:
        """Records that a task goes first in the present pass."""
        self._since.setdefault((task.key, task.run), now)
