"""Cancels jobs, also those whose submission may still be carried out."""

import datetime

from tamarackhatch import admission
from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records

# Rows for jobs that are not stored, per instance. Each costs the store a
# write, and a hundred instances together may use up to 60% of its writes.
_EARLY_BURST = 50
_EARLY_PER_S = 5


class Canceller:
    """Cancels stored jobs, and bars jobs that are not stored.

    A submission of unknown outcome may store a job seconds after a
    cancellation found none. The cancel row is written in either case: writes
    that store a job are conditional on its absence, so that a caller who is
    told that there is no such job can rely on it.
    """

    def __init__(
        self,
        store: records.JobStore,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the canceller of an instance.

        Args:
            store: Stores cancellations.
            time_source: Source of time.
            log: Logger of the service.
            metrics: Metrics of the instance.
        """
        self._store = store
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._early_rate = admission.TokenBucket(_EARLY_BURST, _EARLY_PER_S)

    async def cancel(
        self, identifier: str, deadline: datetime.timedelta
    ) -> model.Outcome:
        """Cancels a job; a repeated cancellation changes nothing.

        Args:
            identifier: Identifier of the job.
            deadline: Monotonic time until which the answer must be ready.

        Returns:
            DONE; NO_JOB if the job was not stored, and now never will be; or
            NOT_DONE if too many such jobs are cancelled.

        Raises:
            StoreUnavailableError: The store could not be read.
            StoreOutcomeUnknownError: The job may be cancelled, now or later.
        """
        presence = await self._store.read_presence(identifier, deadline)
        if presence.is_stored:
            await self._store.cancel(identifier, deadline)
            return model.Outcome.DONE
        if presence.is_cancelled:
            self._record_early(identifier, "existed")
            return model.Outcome.NO_JOB
        if not self._early_rate.try_spend(1, self._clock.get_monotonic()):
            self._record_early(identifier, "limited")
            return model.Outcome.NOT_DONE
        await self._store.cancel(identifier, deadline)
        self._record_early(identifier, "written")
        return model.Outcome.NO_JOB

    def _record_early(self, identifier: str, result: str) -> None:
        self._metrics.early_cancellations.labels(result).inc()
        self._log.info("early_cancellation", job=identifier, result=result)
