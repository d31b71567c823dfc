"""Removes the rows of jobs whose state need not be told any more."""

import collections
from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records

# A submission may come again seconds after its answer; a job whose row is
# gone would then run once more. So rows stay far longer than callers ask.
_LEAST_RETENTION = datetime.timedelta(minutes=10)
_RETENTION_FACTOR = 2
_INTERVAL = datetime.timedelta(seconds=5)
_TIMEOUT = datetime.timedelta(milliseconds=900)
_MAX_JOBS_PER_ROUND = 50


class JobGarbageCollector:
    """Removes finished jobs after their retention."""

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
        self._retention = max(_LEAST_RETENTION, retention * _RETENTION_FACTOR)
        self._remove_job = remove_job
        self._log = log
        self._finished: collections.deque[tuple[datetime.timedelta, str]]
        self._finished = collections.deque()

    def record_finished(self, identifier: str) -> None:
        """Notes that a job is finished, or was found to be."""
        self._finished.append((self._clock.get_monotonic(), identifier))

    async def run(self) -> None:
        """Removes rows until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            for _ in range(_MAX_JOBS_PER_ROUND):
                if not self._is_due():
                    break
                _, identifier = self._finished[0]
                if not await self._remove(identifier):
                    break
                self._finished.popleft()
                self._remove_job(identifier)

    def _is_due(self) -> bool:
        if not self._finished:
            return False
        finished, _ = self._finished[0]
        return self._clock.get_monotonic() - finished >= self._retention

    async def _remove(self, identifier: str) -> bool:
        # The progress row goes last: without it, a job row that is left
        # would run again.
        steps = (
            [
                records.get_job_ref(identifier),
                records.get_cancel_ref(identifier),
            ],
            [records.get_progress_ref(identifier)],
        )
        try:
            for removals in steps:
                await self._store.write([], [], removals, _TIMEOUT)
        except (
            model.StoreUnavailableError,
            model.StoreOutcomeUnknownError,
        ) as error:
            self._log.info(
                "removal_failed", job=identifier, reason=error.message
            )
            return False
        self._log.info("job_removed", job=identifier)
        return True
