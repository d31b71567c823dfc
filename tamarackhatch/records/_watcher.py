"""Reads a table of the store and follows its changes."""

import asyncio
from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability

_READ_TIMEOUT = datetime.timedelta(milliseconds=1500)
_FEED_WAIT = datetime.timedelta(milliseconds=1500)
_RETRY_DELAY = datetime.timedelta(milliseconds=150)
# After large changes, the feed rests for this multiple of the time that their
# transfer took, so that other traffic gets at least two thirds of the link.
_REST_PER_RECEIVE_TIME = 2


class TableWatcher:
    """Reads a table as a whole, then follows its changes."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        table: str,
        partitions: tuple[str, ...],
        on_row: Callable[[model.Row], None],
        log: observability.Log,
        interval: datetime.timedelta = datetime.timedelta(),
        on_reload: Callable[[set[str]], None] = lambda keys: None,
        on_synced: Callable[[datetime.timedelta], None] = lambda time: None,
        max_load_delay: datetime.timedelta = _RETRY_DELAY,
    ) -> None:
        """Creates a watcher.

        Args:
            store: The table store.
            time_source: Source of time.
            table: The table.
            partitions: The partitions of the table; rows of others are
                ignored.
            on_row: Called with each row that was read, and with each changed
                or removed row.
            log: Logger for losses of the feed.
            interval: Minimum time between two requests for changes; all
                changes in between arrive with the next request.
            on_reload: Called with all keys each time that the whole table
                was read.
            on_synced: Called with a monotonic time after all changes that the
                store made before that time were passed on.
            max_load_delay: Longest delay between attempts to read the whole
                table; the delay doubles with each attempt up to it.
        """
        self._max_load_delay = max_load_delay
        self._store = store
        self._clock = time_source
        self._table = table
        self._partitions = partitions
        self._on_row = on_row
        self._log = log
        self._interval = interval
        self._on_reload = on_reload
        self._on_synced = on_synced
        self._version = 0
        self._moment: model.StoreMoment | None = None
        self._is_feed_lost = False
        self._last_answer = time_source.get_monotonic()

    @property
    def last_answer(self) -> datetime.timedelta:
        """Monotonic time of the store's latest answer."""
        return self._last_answer

    @property
    def version(self) -> int:
        """Version of the store up to which all changes were passed on."""
        return self._version

    @property
    def moment(self) -> model.StoreMoment | None:
        """Moment up to which all changes were passed on; None if unknown."""
        return self._moment

    def skip_to(self, version: int) -> None:
        """Continues after a version up to which no change is missing.

        Args:
            version: Version of the store; an earlier one changes nothing.
        """
        self._version = max(self._version, version)

    async def load(self) -> None:
        """Reads the whole table; retries until it succeeds."""
        delay = _RETRY_DELAY
        while True:
            started_at = self._clock.get_monotonic()
            try:
                pages = await asyncio.gather(
                    *(
                        self._read_partition(partition)
                        for partition in self._partitions
                    )
                )
            except model.StoreUnavailableError as error:
                self._record_feed_loss(error.message)
                await self._clock.sleep(delay)
                delay = min(2 * delay, self._max_load_delay)
                continue
            break
        self._is_feed_lost = False
        self._last_answer = self._clock.get_monotonic()
        first = min((page for _, page in pages), key=lambda page: page.version)
        self._version = first.version
        self._moment = first.moment
        rows = [row for rows, _ in pages for row in rows]
        for row in rows:
            self._on_row(row)
        self._on_reload({row.ref.key for row in rows})
        self._on_synced(started_at)

    async def follow(self) -> None:
        """Passes on changes of the table until cancelled.

        Reads the whole table again if the store has discarded changes.
        """
        while True:
            try:
                await self.follow_once()
            except model.HistoryLostError:
                await self.load()

    async def follow_once(
        self, max_wait: datetime.timedelta = _FEED_WAIT
    ) -> None:
        """Passes on the next changes, or returns after a while without any.

        Args:
            max_wait: Longest time for which the store waits for a change.

        Raises:
            HistoryLostError: The store has discarded changes.
        """
        started_at = self._clock.get_monotonic()
        # After a loss, an answer without a wait tells at once that the feed
        # works again.
        wait = datetime.timedelta() if self._is_feed_lost else max_wait
        try:
            page = await self._store.follow(self._table, self._version, wait)
        except model.HistoryLostError:
            self._log.warning("feed_history_lost", table=self._table)
            raise
        except model.StoreUnavailableError as error:
            self._record_feed_loss(error.message)
            await self._clock.sleep(_RETRY_DELAY)
            return
        if self._is_feed_lost:
            self._is_feed_lost = False
            self._log.info("feed_restored", table=self._table)
        self._apply_page(page)
        self._on_synced(started_at)
        if not page.rows:
            return
        elapsed = self._clock.get_monotonic() - started_at
        rest = max(
            self._interval - elapsed,
            page.receive_time * _REST_PER_RECEIVE_TIME,
        )
        if rest > datetime.timedelta():
            await self._clock.sleep(rest)

    async def poll(self) -> None:
        """Passes on the changes up to now; the table must be loaded.

        May run beside `follow` if on_row ignores rows that it has seen.
        Transfers only rows that have changed, which costs far less than
        reading a table with large rows.

        Raises:
            HistoryLostError: The store has discarded changes.
            StoreUnavailableError: The store could not be read.
        """
        self._apply_page(
            await self._store.follow(
                self._table, self._version, datetime.timedelta()
            )
        )

    def _apply_page(self, page: model.FeedPage) -> None:
        self._last_answer = self._clock.get_monotonic()
        # A poll beside the feed may already have passed on later changes.
        if page.version >= self._version:
            self._version = page.version
            self._moment = page.moment
        # The feed has the changes of all partitions of a table.
        for row in page.rows:
            if row.ref.partition in self._partitions:
                self._on_row(row)

    async def _read_partition(
        self, partition: str
    ) -> tuple[list[model.Row], model.RowPage]:
        """Returns the rows of a partition, and the first page of them.

        Later pages may lack changes made after the first page was read, so
        the feed has to continue from the first page's version.
        """
        rows: list[model.Row] = []
        start_key = ""
        first: model.RowPage | None = None
        while True:
            page = await self._store.read(
                self._table, partition, _READ_TIMEOUT, start_key
            )
            rows += page.rows
            first = first or page
            if not page.has_more or not page.rows:
                return rows, first
            start_key = page.rows[-1].ref.key + "\0"

    def _record_feed_loss(self, reason: str) -> None:
        if not self._is_feed_lost:
            self._is_feed_lost = True
            self._log.warning("feed_lost", table=self._table, reason=reason)
