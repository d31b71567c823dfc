"""Runners as the scheduler knows them."""

import collections
import datetime

import attrs

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _state

# A runner's steady clock may be slower than ours by this share.
_CLOCK_DRIFT = 0.02
# Covers rounding of the runner's clock to milliseconds.
_EXPIRY_MARGIN = datetime.timedelta(milliseconds=50)
# A runner that has not answered for this long gets no new tasks. A renewal
# may wait up to 1.5 s for an exit.
TRUST = datetime.timedelta(milliseconds=2600)


@attrs.define(eq=False)
class RunnerEntry:
    """A runner.

    Attributes:
        record: Its latest entry in the registry.
        load: What runs there.
        is_registered: Whether the registry lists it at present.
        is_tracked: Whether the durable list of tracked runners names it.
        is_untracked: Whether the list of tracked runners is to name it no
            more. It gets no task, so that no later scheduler has to ask it.
        incarnation: Incarnation that last answered; 0 before the first answer.
        tasks: Tasks that run there or may run there.
        lease_end: Latest lease end that any command has carried, on the
            runner's clock.
        clock: Reading of the runner's clock in its last answer.
        clock_read: Monotonic time at which that answer came.
        processed_exit: Number of the last exit that was taken into account.
        acknowledged_exit: Number of the last exit that is kept durably.
        pending_acks: Exits that are not durable yet, as pairs of their number
            and the writer's generation that makes them so.
        missed_renewals: Renewals in a row that got no answer.
        failures: Failed runs there, beyond those of other runners; decays.
        avoid_until: Monotonic time until which it gets no new tasks.
    """

    record: model.Runner
    load: placement.RunnerLoad
    is_registered: bool = True
    is_tracked: bool = False
    is_untracked: bool = False
    incarnation: int = 0
    tasks: dict[model.TaskKey, _state.TaskEntry] = attrs.field(factory=dict)
    lease_end: datetime.timedelta = datetime.timedelta()
    clock: datetime.timedelta = datetime.timedelta()
    clock_read: datetime.timedelta | None = None
    processed_exit: int = 0
    acknowledged_exit: int = 0
    pending_acks: collections.deque[tuple[int, int]] = attrs.field(
        factory=collections.deque
    )
    missed_renewals: int = 0
    failures: float = 0.0
    avoid_until: datetime.timedelta = datetime.timedelta()

    @property
    def identifier(self) -> str:
        """Identity of the runner."""
        return self.record.identifier

    def assign(self, task: _state.TaskEntry) -> None:
        """Counts a task in as one that may run here."""
        self.tasks[task.key] = task
        task.runner = self
        self.load.add(task.key, task.step)

    def record_working(
        self, task: _state.TaskEntry, now: datetime.timedelta
    ) -> None:
        """Notes that a run of a task is known to work here."""
        if task.step.is_best_effort:
            self.load.best_effort_usage.start(
                task.key, task.step.image, task.step.resources.processors, now
            )

    def release(self, task: _state.TaskEntry, now: datetime.timedelta) -> None:
        """Counts a task out, because no run of it can be here any more."""
        if self.tasks.pop(task.key, None) is None:
            return
        task.runner = None
        self.load.remove(task.key, task.step)
        self.load.best_effort_usage.end(task.key, now)

    @property
    def is_idle(self) -> bool:
        """Whether nothing can run here and all exits are kept durably."""
        return not self.tasks and not self.pending_acks

    def compute_lease_end(
        self, now: datetime.timedelta, lease: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns the end of a lease granted now, and notes it.

        Any command that carries the result may be carried out. A runner that
        does not answer gets no new lease, or its tasks would never be known
        to have ended; None stands for that.
        """
        if self.clock_read is None or self.missed_renewals:
            return None
        lease_end = self.clock + (now - self.clock_read) + lease
        self.lease_end = max(self.lease_end, lease_end)
        return lease_end

    def is_lease_expired(self, now: datetime.timedelta) -> bool:
        """Tells whether every lease granted here has certainly passed."""
        if self.clock_read is None:
            return False
        elapsed = (now - self.clock_read) * (1 - _CLOCK_DRIFT)
        return self.clock + elapsed > self.lease_end + _EXPIRY_MARGIN

    def is_schedulable(self, now: datetime.timedelta) -> bool:
        """Tells whether new tasks may be placed here."""
        return (
            self.is_registered
            and self.is_tracked
            and not self.is_untracked
            and not self.record.is_draining
            and self.clock_read is not None
            and self.missed_renewals == 0
            and now - self.clock_read < TRUST
            and now >= self.avoid_until
        )


def make_entry(record: model.Runner) -> RunnerEntry:
    """Returns the entry of a runner on which nothing is known to run."""
    return RunnerEntry(
        record,
        placement.RunnerLoad(
            record.identifier, record.service, record.capacity, record.labels
        ),
    )
