"""Serves the question where a job would be placed now.

``POST /v1/where`` takes a job in the project's own JSON format. The active
scheduler answers it; other instances name that scheduler.
"""

import asyncio
import datetime
import http
import typing

import orjson
from tornado import httputil

from tamarackhatch import clock
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch import where

if typing.TYPE_CHECKING:
    from tamarackhatch import api

# Dry runs use at most this share of the scheduler's time.
_MAX_TIME_SHARE = 0.1
_QUEUE_TIMEOUT = datetime.timedelta(seconds=2)
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Stands for the identifier of the job, which has none yet.
_IDENTIFIER = "dry-run"

Fields = dict[str, typing.Any]


class SchedulerRole(typing.Protocol):
    """What the handler asks the scheduler role of the instance."""

    @property
    def is_active(self) -> bool:
        """Whether this instance is the active scheduler."""
        ...

    @property
    def is_scheduler_ready(self) -> bool:
        """Whether this is the active scheduler, and has read its state."""
        ...

    @property
    def term(self) -> int:
        """The latest term that this instance knows of."""
        ...

    @property
    def active_scheduler(self) -> records.LeaderHeartbeat | None:
        """Heartbeat of the active scheduler in another process, if any."""
        ...

    def try_placement(
        self, job: model.Job, configuration: int
    ) -> where.Answer | None:
        """Returns where a job would be placed now, without submitting it."""
        ...


class Queues(typing.Protocol):
    """Finds queues by name."""

    async def find_named_queue(
        self, name: str, timeout: datetime.timedelta
    ) -> model.QueueLookup:
        """Finds the queue with the given name."""
        ...


class Configurations(typing.Protocol):
    """Source of the configuration in force."""

    @property
    def configuration(self) -> model.Configuration | None:
        """The configuration; None before it is read."""
        ...


class Reply(typing.NamedTuple):
    """Answer to an operator: HTTP status and JSON object."""

    status: int
    document: Fields


