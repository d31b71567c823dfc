"""Watches the operator's configuration."""

import asyncio
from collections.abc import Callable
import datetime
import typing

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch.service import _published_configuration

_READ_TIMEOUT = datetime.timedelta(milliseconds=800)
# Between two reads of the operator's row. Versions that follow one another
# faster are read as one.
_READ_INTERVAL = datetime.timedelta(milliseconds=500)
# Time between two checks whether the active scheduler still publishes.
_CHECK_INTERVAL = datetime.timedelta(milliseconds=200)
# After a loss of the feed's history, before the whole table is read again. The
# scheduler's heartbeat comes every 0.7 s, and the first one after an outage
# may be old.
_MAX_HEARTBEAT_WAIT = datetime.timedelta(milliseconds=1800)
# The operator's table counts as read up to now for this long after an answer;
# a request for changes waits up to 1.5 s.
_MAX_TIME_SINCE_READ = datetime.timedelta(milliseconds=2400)


class PublicationSource(typing.Protocol):
    """What the active scheduler publishes of the configuration."""

    @property
    def publication(self) -> model.Publication | None:
        """The published configuration.

        None if that is not known, or if this process is that scheduler.
        """
        ...

    @property
    def is_active(self) -> bool:
        """Whether this process is the active scheduler."""
        ...

    @property
    def last_answer(self) -> datetime.timedelta:
        """Monotonic time at which the store last answered."""
        ...

    async def poll_publication(self) -> None:
        """Reads what was published up to now.

        Raises:
            HistoryLostError: The store has discarded changes.
            StoreUnavailableError: The store could not be read.
        """
        ...


class ConfigurationWatcher:
    """Holds the newest configuration; never replaces it by an older one.

    The operator's row can have hundreds of kilobytes, and is read once at the
    start. While the active scheduler publishes the changes of later versions,
    they are applied instead of reading the row again; without them, the
    operator's table is followed directly.
    """

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
        self._publications: PublicationSource | None = None
        self._on_change: Callable[[], None] = lambda: None
        self._assembler = records.ChangeAssembler()
        self._last_refresh = datetime.timedelta()
        self._refresh_in_progress: asyncio.Task[bool] | None = None
        self._table = records.TableWatcher(
            store,
            time_source,
            platform.OPERATOR_TABLE,
            ("",),
            self._apply_row,
            log,
            _READ_INTERVAL,
        )

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration; None until the first one is read."""
        return self._configuration

    @property
    def position(self) -> int | None:
        """Version of the store up to which the operator's table was read.

        None if it was not read lately.
        """
        age = self._clock.get_monotonic() - self._table.last_answer
        if self._configuration is None or age > _MAX_TIME_SINCE_READ:
            return None
        return self._table.version

    @property
    def time_since_answer(self) -> datetime.timedelta:
        """Time since the store last answered a read of the configuration."""
        last_answer = self._table.last_answer
        if self._publications is not None:
            last_answer = max(last_answer, self._publications.last_answer)
        return self._clock.get_monotonic() - last_answer

    def set_publications(
        self, publications: PublicationSource, on_change: Callable[[], None]
    ) -> None:
        """Connects the watcher with the scheduler role of this process.

        Args:
            publications: What the active scheduler publishes.
            on_change: Called after each change of the configuration.
        """
        self._publications = publications
        self._on_change = on_change

    async def run(self) -> None:
        """Reads the configuration and applies its changes until cancelled."""
        if not await self._load_published():
            await self._table.load()
        while True:
            publication = self._get_publication()
            if publication is None:
                await self._follow_table()
            elif self._is_behind(publication):
                self._log.info(
                    "configuration_change_missed",
                    published=publication.version,
                )
                await self._follow_table()
            else:
                await self._clock.sleep(_CHECK_INTERVAL)

    async def _load_published(self) -> bool:
        """Reads the published copy, and the operator's changes since.

        Many processes that start at once would fill a link with the operator's
        row.

        Returns:
            Whether the newest configuration was read.
        """
        try:
            published = (
                await _published_configuration.read_published_configuration(
                    self._store
                )
            )
            if published is None:
                return False
            self._table.skip_to(published.position)
            await self._table.poll()
        except (
            model.HistoryLostError,
            model.StoreUnavailableError,
            records.MalformedRowError,
        ) as error:
            self._log.info("published_copy_not_used", reason=error.message)
            return False
        self._set_configuration(published.configuration)
        return True

    async def _follow_table(self) -> None:
        """Reads the next changes of the operator's table.

        If the store has discarded some, all instances notice it at the same
        time. A heartbeat then tells most of them that they have missed none,
        which avoids that all read the large row at once.
        """
        try:
            await self._table.follow_once()
        except model.HistoryLostError:
            if not await self._wait_for_heartbeat():
                await self._table.load()

    async def _wait_for_heartbeat(self) -> bool:
        """Waits for a publication that this process is not behind.

        Returns:
            Whether there is one.
        """
        publications = self._publications
        if publications is None:
            return False
        deadline = self._clock.get_monotonic() + _MAX_HEARTBEAT_WAIT
        while (
            not publications.is_active
            and self._clock.get_monotonic() < deadline
        ):
            if not self._is_behind(self._get_publication()):
                return True
            await self._clock.sleep(_CHECK_INTERVAL)
        return False

    def apply_change_row(self, row: model.Row) -> None:
        """Applies a change that the active scheduler has published.

        A change of another version than the present one is ignored; the
        publication then shows that this process is behind.
        """
        if row.is_deleted or not records.is_change_ref(row.ref):
            return
        try:
            part = records.decode_change_part(row.value)
            current = self._configuration
            if current is None or part.base != current.version:
                return
            change = self._assembler.add_part(part)
            if change is None:
                return
        except records.MalformedRowError as error:
            self._log.error("configuration_malformed", reason=error.message)
            return
        self._set_configuration(change.apply_to(current))

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
            if not await self._read_publication():
                await self._read_changes()
        except model.StoreUnavailableError as error:
            self._log.info("configuration_read_failed", reason=error.message)
            return False
        self._last_refresh = started_at
        return self._configuration is not None

    def _get_publication(self) -> model.Publication | None:
        """Returns the publication, and continues after it where possible."""
        if self._publications is None or self._configuration is None:
            return None
        publication = self._publications.publication
        if (
            publication is not None
            and publication.version == self._configuration.version
        ):
            self._table.skip_to(publication.position)
        return publication

    def _is_behind(self, publication: model.Publication | None) -> bool:
        """Returns whether this process may lack published changes."""
        return (
            publication is None
            or self._configuration is None
            or publication.version > self._configuration.version
        )

    async def _read_publication(self) -> bool:
        """Reads the published changes up to now.

        Returns:
            Whether the configuration is up to date with them.

        Raises:
            StoreUnavailableError: The store could not be read.
        """
        if self._publications is None or self._get_publication() is None:
            return False
        try:
            await self._publications.poll_publication()
        except model.HistoryLostError as error:
            self._log.info("feed_history_lost", reason=error.message)
            return False
        return not self._is_behind(self._get_publication())

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
        self._set_configuration(configuration)

    def _set_configuration(self, configuration: model.Configuration) -> None:
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._log.info(
            "configuration_applied",
            version=configuration.version,
            queues=len(configuration.queues),
        )
        self._on_change()
