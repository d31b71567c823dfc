"""Builds occurrences from the progress that earlier schedulers stored."""

from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch.scheduler import _state


def build_occurrence(
    entry: _state.JobEntry,
    number: int,
    progress: records.OccurrenceProgress | None,
) -> _state.OccurrenceEntry:
    """Builds the tasks of an occurrence and restores their progress."""
    job = entry.job
    steps = []
    remaining = []
    for step_index, step in enumerate(job.steps):
        done = (
            0 if progress is None else progress.done_tasks.get(step_index, 0)
        )
        tasks: list[_state.TaskEntry] = []
        for index in range(step.count):
            key = model.TaskKey(job.identifier, number, step_index, index)
            task = _state.TaskEntry(key, step, entry, siblings=tasks)
            if done >> index & 1:
                task.phase = _state.TaskPhase.DONE
            history = (
                None
                if progress is None
                else progress.tasks.get((step_index, index))
            )
            if history is not None:
                task.run = task.last_exited_run = history.last_exited_run
                task.failed_runs = frozenset(history.failed_runs)
                task.checkpoint = history.checkpoint
                task.crashes = dict(history.crashes)
                task.expected_crashes = dict(history.expected_crashes)
            tasks.append(task)
        steps.append(tasks)
        remaining.append(
            sum(1 for task in tasks if task.phase is not _state.TaskPhase.DONE)
        )
    return _state.OccurrenceEntry(number, steps, remaining)
