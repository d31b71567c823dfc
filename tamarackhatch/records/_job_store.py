"""Submission, cancellation and state of jobs in the table store."""

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

# The store answers within 4 ms, and 60 times slower on a bad day.
_WRITE_TIMEOUT = datetime.timedelta(milliseconds=700)
_READ_TIMEOUT = datetime.timedelta(milliseconds=700)
# A refusal is only useful while the caller has time to go elsewhere.
_REFUSE_AFTER = datetime.timedelta(milliseconds=200)
_RETRY_PAUSE = datetime.timedelta(milliseconds=60)
_MAX_REMEMBERED = 20_000
# Sorts behind every character of a job's row keys.
_KEY_END = "~"


class Submission(enum.Enum):
    """Outcome of a submission or cancellation.

    Attributes:
        ACCEPTED: It is stored.
        REFUSED: It is not stored and never will be.
        UNKNOWN: It may be stored, now or later.
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
        get_term: Callable[[], int] = lambda: 0,
    ) -> None:
        """Serves one instance.

        Args:
            store: The table store.
            time_source: Source of time.
            get_term: Returns the latest term that the instance knows of.
        """
        self._store = store
        self._get_term = get_term
        self._clock = time_source
        self._final: collections.OrderedDict[str, model.JobState]
        self._final = collections.OrderedDict()
        # Writes without an answer, which the store may carry out later.
        self._uncertain: collections.OrderedDict[str, None]
        self._uncertain = collections.OrderedDict()

    async def submit(
        self, job: model.Job, deadline: datetime.timedelta
    ) -> Submission:
        """Stores a job unless one of the same identifier is stored.

        Args:
            job: The job.
            deadline: When the caller stops waiting, in monotonic time.
        """
        ref = _names.get_job_ref(job.identifier)
        stored = attrs.evolve(job, term=self._get_term())
        put = model.Put(ref, _jobs.encode_job(stored))
        return await self._write([(ref, 0)], put, deadline)

    async def cancel(
        self, identifier: str, deadline: datetime.timedelta
    ) -> Submission:
        """Marks a stored job as cancelled; repeating it does no harm."""
        ref = _names.get_cancel_ref(identifier)
        return await self._write([(ref, 0)], model.Put(ref, b"{}"), deadline)

    async def is_known(self, identifier: str) -> bool:
        """Tells whether a job is stored.

        Raises:
            StoreUnavailableError: The store could not be read.
        """
        if identifier in self._final:
            return True
        rows = await self._read_job_rows(identifier)
        return any(row.ref.key == identifier for row in rows)

    async def read_state(self, identifier: str) -> model.JobState | None:
        """Returns the state of a job; None if there is no such job.

        Raises:
            StoreUnavailableError: The store could not be read.
            BadRecordError: The row is malformed.
        """
        known = self._final.get(identifier)
        if known is not None:
            return known
        ref = _names.get_progress_ref(identifier)
        page = await self._store.read(
            ref.table,
            ref.partition,
            _READ_TIMEOUT,
            ref.key,
            ref.key + _KEY_END,
        )
        for row in page.rows:
            if row.ref.key == identifier:
                state = _progress.decode_progress(row.value).state
                if state.is_final:
                    self._remember(identifier, state)
                return state
        rows = await self._read_job_rows(identifier)
        if any(row.ref.key == identifier for row in rows):
            return model.JobState.QUEUED
        return None

    def _remember(self, identifier: str, state: model.JobState) -> None:
        self._final[identifier] = state
        if len(self._final) > _MAX_REMEMBERED:
            self._final.popitem(last=False)

    def _record_uncertain(self, key: str) -> None:
        self._uncertain[key] = None
        if len(self._uncertain) > _MAX_REMEMBERED:
            self._uncertain.popitem(last=False)

    async def _read_job_rows(self, identifier: str) -> tuple[model.Row, ...]:
        ref = _names.get_job_ref(identifier)
        page = await self._store.read(
            ref.table,
            ref.partition,
            _READ_TIMEOUT,
            ref.key,
            ref.key + _KEY_END,
        )
        return page.rows

    async def _write(
        self,
        expected: list[tuple[model.RowRef, int]],
        put: model.Put,
        deadline: datetime.timedelta,
    ) -> Submission:
        began = self._clock.get_monotonic()
        # A refusal must hold for earlier tries of the same caller as well.
        is_uncertain = put.ref.key in self._uncertain
        while True:
            remaining = deadline - self._clock.get_monotonic()
            if remaining <= datetime.timedelta():
                break
            try:
                # A conflict means that the row is there: an earlier try,
                # perhaps by another instance, has stored it.
                await self._store.write(
                    expected, [put], [], min(_WRITE_TIMEOUT, remaining)
                )
                self._uncertain.pop(put.ref.key, None)
                return Submission.ACCEPTED
            except model.StoreOutcomeUnknownError:
                is_uncertain = True
                self._record_uncertain(put.ref.key)
            except model.StoreUnavailableError:
                waited = self._clock.get_monotonic() - began
                if not is_uncertain and waited >= _REFUSE_AFTER:
                    return Submission.REFUSED
                await self._clock.sleep(_RETRY_PAUSE)
        return Submission.UNKNOWN if is_uncertain else Submission.REFUSED
