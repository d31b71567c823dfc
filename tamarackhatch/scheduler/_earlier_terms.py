"""Reads what the schedulers of earlier terms stored beside jobs."""

import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch import records

_READ_TIMEOUT = datetime.timedelta(milliseconds=1500)
_RETRY_PAUSE = datetime.timedelta(milliseconds=150)


class EarlierTermsReader:
    """Reads rows of earlier terms, and retries until the store answers."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        log: observability.Log,
        term: int,
    ) -> None:
        """Creates the reader of one scheduler.

        Args:
            store: The table store.
            time_source: Source of time.
            log: Logger of the scheduler.
            term: Number of the scheduler's term.
        """
        self._store = store
        self._clock = time_source
        self._log = log
        self._term = term

    async def read_runners(
        self,
    ) -> tuple[tuple[records.TrackedRunner, ...] | None, records.Cordons]:
        """Returns the runners on which earlier tasks may run.

        Returns:
            The runners, None if they cannot be read; and those of them that
            the previous scheduler cordoned.
        """
        rows = await self._read_rows(records.TRACKED_RUNNERS)
        cordons = self._decode_cordons(records.find_row(rows, records.CORDONS))
        row = records.find_row(rows, records.TRACKED_RUNNERS)
        if row is None:
            return (), cordons
        try:
            return records.decode_tracked_runners(row.value), cordons
        except records.MalformedRowError as error:
            self._log.error("tracked_runners_unreadable", reason=error.message)
            return None, cordons

    async def read_interference(self) -> placement.InterferenceTable | None:
        """Returns the learned interference factors; None if unreadable."""
        rows = await self._read_rows(records.INTERFERENCE)
        row = records.find_row(rows, records.INTERFERENCE)
        if row is None:
            return None
        try:
            return records.decode_interference(row.value)
        except records.MalformedRowError as error:
            self._log.warning("interference_unreadable", reason=error.message)
            return None

    def _decode_cordons(self, row: model.Row | None) -> records.Cordons:
        none = records.Cordons(self._term - 1)
        if row is None:
            return none
        try:
            cordons = records.decode_cordons(row.value)
        except records.MalformedRowError as error:
            self._log.warning("cordons_unreadable", reason=error.message)
            return none
        # The scheduler of a later term may have started tasks on runners that
        # an earlier one had cordoned.
        return cordons if cordons.term == none.term else none

    async def _read_rows(self, ref: model.RowRef) -> tuple[model.Row, ...]:
        """Returns all rows of the table and partition of a row."""
        while True:
            try:
                page = await self._store.read(
                    ref.table, ref.partition, _READ_TIMEOUT
                )
                return page.rows
            except model.StoreUnavailableError as error:
                self._log.warning(
                    "row_read_failed", table=ref.table, reason=error.message
                )
                await self._clock.sleep(_RETRY_PAUSE)
