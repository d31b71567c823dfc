"""Interface of the client of the platform's workers.

Each call carries the owner's epoch. A worker refuses an epoch below the
highest it has seen.
"""

import datetime
import enum
import typing

import attrs

from tamarackhatch import model


@attrs.frozen
class StartTask:
    """Order to start one task attempt under a lease.

    The lease ends at a UTC time rather than after a duration, so that an
    order that was delayed on its way is refused instead of run late.
    """

    task: model.TaskId
    attempt: int
    kind: str
    resources: model.Resources
    command: str
    checkpoint: str | None
    lease_until: datetime.datetime


class ReportedState(enum.Enum):
    """State of a task attempt, as its worker reports it."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@attrs.frozen
class ReportedTask:
    """One task attempt known to a worker.

    Attributes:
        task: Identity of the task.
        attempt: Attempt that was started.
        state: Where it is.
        checkpoint: Object key of its newest checkpoint, or None.
        reason: The worker's words for a failure.
    """

    task: model.TaskId
    attempt: int
    state: ReportedState
    checkpoint: str | None = None
    reason: str = ""


@attrs.frozen
class TaskUsage:
    """Measured use of one running task."""

    task: model.TaskId
    processors: int
    memory_mb: int


@attrs.frozen
class UsageReport:
    """Measured use of a worker; it lags, ``as_of`` tells by how much."""

    as_of: datetime.datetime
    tasks: tuple[TaskUsage, ...]


class WorkerClient(typing.Protocol):
    """Client of workers.

    Every call raises WorkerUnavailableError (it did not happen),
    WorkerOutcomeUnknownError (it may have happened) or WorkerRefusedError.
    """

    async def start_task(
        self, address: str, epoch: int, order: StartTask
    ) -> None:
        """Starts an attempt; starting the same attempt twice is no error."""
        ...

    async def renew_leases(
        self,
        address: str,
        epoch: int,
        tasks: tuple[model.TaskId, ...],
        lease_until: datetime.datetime,
    ) -> tuple[model.TaskId, ...]:
        """Extends leases; returns the tasks that were still running."""
        ...

    async def throttle_task(
        self, address: str, epoch: int, task: model.TaskId, percent: int
    ) -> None:
        """Limits a task to a share of its processors; 100 lifts it."""
        ...

    async def checkpoint_task(
        self, address: str, epoch: int, task: model.TaskId
    ) -> str:
        """Writes a checkpoint; returns its object key."""
        ...

    async def stop_task(
        self, address: str, epoch: int, task: model.TaskId
    ) -> ReportedTask:
        """Stops a task; returns once it no longer runs."""
        ...

    async def list_tasks(
        self, address: str, epoch: int
    ) -> tuple[ReportedTask, ...]:
        """Returns all attempts known to the worker, ended ones included."""
        ...

    async def read_usage(self, address: str) -> UsageReport:
        """Returns the newest usage report."""
        ...
