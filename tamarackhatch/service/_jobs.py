"""Carries out requests of callers, independent of their interface."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import typing

from tamarackhatch import admission
from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.service import _cancellation
from tamarackhatch.service import _configuration
from tamarackhatch.service import _pending
from tamarackhatch.service import _submission

# Time between the answer to a caller and the end of the caller's wait.
_ANSWER_MARGIN = datetime.timedelta(milliseconds=150)
# A queue is reported as missing only if the configuration was read within this
# time and does not contain it.
_MAX_CONFIGURATION_AGE = datetime.timedelta(milliseconds=300)


RunHere = Callable[[], Awaitable[model.JobLookup]]


class Forwarder(typing.Protocol):
    """Carries out requests here or, if the store fails here, elsewhere."""

    async def submit(
        self,
        job: model.Job,
        store_version: int,
        deadline: datetime.timedelta,
        run_here: RunHere,
    ) -> model.JobLookup:
        """Submits a job.

        Args:
            job: The job.
            store_version: A version that the store had reached when the
                caller's attempt began.
            deadline: Monotonic time until which the answer must be ready.
            run_here: Carries the request out at this instance.
        """
        ...

    async def cancel(
        self,
        identifier: str,
        deadline: datetime.timedelta,
        run_here: RunHere,
    ) -> model.Outcome:
        """Cancels a job; the arguments are as for a submission."""
        ...

    async def get_state(
        self,
        identifier: str,
        deadline: datetime.timedelta,
        run_here: RunHere,
    ) -> model.JobLookup:
        """Reads a job's state; the arguments are as for a submission."""
        ...


class _LocalForwarder:
    """Carries all requests out here, where no other instance is known."""

    async def submit(
        self,
        job: model.Job,
        store_version: int,
        deadline: datetime.timedelta,
        run_here: RunHere,
    ) -> model.JobLookup:
        return await run_here()

    async def cancel(
        self,
        identifier: str,
        deadline: datetime.timedelta,
        run_here: RunHere,
    ) -> model.Outcome:
        return (await run_here()).outcome

    async def get_state(
        self,
        identifier: str,
        deadline: datetime.timedelta,
        run_here: RunHere,
    ) -> model.JobLookup:
        return await run_here()


class JobService:
    """Submits and cancels jobs, and returns their state.

    Both the platform's interface and this project's own interface use it.
    """

    def __init__(
        self,
        store: records.JobStore,
        configuration: _configuration.ConfigurationWatcher,
        pending: _pending.PendingCounter,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
        forwarder: Forwarder | None = None,
        figures: admission.WaitFigures | None = None,
        get_store_version: Callable[[], int] = lambda: 0,
    ) -> None:
        """Creates the job service of one instance.

        Args:
            store: Stores and reads jobs.
            configuration: Source of the queues and of the request limits.
            pending: Counts pending jobs.
            time_source: Source of time.
            log: Logger of the service.
            metrics: Metrics of the instance.
            forwarder: Forwards requests to other instances; None if all are
                carried out here.
            figures: Waits that the active scheduler reports; None if no job
                is refused.
            get_store_version: Returns a version that the store has reached.
        """
        self._submitter = _submission.Submitter(
            store, figures, time_source, log, metrics
        )
        self._canceller = _cancellation.Canceller(
            store, time_source, log, metrics
        )
        self._get_store_version = get_store_version
        self._forwarder = forwarder or _LocalForwarder()
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
        return await self._pending.count(queue.name)

    async def submit(
        self, job: model.Job, timeout: datetime.timedelta
    ) -> model.JobLookup:
        """Submits a job; a repeated submission changes nothing.

        Args:
            job: The job.
            timeout: How long the caller waits for the answer.

        Raises:
            JobTooLargeError: No attempt can store the job.
        """
        records.check_job_size(job)
        started_at = self._clock.get_monotonic()
        deadline = started_at + timeout - _ANSWER_MARGIN
        # All attempts for this request, here and elsewhere, rely on the same
        # version, so that none stores the job after another has refused it.
        version = self._get_store_version()
        lookup = await self._forwarder.submit(
            job,
            version,
            deadline,
            lambda: self.submit_here(job, deadline, version),
        )
        self._record_request(
            "submit",
            job.identifier,
            job.queue.name,
            lookup.outcome,
            started_at,
        )
        return lookup

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
        outcome = await self._forwarder.cancel(
            identifier,
            deadline,
            lambda: _wrap(self.cancel_here(identifier, deadline)),
        )
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
        deadline = started_at + timeout - _ANSWER_MARGIN
        lookup = await self._forwarder.get_state(
            identifier,
            deadline,
            lambda: self.get_state_here(identifier, deadline),
        )
        self._record_request(
            "status",
            identifier,
            queue.name,
            lookup.outcome,
            started_at,
            lookup.state and lookup.state.value,
        )
        return lookup

    async def submit_here(
        self,
        job: model.Job,
        deadline: datetime.timedelta,
        store_version: int | None = None,
    ) -> model.JobLookup:
        """Submits a job to the store, and never forwards it.

        Args:
            job: The job.
            deadline: Monotonic time until which the answer must be ready.
            store_version: A version that the store had reached when the
                caller's attempt began; None if that is not known. Then the
                job is not refused here.
        """
        try:
            return await self._submitter.submit(job, deadline, store_version)
        except records.JobCancelledError:
            return model.JobLookup(model.Outcome.CANCELLED)
        except model.StoreOutcomeUnknownError as error:
            self._log_failed_write(job.identifier, error)
            return model.JobLookup(model.Outcome.UNKNOWN)

    async def cancel_here(
        self, identifier: str, deadline: datetime.timedelta
    ) -> model.Outcome:
        """Cancels a job in the store, and never forwards the cancellation.

        Args:
            identifier: Identifier of the job.
            deadline: Monotonic time until which the answer must be ready.
        """
        try:
            return await self._canceller.cancel(identifier, deadline)
        except model.StoreOutcomeUnknownError as error:
            self._log_failed_write(identifier, error)
            return model.Outcome.UNKNOWN
        except model.StoreUnavailableError as error:
            self._log_failed_read(identifier, error.message)
            return model.Outcome.NOT_DONE

    async def get_state_here(
        self, identifier: str, deadline: datetime.timedelta
    ) -> model.JobLookup:
        """Reads the state of a job from the store.

        Args:
            identifier: Identifier of the job.
            deadline: Monotonic time until which the answer must be ready.
        """
        try:
            state = await self._store.read_state(identifier, deadline)
        except (
            model.StoreUnavailableError,
            records.MalformedRowError,
        ) as error:
            self._log_failed_read(identifier, error.message)
            return model.JobLookup(model.Outcome.NOT_DONE)
        if state is None:
            return model.JobLookup(model.Outcome.NO_JOB)
        return model.JobLookup(model.Outcome.DONE, state)

    def _log_failed_read(self, identifier: str, reason: str) -> None:
        self._log.info("job_read_failed", job=identifier, reason=reason)

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


async def _wrap(outcome: Awaitable[model.Outcome]) -> model.JobLookup:
    """Returns an outcome in the form that all requests have in common."""
    return model.JobLookup(await outcome)
