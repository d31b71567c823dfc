"""Ends of task attempts and their effect on the rows."""

import datetime
import enum

import attrs

from tamarackhatch import declarations
from tamarackhatch import model
from tamarackhatch import placement


class EndKind(enum.Enum):
    """How an attempt ended; in each case it certainly no longer runs."""

    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    LAPSED = "lapsed"
    LOST = "lost"


@attrs.frozen
class AttemptKey:
    """One attempt of one task."""

    task: model.TaskId
    attempt: int

    def __str__(self) -> str:
        return f"{self.task}#{self.attempt}"


@attrs.frozen
class Ended:
    """An attempt that certainly no longer runs.

    Attributes:
        worker: Worker that it ran on.
        epoch: Epoch under which its owner saw the end.
        key: The attempt.
        kind: How it ended.
        checkpoint: Newest checkpoint that the worker reported, or None.
        reason: Why, for ``explain``.
        is_worker_silent: Whether the worker itself could not be reached.
    """

    worker: str
    epoch: int
    key: AttemptKey
    kind: EndKind
    checkpoint: str | None
    reason: str
    is_worker_silent: bool = False


@attrs.frozen
class Settled:
    """Rows after an attempt was settled."""

    job: model.Job | None
    record: model.WorkerRecord
    team: model.TeamRecord


def find_commitment(
    record: model.WorkerRecord, key: AttemptKey
) -> model.Commitment | None:
    """Returns the commitment of the attempt, or None if it was freed."""
    for commitment in record.commitments:
        if commitment.task == key.task and commitment.attempt == key.attempt:
            return commitment
    return None


def settle_attempt(
    rows: Settled,
    ended: Ended,
    now: datetime.datetime,
    policy: declarations.BatchPolicy,
) -> Settled:
    """Returns the rows with the commitment freed and the task updated.

    An attempt without a commitment was settled before; the rows are
    returned unchanged.
    """
    commitment = find_commitment(rows.record, ended.key)
    if commitment is None:
        return rows
    job = rows.job
    is_active = job is not None and job.state is model.JobState.ACTIVE
    record = attrs.evolve(
        rows.record,
        commitments=tuple(
            item for item in rows.record.commitments if item != commitment
        ),
        health=_update_health(rows.record.health, ended, is_active, now),
    )
    team = attrs.evolve(
        rows.team,
        in_use=_subtract(rows.team.in_use, commitment.resources),
    )
    if job is not None:
        job = _update_job(job, commitment, ended, now, policy)
    return Settled(job, record, team)


def _update_health(
    health: model.WorkerHealth,
    ended: Ended,
    is_active: bool,
    now: datetime.datetime,
) -> model.WorkerHealth:
    if ended.kind is EndKind.FINISHED:
        return model.WorkerHealth()
    if ended.kind is EndKind.FAILED and is_active:
        return placement.compute_health_after_failure(
            health, ended.key.task.job, now
        )
    if ended.is_worker_silent and (
        health.probe_at is None or now >= health.probe_at
    ):
        # Without the pause, a silent worker that is still listed would be
        # given the same tasks again at once.
        return placement.compute_quarantine(health, now)
    return health


def _subtract(
    total: model.Resources, freed: model.Resources
) -> model.Resources:
    left = total - freed
    return model.Resources(
        max(left.processors, 0),
        max(left.memory_mb, 0),
        max(left.accelerators, 0),
    )


def _update_job(
    job: model.Job,
    commitment: model.Commitment,
    ended: Ended,
    now: datetime.datetime,
    policy: declarations.BatchPolicy,
) -> model.Job:
    index = commitment.task.index
    task = job.tasks[index] if index < len(job.tasks) else None
    if (
        task is None
        or task.state is not model.TaskState.PLACED
        or task.attempt != commitment.attempt
    ):
        return job
    updated = _update_task(job, task, ended, now, policy)
    tasks = (*job.tasks[:index], updated, *job.tasks[index + 1 :])
    job = attrs.evolve(job, tasks=tasks)
    if job.state is not model.JobState.ACTIVE:
        return job
    if updated.state is model.TaskState.FAILED:
        return _fail_job(job, updated)
    if all(item.state is model.TaskState.FINISHED for item in tasks):
        return attrs.evolve(
            job, state=model.JobState.FINISHED, reason="all tasks finished"
        )
    return job


def _update_task(
    job: model.Job,
    task: model.Task,
    ended: Ended,
    now: datetime.datetime,
    policy: declarations.BatchPolicy,
) -> model.Task:
    checkpoint = ended.checkpoint or task.checkpoint
    task = attrs.evolve(task, worker=None, reason=ended.reason)
    if ended.kind is EndKind.FINISHED:
        return attrs.evolve(task, state=model.TaskState.FINISHED)
    if job.state is not model.JobState.ACTIVE:
        return attrs.evolve(task, state=model.TaskState.CANCELLED)
    task = attrs.evolve(
        task, state=model.TaskState.PENDING, checkpoint=checkpoint
    )
    if ended.kind is EndKind.EVICTED:
        return task
    if ended.kind is not EndKind.FAILED:
        return attrs.evolve(task, not_before=now + policy.retry_delay)
    failures = task.failures + 1
    failed_workers = task.failed_workers
    if ended.worker not in failed_workers:
        failed_workers = (*failed_workers, ended.worker)
    task = attrs.evolve(
        task,
        failures=failures,
        failed_workers=failed_workers,
        not_before=now + policy.retry_delay * 2 ** (failures - 1),
    )
    if failures < policy.max_attempts:
        return task
    return attrs.evolve(task, state=model.TaskState.FAILED, not_before=None)


def _fail_job(job: model.Job, failed: model.Task) -> model.Job:
    tasks = tuple(
        (
            attrs.evolve(
                task,
                state=model.TaskState.CANCELLED,
                reason=f"task {failed.index} used up its attempts",
            )
            if task.state is model.TaskState.PENDING
            else task
        )
        for task in job.tasks
    )
    workers = ", ".join(failed.failed_workers)
    return attrs.evolve(
        job,
        state=model.JobState.FAILED,
        tasks=tasks,
        reason=(
            f"task {failed.index} failed {failed.failures} times,"
            f" on {workers}; last: {failed.reason}"
        ),
    )
