"""The platform's HTTP interface for callers."""

import asyncio
from collections.abc import Callable
import datetime
import http
import typing

import orjson
from tornado import httputil

from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch.platform import _job_body
from tamarackhatch import records

_DEFAULT_TIMEOUT = datetime.timedelta(seconds=3)
_MAX_TIMEOUT = datetime.timedelta(seconds=60)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_RETRY_AFTER_S = 1
_IDENTIFIER_LENGTH = 16
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


class Reply(typing.NamedTuple):
    """Answer to a caller.

    Attributes:
        status: HTTP status.
        body: JSON body; empty for none.
        retry_after_s: After how many seconds the caller may return, if the
            status asks it to.
    """

    status: int
    body: bytes = b""
    retry_after_s: int = _RETRY_AFTER_S


class Ingress:
    """Serves callers, who submit and cancel jobs and read their states."""

    def __init__(
        self,
        service: model.JobService,
        get_utc: Callable[[], datetime.datetime],
        log: observability.Log,
    ) -> None:
        self._service = service
        self._log = log
        self._get_utc = get_utc
        self._in_flight: set[asyncio.Task[None]] = set()
        self._is_keep_alive_disabled = False

    @property
    def in_flight(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._in_flight)

    def disable_keep_alive(self) -> None:
        """Sends ``Connection: close`` with every further answer."""
        self._is_keep_alive_disabled = True

    def handle_request(self, request: httputil.HTTPServerRequest) -> None:
        """Starts to serve a request; Tornado calls this for each."""
        task = asyncio.get_running_loop().create_task(
            self._serve_request(request)
        )
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _serve_request(
        self, request: httputil.HTTPServerRequest
    ) -> None:
        try:
            reply = await self._route_request(request)
        except Exception as error:
            # A request that this program cannot handle must not leave its
            # caller without an answer.
            self._log.error(
                "request_failed",
                method=request.method,
                path=request.path,
                reason=repr(error),
            )
            reply = _make_reply(500, {"error": "internal error"})
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(reply.body)),
            }
        )
        if reply.status in (
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            http.HTTPStatus.TOO_MANY_REQUESTS,
        ):
            headers["Retry-After"] = str(reply.retry_after_s)
        if self._is_keep_alive_disabled or reply.status >= 500:
            # The next connection may lead to an instance that reaches systems
            # which this one cannot reach.
            headers["Connection"] = "close"
        connection = request.connection
        if connection is None:
            return
        line = httputil.ResponseStartLine(
            "HTTP/1.1", reply.status, http.HTTPStatus(reply.status).phrase
        )
        # Not awaited: a caller that has disconnected needs no answer.
        connection.write_headers(line, headers, reply.body)
        connection.finish()

    async def _route_request(
        self, request: httputil.HTTPServerRequest
    ) -> Reply:
        path = request.path or "/"
        host = request.host.rpartition(":")[0] or request.host
        queue_lookup = await self._service.find_queue(
            host, path, _get_timeout(request)
        )
        if queue_lookup.outcome is model.Outcome.NO_QUEUE:
            return _make_reply(404, {"error": "no such queue"})
        if queue_lookup.queue is None:
            if (
                queue_lookup.outcome is model.Outcome.UNKNOWN
                and request.method != "GET"
            ):
                return _make_reply(504, {"error": "queue not known yet"})
            return _make_reply(503, {"error": "no configuration yet"})
        identifier = path.removeprefix(queue_lookup.queue.path_prefix)
        if not identifier:
            return await self._count_pending(request, queue_lookup.queue)
        if len(identifier) != _IDENTIFIER_LENGTH or not _HEX_DIGITS.issuperset(
            identifier
        ):
            error = f"{identifier[:40]!r} is not 16 hexadecimal digits"
            return _make_reply(404, {"error": error})
        if request.method == "POST":
            return await self._submit_job(
                request, queue_lookup.queue, identifier
            )
        if request.method == "DELETE":
            return _make_cancel_reply(
                await self._service.cancel(
                    identifier, queue_lookup.queue, _get_timeout(request)
                )
            )
        if request.method == "GET":
            job_lookup = await self._service.get_state(
                identifier, queue_lookup.queue, _get_timeout(request)
            )
            return _make_state_reply(job_lookup)
        return _make_reply(405, {"error": "use POST, GET or DELETE"})

    async def _count_pending(
        self, request: httputil.HTTPServerRequest, queue: model.Queue
    ) -> Reply:
        if request.method != "GET":
            return _make_reply(405, {"error": "use GET"})
        pending = await self._service.count_pending(queue)
        if pending is None:
            return _make_reply(503, {"error": "not known at present"})
        return _make_reply(200, {"pending": pending})

    async def _submit_job(
        self,
        request: httputil.HTTPServerRequest,
        queue: model.Queue,
        identifier: str,
    ) -> Reply:
        try:
            job = _job_body.decode_job(
                identifier, queue, request.body, self._get_utc()
            )
        except _job_body.MalformedJobError as error:
            return _make_reply(400, {"error": str(error)})
        try:
            lookup = await self._service.submit(job, _get_timeout(request))
        except records.JobTooLargeError as error:
            return _make_reply(400, {"error": str(error)})
        return _make_submission_reply(lookup)


def _make_reply(status: int, document: dict[str, typing.Any]) -> Reply:
    return Reply(status, orjson.dumps(document))


def _make_submission_reply(lookup: model.JobLookup) -> Reply:
    outcome = lookup.outcome
    if outcome is model.Outcome.DONE:
        return _make_reply(200, {})
    if outcome is model.Outcome.REFUSED:
        reply = _make_reply(429, {"error": "cannot be served in time"})
        return reply._replace(retry_after_s=model.count_retry_seconds(lookup))
    if outcome is model.Outcome.CANCELLED:
        return _make_reply(429, {"error": "the job is cancelled"})
    if outcome is model.Outcome.NOT_DONE:
        return _make_reply(503, {"error": "not accepted"})
    return _make_reply(504, {"error": "not known whether accepted"})


def _make_cancel_reply(outcome: model.Outcome) -> Reply:
    if outcome is model.Outcome.DONE:
        return _make_reply(200, {})
    if outcome is model.Outcome.NO_JOB:
        return _make_reply(410, {"error": "no such job"})
    if outcome is model.Outcome.NOT_DONE:
        return _make_reply(503, {"error": "not cancelled"})
    return _make_reply(504, {"error": "not known whether cancelled"})


def _make_state_reply(lookup: model.JobLookup) -> Reply:
    if lookup.state is not None:
        return _make_reply(200, {"state": lookup.state.value})
    if lookup.outcome is model.Outcome.NO_JOB:
        return _make_reply(410, {"error": "no such job"})
    return _make_reply(503, {"error": "not known at present"})


def _get_timeout(
    request: httputil.HTTPServerRequest,
) -> datetime.timedelta:
    """Returns how long the caller waits for its answer."""
    text = request.headers.get("X-Deadline-Ms", "")
    if not (text.isascii() and text.isdigit()):
        return _DEFAULT_TIMEOUT
    return min(int(text) * _MILLISECOND, _MAX_TIMEOUT)
