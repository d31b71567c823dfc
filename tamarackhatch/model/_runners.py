"""Runners and what they report."""

import datetime
import enum

import attrs

from tamarackhatch.model import _jobs
from tamarackhatch.model import _resources


@attrs.frozen
class Runner:
    """A runner's entry in the registry.

    Attributes:
        identifier: Identity, which a restarted runner may keep.
        service: Service whose queues it runs.
        address: ``host:port`` of its calls.
        data_centre: Where it stands.
        is_draining: Whether it is about to leave.
        capacity: What its tasks may reserve together.
        labels: Its kind and its rack.
        incarnation: Start of this incarnation, in milliseconds of Unix time; 0
            if the entry does not say.
        remaining: Least time until a draining runner leaves; None if it
            is not draining.
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

    @property
    def rack(self) -> str:
        """The last label, which names the rack; empty without labels."""
        return self.labels[-1] if self.labels else ""


class ExitReason(enum.Enum):
    """Why a run of a task exited."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class RunningTask:
    """A run that a runner lists as running.

    Attributes:
        task: The task.
        run: Number of the run.
        checkpoint: Latest checkpoint; empty for none.
        percent: Progress; 100 for a long-running task at work.
        sample: For a serving task the tail latency over the
            last half second, in milliseconds; for any other task its
            processor use, in thousandths of a core.
    """

    task: _jobs.TaskKey
    run: int
    checkpoint: str
    percent: int
    sample: int = 0


@attrs.frozen
class RunExit:
    """A run that a runner lists as exited.

    Attributes:
        number: Position in the runner's sequence of exits, from 1.
        task: The task.
        run: Number of the run.
        reason: Why it exited.
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
        incarnation: Incarnation that answered; see Runner.
        clock: Reading of the runner's steady clock.
        running: All runs in progress.
        exits: Exits that were not acknowledged yet, oldest first.
    """

    incarnation: int
    clock: datetime.timedelta
    running: tuple[RunningTask, ...]
    exits: tuple[RunExit, ...]
