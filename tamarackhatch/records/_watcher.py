"""Reads a table of the store and follows its changes."""

import asyncio
from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability

_READ_TIMEOUT = datetime.timedelta(milliseconds=1500)
_FEED_WAIT = datetime.timedelta(milliseconds=1500)
_RETRY_PAUSE = datetime.timedelta(milliseconds=150)


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
    ) -> None:
        """Creates a watcher.

        Args:
            store: The table store.
            time_source: Source of time.
            table: The table.
            partitions: Its partitions.
            on_row: Called with each row, and with each change of one.
            log: Takes losses of the feed.
            interval: Least time between two calls; changes in between come
                together.
            on_reload: Called with all keys after the whole table was read.
        """
        self._store = store
        self._clock = time_source
        self._table = table
        self._partitions = partitions
        self._on_row = on_row
        self._log = log
        self._interval = interval
        self._on_reload = on_reload
        self._version = 0
        self._is_lost = False
        self._answered = time_source.get_monotonic()

    @property
    def answered(self) -> datetime.timedelta:
        """Monotonic time of the store's latest answer."""
        return self._answered

    async def load(self) -> None:
        """Reads the whole table, trying until it succeeds."""
        while True:
            try:
                pages = await asyncio.gather(
                    *(
                        self._read_partition(partition)
                        for partition in self._partitions
                    )
                )
            except model.StoreUnavailableError as error:
                self._record_loss(error.message)
                await self._clock.sleep(_RETRY_PAUSE)
                continue
            break
        self._is_lost = False
        self._answered = self._clock.get_monotonic()
        self._version = min(version for _, version in pages)
        rows = [row for rows, _ in pages for row in rows]
        for row in rows:
            self._on_row(row)
        self._on_reload({row.ref.key for row in rows})

    async def follow(self) -> None:
        """Follows the changes until cancelled."""
        while True:
            began = self._clock.get_monotonic()
            try:
                page = await self._store.follow(
                    self._table, self._version, _FEED_WAIT
                )
            except model.HistoryLostError:
                self._log.warning("history_lost", table=self._table)
                await self.load()
                continue
            except model.StoreUnavailableError as error:
                self._record_loss(error.message)
                await self._clock.sleep(_RETRY_PAUSE)
                continue
            if self._is_lost:
                self._is_lost = False
                self._log.info("feed_regained", table=self._table)
            self._answered = self._clock.get_monotonic()
            self._version = page.version
            for row in page.rows:
                self._on_row(row)
            elapsed = self._clock.get_monotonic() - began
            if elapsed < self._interval:
                await self._clock.sleep(self._interval - elapsed)

    async def _read_partition(
        self, partition: str
    ) -> tuple[list[model.Row], int]:
        rows: list[model.Row] = []
        first = ""
        version: int | None = None
        while True:
            page = await self._store.read(
                self._table, partition, _READ_TIMEOUT, first
            )
            rows += page.rows
            # Changes after the first page may be missing from later ones.
            version = page.version if version is None else version
            if not page.has_more or not page.rows:
                return rows, version
            first = page.rows[-1].ref.key + "\0"

    def _record_loss(self, reason: str) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._log.warning("feed_lost", table=self._table, reason=reason)
