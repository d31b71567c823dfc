"""Stores submissions and cancellations of jobs, and reads their state."""

import collections
from collections.abc import Callable
import datetime
import enum

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch.records import _jobs
from tamarackhatch.records import _names
from tamarackhatch.records import _progress

# The store normally answers within 4 ms, and can be 60 times slower.
_WRITE_TIMEOUT = datetime.timedelta(milliseconds=700)
_READ_TIMEOUT = datetime.timedelta(milliseconds=700)
# A write that certainly failed is retried for this long before the request is
# refused. A refusal is only useful while the caller has time to go elsewhere.
_MAX_RETRY_TIME = datetime.timedelta(milliseconds=200)
_RETRY_DELAY = datetime.timedelta(milliseconds=60)
_MAX_CACHED_KEYS = 20_000
# Ends the range of keys that start with a job's identifier, because it sorts
# after every character of a job's row keys.
_KEY_RANGE_END = "~"


class WriteOutcome(enum.Enum):
    """Outcome of a submission or cancellation.

    Attributes:
        ACCEPTED: The row is stored.
        REFUSED: The row is not stored and never will be.
        UNKNOWN: The row may be stored, now or later.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


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
        # Keys of rows whose write got no answer. The store may still apply
        # these writes later.
        self._unknown_outcomes: collections.OrderedDict[str, None]
        self._unknown_outcomes = collections.OrderedDict()

    async def submit(
        self, job: model.Job, deadline: datetime.timedelta
    ) -> WriteOutcome:
        """Stores a job, unless a job with its identifier is stored.

        Args:
            job: The job.
            deadline: Monotonic time at which the caller stops waiting.
        """
        ref = _names.get_job_ref(job.identifier)
        stored = attrs.evolve(job, term=self._get_latest_term())
        put = model.Put(ref, _jobs.encode_job(stored))
        return await self._write([(ref, 0)], put, deadline)

    async def cancel(
        self, identifier: str, deadline: datetime.timedelta
    ) -> WriteOutcome:
        """Marks a stored job as cancelled; a repeated call changes nothing.

        Args:
            identifier: Identifier of the job.
            deadline: Monotonic time at which the caller stops waiting.
        """
        ref = _names.get_cancel_ref(identifier)
        return await self._write([(ref, 0)], model.Put(ref, b"{}"), deadline)

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

    def _record_unknown_outcome(self, key: str) -> None:
        self._unknown_outcomes[key] = None
        if len(self._unknown_outcomes) > _MAX_CACHED_KEYS:
            self._unknown_outcomes.popitem(last=False)

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

    async def _write(
        self,
        expected: list[tuple[model.RowRef, int]],
        put: model.Put,
        deadline: datetime.timedelta,
    ) -> WriteOutcome:
        started_at = self._clock.get_monotonic()
        # A refusal says that the row is never stored, so it must also hold for
        # earlier attempts of the same caller.
        is_outcome_unknown = put.ref.key in self._unknown_outcomes
        while True:
            remaining = deadline - self._clock.get_monotonic()
            if remaining <= datetime.timedelta():
                break
            try:
                # A conflict also counts as success: the row exists, because
                # an earlier attempt, perhaps of another instance, stored it.
                await self._store.write(
                    expected, [put], [], min(_WRITE_TIMEOUT, remaining)
                )
                self._unknown_outcomes.pop(put.ref.key, None)
                return WriteOutcome.ACCEPTED
            except model.StoreOutcomeUnknownError:
                is_outcome_unknown = True
                self._record_unknown_outcome(put.ref.key)
            except model.StoreUnavailableError:
                elapsed = self._clock.get_monotonic() - started_at
                if not is_outcome_unknown and elapsed >= _MAX_RETRY_TIME:
                    return WriteOutcome.REFUSED
                await self._clock.sleep(_RETRY_DELAY)
        return (
            WriteOutcome.UNKNOWN
            if is_outcome_unknown
            else WriteOutcome.REFUSED
        )
