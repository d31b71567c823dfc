"""Carries out requests of callers, independent of their interface."""

import asyncio
from collections.abc import Callable
import datetime
import typing

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.service import _configuration

# Time between the answer to a caller and the end of the caller's wait.
_ANSWER_MARGIN = datetime.timedelta(milliseconds=150)
# A queue is reported as missing only if the configuration was read within this
# time and does not contain it.
_MAX_CONFIGURATION_AGE = datetime.timedelta(milliseconds=300)


class PendingJobsSource(typing.Protocol):
    """Source of the number of pending jobs."""

    def get_pending_jobs(self) -> dict[str, int] | None:
        """Returns the number of jobs without a started task, by queue name.

        Returns None while the numbers are not known.
        """
        ...


class JobService:
    """Submits and cancels jobs, and returns their state.

    Both the platform's interface and this project's own interface use it.
    """

    def __init__(
        self,
        store: records.JobStore,
        configuration: _configuration.ConfigurationWatcher,
        pending: PendingJobsSource,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the job service of one instance.

        Args:
            store: Stores and reads jobs.
            configuration: Source of the queues and of the request limits.
            pending: Source of the number of pending jobs.
            time_source: Source of time.
            log: Logger of the service.
            metrics: Metrics of the instance.
        """
        self._store = store
        self._pending = pending
        self._configuration = configuration
        self._clock = time_source
        self._log = log
        self._metrics = metrics

    @property
    def limits(self) -> model.RequestLimits:
        """Limits of requests; defaults until a configuration is read."""
        configuration = self._configuration.configuration
        if configuration is None:
            return model.RequestLimits()
        return configuration.limits

    async def find_queue(
        self, host: str, path: str, timeout: datetime.timedelta
    ) -> model.QueueLookup:
        """Finds a queue by host and path; see model.JobService."""
        return await self._look_up_queue(
            lambda configuration: configuration.find_queue(host, path), timeout
        )

    async def find_named_queue(
        self, name: str, timeout: datetime.timedelta
    ) -> model.QueueLookup:
        """Finds a queue by its name; see model.JobService."""
        return await self._look_up_queue(
            lambda configuration: configuration.get_queue(name), timeout
        )

    async def _look_up_queue(
        self,
        select: Callable[[model.Configuration], model.Queue | None],
        timeout: datetime.timedelta,
    ) -> model.QueueLookup:
        """Finds a queue, in a configuration read just now if necessary."""
        queue = self._select_queue(select)
        if queue is None:
            # The other half of the time is left for the request itself.
            if not await self._refresh_configuration(timeout / 2):
                return model.QueueLookup(self._get_failed_lookup_outcome())
            queue = self._select_queue(select)
        if queue is None:
            return model.QueueLookup(model.Outcome.NO_QUEUE)
        return model.QueueLookup(model.Outcome.DONE, queue)

    async def _refresh_configuration(
        self, timeout: datetime.timedelta
    ) -> bool:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._configuration.refresh(
                    _MAX_CONFIGURATION_AGE
                )
        except TimeoutError:
            self._log.info("configuration_read_slow")
            return False

    def _get_failed_lookup_outcome(self) -> model.Outcome:
        # Once there is a configuration, another instance with a newer one may
        # have carried out an earlier attempt of the caller.
        if self._configuration.configuration is None:
            return model.Outcome.NOT_DONE
        return model.Outcome.UNKNOWN

    def _select_queue(
        self, select: Callable[[model.Configuration], model.Queue | None]
    ) -> model.Queue | None:
        configuration = self._configuration.configuration
        return None if configuration is None else select(configuration)

    async def count_pending(self, queue: model.Queue) -> int | None:
        """Returns how many jobs of a queue have no started task yet.

        Returns None while the number is not known.
        """
        pending = self._pending.get_pending_jobs()
        return None if pending is None else pending.get(queue.name, 0)

    async def submit(
        self, job: model.Job, timeout: datetime.timedelta
    ) -> model.Outcome:
        """Submits a job; a repeated submission changes nothing.

        Args:
            job: The job.
            timeout: How long the caller waits for the answer.
        """
        started_at = self._clock.get_monotonic()
        outcome = model.Outcome.DONE
        try:
            await self._store.submit(
                job, started_at + timeout - _ANSWER_MARGIN
            )
        except model.StoreOutcomeUnknownError as error:
            self._log_failed_write(job.identifier, error)
            outcome = model.Outcome.UNKNOWN
        self._record_request(
            "submit", job.identifier, job.queue.name, outcome, started_at
        )
        return outcome

    async def cancel(
        self, identifier: str, queue: model.Queue, timeout: datetime.timedelta
    ) -> model.Outcome:
        """Cancels a job; a repeated cancellation changes nothing.

        Args:
            identifier: Identifier of the job.
            queue: Queue of the request, for the log.
            timeout: How long the caller waits for the answer.
        """
        started_at = self._clock.get_monotonic()
        deadline = started_at + timeout - _ANSWER_MARGIN
        outcome = model.Outcome.DONE
        try:
            if await self._store.is_stored(identifier, deadline):
                await self._store.cancel(identifier, deadline)
            else:
                outcome = model.Outcome.NO_JOB
        except model.StoreOutcomeUnknownError as error:
            self._log_failed_write(identifier, error)
            outcome = model.Outcome.UNKNOWN
        except model.StoreUnavailableError as error:
            self._log.info(
                "job_read_failed", job=identifier, reason=error.message
            )
            outcome = model.Outcome.NOT_DONE
        self._record_request(
            "cancel", identifier, queue.name, outcome, started_at
        )
        return outcome

    async def get_state(
        self, identifier: str, queue: model.Queue, timeout: datetime.timedelta
    ) -> model.JobLookup:
        """Returns the state of a job.

        Args:
            identifier: Identifier of the job.
            queue: Queue of the request, for the log.
            timeout: How long the caller waits for the answer.
        """
        started_at = self._clock.get_monotonic()
        state = None
        try:
            state = await self._store.read_state(
                identifier, started_at + timeout - _ANSWER_MARGIN
            )
            outcome = (
                model.Outcome.NO_JOB if state is None else model.Outcome.DONE
            )
        except (
            model.StoreUnavailableError,
            records.MalformedRowError,
        ) as error:
            self._log.info(
                "job_read_failed", job=identifier, reason=error.message
            )
            outcome = model.Outcome.NOT_DONE
        self._record_request(
            "status",
            identifier,
            queue.name,
            outcome,
            started_at,
            state and state.value,
        )
        return model.JobLookup(outcome, state)

    def _log_failed_write(
        self, identifier: str, error: model.StoreOutcomeUnknownError
    ) -> None:
        self._log.info(
            "job_write_failed", job=identifier, reason=error.message
        )

    def _record_request(
        self,
        kind: str,
        identifier: str,
        queue: str,
        outcome: model.Outcome,
        started_at: datetime.timedelta,
        state: str | None = None,
    ) -> None:
        elapsed = (self._clock.get_monotonic() - started_at).total_seconds()
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
            duration_ms=round(elapsed * 1000),
        )
