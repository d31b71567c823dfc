"""Election of the active scheduler through rows in the store."""

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
_RETRY_DELAY = datetime.timedelta(milliseconds=150)
_MIN_FEED_WAIT = datetime.timedelta(milliseconds=50)
_MAX_FEED_WAIT = datetime.timedelta(seconds=2)
# When the store has not answered this process for longer than this, it may
# not have accepted the active scheduler's heartbeat either.
_MAX_ANSWER_GAP = datetime.timedelta(milliseconds=600)
# Instances that are nearer to the store and have more processor time campaign
# first. A read takes about 4 ms for the nearest instances, and about 30 ms
# for those in other regions.
_CAMPAIGN_DELAY_PER_READ_TIME = 8
_CAMPAIGN_DELAY_AT_ONE_CORE = datetime.timedelta(milliseconds=80)
_MAX_CAMPAIGN_DELAY = datetime.timedelta(milliseconds=600)
_MAX_CAMPAIGN_JITTER_MS = 60
# An instance with less processor time does not go on at once with the term of
# its earlier process. On half a core, a scheduler of 246 runners that had lost
# all processes together needed 2.1 s to get ready, then answered too late to
# renew leases, and lost its term.
_MIN_RESUMING_PROCESSOR = 1.0

RunTerm = Callable[[_leader_lease.Term], Awaitable[None]]


@attrs.frozen
class Candidate:
    """This process as a candidate for election.

    Attributes:
        instance: Name of the instance.
        incarnation: Distinguishes successive processes of the instance.
        processor: Processor time that the process may use, in cores.
    """

    instance: str
    incarnation: str
    processor: float


