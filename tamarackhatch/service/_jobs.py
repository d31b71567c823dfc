"""What callers can ask of the system, whatever interface they use."""

import datetime
import typing

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.service import _configuration

# A caller gets its answer this long before it stops waiting.
_ANSWER_MARGIN = datetime.timedelta(milliseconds=150)
# A queue that is not in the configuration is reported as missing only if the
# configuration was confirmed within this time.
_MAX_CONFIGURATION_AGE = datetime.timedelta(milliseconds=300)


_OUTCOMES = {
    records.Submission.ACCEPTED: model.Outcome.DONE,
    records.Submission.REFUSED: model.Outcome.NOT_DONE,
    records.Submission.UNKNOWN: model.Outcome.UNKNOWN,
}


class PendingSource(typing.Protocol):
    """Tells how many jobs wait."""

    def get_pending(self) -> dict[str, int] | None:
        """Returns jobs without a start by queue; None if not known."""
        ...


class JobService:
    """Submits and cancels jobs, and tells their state.

    It serves the platform's interface and the project's own one.
    """

    def __init__(
        self,
        store: records.JobStore,
        configuration: _configuration.ConfigurationWatcher,
        pending: PendingSource,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        self._store = store
        self._pending = pending
        self._configuration = configuration
        self._clock = time_source
        self._log = log
        self._metrics = metrics

    @property
    def limits(self) -> model.RequestLimits:
        """Limits of requests."""
        configuration = self._configuration.configuration
        if configuration is None:
            return model.RequestLimits()
        return configuration.limits

    async def find_queue(self, host: str, path: str) -> model.QueueLookup:
        """Finds the queue that a host and a path select."""
        for _ in range(2):
            configuration = self._configuration.configuration
            if configuration is not None:
                queue = configuration.find_queue(host, path)
                if queue is not None:
                    return model.QueueLookup(model.Outcome.DONE, queue)
            if not await self._configuration.confirm(_MAX_CONFIGURATION_AGE):
                return model.QueueLookup(model.Outcome.NOT_DONE)
        return model.QueueLookup(model.Outcome.NO_QUEUE)

    async def find_named_queue(self, name: str) -> model.QueueLookup:
        """Finds the queue of a name."""
        for _ in range(2):
            configuration = self._configuration.configuration
            if configuration is not None:
                queue = configuration.get_queue(name)
                if queue is not None:
                    return model.QueueLookup(model.Outcome.DONE, queue)
            if not await self._configuration.confirm(_MAX_CONFIGURATION_AGE):
                return model.QueueLookup(model.Outcome.NOT_DONE)
        return model.QueueLookup(model.Outcome.NO_QUEUE)

    async def count_pending(self, queue: model.Queue) -> int | None:
        """Returns the queue's jobs of which no task has started yet.

        None means that the number is not known at present.
        """
        pending = self._pending.get_pending()
        return None if pending is None else pending.get(queue.name, 0)

    async def submit(
        self, job: model.Job, timeout: datetime.timedelta
    ) -> model.Outcome:
        """Submits a job; a repeated submission changes nothing.

        Args:
            job: The job.
            timeout: How long the caller waits for the answer.
        """
        began = self._clock.get_monotonic()
        result = await self._store.submit(
            job, began + timeout - _ANSWER_MARGIN
        )
        outcome = _OUTCOMES[result]
        self._record("submit", job.identifier, job.queue.name, outcome, began)
        return outcome

    async def cancel(
        self, identifier: str, queue: model.Queue, timeout: datetime.timedelta
    ) -> model.Outcome:
        """Cancels a job; a repeated cancellation changes nothing."""
        began = self._clock.get_monotonic()
        try:
            if not await self._store.is_known(identifier):
                outcome = model.Outcome.NO_JOB
            else:
                result = await self._store.cancel(
                    identifier, began + timeout - _ANSWER_MARGIN
                )
                outcome = _OUTCOMES[result]
        except model.StoreUnavailableError as error:
            self._log.info(
                "store_unread", job=identifier, reason=error.message
            )
            outcome = model.Outcome.NOT_DONE
        self._record("cancel", identifier, queue.name, outcome, began)
        return outcome

    async def get_state(
        self, identifier: str, queue: model.Queue
    ) -> model.JobLookup:
        """Returns the state of a job."""
        began = self._clock.get_monotonic()
        state = None
        try:
            state = await self._store.read_state(identifier)
            outcome = (
                model.Outcome.NO_JOB if state is None else model.Outcome.DONE
            )
        except (model.StoreUnavailableError, records.BadRecordError) as error:
            self._log.info(
                "store_unread", job=identifier, reason=error.message
            )
            outcome = model.Outcome.NOT_DONE
        self._record(
            "status",
            identifier,
            queue.name,
            outcome,
            began,
            state and state.value,
        )
        return model.JobLookup(outcome, state)

    def _record(
        self,
        kind: str,
        identifier: str,
        queue: str,
        outcome: model.Outcome,
        began: datetime.timedelta,
        state: str | None = None,
    ) -> None:
        elapsed = (self._clock.get_monotonic() - began).total_seconds()
        self._metrics.requests.labels(kind, outcome.value).inc()
        self._metrics.request_seconds.labels(kind).observe(elapsed)
        configuration = self._configuration.configuration
        self._log.info(
            kind,
            job=identifier,
            queue=queue,
            outcome=outcome.value,
            state=state,
            configuration=configuration and configuration.version,
            took_ms=round(elapsed * 1000),
        )
