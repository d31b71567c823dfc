"""Records starts in the store before they are sent.

A killed scheduler may leave a start command that its runner carries out
seconds later. Its successor must know that command: it must not start the task
on another runner, nor acknowledge the exit of its own run, until the command
is too old to arrive.
"""

import asyncio
from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import election
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.scheduler import _load_monitor
from tamarackhatch.scheduler import _start_attempts

# Longer than writes take while the store is slow. If it confirms nothing for
# so long, tasks start unrecorded rather than wait for the end of an outage.
_MAX_WAIT = datetime.timedelta(seconds=1)
_MIN_EXPIRY_PAUSE = datetime.timedelta(milliseconds=10)


class StartRecords:
    """Prepares the row of open starts, and lets starts wait for it."""

    def __init__(
        self,
        time_source: clock.Clock,
        start_attempts: _start_attempts.StartAttempts,
        leader_lease: election.LeaderLease,
        log: observability.Log,
        metrics: observability.Metrics,
        load_monitor: _load_monitor.LoadMonitor,
    ) -> None:
        self._clock = time_source
        self._start_attempts = start_attempts
        self._leader_lease = leader_lease
        self._log = log
        self._metrics = metrics
        self._load_monitor = load_monitor
        self._request_write: Callable[[], None] = lambda: None
        self._is_enabled = False
        self._is_closed = False
        # Starts, without the time left, in the stored row and in that of the
        # transaction in progress; None if that is not known.
        self._stored: frozenset[object] | None = frozenset()
        self._written: frozenset[object] | None = None
        self._written_deliveries: list[_start_attempts.StartDelivery] = []
        self._has_unrecorded = False
        self._has_urgent = False
        self._waits: dict[
            _start_attempts.StartDelivery, asyncio.Future[None]
        ] = {}
        # Ends waits that are too long, while there are any.
        self._expiry: asyncio.Task[None] | None = None

    @property
    def is_closed(self) -> bool:
        """Whether nothing more is recorded, so that nothing may be sent."""
        return self._is_closed

    @property
    def is_due(self) -> bool:
        """Whether a start waits to be recorded."""
        return self._is_enabled and self._has_unrecorded

    @property
    def has_urgent(self) -> bool:
        """Whether the start of an urgent task waits to be recorded."""
        return self.is_due and self._has_urgent

    def set_callback(self, request_write: Callable[[], None]) -> None:
        """Sets the function that requests a write of the row."""
        self._request_write = request_write

    def enable(self) -> None:
        """Allows writes, which replace what earlier terms recorded."""
        self._is_enabled = True
        self._stored = None

    def close(self) -> None:
        """Ends all waits, because the term ends."""
        self._is_closed = True
        self._end_waits()

    def begin(
        self,
        task: model.TaskKey,
        run: int,
        runner: str,
        is_urgent: bool = True,
    ) -> _start_attempts.StartDelivery:
        """Requests that the start of a run be recorded.

        Args:
            task: The task.
            run: Number of the run.
            runner: Identifier of the runner.
            is_urgent: Whether its record goes before those of others.
        """
        delivery = self._start_attempts.begin_delivery(
            task, run, runner, is_urgent
        )
        self._request_record(delivery)
        return delivery

    def repeat(self, delivery: _start_attempts.StartDelivery) -> None:
        """Requests that the repetition of a start command be recorded."""
        if not delivery.is_repeated:
            delivery.is_repeated = True
            delivery.is_recorded = False
            delivery.requested = self._clock.get_monotonic()
            self._request_record(delivery)

    def end(self, delivery: _start_attempts.StartDelivery) -> None:
        """Records that no further command of a run will be sent."""
        self._start_attempts.end_delivery(delivery)

    async def wait_until_recorded(
        self, delivery: _start_attempts.StartDelivery
    ) -> None:
        """Waits until a successor would know of a start.

        Returns early if the store does not confirm it in time, or if the term
        ends.
        """
        if delivery.is_recorded or self._is_closed:
            return
        if self._compute_remaining(delivery) > datetime.timedelta():
            wait = asyncio.get_running_loop().create_future()
            self._waits[delivery] = wait
            if self._expiry is None or self._expiry.done():
                self._expiry = asyncio.create_task(self._end_expired_waits())
            try:
                await wait
            finally:
                self._waits.pop(delivery, None)
        if not delivery.is_recorded and not self._is_closed:
            self._metrics.unrecorded_starts.inc()
            self._load_monitor.counters.unrecorded += 1
            self._log.info(
                "start_unrecorded",
                task=str(delivery.task),
                run=delivery.run,
                runner=delivery.runner,
            )

    def _compute_remaining(
        self, delivery: _start_attempts.StartDelivery
    ) -> datetime.timedelta:
        """Returns how much longer a start may wait for its record."""
        return _MAX_WAIT - max(
            self._leader_lease.confirmation_age,
            self._clock.get_monotonic() - delivery.requested,
        )

    async def _end_expired_waits(self) -> None:
        """Ends the waits that are too long, until there are none."""
        while self._waits:
            for delivery, wait in list(self._waits.items()):
                remaining = self._compute_remaining(delivery)
                if remaining <= datetime.timedelta() and not wait.done():
                    wait.set_result(None)
            remaining = min(
                map(self._compute_remaining, self._waits), default=_MAX_WAIT
            )
            await self._clock.sleep(max(_MIN_EXPIRY_PAUSE, remaining))

    def prepare(self, has_heartbeat: bool) -> list[model.Put]:
        """Returns the row of open starts if it has to be written.

        Args:
            has_heartbeat: Whether the transaction contains a heartbeat. With
                it, starts that are no longer open are removed from the row.
        """
        if not self._is_enabled or not (self.is_due or has_heartbeat):
            return []
        starts = records.select_fitting_starts(
            self._start_attempts.list_open_starts()
        )
        self._written = frozenset(
            (start.task, start.run, start.runner, start.is_repeated)
            for start in starts
        )
        self._written_deliveries = [
            delivery
            for delivery in self._start_attempts.list_deliveries()
            if _get_key(delivery) in self._written
        ]
        if self._written == self._stored:
            self.record_commit()
            return []
        self._stored = None
        value = records.encode_open_starts(starts)
        return [model.Put(records.OPEN_STARTS, value)]

    def record_commit(self) -> None:
        """Records that the prepared row is durable."""
        if self._written is None:
            return
        self._stored, self._written = self._written, None
        for delivery in self._written_deliveries:
            # The start may have been repeated since.
            if _get_key(delivery) in self._stored:
                delivery.is_recorded = True
        self._written_deliveries = []
        unrecorded = [
            delivery
            for delivery in self._start_attempts.list_deliveries()
            if not delivery.is_recorded
        ]
        self._has_unrecorded = bool(unrecorded)
        self._has_urgent = any(it.is_urgent for it in unrecorded)
        self._end_waits()

    def record_failure(self) -> None:
        """Records that the prepared row may not be durable."""
        self._written = None
        self._written_deliveries = []

    def _request_record(self, delivery: _start_attempts.StartDelivery) -> None:
        is_known = self._has_unrecorded and (
            self._has_urgent or not delivery.is_urgent
        )
        self._has_unrecorded = True
        self._has_urgent |= delivery.is_urgent
        if not is_known:
            self._request_write()

    def _end_waits(self) -> None:
        """Ends the waits of starts that are recorded, or all with the term."""
        for delivery, wait in self._waits.items():
            if (delivery.is_recorded or self._is_closed) and not wait.done():
                wait.set_result(None)


def _get_key(delivery: _start_attempts.StartDelivery) -> object:
    return (
        delivery.task,
        delivery.run,
        delivery.runner,
        delivery.is_repeated,
    )
