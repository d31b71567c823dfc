"""Jobs and their tasks, as kept in the ``jobs`` table."""

import datetime
import enum

import attrs

from tamarackhatch.model import _resources


@attrs.frozen(order=True)
class TaskId:
    """Identity of one task of a job."""

    job: str
    index: int

    def __str__(self) -> str:
        return f"{self.job}/{self.index}"


class TaskState(enum.Enum):
    """Life of a task; only PLACED tasks hold a commitment on a worker."""

    PENDING = "pending"
    PLACED = "placed"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobState(enum.Enum):
    """Life of a job."""

    ACTIVE = "active"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class JobSpec:
    """What a team submitted.

    Attributes:
        job: Identity chosen by the submitter; unique.
        team: Team whose quota the job uses.
        kind: Label under which interference is learned.
        task_count: Number of equal tasks.
        resources: Declared need of one task.
        command: Opaque text handed to the worker.
        urgent: Whether the job may displace batch tasks that are not.
        submitted_at: UTC time of the submission.
        expected_duration: Declared run time; a hint that may be wrong.
    """

    job: str
    team: str
    kind: str
    task_count: int
    resources: _resources.Resources
    command: str
    urgent: bool
    submitted_at: datetime.datetime
    expected_duration: datetime.timedelta


@attrs.frozen
class Task:
    """One task of a job.

    Attributes:
        index: Position in the job, from 0.
        state: Where the task is in its life.
        attempt: Rises by one with every placement; part of the fencing token.
        worker: Worker that holds the commitment while PLACED.
        checkpoint: Object key to resume from, or None.
        failures: Number of attempts that the task itself failed.
        failed_workers: Workers on which it failed.
        not_before: Earliest UTC time of the next placement, or None.
        reason: Why it is in this state, for ``explain``.
    """

    index: int
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    worker: str | None = None
    checkpoint: str | None = None
    failures: int = 0
    failed_workers: tuple[str, ...] = ()
    not_before: datetime.datetime | None = None
    reason: str = ""


@attrs.frozen
class Job:
    """The row of a job."""

    spec: JobSpec
    state: JobState
    tasks: tuple[Task, ...]
    reason: str = ""
