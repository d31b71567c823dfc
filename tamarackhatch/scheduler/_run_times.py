"""Feeds the model of run times with exits, and describes runs to it."""

import datetime

from tamarackhatch import forecast
from tamarackhatch import model
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state


def make_work(task: _state.TaskEntry) -> forecast.StepWork:
    """Returns what the run time of a task depends on."""
    key, step = task.key, task.step
    return forecast.StepWork(
        (key.job, key.occurrence, key.step),
        (task.job.job.queue.name, step.image, key.step),
        step.estimate,
    )


def make_run(
    task: _state.TaskEntry, slowdown: float, rate: float | None
) -> forecast.RunInProgress:
    """Returns what is known of the present run of a task.

    Args:
        task: A task with a run.
        slowdown: Factor by which it takes longer where it runs.
        rate: Its progress in per cent per second; None if not measured.
    """
    return forecast.RunInProgress(
        make_work(task),
        task.placed_at,
        slowdown,
        task.progress_percent,
        task.progress_reported_at,
        rate,
        _is_partial(task),
    )


def get_slowdown(
    task: _state.TaskEntry, runner: _state.TaskRunner, slowdown: float
) -> float:
    """Returns the factor by which a run takes longer on a runner.

    Args:
        task: Task of the run.
        runner: The runner.
        slowdown: Factor away from the task's data, or spread over racks.
    """
    return 1.0 if is_near(task, runner) else slowdown


def is_near(task: _state.TaskEntry, runner: _state.TaskRunner) -> bool:
    """Returns whether a runner is near the data and the group of a task."""
    step = task.step
    if step.preferred_rack and step.preferred_rack not in runner.load.labels:
        return False
    if not step.is_rack_sensitive:
        return True
    rack = runner.load.rack
    return all(
        other.runner is None or other.runner.load.rack == rack
        for other in task.siblings
    )


def record_exit(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    task: _state.TaskEntry,
    run_exit: model.RunExit,
) -> None:
    """Records how long a run took, before the exit changes the task.

    Runs that were not seen from their start to their end are left out.
    """
    slowdown = context.settings.bounds.remote_slowdown
    if (
        slowdown is None
        or run_exit.reason is not model.ExitReason.DONE
        or task.step.is_long_running
        or task.runner is not entry
        or _is_partial(task)
    ):
        return
    now = context.get_now()
    context.run_times.record_run(
        make_work(task),
        (now - task.placed_at) / get_slowdown(task, entry, slowdown),
        now,
    )


def estimate_run_time(
    context: _context.SchedulerContext,
    task: _state.TaskEntry,
    now: datetime.timedelta,
) -> forecast.RunTime | None:
    """Returns the run time of a waiting task near its data."""
    slowdown = context.settings.bounds.remote_slowdown or 1.0
    projections = []
    if not task.step.is_long_running:
        for other in task.siblings:
            if (
                other.runner is None
                or other.progress_reported_at is None
                or other.phase is not _state.TaskPhase.RUNNING
            ):
                continue
            factor = get_slowdown(other, other.runner, slowdown)
            projection = forecast.project_run_time(
                make_run(other, factor, None)
            )
            if projection is not None:
                projections.append(projection)
    return context.run_times.estimate_run_time(
        make_work(task), now, projections
    )


def _is_partial(task: _state.TaskEntry) -> bool:
    """Returns whether the present run may have begun or resumed before."""
    has_run_before = task.last_exited_run > 0 and task.step.is_checkpointing
    return task.is_adopted or has_run_before
