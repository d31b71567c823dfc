"""Runners that are kept free until a large task fits there.

Answers the load in which small tasks and long-running ones take each piece of
capacity as soon as it is free, so that a task which needs more never fits.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import math

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _load
from tamarackhatch.placement import _order

# Longest time that a runner is reserved. Idle capacity while a long-running
# task waits is a fault after 3 s.
MAX_DURATION = datetime.timedelta(milliseconds=2500)
# After a reservation that failed, the runner is not reserved again at once.
_REST = datetime.timedelta(seconds=5)
# A task that fits into ordinary pieces of capacity gets one within this time.
_MIN_WAIT = datetime.timedelta(seconds=1)
# Of a service, at most this share of the runners is reserved, and at least
# one.
_MAX_SHARE = 0.05

StepKey = tuple[str, int, int]
_LEAST_URGENT: _order.Urgency = (math.inf, _order.Rank.OVERDUE_BATCH)


@attrs.frozen
class TransientRun:
    """A run that will end by itself.

    Attributes:
        reserved: Resources that it reserves.
        remaining: Expected time until it ends.
    """

    reserved: model.Resources
    remaining: datetime.timedelta


@attrs.frozen
class Reservation:
    """A runner that is kept for the waiting tasks of a step.

    Attributes:
        step: The step.
        runner: Identifier of the runner.
        since: Monotonic time at which it began.
        urgency: Urgency of the step's tasks at that time.
    """

    step: StepKey
    runner: str
    since: datetime.timedelta
    urgency: _order.Urgency = _LEAST_URGENT


def compute_release_time(
    load: _load.RunnerLoad, step: model.Step, runs: Iterable[TransientRun]
) -> datetime.timedelta | None:
    """Returns the expected time until a task of a step fits on a runner.

    Args:
        load: Reservations on the runner.
        step: Step of the task.
        runs: Runs on the runner that end by themselves; read only if the
            task does not fit now and may fit later.

    Returns:
        The time; None if the task does not fit even after all of these.
    """
    demand, capacity, other = step.reserved, load.capacity, load.unassigned
    processors = (
        capacity.processors
        - other.processors
        - load.reserved_cpu
        - demand.processors
    )
    if processors + load.batch_cpu < 0:
        # Serving tasks hold the processors, and do not end.
        return None
    memory_mb = (
        capacity.memory_mb
        - other.memory_mb
        - load.reserved_memory_mb
        - demand.memory_mb
    )
    accelerators = (
        capacity.accelerators
        - other.accelerators
        - load.reserved_accelerators
        - demand.accelerators
    )
    if processors >= 0 and memory_mb >= 0 and accelerators >= 0:
        return datetime.timedelta()
    for run in sorted(runs, key=lambda run: run.remaining):
        processors += run.reserved.processors
        memory_mb += run.reserved.memory_mb
        accelerators += run.reserved.accelerators
        if processors >= 0 and memory_mb >= 0 and accelerators >= 0:
            return run.remaining
    return None


class Reservations:
    """The reservations of one scheduler; in memory only."""

    def __init__(self) -> None:
        self._by_step: dict[StepKey, Reservation] = {}
        self._resting: dict[str, datetime.timedelta] = {}

    @property
    def active(self) -> Collection[Reservation]:
        """The reservations in force."""
        return self._by_step.values()

    def find(self, step: StepKey) -> Reservation | None:
        """Returns the reservation for a step, if there is one."""
        return self._by_step.get(step)

    def expire(
        self, waiting: Collection[StepKey], now: datetime.timedelta
    ) -> list[Reservation]:
        """Ends reservations that are too old or no longer needed.

        Args:
            waiting: Steps with waiting tasks.
            now: Monotonic time.

        Returns:
            Those that ended without having been used.
        """
        failed = []
        for reservation in list(self._by_step.values()):
            is_old = _is_old(reservation, now)
            if is_old:
                failed.append(reservation)
                self._resting[reservation.runner] = now + _REST
            if is_old or reservation.step not in waiting:
                del self._by_step[reservation.step]
        self._resting = {
            runner: end for runner, end in self._resting.items() if end > now
        }
        return failed

    def list_current(
        self, waiting: Collection[StepKey], now: datetime.timedelta
    ) -> list[Reservation]:
        """Returns the reservations that `expire` would leave in force."""
        return [
            reservation
            for reservation in self._by_step.values()
            if reservation.step in waiting and not _is_old(reservation, now)
        ]

    def release(self, step: StepKey) -> None:
        """Ends the reservation for a step, if there is one."""
        self._by_step.pop(step, None)

    def may_reserve(
        self,
        step: StepKey,
        waited: datetime.timedelta,
        runners: int,
        is_long_running_waiting: bool,
    ) -> bool:
        """Returns whether a runner may be reserved for a step now.

        Args:
            step: The step, some of whose tasks fit nowhere.
            waited: How long they have waited.
            runners: Number of runners that may get tasks of its service.
            is_long_running_waiting: Whether long-running tasks wait. They
                must start where there is capacity for two of them, so that
                the free parts of two runners must not be kept from them.
        """
        if step in self._by_step or waited < _MIN_WAIT:
            return False
        limit = 1
        if not is_long_running_waiting:
            limit = max(1, int(runners * _MAX_SHARE))
        return len(self._by_step) < limit

    def reserve(
        self,
        step: StepKey,
        options: Sequence[tuple[str, datetime.timedelta]],
        now: datetime.timedelta,
        urgency: _order.Urgency = _LEAST_URGENT,
    ) -> Reservation | None:
        """Reserves the runner on which a task of a step fits soonest.

        Args:
            step: The step.
            options: Identifiers of possible runners, each with the expected
                time until the task fits there.
            now: Monotonic time.
            urgency: Urgency of the step's tasks.

        Returns:
            The reservation; None if the task does not fit soon enough on any
            runner that is not reserved.
        """
        taken = {reservation.runner for reservation in self.active}
        free = [
            (release, runner)
            for runner, release in options
            if release < MAX_DURATION
            and runner not in taken
            and runner not in self._resting
        ]
        if not free:
            return None
        _, runner = min(free)
        reservation = Reservation(step, runner, now, urgency)
        self._by_step[step] = reservation
        return reservation


def _is_old(reservation: Reservation, now: datetime.timedelta) -> bool:
    return now - reservation.since >= MAX_DURATION
