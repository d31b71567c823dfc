"""Answers how many jobs of a queue wait."""

import asyncio
import datetime
import typing

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records

# The platform's callers allow for a number that is two seconds old.
_MAX_AGE = datetime.timedelta(seconds=2)
# They also allow three seconds until a job is visible. A number within both is
# right for them, so that it is used while the store cannot be read.
_MAX_AGE_WITHOUT_STORE = datetime.timedelta(seconds=4)
# Callers wait for 3 s unless they say otherwise.
_MAX_WAIT = datetime.timedelta(milliseconds=1500)
# A full read transfers all jobs, so that it leaves most of the link to others.
# Each takes 17 calls or more: two hundred instances that are all asked for an
# unknown number use a fifth of the 2,000 reads a second that a store allows.
_MIN_FULL_READ_PAUSE = datetime.timedelta(seconds=10)
_REST_PER_READ_TIME = 5
# The store keeps its history for 20 s, so that later changes could not be
# added to a read that took longer.
_MAX_FULL_READ_TIME = datetime.timedelta(seconds=20)


class PendingCountSource(typing.Protocol):
    """Source of the numbers of pending jobs."""

    @property
    def is_active(self) -> bool:
        """Whether this instance is the active scheduler."""
        ...

    @property
    def term(self) -> int:
        """Term of the latest scheduler that is known; 0 for none."""
        ...

    def get_pending_count(self) -> model.PendingCount | None:
        """Returns the numbers of pending jobs; None while not known."""
        ...


class PendingCounter:
    """Counts the pending jobs of a queue for callers.

    Uses the scheduler's count while it is young. If it is not, as in a series
    of takeovers, the jobs that were stored since are counted from their rows.
    """

    def __init__(
        self,
        source: PendingCountSource,
        reader: records.PendingReader,
        store_clock: records.StoreClock,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the counter of one instance.

        Args:
            source: Source of the scheduler's count.
            reader: Counts from the rows of jobs.
            store_clock: Tells how old a count is.
            time_source: Source of time.
            log: Logger of the service.
            metrics: Metrics of the instance.
        """
        self._source = source
        self._reader = reader
        self._store_clock = store_clock
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._own: model.PendingCount | None = None
        self._reading: asyncio.Task[None] | None = None
        self._next_full_read: datetime.timedelta | None = None

    async def count(self, queue: str) -> int | None:
        """Returns how many jobs of a queue have no started task yet.

        Returns None while the number is not known.

        Args:
            queue: Name of the queue.
        """
        count = self._find_count(_MAX_AGE)
        if count is None:
            await self._read()
            count = self._find_count(_MAX_AGE) or self._find_count(
                _MAX_AGE_WITHOUT_STORE
            )
        number = None if count is None else count.by_queue.get(queue, 0)
        self._record(queue, number, count)
        return number

    def _find_count(
        self, max_age: datetime.timedelta
    ) -> model.PendingCount | None:
        """Returns a count that is certainly this young, if there is one."""
        for count in (self._source.get_pending_count(), self._own):
            if count is None:
                continue
            age = self._store_clock.compute_age(count.moment)
            if age is not None and age <= max_age:
                return count
        return None

    async def _read(self) -> None:
        """Counts from the rows; callers that arrive meanwhile share it."""
        if self._reading is None:
            self._reading = asyncio.create_task(self._read_rows())
            self._reading.add_done_callback(self._end_reading)
        # One caller that leaves must not end it for the others.
        await asyncio.wait([self._reading], timeout=_MAX_WAIT.total_seconds())

    def _end_reading(self, task: asyncio.Task[None]) -> None:
        self._reading = None
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                "pending_read_failed", reason=repr(task.exception())
            )

    async def _read_rows(self) -> None:
        now = self._clock.get_monotonic()
        is_paused = (
            self._next_full_read is not None and now < self._next_full_read
        )
        base = self._find_base(is_paused)
        try:
            if base is not None:
                self._own = await self._reader.add_changes(base)
                return
        except model.HistoryLostError:
            pass
        except model.StoreUnavailableError as error:
            self._log.info("pending_read_failed", reason=error.message)
            return
        if not is_paused:
            await self._read_all_rows()

    def _find_base(self, is_paused: bool) -> model.PendingCount | None:
        """Returns the newest count to which later jobs can be added.

        Without a report, this is the last full read, until the next is due.

        Args:
            is_paused: Whether reads of all rows pause.
        """
        own = self._own
        reported = self._source.get_pending_count()
        if reported is None or reported.moment is None:
            return own if is_paused and own and own.moment else None
        if (
            own is not None
            and own.moment is not None
            and own.moment.version > reported.moment.version
        ):
            return own
        return reported

    async def _read_all_rows(self) -> None:
        began = self._clock.get_monotonic()
        pause = _MIN_FULL_READ_PAUSE
        try:
            async with asyncio.timeout(_MAX_FULL_READ_TIME.total_seconds()):
                self._own = await self._reader.count_all()
            elapsed = self._clock.get_monotonic() - began
            pause = max(pause, elapsed * _REST_PER_READ_TIME)
        except TimeoutError:
            self._log.info(
                "pending_read_failed", reason="reading all rows took too long"
            )
        finally:
            self._next_full_read = self._clock.get_monotonic() + pause

    def _record(
        self,
        queue: str,
        number: int | None,
        count: model.PendingCount | None,
    ) -> None:
        moment = None if count is None else count.moment
        age = self._store_clock.compute_age(moment)
        if count is None:
            origin = "unknown"
        elif count is self._own:
            origin = "store"
        else:
            origin = "scheduler" if self._source.is_active else "heartbeat"
        self._metrics.pending_answers.labels(origin).inc()
        if age is not None:
            self._metrics.pending_count_age.observe(age.total_seconds())
        self._log.info(
            "pending_counted",
            queue=queue,
            pending=number,
            origin=origin,
            term=self._source.term,
            version=moment and moment.version,
            age_ms=None if age is None else round(age.total_seconds() * 1000),
        )