class Election:
    """Watches the leader heartbeat, and campaigns when none arrives."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        candidate: Candidate,
        timeout: datetime.timedelta,
        run_term: RunTerm,
        log: observability.Log,
        on_row: Callable[[model.Row], None] = lambda row: None,
        on_heartbeat: Callable[[records.LeaderHeartbeat], None] = (
            lambda heartbeat: None
        ),
    ) -> None:
        """Creates the election of one process.

        Args:
            store: The table store.
            time_source: Source of time.
            candidate: This process.
            timeout: Minimum time without a heartbeat of another instance's
                scheduler before this process campaigns.
            run_term: Called with each term that this process wins; returns
                when the term is over.
            log: Logger of the election.
            on_row: Called with each other row of the heartbeat's table, in
                the order of their versions and before the heartbeat of the
                same transaction is applied.
            on_heartbeat: Called with each heartbeat that was certainly
                written since the store's previous answer.
        """
        self._store = store
        self._clock = time_source
        self._candidate = candidate
        self._timeout = timeout
        self._run_term = run_term
        self._log = log
        self._on_row = on_row
        self._on_heartbeat = on_heartbeat
        self._heartbeat: records.LeaderHeartbeat | None = None
        self._version = 0
        self._row_version = 0
        self._election_timer_start = datetime.timedelta()
        self._publication: model.Publication | None = None
        self._publication_time: datetime.timedelta | None = None
        self._heartbeat_time: datetime.timedelta | None = None
        self._last_answer = datetime.timedelta()
        self._feed_wait = datetime.timedelta()
        self._is_answer_late = False
        self._min_read_time = _READ_TIMEOUT
        self._is_eligible = True
        self._last_term_run = 0
        digest = hashlib.blake2b(candidate.incarnation.encode()).digest()
        self._jitter = datetime.timedelta(
            milliseconds=digest[0] % _MAX_CAMPAIGN_JITTER_MS
        )

    @property
    def heartbeat(self) -> records.LeaderHeartbeat | None:
        """The latest heartbeat that was read."""
        return self._heartbeat

    @property
    def last_answer(self) -> datetime.timedelta:
        """Monotonic time of the store's latest answer."""
        return self._last_answer

    def get_publication(
        self, max_age: datetime.timedelta
    ) -> model.Publication | None:
        """Returns the latest publication if it is certainly this young.

        The first heartbeat that a process reads may be of a scheduler that
        has ended long ago, so only changes of it count. The first heartbeats
        of a scheduler have no publication.
        """
        if self._is_older(self._publication_time, max_age):
            return None
        return self._publication

    def has_heartbeat(self, max_age: datetime.timedelta) -> bool:
        """Returns whether the latest heartbeat is certainly this young."""
        return not self._is_older(self._heartbeat_time, max_age)

    def _is_older(
        self, time: datetime.timedelta | None, max_age: datetime.timedelta
    ) -> bool:
        return time is None or self._clock.get_monotonic() - time > max_age

    async def poll(self) -> None:
        """Reads the changes up to now, beside `run`.

        Raises:
            HistoryLostError: The store has discarded changes.
            StoreUnavailableError: The store could not be read.
        """
        page = await self._store.follow(
            records.LEADER_HEARTBEAT.table,
            self._version,
            datetime.timedelta(),
        )
        self._record_answer(self._feed_wait)
        self._apply_page(page)

    def stop_campaigning(self) -> None:
        """Stops this process from campaigning for another term."""
        self._is_eligible = False

    async def run(self) -> None:
        """Watches the heartbeat and campaigns until cancelled."""
        await self._reload()
        while True:
            if self._is_eligible and self._is_election_due():
                term = await self._campaign()
                if term is not None:
                    self._last_term_run = term.number
                    await self._run_term(term)
                await self._reload()
                continue
            await self._follow()

    async def _reload(self) -> None:
        while True:
            started_at = self._clock.get_monotonic()
            try:
                page = await self._store.read(
                    records.LEADER_HEARTBEAT.table,
                    records.LEADER_HEARTBEAT.partition,
                    _READ_TIMEOUT,
                )
            except model.StoreUnavailableError as error:
                self._log.debug("heartbeat_read_failed", reason=error.message)
                await self._clock.sleep(_RETRY_DELAY)
                continue
            now = self._clock.get_monotonic()
            self._min_read_time = min(self._min_read_time, now - started_at)
            self._record_answer()
            self._apply_page(page)
            return

    async def _follow(self) -> None:
        time_since_heartbeat = (
            self._clock.get_monotonic() - self._election_timer_start
        )
        wait = self._election_timeout - time_since_heartbeat
        wait = min(_MAX_FEED_WAIT, max(_MIN_FEED_WAIT, wait))
        self._feed_wait = wait
        try:
            page = await self._store.follow(
                records.LEADER_HEARTBEAT.table, self._version, wait
            )
        except model.HistoryLostError:
            await self._reload()
            return
        except model.StoreUnavailableError as error:
            self._log.debug("heartbeat_read_failed", reason=error.message)
            await self._clock.sleep(_RETRY_DELAY)
            return
        self._record_answer(wait)
        self._apply_page(page)

    def _apply_page(self, page: model.RowPage | model.FeedPage) -> None:
        # A poll beside the feed may already have passed on later changes.
        self._version = max(self._version, page.version)
        for row in sorted(page.rows, key=lambda row: row.version):
            if row.ref != records.LEADER_HEARTBEAT:
                self._on_row(row)
        self._apply_row(
            records.find_row(page.rows[::-1], records.LEADER_HEARTBEAT)
        )

    def _record_answer(
        self, wait: datetime.timedelta = datetime.timedelta()
    ) -> None:
        now = self._clock.get_monotonic()
        is_released = self._heartbeat is not None and (
            self._heartbeat.is_released
        )
        is_late = now - self._last_answer > wait + _MAX_ANSWER_GAP
        if is_late and not is_released:
            self._election_timer_start = now
        # A heartbeat that arrives now may have been written at any time since
        # the previous answer.
        self._is_answer_late = is_late
        self._last_answer = now

    def _apply_row(self, row: model.Row | None) -> None:
        if row is None or row.is_deleted:
            return
        try:
            heartbeat = records.decode_leader_heartbeat(row.value)
        except records.MalformedRowError as error:
            self._log.warning("heartbeat_malformed", reason=error.message)
            return
        if heartbeat == self._heartbeat or row.version < self._row_version:
            return
        if self._heartbeat is not None and not self._is_answer_late:
            self._heartbeat_time = self._clock.get_monotonic()
            self._on_heartbeat(heartbeat)
            if heartbeat.publication is not None:
                self._publication = heartbeat.publication
                self._publication_time = self._heartbeat_time
        self._row_version = row.version
        if self._heartbeat is None or self._heartbeat.term != heartbeat.term:
            self._log.info(
                "leader_changed",
                leader=heartbeat.instance,
                term=heartbeat.term,
                released=heartbeat.is_released,
            )
        self._heartbeat = heartbeat
        self._election_timer_start = self._clock.get_monotonic()

    @property
    def _campaign_delay(self) -> datetime.timedelta:
        """Delay that lets better placed candidates campaign first."""
        delay = self._min_read_time * _CAMPAIGN_DELAY_PER_READ_TIME
        delay += _CAMPAIGN_DELAY_AT_ONE_CORE / max(
            self._candidate.processor, 0.1
        )
        return min(delay, _MAX_CAMPAIGN_DELAY) + self._jitter

    @property
    def _election_timeout(self) -> datetime.timedelta:
        """Time without a heartbeat after which this candidate campaigns."""
        heartbeat = self._heartbeat
        if heartbeat is None or heartbeat.is_released:
            return self._campaign_delay
        if heartbeat.instance == self._candidate.instance:
            # The heartbeat is of an earlier process of this instance, or
            # this process wrote it and the answer was lost.
            return datetime.timedelta()
        return self._timeout + self._campaign_delay

    def _is_election_due(self) -> bool:
        # Only the time up to the store's last answer counts: without an
        # answer, a heartbeat may have been written and not been read.
        return (
            self._last_answer - self._election_timer_start
            >= self._election_timeout
        )

    async def _campaign(self) -> _leader_lease.Term | None:
        started_at = self._clock.get_boot_time()
        try:
            page = await self._store.read(
                records.FENCE.table, records.FENCE.partition, _READ_TIMEOUT
            )
            row = records.find_row(page.rows, records.FENCE)
            if row is None:
                return await self._claim_term(0, 1, started_at)
            try:
                holder = records.decode_leader_heartbeat(row.value)
            except records.MalformedRowError as error:
                self._log.error("fence_row_malformed", reason=error.message)
                return await self._claim_after_heartbeat(
                    row.version, started_at
                )
            if holder.incarnation == self._candidate.incarnation:
                if holder.term <= self._last_term_run:
                    # The scheduler of that term has ended by an error. Its
                    # run numbers and its token must not be used again.
                    return await self._claim_term(
                        row.version, holder.term + 1, started_at
                    )
                return _leader_lease.Term(
                    holder.term,
                    row.version,
                    started_at,
                    holder.pending_count,
                )
            if self._heartbeat is None or holder.term != self._heartbeat.term:
                # Another candidate has won since the heartbeat was read.
                return None
            if self._should_release_earlier_term():
                await self._release_earlier_term(row.version)
                return None
            return await self._claim_term(
                row.version, holder.term + 1, started_at
            )
        except (
            model.StoreUnavailableError,
            model.StoreOutcomeUnknownError,
        ) as error:
            self._log.info("campaign_failed", reason=error.message)
        await self._clock.sleep(_RETRY_DELAY)
        return None

    def _should_release_earlier_term(self) -> bool:
        """Returns whether better candidates may follow this one's process.

        They do not know that the earlier process has ended, and would wait
        for its heartbeat.
        """
        heartbeat = self._heartbeat
        return (
            heartbeat is not None
            and heartbeat.instance == self._candidate.instance
            and not heartbeat.is_released
            and self._candidate.processor < _MIN_RESUMING_PROCESSOR
        )

    async def _release_earlier_term(self, version: int) -> None:
        """Releases the term of this instance's earlier process.

        All candidates then campaign after a delay that depends on their
        distance from the store and on their processor time.

        Args:
            version: Version of the fence row.
        """
        assert self._heartbeat is not None
        # Instances take what a new heartbeat says of the configuration and of
        # waits for new. The number of pending jobs has its own moment.
        released = attrs.evolve(
            self._heartbeat,
            is_released=True,
            configuration=None,
            position=0,
            waits=(),
        )
        result = await self._store.write(
            [(records.FENCE, version)],
            [
                model.Put(
                    records.LEADER_HEARTBEAT,
                    records.encode_leader_heartbeat(released),
                ),
                # Late transactions of the earlier process change nothing.
                model.Put(records.SEQUENCE, b"{}"),
            ],
            [],
            _WRITE_TIMEOUT,
        )
        self._log.info(
            "earlier_term_released",
            term=released.term,
            written=not isinstance(result, model.Conflict),
            processor=self._candidate.processor,
        )

    async def _claim_after_heartbeat(
        self, version: int, started_at: datetime.timedelta
    ) -> _leader_lease.Term | None:
        """Claims the term after that of the heartbeat, if one is known.

        The heartbeat names the latest term, because one transaction writes
        the fence row and the heartbeat when a term is claimed.
        """
        if self._heartbeat is None:
            await self._clock.sleep(_RETRY_DELAY)
            return None
        return await self._claim_term(
            version, self._heartbeat.term + 1, started_at
        )

    async def _claim_term(
        self, version: int, number: int, started_at: datetime.timedelta
    ) -> _leader_lease.Term | None:
        previous = self._heartbeat
        # Their moment stays that of the count, however many terms hand them
        # on before one has read the jobs.
        pending = None if previous is None else previous.pending_count
        earlier_lease = _leader_lease.get_earlier_lease(
            previous, self._candidate.instance
        )
        heartbeat = records.LeaderHeartbeat(
            self._candidate.instance,
            self._candidate.incarnation,
            number,
            earlier_lease=earlier_lease,
        ).with_pending(pending)
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
        return _leader_lease.Term(
            number, result.version, started_at, pending, earlier_lease
        )
