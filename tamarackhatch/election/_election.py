"""Election of the active scheduler by rows of the store."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import hashlib

import attrs

from tamarackhatch import clock
from tamarackhatch.election import _leader_lease
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records

_READ_TIMEOUT = datetime.timedelta(milliseconds=800)
_WRITE_TIMEOUT = datetime.timedelta(milliseconds=800)
_RETRY_PAUSE = datetime.timedelta(milliseconds=150)
_MIN_WAIT = datetime.timedelta(milliseconds=50)
_MAX_WAIT = datetime.timedelta(seconds=2)
# A gap in the answers longer than this may have kept the scheduler's sign of
# life from being written as well.
_MAX_ANSWER_GAP = datetime.timedelta(milliseconds=600)
# Instances near the store and with more processor time campaign first. The
# nearest ones read in about 4 ms, those of other regions in about 30 ms.
_DELAY_PER_READ_TIME = 8
_DELAY_OF_ONE_CORE = datetime.timedelta(milliseconds=80)
_MAX_DELAY = datetime.timedelta(milliseconds=600)
_MAX_JITTER_MS = 60

Lead = Callable[[_leader_lease.Term], Awaitable[None]]


@attrs.frozen
class Candidate:
    """This process as a candidate.

    Attributes:
        instance: Name of the instance.
        incarnation: Distinguishes processes of the same instance.
        processor: Processor time it may use, in cores.
    """

    instance: str
    incarnation: str
    processor: float


class Election:
    """Follows the active scheduler and takes over when it is silent."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        candidate: Candidate,
        timeout: datetime.timedelta,
        lead: Lead,
        log: observability.Log,
    ) -> None:
        self._store = store
        self._clock = time_source
        self._candidate = candidate
        self._timeout = timeout
        self._lead = lead
        self._log = log
        self._heartbeat: records.LeaderHeartbeat | None = None
        self._version = 0
        self._changed = datetime.timedelta()
        self._answered = datetime.timedelta()
        self._read_time = _READ_TIMEOUT
        self._is_standing = True
        digest = hashlib.blake2b(candidate.incarnation.encode()).digest()
        self._jitter = datetime.timedelta(
            milliseconds=digest[0] % _MAX_JITTER_MS
        )

    @property
    def heartbeat(self) -> records.LeaderHeartbeat | None:
        """The latest heartbeat that was read."""
        return self._heartbeat

    @property
    def heartbeat_age(self) -> datetime.timedelta:
        """Time since the latest heartbeat was read."""
        return self._clock.get_monotonic() - self._changed

    def withdraw(self) -> None:
        """Keeps this process from winning another term."""
        self._is_standing = False

    async def run(self) -> None:
        """Follows and campaigns until cancelled."""
        await self._reload()
        while True:
            if self._is_standing and self._is_vacant():
                term = await self._campaign()
                if term is not None:
                    await self._lead(term)
                await self._reload()
                continue
            await self._follow()

    async def _reload(self) -> None:
        while True:
            began = self._clock.get_monotonic()
            try:
                page = await self._store.read(
                    records.LEADER_HEARTBEAT.table,
                    records.LEADER_HEARTBEAT.partition,
                    _READ_TIMEOUT,
                )
            except model.StoreUnavailableError as error:
                self._log.debug("beat_unread", reason=error.message)
                await self._clock.sleep(_RETRY_PAUSE)
                continue
            now = self._clock.get_monotonic()
            self._read_time = min(self._read_time, now - began)
            self._record_answer()
            self._version = page.version
            self._apply_row(
                records.find_row(page.rows, records.LEADER_HEARTBEAT)
            )
            return

    async def _follow(self) -> None:
        time_since_heartbeat = self._clock.get_monotonic() - self._changed
        wait = self._vacancy_timeout - time_since_heartbeat
        wait = min(_MAX_WAIT, max(_MIN_WAIT, wait))
        try:
            page = await self._store.follow(
                records.LEADER_HEARTBEAT.table, self._version, wait
            )
        except model.HistoryLostError:
            await self._reload()
            return
        except model.StoreUnavailableError as error:
            self._log.debug("beat_unread", reason=error.message)
            await self._clock.sleep(_RETRY_PAUSE)
            return
        self._record_answer(wait)
        self._version = page.version
        self._apply_row(
            records.find_row(page.rows[::-1], records.LEADER_HEARTBEAT)
        )

    def _record_answer(
        self, wait: datetime.timedelta = datetime.timedelta()
    ) -> None:
        now = self._clock.get_monotonic()
        if now - self._answered > wait + _MAX_ANSWER_GAP:
            self._changed = now
        self._answered = now

    def _apply_row(self, row: model.Row | None) -> None:
        if row is None or row.is_deleted:
            return
        try:
            heartbeat = records.decode_leader_heartbeat(row.value)
        except records.BadRecordError as error:
            self._log.warning("beat_unreadable", reason=error.message)
            return
        if heartbeat == self._heartbeat:
            return
        if self._heartbeat is None or self._heartbeat.term != heartbeat.term:
            self._log.info(
                "scheduler_seen",
                leader=heartbeat.instance,
                term=heartbeat.term,
                released=heartbeat.is_released,
            )
        self._heartbeat = heartbeat
        self._changed = self._clock.get_monotonic()

    @property
    def _delay(self) -> datetime.timedelta:
        """How long this candidate lets better placed ones go first."""
        delay = self._read_time * _DELAY_PER_READ_TIME
        delay += _DELAY_OF_ONE_CORE / max(self._candidate.processor, 0.1)
        return min(delay, _MAX_DELAY) + self._jitter

    @property
    def _vacancy_timeout(self) -> datetime.timedelta:
        """Time without a heartbeat after which this candidate campaigns."""
        heartbeat = self._heartbeat
        if heartbeat is None or heartbeat.is_released:
            return self._delay
        if heartbeat.instance == self._candidate.instance:
            # The holder is an earlier process of this instance, or a write
            # of this process whose answer was lost.
            return datetime.timedelta()
        return self._timeout + self._delay

    def _is_vacant(self) -> bool:
        # Only answers of the store tell that there was no heartbeat.
        return self._answered - self._changed >= self._vacancy_timeout

    async def _campaign(self) -> _leader_lease.Term | None:
        began = self._clock.get_boot_time()
        try:
            page = await self._store.read(
                records.FENCE.table, records.FENCE.partition, _READ_TIMEOUT
            )
            row = records.find_row(page.rows, records.FENCE)
            holder = (
                None
                if row is None
                else records.decode_leader_heartbeat(row.value)
            )
            if row is not None and holder is not None:
                if holder.incarnation == self._candidate.incarnation:
                    return _leader_lease.Term(
                        holder.term, row.version, began, holder.pending
                    )
                if (
                    self._heartbeat is None
                    or holder.term != self._heartbeat.term
                ):
                    # Another candidate has just won.
                    return None
            term = 1 if holder is None else holder.term + 1
            return await self._claim(
                0 if row is None else row.version, term, began
            )
        except records.BadRecordError as error:
            self._log.error("fence_unreadable", reason=error.message)
        except (
            model.StoreUnavailableError,
            model.StoreOutcomeUnknownError,
        ) as error:
            self._log.info("campaign_failed", reason=error.message)
        await self._clock.sleep(_RETRY_PAUSE)
        return None

    async def _claim(
        self, version: int, number: int, began: datetime.timedelta
    ) -> _leader_lease.Term | None:
        # Callers are told the last known numbers until this scheduler has
        # read the jobs.
        pending = {} if self._heartbeat is None else self._heartbeat.pending
        heartbeat = records.LeaderHeartbeat(
            self._candidate.instance,
            self._candidate.incarnation,
            number,
            pending=pending,
        )
        value = records.encode_leader_heartbeat(heartbeat)
        result = await self._store.write(
            [(records.FENCE, version)],
            [
                model.Put(records.FENCE, value),
                model.Put(records.LEADER_HEARTBEAT, value),
                model.Put(records.SEQUENCE, b"{}"),
            ],
            [],
            _WRITE_TIMEOUT,
        )
        if isinstance(result, model.Conflict):
            self._log.info("campaign_lost", term=number)
            return None
        self._log.info("campaign_won", term=number, token=result.version)
        before = self._heartbeat
        is_gone = (
            before is None
            or before.is_released
            or before.instance == self._candidate.instance
        )
        return _leader_lease.Term(
            number, result.version, began, pending, is_gone
        )
