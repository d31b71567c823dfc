"""Watches the operator's configuration."""

import asyncio
import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records

_READ_TIMEOUT = datetime.timedelta(milliseconds=800)


class ConfigurationWatcher:
    """Holds the newest configuration; never replaces it by an older one."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        log: observability.Log,
    ) -> None:
        """Creates a watcher.

        Args:
            store: The table store.
            time_source: Source of time.
            log: Logger of the watcher.
        """
        self._store = store
        self._clock = time_source
        self._log = log
        self._configuration: model.Configuration | None = None
        self._last_refresh = datetime.timedelta()
        self._refresh_in_progress: asyncio.Task[bool] | None = None
        self._table = records.TableWatcher(
            store,
            time_source,
            platform.OPERATOR_TABLE,
            ("",),
            self._apply_row,
            log,
        )

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration; None until the first one is read."""
        return self._configuration

    @property
    def time_since_answer(self) -> datetime.timedelta:
        """Time since the store last answered a read of the watched table."""
        return self._clock.get_monotonic() - self._table.last_answer

    async def run(self) -> None:
        """Reads the configuration and applies its changes until cancelled."""
        await self._table.load()
        await self._table.follow()

    async def refresh(self, max_age: datetime.timedelta) -> bool:
        """Reads the configuration, which may be newer than the feed's.

        Does nothing if an earlier call read it less than max_age ago. Calls at
        the same time share one read, unless it was sent before that: over a
        slow link, a read can last longer than max_age.

        Args:
            max_age: Maximum age of the configuration, counted from this call.

        Returns:
            False if the store could not be read or has no configuration.
        """
        oldest = self._clock.get_monotonic() - max_age
        while self._configuration is None or self._last_refresh < oldest:
            task = self._refresh_in_progress
            if task is None:
                task = asyncio.create_task(self._refresh())
                task.add_done_callback(self._handle_refresh_end)
                self._refresh_in_progress = task
            if not await asyncio.shield(task):
                return False
        return True

    def _handle_refresh_end(self, task: asyncio.Task[bool]) -> None:
        self._refresh_in_progress = None

    async def _refresh(self) -> bool:
        started_at = self._clock.get_monotonic()
        try:
            await self._read_changes()
        except model.StoreUnavailableError as error:
            self._log.info("configuration_read_failed", reason=error.message)
            return False
        self._last_refresh = started_at
        return self._configuration is not None

    async def _read_changes(self) -> None:
        if self._configuration is not None:
            try:
                # The row can have hundreds of kilobytes, too many to read it
                # at each request for a queue that does not exist.
                await self._table.poll()
                return
            except model.HistoryLostError as error:
                self._log.info("feed_history_lost", reason=error.message)
        page = await self._store.read(
            platform.OPERATOR_TABLE,
            "",
            _READ_TIMEOUT,
            platform.CONFIGURATION_KEY,
            platform.CONFIGURATION_KEY + "\0",
        )
        for row in page.rows:
            self._apply_row(row)

    def _apply_row(self, row: model.Row) -> None:
        if row.ref.key != platform.CONFIGURATION_KEY or row.is_deleted:
            return
        try:
            configuration = platform.decode_configuration(row.value)
        except platform.MalformedBodyError as error:
            self._log.error("configuration_malformed", reason=error.message)
            return
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._log.info(
            "configuration_applied",
            version=configuration.version,
            queues=len(configuration.queues),
        )
