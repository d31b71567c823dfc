"""Runners and their reports of runs."""

import datetime
import enum

import attrs

from tamarackhatch.model import _jobs
from tamarackhatch.model import _resources


@attrs.frozen
class Runner:
    """A runner's entry in the registry.

    Attributes:
        identifier: Identifier, which may stay the same after a restart.
        service: Name of the service whose queues the runner serves.
        address: ``host:port`` at which the runner takes calls.
        data_centre: Data centre of the runner.
        is_draining: Whether the runner is about to leave.
        capacity: Resources that all its tasks together may reserve.
        labels: Kind of the runner, and as the last label its rack.
        incarnation: Start time of the runner's process, in Unix ms; 0 if the
            entry does not state it.
        remaining: Minimum time until a draining runner leaves; None if it is
            not draining.
        clock_reading: Time on the runner's monotonic clock when it wrote the
            entry; None if the entry does not state it.
    """

    identifier: str
    service: str
    address: str
    data_centre: str
    is_draining: bool
    capacity: _resources.Resources
    labels: tuple[str, ...] = ()
    incarnation: int = 0
    remaining: datetime.timedelta | None = None
    clock_reading: datetime.timedelta | None = None

    @property
    def rack(self) -> str:
        """Name of the rack, which is the last label; empty without labels."""
        return self.labels[-1] if self.labels else ""


class ExitReason(enum.Enum):
    """Why a run of a task exited.

    The values are those that runners send. EXPIRED means that the lease
    expired before the run was done. UNKNOWN stands for every other value.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    UNKNOWN = "unknown"


@attrs.frozen
class RunningTask:
    """A run that a runner lists as running.

    Attributes:
        task: The task.
        run: Number of the run among those of the task.
        checkpoint: Latest checkpoint; empty for none.
        progress_percent: Progress, 0 to 100; 100 for a long-running task that
            is ready.
        sample: For a serving task, the tail latency over the last half
            second, in ms. For any other task, its processor use, in
            thousandths of a core.
    """

    task: _jobs.TaskKey
    run: int
    checkpoint: str
    progress_percent: int
    sample: int = 0


@attrs.frozen
class RunExit:
    """A run that a runner lists as exited.

    Attributes:
        number: Position in the runner's sequence of exits, from 1.
        task: The task.
        run: Number of the run among those of the task.
        reason: Why the run exited.
        checkpoint: Last checkpoint; empty for none.
    """

    number: int
    task: _jobs.TaskKey
    run: int
    reason: ExitReason
    checkpoint: str


@attrs.frozen
class RunnerReport:
    """Answer of a runner to a lease renewal.

    Attributes:
        incarnation: Incarnation of the runner that answered; see Runner.
        clock_reading: Time on the runner's monotonic clock.
        running: All runs in progress.
        exits: Exits that are not acknowledged yet, oldest first.
        unreadable_running: For each entry of a run in progress that could not
            be read, the reason. A run that is not listed may be one of these.
        unreadable_exits: The same for entries of exits.
    """

    incarnation: int
    clock_reading: datetime.timedelta
    running: tuple[RunningTask, ...]
    exits: tuple[RunExit, ...]
    unreadable_running: tuple[str, ...] = ()
    unreadable_exits: tuple[str, ...] = ()
