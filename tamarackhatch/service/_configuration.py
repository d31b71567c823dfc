"""Watches the operator's configuration."""

import asyncio
from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch.service import _held_configuration
from tamarackhatch.service import _publications
from tamarackhatch.service import _published_configuration

_READ_TIMEOUT = datetime.timedelta(milliseconds=800)
# Between two reads of the operator's row. Versions that follow one another
# faster are read as one.
_READ_INTERVAL = datetime.timedelta(milliseconds=500)
# Without a live heartbeat, instances with a configuration of this size begin
# to read the operator's row late, and at different times. Most of them need
# not do so, because the next scheduler publishes meanwhile.
_MIN_LARGE_QUEUES = 250
# From the last heartbeat to the moment at which it no longer counts as live,
# and for reading a large row.
_MIN_READ_ALLOWANCE = datetime.timedelta(milliseconds=2300)
# After a read that failed, in proportion to its duration: it may have carried
# much in vain.
_MAX_REST = datetime.timedelta(milliseconds=1200)
# Of the active scheduler's requests for changes of the operator's table. All
# instances read the large row if it gets no answer for 2.4 s, which must not
# happen because a single answer is lost.
_PUBLISHER_FEED_WAIT = datetime.timedelta(milliseconds=500)
# Time between two checks whether the active scheduler still publishes.
_CHECK_INTERVAL = datetime.timedelta(milliseconds=200)
# After a loss of the feed's history, before the whole table is read again. The
# scheduler's heartbeat comes every 0.7 s, and the first one after an outage
# may be old.
_MAX_HEARTBEAT_WAIT = datetime.timedelta(milliseconds=1800)
# For the first heartbeat that a process sees change.
_MAX_PUBLICATION_WAIT = datetime.timedelta(milliseconds=900)
# The operator's table counts as read up to now for this long after an answer;
# a request for changes waits up to 1.5 s.
_MAX_TIME_SINCE_READ = datetime.timedelta(milliseconds=2400)


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
        apply_time: datetime.timedelta,
        turn: float = 0.0,
    ) -> None:
        """Creates a watcher.

        Args:
            store: The table store.
            time_source: Source of time.
            log: Logger of the watcher.
            apply_time: Time within which a new configuration is in force at
                every instance.
            turn: Turn of this process among all, 0 to 1, for large reads.
        """
        longest = max(datetime.timedelta(), apply_time - _MIN_READ_ALLOWANCE)
        # A takeover takes longer than a heartbeat is live.
        self._turn_delay = longest * (0.75 + turn / 4)
        self._store = store
        self._clock = time_source
        self._log = log
        self._held = _held_configuration.HeldConfiguration(log)
        self._publications: _publications.PublicationSource | None = None
        self._on_change: Callable[[], None] = lambda: None
        self._is_direct = True
        self._last_refresh = datetime.timedelta()
        self._refresh_in_progress: asyncio.Task[bool] | None = None
        self._table = records.TableWatcher(
            store,
            time_source,
            platform.OPERATOR_TABLE,
            ("",),
            self._held.apply_row,
            log,
            _READ_INTERVAL,
        )

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration; None until the first one is read."""
        return self._held.configuration

    @property
    def position(self) -> int | None:
        """Version of the store up to which the operator's table was read.

        None if it was not read lately.
        """
        age = self._clock.get_monotonic() - self._table.last_answer
        if self._held.configuration is None or age > _MAX_TIME_SINCE_READ:
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
        self,
        publications: _publications.PublicationSource,
        on_change: Callable[[], None],
    ) -> None:
        """Connects the watcher with the scheduler role of this process.

        Args:
            publications: What the active scheduler publishes.
            on_change: Called after each change of the configuration, and when
                it is known to be the newest one.
        """
        self._publications = publications
        self._on_change = on_change
        self._held.set_callback(on_change)

    async def run(self) -> None:
        """Reads the configuration and applies its changes until cancelled."""
        if not await self._load_published():
            await self._table.load()
        while True:
            publication = self._get_publication()
            if publication is None:
                await self._follow_directly()
                continue
            self._is_direct = False
            if self._is_behind(publication):
                self._log.info(
                    "configuration_change_missed",
                    published=publication.version,
                )
                if not await self._load_published():
                    await self._follow_table()
            await self._clock.sleep(_CHECK_INTERVAL)

    async def _follow_directly(self) -> None:
        """Reads the operator's table while no other process publishes it."""
        is_start, self._is_direct = not self._is_direct, True
        if self._is_publisher:
            is_unknown = self.position is None
            await self._follow_table()
            if is_unknown and self.position is not None:
                # The other instances wait for this process to say which
                # version is in force.
                self._on_change()
            return
        if is_start:
            await self._wait_for_turn()
        if self._get_publication() is None and not self._is_publisher:
            await self._follow_until_published()

    async def _follow_until_published(self) -> None:
        """Reads the operator's table, unless a scheduler publishes it.

        A read in progress is given up then, as it may be a large one.
        """
        started_at = self._clock.get_monotonic()
        read = asyncio.create_task(self._follow_table())
        try:
            while not read.done():
                if self._get_publication() is not None or self._is_publisher:
                    return
                await asyncio.wait(
                    [read], timeout=_CHECK_INTERVAL.total_seconds()
                )
            await read
        finally:
            read.cancel()
        if self._table.last_answer < started_at:
            elapsed = self._clock.get_monotonic() - started_at
            await self._clock.sleep(min(_MAX_REST, elapsed))

    async def _wait_for_turn(self) -> None:
        """Waits for the turn of this process, or for a publication."""
        configuration = self._held.configuration
        if configuration is None or (
            len(configuration.queues) < _MIN_LARGE_QUEUES
        ):
            return
        publications = self._publications
        turn = self._clock.get_monotonic() + self._turn_delay
        while (
            publications is not None
            and not publications.is_active
            and self._get_publication() is None
        ):
            now = self._clock.get_monotonic()
            # A scheduler that has just begun publishes soon.
            if publications.is_leader_alive:
                now -= _MAX_PUBLICATION_WAIT
            if now >= turn:
                return
            await self._clock.sleep(_CHECK_INTERVAL / 4)

    async def _load_published(self) -> bool:
        """Reads the published copy of the configuration.

        Many processes that start at once, or have all missed a change, would
        fill a link with the operator's row.

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
            if not await self._wait_for_publication():
                # The scheduler that published it may have ended.
                self._table.skip_to(published.position)
                await self._table.poll()
        except (
            model.HistoryLostError,
            model.StoreUnavailableError,
            records.MalformedRowError,
        ) as error:
            self._log.info("published_copy_not_used", reason=error.message)
            return False
        self._held.replace_configuration(published.configuration)
        self._held.apply_changes()
        return True

    async def _wait_for_publication(self) -> bool:
        """Waits for a live heartbeat, which says what is in force.

        Returns:
            Whether there is one.
        """
        publications = self._publications
        if publications is None:
            return False
        deadline = self._clock.get_monotonic() + _MAX_PUBLICATION_WAIT
        while publications.publication is None:
            if self._clock.get_monotonic() >= deadline:
                return False
            await self._clock.sleep(_CHECK_INTERVAL / 4)
        return True

    async def _follow_table(self) -> None:
        """Reads the next changes of the operator's table.

        If the store has discarded some, all instances notice it at the same
        time. A heartbeat then tells most of them that they have missed none,
        which avoids that all read the large row at once.
        """
        try:
            if not self._is_publisher:
                await self._table.follow_once()
            elif self.position is None:
                await self._table.follow_once(datetime.timedelta())
            else:
                await self._table.follow_once(_PUBLISHER_FEED_WAIT)
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
        """Applies a change that the active scheduler has published."""
        self._held.apply_change_row(row)

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
        while self._held.configuration is None or self._last_refresh < oldest:
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
        return self._held.configuration is not None

    @property
    def _is_publisher(self) -> bool:
        """Whether the other instances wait for what this process reads."""
        return self._publications is not None and self._publications.is_active

    def _get_publication(self) -> model.Publication | None:
        """Returns the publication, and continues after it where possible."""
        if self._publications is None or self._held.configuration is None:
            return None
        publication = self._publications.publication
        if (
            publication is not None
            and publication.version == self._held.configuration.version
        ):
            self._table.skip_to(publication.position)
        return publication

    def _is_behind(self, publication: model.Publication | None) -> bool:
        """Returns whether this process may lack published changes."""
        return (
            publication is None
            or self._held.configuration is None
            or publication.version > self._held.configuration.version
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
        if self._held.configuration is not None:
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
            self._held.apply_row(row)
