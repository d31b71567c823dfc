"""Phases of tasks, and the tasks that wait for a runner."""

from collections.abc import Callable

from tamarackhatch import clock
from tamarackhatch.scheduler import _state

StepName = tuple[str, int, int]


class TaskPhases:
    """Changes the phases of tasks and keeps those that wait."""

    def __init__(self, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._waiting: dict[StepName, dict[int, _state.TaskEntry]] = {}
        self._wake: Callable[[], None] = lambda: None

    @property
    def waiting(self) -> dict[StepName, dict[int, _state.TaskEntry]]:
        """Tasks that wait for a runner, by step and index."""
        return self._waiting

    def set_callback(self, wake: Callable[[], None]) -> None:
        """Sets the function to call when a task starts to wait."""
        self._wake = wake

    def requeue_task(self, task: _state.TaskEntry) -> None:
        """Lets a task without a run wait for a runner or for other steps.

        A task of a finished job is done, and one of a held occurrence waits
        for the occurrence's turn.
        """
        entry = task.job
        if entry.state.is_final or task.phase is _state.TaskPhase.DONE:
            self.enter_phase(task, _state.TaskPhase.DONE)
            return
        task.confirmed = None
        key = task.key
        occurrence = entry.occurrences[key.occurrence]
        if occurrence.is_held or any(
            occurrence.remaining[before] for before in task.step.after
        ):
            self.enter_phase(task, _state.TaskPhase.BLOCKED)
            return
        self.enter_phase(task, _state.TaskPhase.WAITING)
        if task.waiting_since is None:
            task.waiting_since = task.phase_since
        name = (key.job, key.occurrence, key.step)
        self._waiting.setdefault(name, {})[key.index] = task
        self._wake()

    def remove_waiting(self, task: _state.TaskEntry) -> None:
        """Removes a task from those that wait for a runner."""
        key = task.key
        name = (key.job, key.occurrence, key.step)
        group = self._waiting.get(name)
        if group is not None and group.pop(key.index, None) is not None:
            if not group:
                del self._waiting[name]

    def enter_phase(
        self, task: _state.TaskEntry, phase: _state.TaskPhase
    ) -> None:
        """Records that a task is in a phase from now on."""
        task.phase = phase
        task.phase_since = self._clock.get_monotonic()
