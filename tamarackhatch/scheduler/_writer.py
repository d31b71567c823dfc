"""Durable progress: batches of rows, conditional on the scheduler's term."""

import asyncio
from collections.abc import Callable
import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import election
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch import records
from tamarackhatch.scheduler import _state

# A transaction holds at most 100 entries; the others are the sequence, the
# sign of life, the factors and the roster.
_MAX_JOBS_PER_BATCH = 90
# Between two transactions. Calls to the store are priced, and ends of tasks
# that come within this time share one.
_BATCH_INTERVAL = datetime.timedelta(milliseconds=70)
# Learned factors change slowly; they are written with every third beat.
_BEATS_PER_FACTORS = 3
_TIMEOUT = datetime.timedelta(milliseconds=900)
# Refused calls are priced as well.
_RETRY_PAUSE = datetime.timedelta(milliseconds=250)


class DeposedError(errors.CodedError):
    """Another scheduler has taken over."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.SCHEDULER_FENCED, message)


@attrs.frozen
class _RosterWrite:
    """A roster to be written, and what is called once it is durable."""

    entries: tuple[records.RosterEntry, ...]
    on_enrolled: Callable[[], None]


class ProgressWriter:
    """Writes the progress of jobs, signs of life and the roster.

    One transaction is in progress at a time. Each is conditional on the
    fence row, so a deposed scheduler writes nothing, and on the sequence row,
    so a transaction that the store carries out late changes nothing.
    """

    def __init__(
        self,
        store: model.TableStore,
        source: clock.Clock,
        authority: election.Authority,
        beat: records.Beat,
        beat_interval: datetime.timedelta,
        count_pending: Callable[[], dict[str, int]],
        export_factors: Callable[[], placement.FactorTable],
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        self._store = store
        self._clock = source
        self._authority = authority
        self._beat = beat
        self._beat_interval = beat_interval
        self._count_pending = count_pending
        self._export_factors = export_factors
        self._log = log
        self._metrics = metrics
        self._sequence = authority.term.token
        self._batches = 0
        self._dirty: dict[str, _state.JobEntry] = {}
        self._roster: _RosterWrite | None = None
        self._generation = 1
        self._committed = 0
        self._last_beat: datetime.timedelta | None = None
        self._wake = asyncio.Event()
        self._progress = asyncio.Event()

    @property
    def committed(self) -> int:
        """All changes marked with this generation or a lower one are kept."""
        return self._committed

    @property
    def beat(self) -> records.Beat:
        """The latest sign of life."""
        return self._beat

    def mark(self, job: _state.JobEntry) -> int:
        """Requests that a job's progress be written.

        Returns:
            The generation in which it becomes durable.
        """
        self._dirty[job.identifier] = job
        self._wake.set()
        return self._generation

    def set_roster(
        self,
        roster: tuple[records.RosterEntry, ...],
        on_enrolled: Callable[[], None],
    ) -> None:
        """Requests that the roster be written.

        Args:
            roster: The runners.
            on_enrolled: Called once this roster is durable.
        """
        self._roster = _RosterWrite(roster, on_enrolled)
        self._wake.set()

    async def wait_for(
        self, generation: int, timeout: datetime.timedelta
    ) -> None:
        """Waits until a generation is durable, or until the timeout."""
        deadline = self._clock.get_monotonic() + timeout
        while self._committed < generation:
            remaining = deadline - self._clock.get_monotonic()
            if remaining <= datetime.timedelta():
                return
            try:
                async with asyncio.timeout(remaining.total_seconds()):
                    await self._progress.wait()
            except TimeoutError:
                return

    async def run(self) -> None:
        """Writes until cancelled.

        Raises:
            DeposedError: Another scheduler has taken over.
        """
        while True:
            await self._wait_for_work()
            began = self._clock.get_monotonic()
            if await self.write_batch():
                elapsed = self._clock.get_monotonic() - began
                await self._clock.sleep(_BATCH_INTERVAL - elapsed)
            else:
                await self._clock.sleep(_RETRY_PAUSE)

    async def write_batch(self, is_release: bool = False) -> bool:
        """Writes what waits, and tells whether it is durable.

        Args:
            is_release: Whether this hands the term over.

        Raises:
            DeposedError: Another scheduler has taken over.
        """
        jobs = list(self._dirty.values())[:_MAX_JOBS_PER_BATCH]
        for job in jobs:
            del self._dirty[job.identifier]
        roster, self._roster = self._roster, None
        generation = self._generation
        if not self._dirty:
            self._generation += 1
        self._batches += 1
        puts = [
            model.Put(
                records.get_progress_ref(job.identifier),
                records.encode_progress(job.summarise()),
            )
            for job in jobs
        ]
        if roster is not None:
            value = records.encode_roster(roster.entries)
            puts.append(model.Put(records.ROSTER, value))
        has_beat = is_release or self._is_beat_due()
        if has_beat:
            puts.append(self._make_beat(is_release))
            if is_release or self._beat.count % _BEATS_PER_FACTORS == 0:
                puts.append(self._make_factors())
        if not await self._commit(puts, has_beat):
            for job in jobs:
                self._dirty.setdefault(job.identifier, job)
            if self._roster is None:
                self._roster = roster
            return False
        self._note_commit(generation, is_complete=not self._dirty)
        if roster is not None:
            roster.on_enrolled()
        return True

    def _note_commit(self, generation: int, is_complete: bool) -> None:
        # With more jobs than one batch holds, the generation is complete
        # only after the last of its batches.
        if generation < self._generation:
            self._committed = max(self._committed, generation)
        elif is_complete:
            self._log.debug("generation_continues", generation=generation)
        self._progress.set()
        self._progress = asyncio.Event()

    def _make_beat(self, is_release: bool) -> model.Put:
        self._beat = records.Beat(
            self._beat.instance,
            self._beat.incarnation,
            self._beat.term,
            self._beat.count + 1,
            is_release,
            self._count_pending(),
        )
        return model.Put(records.BEAT, records.encode_beat(self._beat))

    def _make_factors(self) -> model.Put:
        value = records.encode_factors(self._export_factors())
        return model.Put(records.FACTORS, value)

    def _is_beat_due(self) -> bool:
        if self._last_beat is None:
            return True
        now = self._clock.get_monotonic()
        return now - self._last_beat >= self._beat_interval

    async def _wait_for_work(self) -> None:
        self._wake.clear()
        if self._dirty or self._roster is not None or self._is_beat_due():
            return
        assert self._last_beat is not None
        elapsed = self._clock.get_monotonic() - self._last_beat
        remaining = (self._beat_interval - elapsed).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _commit(self, puts: list[model.Put], has_beat: bool) -> bool:
        value = f"{self._beat.incarnation} {self._batches}".encode()
        sent = self._clock.get_boot_time()
        began = self._clock.get_monotonic()
        try:
            result = await self._store.write(
                [
                    (records.FENCE, self._authority.term.token),
                    (records.SEQUENCE, self._sequence),
                ],
                [*puts, model.Put(records.SEQUENCE, value)],
                [],
                _TIMEOUT,
            )
        except (
            model.StoreUnavailableError,
            model.StoreOutcomeUnknownError,
        ) as error:
            self._log.warning(
                "commit_failed", code=error.code.value, reason=error.message
            )
            return False
        if isinstance(result, model.Conflict):
            self._resolve_conflict(result)
            return False
        elapsed = self._clock.get_monotonic() - began
        self._metrics.commit_seconds.observe(elapsed.total_seconds())
        self._sequence = result.version
        self._authority.confirm(sent)
        if has_beat:
            self._last_beat = began
        return True

    def _resolve_conflict(self, conflict: model.Conflict) -> None:
        fence = records.find_row(conflict.rows, records.FENCE)
        if fence is None or fence.version != self._authority.term.token:
            self._authority.revoke()
            raise DeposedError("the fence row has changed")
        sequence = records.find_row(conflict.rows, records.SEQUENCE)
        # Only this scheduler writes the sequence in its term: an earlier
        # transaction, whose answer was lost, was carried out.
        if sequence is not None:
            self._sequence = sequence.version
