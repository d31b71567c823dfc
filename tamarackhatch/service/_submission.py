"""Stores or refuses a submitted job, so that both answers stay true."""

import datetime
import secrets

import attrs

from tamarackhatch import admission
from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
_NO_TIME = datetime.timedelta()
# The other half is left for the submission, if the refusal cannot be recorded.
_REFUSAL_TIME_SHARE = 0.5
# Callers give up long before. A clock that is wrong by more must not make a
# returning job look worthless.
_MAX_TIME_SINCE_REFUSAL = 60 * _SECOND
# Each round but the first follows a change of the job's rows by another
# instance. Callers make five attempts at most.
_MAX_ROUNDS = 6


class Submitter:
    """Stores jobs, and refuses those that cannot be served in time.

    A write of an earlier attempt of the caller may still be pending at
    another instance. All writes of a job are conditional on the version of
    its refusal row that was known when the caller's attempt began. So the
    write that records a refusal keeps all of them from being carried out, and
    only after it the caller is told that its job is refused.
    """

    def __init__(
        self,
        store: records.JobStore,
        figures: admission.WaitFigures | None,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the submitter of an instance.

        Args:
            store: Stores jobs and refusals.
            figures: Waits that the active scheduler reports; None if no job
                is refused.
            time_source: Source of time.
            log: Logger of the service.
            metrics: Metrics of the instance.
        """
        self._store = store
        self._figures = figures
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._returns = admission.ReturnPlan()

    async def submit(
        self,
        job: model.Job,
        deadline: datetime.timedelta,
        store_version: int | None,
    ) -> model.JobLookup:
        """Stores or refuses a job.

        Args:
            job: The job.
            deadline: Monotonic time until which the answer must be ready.
            store_version: A version that the store had reached when the
                caller's attempt began. None if the attempt comes from an
                earlier build, which does not know refusals.

        Returns:
            The outcome DONE, REFUSED or UNKNOWN.

        Raises:
            JobCancelledError: The job was cancelled before it was stored.
            StoreOutcomeUnknownError: The job may be stored, now or later.
        """
        known_version = store_version or 0
        state = records.RefusalState()
        overload = None
        if store_version is not None:
            overload = self._assess(job, state)
        for _ in range(_MAX_ROUNDS):
            # Another instance has refused the job since the attempt began,
            # and may have told the caller.
            is_refused = state.version > known_version
            found: records.RefusalState | None
            if overload is None and not is_refused:
                found = await self._store.submit(
                    _date_back(job, state), deadline, state.version
                )
            else:
                refusal = self._make_refusal(state)
                try:
                    found = await self._store.refuse(
                        job.identifier,
                        refusal,
                        state.version,
                        self._get_refusal_deadline(deadline),
                    )
                except model.StoreOutcomeUnknownError as error:
                    self._log.info(
                        "refusal_not_recorded",
                        job=job.identifier,
                        reason=error.message,
                    )
                    if is_refused:
                        raise
                    overload = None
                    continue
                if _holds(found, refusal):
                    return self._record_refusal(job, refusal, overload)
            if found is None:
                self._returns.discard(job.identifier)
                return model.JobLookup(model.Outcome.DONE)
            state = found
            if overload is not None:
                overload = self._assess(job, state)
        return model.JobLookup(model.Outcome.UNKNOWN)

    def _assess(
        self, job: model.Job, state: records.RefusalState
    ) -> admission.Overload | None:
        if self._figures is None:
            return None
        elapsed = job.accepted_at - _date_back(job, state).accepted_at
        now = self._clock.get_monotonic()
        return admission.assess_job(
            job, self._figures.list_current(now), elapsed
        )

    def _make_refusal(self, state: records.RefusalState) -> records.Refusal:
        now = self._clock.get_utc()
        earlier = state.refusal
        token = secrets.token_hex(8)
        if earlier is None:
            return records.Refusal(now, 1, token)
        return records.Refusal(
            min(now, earlier.first_refused_at), earlier.count + 1, token
        )

    def _get_refusal_deadline(
        self, deadline: datetime.timedelta
    ) -> datetime.timedelta:
        now = self._clock.get_monotonic()
        return now + (deadline - now) * _REFUSAL_TIME_SHARE

    def _record_refusal(
        self,
        job: model.Job,
        refusal: records.Refusal,
        overload: admission.Overload | None,
    ) -> model.JobLookup:
        # Without an overload here, another instance has made the decision.
        wait = _NO_TIME if overload is None else overload.expected_wait
        retry_after = self._returns.add(
            job.identifier,
            job.queue.service,
            refusal.first_refused_at,
            wait,
            _NO_TIME if overload is None else overload.work_time,
            self._clock.get_monotonic(),
        )
        self._metrics.refused_jobs.inc()
        self._log.info(
            "job_refused",
            job=job.identifier,
            queue=job.queue.name,
            expected_wait_ms=overload and wait // _MILLISECOND,
            objective_ms=overload and overload.objective // _MILLISECOND,
            retry_after_s=retry_after // _SECOND,
            refusals=refusal.count,
        )
        return model.JobLookup(model.Outcome.REFUSED, retry_after=retry_after)


def _holds(
    found: records.RefusalState | None, refusal: records.Refusal
) -> bool:
    """Returns whether a refusal row holds this refusal."""
    return (
        found is not None
        and found.refusal is not None
        and found.refusal.token == refusal.token
    )


def _date_back(job: model.Job, state: records.RefusalState) -> model.Job:
    """Returns a job as of the caller's first attempt, if it was refused.

    The objective counts from there, and the job goes before those that were
    submitted since.
    """
    if state.refusal is None:
        return job
    earliest = job.accepted_at - _MAX_TIME_SINCE_REFUSAL
    first = max(earliest, state.refusal.first_refused_at)
    return attrs.evolve(job, accepted_at=min(job.accepted_at, first))
