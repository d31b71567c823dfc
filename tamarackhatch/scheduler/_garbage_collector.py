"""Removes rows of finished jobs after their retention time."""

import collections
from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.scheduler import _job_markers

# A submission may be repeated seconds after its answer. If the job's row were
# already removed, the job would run again, so rows are kept far longer than
# callers need them.
_MIN_RETENTION = datetime.timedelta(minutes=10)
_RETENTION_FACTOR = 2
_ROUND_INTERVAL = datetime.timedelta(seconds=5)
_WRITE_TIMEOUT = datetime.timedelta(milliseconds=900)
_MAX_JOBS_PER_ROUND = 50


class JobGarbageCollector:
    """Removes finished jobs, and markers of jobs that are not stored."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        retention: datetime.timedelta,
        remove_job: Callable[[str], None],
        log: observability.Log,
    ) -> None:
        self._store = store
        self._clock = time_source
        self._retention = max(_MIN_RETENTION, retention * _RETENTION_FACTOR)
        self._remove_job = remove_job
        self._log = log
        self._finished: collections.deque[tuple[datetime.timedelta, str, int]]
        self._finished = collections.deque()
        self._markers = _job_markers.MarkerCollector(
            store, time_source, self._retention, log
        )

    def record_finished(self, identifier: str, parts: int = 0) -> None:
        """Starts the retention time of a job that is finished.

        Args:
            identifier: Identifier of the job.
            parts: Number of rows among which its progress was divided.
        """
        now = self._clock.get_monotonic()
        self._finished.append((now, identifier, parts))

    def record_marker(self, row: model.Row) -> None:
        """Starts the retention time of a cancel or refusal row.

        Args:
            row: The row; its job is not stored, or was refused before.
        """
        self._markers.record(row)

    async def run(self) -> None:
        """Removes rows until cancelled."""
        while True:
            await self._clock.sleep(_ROUND_INTERVAL)
            await self._markers.remove_due_rows()
            for _ in range(_MAX_JOBS_PER_ROUND):
                if not self._is_due():
                    break
                _, identifier, parts = self._finished[0]
                if not await self._remove_rows(identifier, parts):
                    break
                self._finished.popleft()
                self._remove_job(identifier)

    def _is_due(self) -> bool:
        if not self._finished:
            return False
        finished, _, _ = self._finished[0]
        return self._clock.get_monotonic() - finished >= self._retention

    async def _remove_rows(self, identifier: str, parts: int) -> bool:
        # The progress row is removed last, because a job that still has a row
        # would run again without its progress.
        transactions = (
            [
                records.get_job_ref(identifier),
                records.get_cancel_ref(identifier),
                records.get_refusal_ref(identifier),
            ],
            [
                records.get_progress_ref(identifier),
                *(
                    records.get_progress_part_ref(identifier, part)
                    for part in range(parts)
                ),
            ],
        )
        try:
            for removals in transactions:
                await self._store.write([], [], removals, _WRITE_TIMEOUT)
        except (
            model.StoreUnavailableError,
            model.StoreOutcomeUnknownError,
        ) as error:
            self._log.info(
                "job_removal_failed", job=identifier, reason=error.message
            )
            return False
        self._log.info("job_removed", job=identifier)
        return True
