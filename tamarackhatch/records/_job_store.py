"""Stores submissions and cancellations of jobs, and reads their state."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch.records import _hedged_call
from tamarackhatch.records import _jobs
from tamarackhatch.records import _leadership
from tamarackhatch.records import _names
from tamarackhatch.records import _progress_parts
from tamarackhatch.records import _refusals
from tamarackhatch.records import _store_liveness

# For reads without a caller that states its deadline.
_DEFAULT_READ_TIME = datetime.timedelta(seconds=3)
_MAX_CACHED_KEYS = 20_000
# Ends the range of keys that start with a job's identifier, because it sorts
# after every character of a job's row keys.
_KEY_RANGE_END = "~"


class JobCancelledError(errors.CodedError):
    """A job was cancelled before it was stored, and never will be stored."""

    def __init__(self, identifier: str) -> None:
        super().__init__(
            errors.ErrorCode.JOB_CANCELLED, f"job {identifier} is cancelled"
        )


@attrs.frozen
class JobPresence:
    """Which rows of a job the store holds.

    Attributes:
        is_stored: Whether the job is stored.
        is_cancelled: Whether its cancel row is stored; False if that is not
            known.
    """

    is_stored: bool
    is_cancelled: bool = False


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
        self,
        job: model.Job,
        deadline: datetime.timedelta,
        refusal_version: int = 0,
    ) -> _refusals.RefusalState | None:
        """Stores a job, unless a job with its identifier is stored.

        Args:
            job: The job.
            deadline: Monotonic time at which the caller stops waiting.
            refusal_version: Version that the job's refusal row must have; 0
                if there must be none. A write that began before a refusal
                can then not be carried out after it.

        Returns:
            None if the job is stored; else the state of its refusal row,
            which has another version.

        Raises:
            JobCancelledError: The job was cancelled before it was stored.
            StoreOutcomeUnknownError: The job may be stored, now or later, by
                this or an earlier submission.
        """
        ref = _names.get_job_ref(job.identifier)
        stored = attrs.evolve(job, term=self._get_latest_term())
        put = model.Put(ref, _jobs.encode_job(stored))
        result = await self._write(
            "submit", job.identifier, refusal_version, put, deadline
        )
        if isinstance(result, model.Committed):
            return None
        return _find_refusal(result, job.identifier)

    async def refuse(
        self,
        identifier: str,
        refusal: _refusals.Refusal,
        refusal_version: int,
        deadline: datetime.timedelta,
    ) -> _refusals.RefusalState | None:
        """Records that a job is refused, unless it is stored.

        Args:
            identifier: Identifier of the job.
            refusal: The record, with a token of its own.
            refusal_version: Version that the refusal row must have; 0 if it
                must be absent.
            deadline: Monotonic time at which the record must be written.

        Returns:
            None if the job is stored; else the state of its refusal row. Only
            if that holds this refusal, no write that began before it can
            store the job.

        Raises:
            JobCancelledError: The job was cancelled before it was stored.
            StoreOutcomeUnknownError: The record may be written, now or later.
        """
        ref = _names.get_refusal_ref(identifier)
        put = model.Put(ref, _refusals.encode_refusal(refusal))
        result = await self._write(
            "refuse", identifier, refusal_version, put, deadline
        )
        if isinstance(result, model.Committed):
            return _refusals.RefusalState(result.version, refusal)
        return _find_refusal(result, identifier)

    async def cancel(
        self, identifier: str, deadline: datetime.timedelta
    ) -> None:
        """Marks a job as cancelled; a repeated call changes nothing.

        The mark of a job that is not stored keeps all submissions of it from
        being carried out, as their writes are conditional on its absence.

        Args:
            identifier: Identifier of the job.
            deadline: Monotonic time at which the caller stops waiting.

        Raises:
            StoreOutcomeUnknownError: The job may be marked, now or later, by
                this or an earlier call.
        """
        put = model.Put(_names.get_cancel_ref(identifier), b"{}")
        # A conflict also counts as success: the row exists, because an
        # earlier attempt, perhaps of another instance, stored it.
        await self._write_if(
            "cancel", identifier, [(put.ref, 0)], put, deadline
        )

    async def read_presence(
        self, identifier: str, deadline: datetime.timedelta | None = None
    ) -> JobPresence:
        """Returns whether a job, and its cancel row, are stored.

        Args:
            identifier: Identifier of the job.
            deadline: Monotonic time at which the caller stops waiting; None
                for 3 s from now.

        Raises:
            StoreUnavailableError: The store could not be read.
        """
        if identifier in self._final_states:
            return JobPresence(is_stored=True)
        ref = _names.get_job_ref(identifier)
        rows = await self._read_rows(identifier, ref, deadline)
        refs = {row.ref for row in rows}
        return JobPresence(
            ref in refs, _names.get_cancel_ref(identifier) in refs
        )

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
                progress = _progress_parts.decode_progress_row(row.value)
                state = progress.state
                if state.is_final:
                    self._cache_final_state(identifier, state)
                return state
        if (await self.read_presence(identifier, deadline)).is_stored:
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

    async def _write(
        self,
        kind: str,
        identifier: str,
        refusal_version: int,
        put: model.Put,
        deadline: datetime.timedelta,
    ) -> model.Committed | model.Conflict:
        """Writes a row of a job unless the job is stored or cancelled.

        The refusal row must have a given version.
        """
        conditions = [
            (_names.get_job_ref(identifier), 0),
            (_names.get_refusal_ref(identifier), refusal_version),
            (_names.get_cancel_ref(identifier), 0),
        ]
        return await self._write_if(
            kind, identifier, conditions, put, deadline
        )

    async def _write_if(
        self,
        kind: str,
        identifier: str,
        conditions: Sequence[tuple[model.RowRef, int]],
        put: model.Put,
        deadline: datetime.timedelta,
    ) -> model.Committed | model.Conflict:
        """Writes a row on condition of the versions of rows.

        A failure never says that the row is not stored, even if the store
        certainly did not apply this write: an earlier request of the caller
        may have gone through another instance, whose write the store may
        still apply.
        """

        async def send(
            timeout: datetime.timedelta, *, is_hedge: bool
        ) -> model.Committed | model.Conflict:
            return await self._store.write(
                conditions, [put], [], timeout, is_hedge=is_hedge
            )

        try:
            return await self._writer.call(kind, identifier, send, deadline)
        except _hedged_call.CallGivenUpError as error:
            raise model.StoreOutcomeUnknownError(str(error)) from error


def _find_refusal(
    conflict: model.Conflict, identifier: str
) -> _refusals.RefusalState | None:
    """Returns the state of a job's refusal row; None if the job is stored.

    An earlier attempt, perhaps of another instance, has stored the job then.

    Raises:
        JobCancelledError: The job is not stored, and its cancel row is.
    """
    rows = tuple(row for row in conflict.rows if not row.is_deleted)
    if _leadership.find_row(rows, _names.get_job_ref(identifier)):
        return None
    if _leadership.find_row(rows, _names.get_cancel_ref(identifier)):
        raise JobCancelledError(identifier)
    row = _leadership.find_row(rows, _names.get_refusal_ref(identifier))
    if row is None:
        return _refusals.RefusalState()
    return _refusals.RefusalState(
        row.version, _refusals.decode_refusal(row.value)
    )
