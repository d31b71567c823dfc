"""Counts the jobs that wait from the rows of the store.

Answers the failure in which no scheduler counts them: one takeover after the
other, or a scheduler whose feed of the jobs stands still.
"""

import collections
from collections.abc import Iterable
import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch.records import _jobs
from tamarackhatch.records import _names
from tamarackhatch.records import _progress
from tamarackhatch.records import _progress_parts
from tamarackhatch.records import _watcher

# Any number of instances may read at once, so that retries without a pause
# would keep an overloaded store overloaded.
_MAX_LOAD_DELAY = datetime.timedelta(seconds=4)


class PendingReader:
    """Counts pending jobs from rows, on behalf of an instance."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        log: observability.Log,
    ) -> None:
        """Creates a reader.

        Args:
            store: The table store.
            time_source: Source of time.
            log: Logger of the service.
        """
        self._store = store
        self._clock = time_source
        self._log = log

    async def add_changes(
        self, count: model.PendingCount
    ) -> model.PendingCount:
        """Returns numbers that include the jobs stored since a count.

        Jobs that have started since then are not taken off, because their
        rows do not tell their queues.

        Args:
            count: The count, whose moment is known.

        Raises:
            HistoryLostError: The store has discarded changes since then.
            StoreUnavailableError: The store could not be read.
        """
        assert count.moment is not None
        page = await self._store.follow(
            _names.JOBS_TABLE, count.moment.version, datetime.timedelta()
        )
        stored = self._list_stored(page.rows)
        totals = collections.Counter(count.by_queue)
        totals.update(stored.values())
        return model.PendingCount(dict(totals), page.moment)

    async def count_all(self) -> model.PendingCount:
        """Returns numbers from all rows of jobs; repeats until it succeeds."""
        rows: list[model.Row] = []
        jobs = self._make_watcher(
            _names.JOBS_TABLE, _names.JOB_PARTITIONS, rows
        )
        await jobs.load()
        progress: list[model.Row] = []
        await self._make_watcher(
            _names.PROGRESS_TABLE, (_names.SCHEDULER_PARTITION,), progress
        ).load()
        started = self._list_started(progress)
        totals = collections.Counter(
            queue
            for job, queue in self._list_stored(rows).items()
            if job not in started
        )
        return model.PendingCount(dict(totals), jobs.moment)

    def _make_watcher(
        self, table: str, partitions: tuple[str, ...], rows: list[model.Row]
    ) -> _watcher.TableWatcher:
        return _watcher.TableWatcher(
            self._store,
            self._clock,
            table,
            partitions,
            rows.append,
            self._log,
            max_load_delay=_MAX_LOAD_DELAY,
        )

    def _list_stored(self, rows: Iterable[model.Row]) -> dict[str, str]:
        """Returns the queues of the jobs that are not cancelled, by job."""
        stored: dict[str, str] = {}
        cancelled: set[str | None] = set()
        for row in rows:
            key = row.ref.key
            if row.is_deleted or _names.get_refused_job(key) is not None:
                continue
            if _names.get_cancelled_job(key) is not None:
                cancelled.add(_names.get_cancelled_job(key))
                continue
            try:
                stored[key] = _jobs.decode_queue_name(key, row.value)
            except _progress.MalformedRowError as error:
                self._log.error(
                    "job_unreadable", job=key, reason=error.message
                )
        return {
            job: queue for job, queue in stored.items() if job not in cancelled
        }

    def _list_started(self, rows: Iterable[model.Row]) -> set[str]:
        """Returns the jobs of which a task has started."""
        states: dict[str, model.JobState] = {}
        divided: set[str] = set()
        for row in rows:
            part = _names.get_progress_part(row.ref.key)
            if part is not None:
                divided.add(part[0])
                continue
            try:
                progress = _progress_parts.decode_progress_row(row.value)
            except _progress.MalformedRowError as error:
                self._log.error(
                    "progress_unreadable",
                    job=row.ref.key,
                    reason=error.message,
                )
                continue
            states[row.ref.key] = progress.state
        started = {
            job
            for job, state in states.items()
            if state is not model.JobState.QUEUED
        }
        # A job without a row of its own has a part with progress.
        return started | (divided - states.keys())
