"""Stores submissions and cancellations of jobs, and reads their state."""

import collections
from collections.abc import Callable
import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch.records import _hedged_call
from tamarackhatch.records import _jobs
from tamarackhatch.records import _names
from tamarackhatch.records import _progress
from tamarackhatch.records import _store_liveness

# For reads without a caller that states its deadline.
_DEFAULT_READ_TIME = datetime.timedelta(seconds=3)
_MAX_CACHED_KEYS = 20_000
# Ends the range of keys that start with a job's identifier, because it sorts
# after every character of a job's row keys.
_KEY_RANGE_END = "~"


class JobStore:
    """Reads and writes the rows of jobs on behalf of callers.

    While the store shows signs of life, a call that gets no answer goes on
    until the caller's deadline, and is repeated meanwhile. Without them it
    ends after 0.8 s, so that the caller can ask another instance.
    """

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        get_latest_term: Callable[[], int] = lambda: 0,
        liveness: _store_liveness.StoreLiveness | None = None,
        record: Callable[[_hedged_call.CallReport], None] = lambda report: (
            None
        ),
    ) -> None:
        """Creates the job store of one instance.

        Args:
            store: The table store.
            time_source: Source of time.
            get_latest_term: Returns the latest scheduler term that the
                instance knows of; 0 for none.
            liveness: Signs of life of the store, which the store's client
                records; None if only the calls of this object count.
            record: Called with a report of each call to the store.
        """
        self._store = store
        self._get_latest_term = get_latest_term
        self._clock = time_source
        if liveness is None:
            liveness = _store_liveness.StoreLiveness(time_source)
        # Separate budgets, so that reads, which are frequent, leave writes
        # their repeats.
        self._writer = _hedged_call.HedgedCaller(time_source, liveness, record)
        self._reader = _hedged_call.HedgedCaller(time_source, liveness, record)
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
        await self._write_if_absent("submit", job.identifier, put, deadline)

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
        put = model.Put(_names.get_cancel_ref(identifier), b"{}")
        await self._write_if_absent("cancel", identifier, put, deadline)

    async def is_stored(
        self, identifier: str, deadline: datetime.timedelta | None = None
    ) -> bool:
        """Returns whether a job is stored.

        Args:
            identifier: Identifier of the job.
            deadline: Monotonic time at which the caller stops waiting; None
                for 3 s from now.

        Raises:
            StoreUnavailableError: The store could not be read.
        """
        if identifier in self._final_states:
            return True
        ref = _names.get_job_ref(identifier)
        rows = await self._read_rows(identifier, ref, deadline)
        return any(row.ref.key == identifier for row in rows)

    async def read_state(
        self, identifier: str, deadline: datetime.timedelta | None = None
    ) -> model.JobState | None:
        """Returns the state of a job, or None if the job is not stored.

        Args:
            identifier: Identifier of the job.
            deadline: Monotonic time at which the caller stops waiting; None
                for 3 s from now.

        Raises:
            StoreUnavailableError: The store could not be read.
            MalformedRowError: The progress row is malformed.
        """
        cached = self._final_states.get(identifier)
        if cached is not None:
            return cached
        if deadline is None:
            deadline = self._clock.get_monotonic() + _DEFAULT_READ_TIME
        rows = await self._read_rows(
            identifier, _names.get_progress_ref(identifier), deadline
        )
        for row in rows:
            if row.ref.key == identifier:
                state = _progress.decode_progress(row.value).state
                if state.is_final:
                    self._cache_final_state(identifier, state)
                return state
        if await self.is_stored(identifier, deadline):
            return model.JobState.QUEUED
        return None

    def _cache_final_state(
        self, identifier: str, state: model.JobState
    ) -> None:
        self._final_states[identifier] = state
        if len(self._final_states) > _MAX_CACHED_KEYS:
            self._final_states.popitem(last=False)

    async def _read_rows(
        self,
        identifier: str,
        ref: model.RowRef,
        deadline: datetime.timedelta | None,
    ) -> tuple[model.Row, ...]:
        """Reads the rows of a job whose keys begin as that of ref."""
        if deadline is None:
            deadline = self._clock.get_monotonic() + _DEFAULT_READ_TIME

        async def send(
            timeout: datetime.timedelta, *, is_hedge: bool
        ) -> model.RowPage:
            return await self._store.read(
                ref.table,
                ref.partition,
                timeout,
                ref.key,
                ref.key + _KEY_RANGE_END,
                is_hedge=is_hedge,
            )

        try:
            page = await self._reader.call("read", identifier, send, deadline)
        except _hedged_call.CallGivenUpError as error:
            raise model.StoreUnavailableError(str(error)) from error
        return page.rows

    async def _write_if_absent(
        self,
        kind: str,
        identifier: str,
        put: model.Put,
        deadline: datetime.timedelta,
    ) -> None:
        """Writes a row unless it exists.

        A failure never says that the row is not stored, even if the store
        certainly did not apply this write: an earlier request of the caller
        may have gone through another instance, whose write the store may
        still apply.
        """

        async def send(
            timeout: datetime.timedelta, *, is_hedge: bool
        ) -> model.Committed | model.Conflict:
            return await self._store.write(
                [(put.ref, 0)], [put], [], timeout, is_hedge=is_hedge
            )

        try:
            # A conflict also counts as success: the row exists, because
            # an earlier attempt, perhaps of another instance, stored it.
            await self._writer.call(kind, identifier, send, deadline)
        except _hedged_call.CallGivenUpError as error:
            raise model.StoreOutcomeUnknownError(str(error)) from error
