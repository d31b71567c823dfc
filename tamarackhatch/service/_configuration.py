"""The newest configuration of the operator."""

import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records

_READ_TIMEOUT = datetime.timedelta(milliseconds=800)


class ConfigurationWatcher:
    """Keeps the newest configuration; it never goes back to an older one."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        log: observability.Log,
    ) -> None:
        self._store = store
        self._clock = time_source
        self._log = log
        self._configuration: model.Configuration | None = None
        self._confirmed = datetime.timedelta()
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
        """The newest configuration; None before the first one is read."""
        return self._configuration

    @property
    def time_since_answer(self) -> datetime.timedelta:
        """Time since the store last answered about the configuration."""
        return self._clock.get_monotonic() - self._table.answered

    async def run(self) -> None:
        """Reads the configuration, then follows it until cancelled."""
        await self._table.load()
        await self._table.follow()

    async def confirm(self, max_age: datetime.timedelta) -> bool:
        """Makes sure that no newer configuration was acknowledged.

        Args:
            max_age: How old an earlier confirmation may be.

        Returns:
            False if the store could not be read.
        """
        began = self._clock.get_monotonic()
        if self._configuration is not None and (
            began - self._confirmed < max_age
        ):
            return True
        try:
            page = await self._store.read(
                platform.OPERATOR_TABLE,
                "",
                _READ_TIMEOUT,
                platform.CONFIGURATION_KEY,
                platform.CONFIGURATION_KEY + "\0",
            )
        except model.StoreUnavailableError as error:
            self._log.info("configuration_unread", reason=error.message)
            return False
        for row in page.rows:
            self._apply_row(row)
        self._confirmed = began
        return self._configuration is not None

    def _apply_row(self, row: model.Row) -> None:
        if row.ref.key != platform.CONFIGURATION_KEY or row.is_deleted:
            return
        try:
            configuration = platform.decode_configuration(row.value)
        except platform.BadAnswerError as error:
            self._log.error("configuration_unreadable", reason=error.message)
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
