"""Carries out requests that other instances forward to this one."""

import asyncio
from collections.abc import Callable
import datetime
import http
import typing

import attrs
import orjson
from tornado import httputil

from tamarackhatch import clock
from tamarackhatch.entry import _messages
from tamarackhatch import model
from tamarackhatch import observability

# A row has 64 KB at most, so that no job needs more.
MAX_BODY_BYTES = 131_072
# Beyond this number an instance would delay its own callers.
_MAX_IN_FLIGHT = 32
# A process that was stopped finds requests whose senders have given up long
# ago. Their jobs may have ended, and their rows may have been removed.
_MAX_AGE = datetime.timedelta(seconds=10)


class DirectService(typing.Protocol):
    """Carries out requests at the store, and never forwards them."""

    async def submit_here(
        self,
        job: model.Job,
        deadline: datetime.timedelta,
        store_version: int | None,
    ) -> model.JobLookup:
        """Submits a job."""
        ...

    async def cancel_here(
        self, identifier: str, deadline: datetime.timedelta
    ) -> model.Outcome:
        """Cancels a job."""
        ...

    async def get_state_here(
        self, identifier: str, deadline: datetime.timedelta
    ) -> model.JobLookup:
        """Reads the state of a job."""
        ...


class Reply(typing.NamedTuple):
    """Answer to another instance: HTTP status and JSON body."""

    status: int
    body: bytes


class Receiver:
    """Serves the internal interface.

    A forwarded request is carried out as one of the instance's own callers,
    and never forwarded again.
    """

    def __init__(
        self,
        service: DirectService,
        get_configuration: Callable[[], model.Configuration | None],
        is_available: Callable[[], bool],
        time_source: clock.Clock,
        log: observability.Log,
    ) -> None:
        """Creates the receiver of an instance.

        Args:
            service: Carries out the requests.
            get_configuration: Returns the configuration in force.
            is_available: Returns whether this instance takes requests of
                others now.
            time_source: Source of time.
            log: Logger of the receiver.
        """
        self._service = service
        self._get_configuration = get_configuration
        self._is_available = is_available
        self._clock = time_source
        self._log = log
        self._in_flight: set[asyncio.Task[None]] = set()
        self._running = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._in_flight)

    def handle_request(self, request: httputil.HTTPServerRequest) -> None:
        """Starts to serve a request; Tornado calls this for each."""
        task = asyncio.get_running_loop().create_task(self._serve(request))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _serve(self, request: httputil.HTTPServerRequest) -> None:
        try:
            reply = await self.answer(
                request.method or "", request.path or "", request.body
            )
        except Exception as error:
            # The sender must not wait for an answer that never comes.
            self._log.error(
                "forwarded_request_failed",
                path=request.path,
                reason=repr(error),
            )
            reply = Reply(500, orjson.dumps({"error": "internal error"}))
        connection = request.connection
        if connection is None:
            return
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(reply.body)),
            }
        )
        line = httputil.ResponseStartLine(
            "HTTP/1.1", reply.status, http.HTTPStatus(reply.status).phrase
        )
        connection.write_headers(line, headers, reply.body)
        connection.finish()

    async def answer(self, method: str, path: str, body: bytes) -> Reply:
        """Returns the answer to a call.

        Args:
            method: HTTP method.
            path: Path of the call.
            body: Body of the call.
        """
        if method != "POST":
            return Reply(405, orjson.dumps({"error": "use POST"}))
        if not self._is_available() or self._running >= _MAX_IN_FLIGHT:
            return Reply(200, _messages.encode_answer(None))
        try:
            received = _messages.decode_request(path, body)
        except _messages.MalformedMessageError as error:
            self._log.warning(
                "forwarded_request_rejected",
                code=error.code.value,
                reason=error.message,
            )
            return Reply(
                400,
                orjson.dumps(
                    {"code": error.code.value, "error": error.message}
                ),
            )
        self._running += 1
        try:
            result = await self._carry_out(received)
        finally:
            self._running -= 1
        return Reply(200, _messages.encode_answer(result))

    async def _carry_out(
        self, received: _messages.ReceivedRequest
    ) -> model.JobLookup | None:
        """Returns the result; None if the request is not for this instance."""
        request = received.request
        if self._clock.get_utc() - received.sent_at > _MAX_AGE:
            self._log.info("forwarded_request_late", job=request.identifier)
            return None
        deadline = self._clock.get_monotonic() + received.timeout
        if request.kind is _messages.Kind.STATE:
            return await self._service.get_state_here(
                request.identifier, deadline
            )
        if request.job is None:
            return model.JobLookup(
                await self._service.cancel_here(request.identifier, deadline)
            )
        job = self._apply_configuration(request.job)
        if job is None:
            return None
        return await self._service.submit_here(
            job, deadline, request.store_version
        )

    def _apply_configuration(self, job: model.Job) -> model.Job | None:
        """Returns the job with the queue as it is configured now.

        The sender is cut off from the store, so that its configuration may be
        older than permitted. Returns None if the job belongs to no queue of
        this name any more, or not yet.
        """
        configuration = self._get_configuration()
        if configuration is None:
            return None
        sent = job.queue
        queue = configuration.find_queue(sent.host, sent.path_prefix)
        if queue is None or queue.name != sent.name:
            self._log.info(
                "forwarded_queue_differs",
                job=job.identifier,
                queue=sent.name,
                found=queue and queue.name,
                configuration=configuration.version,
            )
            return None
        return attrs.evolve(job, queue=queue)
