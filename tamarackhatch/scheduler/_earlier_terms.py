"""Reads what the schedulers of earlier terms stored beside jobs."""

import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch import records

_READ_TIMEOUT = datetime.timedelta(milliseconds=1500)
_RETRY_PAUSE = datetime.timedelta(milliseconds=150)


@attrs.frozen
class EarlierRuns:
    """What earlier schedulers stored of the runs of their terms.

    Attributes:
        tracked_runners: Runners on which earlier tasks may run; None if they
            cannot be read.
        cordoned_runners: Those of them that are cordoned.
        waiting_tasks: Tasks that the previous scheduler could have started
            when it handed over, so that they run nowhere.
        open_starts: Start commands that may still be carried out.
    """

    tracked_runners: tuple[records.TrackedRunner, ...] | None
    cordoned_runners: tuple[records.CordonedRunner, ...]
    waiting_tasks: frozenset[model.TaskKey]
    open_starts: tuple[records.OpenStart, ...] = ()


class EarlierTermsReader:
    """Reads rows of earlier terms, and retries until the store answers."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        log: observability.Log,
    ) -> None:
        """Creates the reader of one scheduler.

        Args:
            store: The table store.
            time_source: Source of time.
            log: Logger of the scheduler.
        """
        self._store = store
        self._clock = time_source
        self._log = log

    async def read_runners(self, term: int) -> EarlierRuns:
        """Returns where earlier tasks may run, and which run nowhere.

        Args:
            term: Number of the reader's own term.
        """
        rows = await self._read_rows(records.TRACKED_RUNNERS)
        row = records.find_row(rows, records.TRACKED_RUNNERS)
        if row is None:
            return EarlierRuns((), (), frozenset())
        starts = self._decode_open_starts(
            records.find_row(rows, records.OPEN_STARTS)
        )
        try:
            tracked_runners = records.decode_tracked_runners(rows)
        except records.MalformedRowError as error:
            self._log.error("tracked_runners_unreadable", reason=error.message)
            return EarlierRuns(None, (), frozenset(), starts)
        return EarlierRuns(
            tracked_runners,
            self._decode_cordons(
                records.find_row(rows, records.CORDONS), row.version
            ),
            self._decode_waiting_tasks(
                records.find_row(rows, records.WAITING_TASKS), term
            ),
            starts,
        )

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

    def _decode_cordons(
        self, row: model.Row | None, tracked_version: int
    ) -> tuple[records.CordonedRunner, ...]:
        # A scheduler writes both lists together before it starts a task. If
        # this one is older, a build that does not know it has started tasks.
        if row is None or row.version < tracked_version:
            return ()
        try:
            return records.decode_cordons(row.value)
        except records.MalformedRowError as error:
            self._log.warning("cordons_unreadable", reason=error.message)
            return ()

    def _decode_open_starts(
        self, row: model.Row | None
    ) -> tuple[records.OpenStart, ...]:
        if row is None:
            return ()
        try:
            return records.decode_open_starts(row.value)
        except records.MalformedRowError as error:
            self._log.warning("open_starts_unreadable", reason=error.message)
            return ()

    def _decode_waiting_tasks(
        self, row: model.Row | None, term: int
    ) -> frozenset[model.TaskKey]:
        if row is None:
            return frozenset()
        try:
            waiting = records.decode_waiting_tasks(row.value)
        except records.MalformedRowError as error:
            self._log.warning("waiting_tasks_unreadable", reason=error.message)
            return frozenset()
        # A scheduler in between may have started them.
        if waiting.term != term - 1:
            return frozenset()
        return frozenset(waiting.tasks)

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
