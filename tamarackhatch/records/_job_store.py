"""Stores submissions and cancellations of jobs, and reads their state."""

import collections
from collections.abc import Callable
import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch.records import _jobs
from tamarackhatch.records import _names
from tamarackhatch.records import _progress

# The store normally answers within 4 ms, and can be 60 times slower. A lost
# answer costs the first timeout; the second attempt then shows that the row is
# stored.
_FIRST_WRITE_TIMEOUT = datetime.timedelta(milliseconds=300)
_WRITE_TIMEOUT = datetime.timedelta(milliseconds=500)
_READ_TIMEOUT = datetime.timedelta(milliseconds=700)
# A failed write is tried again for this long. Then the caller is answered, so
# that it can ask an instance that reaches the store. Callers ask up to five
# times within three seconds, so a longer time would not bridge more outages.
_MAX_RETRY_TIME = datetime.timedelta(milliseconds=500)
_RETRY_DELAY = datetime.timedelta(milliseconds=60)
_MAX_CACHED_KEYS = 20_000
# Ends the range of keys that start with a job's identifier, because it sorts
# after every character of a job's row keys.
_KEY_RANGE_END = "~"


class JobStore:
    """Reads and writes the rows of jobs on behalf of callers."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        get_latest_term: Callable[[], int] = lambda: 0,
    ) -> None:
        """Creates the job store of one instance.

        Args:
            store: The table store.
            time_source: Source of time.
            get_latest_term: Returns the latest scheduler term that the
                instance knows of; 0 for none.
        """
        self._store = store
        self._get_latest_term = get_latest_term
        self._clock = time_source
        self._final_states: collections.OrderedDict[str, model.JobState]
        self._final_states = collections.OrderedDict()

    async def submit(
        self, job: model.Job, deadline: datetime.timedelta
    ) -> None:
        """Stores a job, unless a job with its identifier is stored.

        Args:
            job: The job.
            deadline: Monotonic time at which the caller stops waiting.

        Raises:
            StoreOutcomeUnknownError: The job may be stored, now or later, by
                this or an earlier submission.
        """
        ref = _names.get_job_ref(job.identifier)
        stored = attrs.evolve(job, term=self._get_latest_term())
        put = model.Put(ref, _jobs.encode_job(stored))
        await self._write_if_absent(put, deadline)

    async def cancel(
        self, identifier: str, deadline: datetime.timedelta
    ) -> None:
        """Marks a stored job as cancelled; a repeated call changes nothing.

        Args:
            identifier: Identifier of the job.
            deadline: Monotonic time at which the caller stops waiting.

        Raises:
            StoreOutcomeUnknownError: The job may be marked, now or later, by
                this or an earlier call.
        """
        ref = _names.get_cancel_ref(identifier)
        await self._write_if_absent(model.Put(ref, b"{}"), deadline)

    async def is_stored(self, identifier: str) -> bool:
        """Returns whether a job is stored.

        Raises:
            StoreUnavailableError: The store could not be read.
        """
        if identifier in self._final_states:
            return True
        rows = await self._read_job_rows(identifier)
        return any(row.ref.key == identifier for row in rows)

    async def read_state(self, identifier: str) -> model.JobState | None:
        """Returns the state of a job, or None if the job is not stored.

        Raises:
            StoreUnavailableError: The store could not be read.
            MalformedRowError: The progress row is malformed.
        """
        cached = self._final_states.get(identifier)
        if cached is not None:
            return cached
        ref = _names.get_progress_ref(identifier)
        page = await self._store.read(
            ref.table,
            ref.partition,
            _READ_TIMEOUT,
            ref.key,
            ref.key + _KEY_RANGE_END,
        )
        for row in page.rows:
            if row.ref.key == identifier:
                state = _progress.decode_progress(row.value).state
                if state.is_final:
                    self._cache_final_state(identifier, state)
                return state
        rows = await self._read_job_rows(identifier)
        if any(row.ref.key == identifier for row in rows):
            return model.JobState.QUEUED
        return None

    def _cache_final_state(
        self, identifier: str, state: model.JobState
    ) -> None:
        self._final_states[identifier] = state
        if len(self._final_states) > _MAX_CACHED_KEYS:
            self._final_states.popitem(last=False)

    async def _read_job_rows(self, identifier: str) -> tuple[model.Row, ...]:
        ref = _names.get_job_ref(identifier)
        page = await self._store.read(
            ref.table,
            ref.partition,
            _READ_TIMEOUT,
            ref.key,
            ref.key + _KEY_RANGE_END,
        )
        return page.rows

    async def _write_if_absent(
        self, put: model.Put, deadline: datetime.timedelta
    ) -> None:
        """Writes a row unless it exists.

        A failure never says that the row is not stored, even if the store
        certainly did not apply this write: an earlier request of the caller
        may have gone through another instance, whose write the store may
        still apply.
        """
        started_at = self._clock.get_monotonic()
        last_failure = "no time left for a write"
        timeout = _FIRST_WRITE_TIMEOUT
        while True:
            now = self._clock.get_monotonic()
            remaining = deadline - now
            if (
                remaining <= datetime.timedelta()
                or now - started_at >= _MAX_RETRY_TIME
            ):
                raise model.StoreOutcomeUnknownError(last_failure)
            try:
                # A conflict also counts as success: the row exists, because
                # an earlier attempt, perhaps of another instance, stored it.
                await self._store.write(
                    [(put.ref, 0)], [put], [], min(timeout, remaining)
                )
                return
            except (
                model.StoreOutcomeUnknownError,
                model.StoreUnavailableError,
            ) as error:
                last_failure = error.message
            timeout = _WRITE_TIMEOUT
            await self._clock.sleep(_RETRY_DELAY)