class WhereHandler:
    """Answers where a job would be placed now."""

    def __init__(
        self,
        role: SchedulerRole,
        queues: Queues,
        configurations: Configurations,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the handler of an instance.

        Args:
            role: Scheduler role of the instance.
            queues: Finds queues by name.
            configurations: Source of the configuration.
            time_source: Source of time.
            log: Logger of the handler.
            metrics: Metrics of the instance.
        """
        self._role = role
        self._queues = queues
        self._configurations = configurations
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._is_busy = False
        self._next_start = datetime.timedelta()
        self._in_flight: set[asyncio.Task[None]] = set()

    def handle_request(self, request: httputil.HTTPServerRequest) -> None:
        """Starts to serve a request."""
        task = asyncio.get_running_loop().create_task(self._serve(request))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _serve(self, request: httputil.HTTPServerRequest) -> None:
        try:
            reply = await self.answer(request.method or "", request.body)
        except Exception as error:
            # The operator must not wait for an answer that never comes.
            self._log.error("dry_run_failed", reason=repr(error))
            reply = Reply(500, {"error": "internal error"})
        self._metrics.dry_runs.labels(str(reply.status)).inc()
        connection = request.connection
        if connection is None:
            return
        body = orjson.dumps(reply.document) + b"\n"
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            }
        )
        if reply.status == http.HTTPStatus.TOO_MANY_REQUESTS:
            headers["Retry-After"] = "1"
        line = httputil.ResponseStartLine(
            "HTTP/1.1", reply.status, http.HTTPStatus(reply.status).phrase
        )
        connection.write_headers(line, headers, body)
        connection.finish()

    async def answer(self, method: str, body: bytes) -> Reply:
        """Returns the answer to a call.

        Args:
            method: HTTP method.
            body: The job.
        """
        if method != "POST":
            return _make_error(405, errors.ErrorCode.BAD_REQUEST, "use POST")
        if len(body) > where.MAX_BODY_BYTES:
            return _make_error(
                413,
                errors.ErrorCode.BODY_TOO_LARGE,
                f"the job has {len(body)} bytes, and at most "
                f"{where.MAX_BODY_BYTES} are accepted",
            )
        if not self._role.is_active:
            return self._name_active_scheduler()
        if not self._role.is_scheduler_ready:
            return _make_error(
                503,
                errors.ErrorCode.NOT_ACTIVE_SCHEDULER,
                "the scheduler of this instance has just become active, and "
                "still reads jobs and runners; try again",
            )
        if self._is_busy or self._clock.get_monotonic() < self._next_start:
            return _make_error(
                429,
                errors.ErrorCode.TOO_MANY_REQUESTS,
                "dry runs take too much of the scheduler's time; try again",
            )
        self._is_busy = True
        try:
            return await self._try_job(body)
        finally:
            self._is_busy = False

    def _name_active_scheduler(self) -> Reply:
        heartbeat = self._role.active_scheduler
        if heartbeat is None:
            return _make_error(
                503,
                errors.ErrorCode.NOT_ACTIVE_SCHEDULER,
                "no active scheduler is known at present; try again",
            )
        address = heartbeat.metrics_address
        place = (
            f"at {address}"
            if address
            else (
                "and its heartbeat names no metrics address: it has none, or "
                "runs an earlier build"
            )
        )
        return _make_error(
            409,
            errors.ErrorCode.NOT_ACTIVE_SCHEDULER,
            f"the active scheduler is {heartbeat.instance}, {place}",
            scheduler=heartbeat.instance,
            metrics_address=address or None,
        )

    async def _try_job(self, body: bytes) -> Reply:
        if self._configurations.configuration is None:
            return _make_error(
                503,
                errors.ErrorCode.STORE_UNAVAILABLE,
                "this instance has not read a configuration yet",
            )
        try:
            # The parser takes up to 0.2 s, in which leases are renewed.
            document = await asyncio.to_thread(_read_job, body)
        except errors.FindingsError as error:
            return _make_findings(error)
        lookup = await self._queues.find_named_queue(
            document.queue, _QUEUE_TIMEOUT
        )
        configuration = self._configurations.configuration
        version = configuration and configuration.version
        if lookup.outcome is model.Outcome.NO_QUEUE:
            return _make_error(
                404,
                errors.ErrorCode.UNKNOWN_SUBJECT,
                f"version {version} of the configuration has no queue "
                f"{document.queue!r}",
            )
        if lookup.queue is None or configuration is None:
            return _make_error(
                503,
                errors.ErrorCode.STORE_UNAVAILABLE,
                f"the queue {document.queue!r} is not known here, and whether "
                "it was added cannot be read from the store at present",
            )
        job = model.Job(
            _IDENTIFIER,
            lookup.queue,
            document.specification,
            document.steps,
            self._clock.get_utc(),
            term=self._role.term,
        )
        began = self._clock.get_monotonic()
        answer = self._role.try_placement(job, configuration.version)
        elapsed = self._clock.get_monotonic() - began
        self._next_start = began + elapsed / _MAX_TIME_SHARE
        if answer is None:
            # The term has ended while the queue was looked up.
            return self._name_active_scheduler()
        self._log.info(
            "dry_run",
            queue=lookup.queue.name,
            tasks=sum(step.tasks for step in answer.steps),
            placed=sum(step.placed for step in answer.steps),
            earlier_tasks=answer.earlier_work.tasks,
            configuration=configuration.version,
            duration_ms=elapsed // _MILLISECOND,
        )
        return Reply(200, where.write_answer(answer))


def _read_job(body: bytes) -> "api.JobDocument":
    """Returns the job that a body describes.

    Raises:
        FindingsError: The body has faults, or the job has too many tasks.
    """
    # Imported only if it is used, since memory has a price.
    from tamarackhatch import api

    document = api.read_job(body)
    tasks = sum(step.count for step in document.steps)
    where.check_size(len(body), tasks, "body")
    return document


def _make_findings(error: errors.FindingsError) -> Reply:
    return Reply(
        400,
        {
            "code": error.code.value,
            "error": error.message,
            "findings": [
                {
                    "line": finding.location.line,
                    "column": finding.location.column,
                    "code": finding.code.value,
                    "message": finding.message,
                }
                for finding in error.findings
            ],
        },
    )


def _make_error(
    status: int, code: errors.ErrorCode, message: str, **fields: typing.Any
) -> Reply:
    return Reply(status, {"code": code.value, "error": message, **fields})
