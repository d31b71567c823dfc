"""The platform's HTTP interface for callers."""

import asyncio
from collections.abc import Callable
import datetime
import http
import typing

import orjson
from tornado import httputil

from tamarackhatch import model
from tamarackhatch.platform import _job_body

_DEFAULT_TIMEOUT = datetime.timedelta(seconds=3)
_MAX_TIMEOUT = datetime.timedelta(seconds=60)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_RETRY_AFTER_S = 1
_ID_LENGTH = 16
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


class Reply(typing.NamedTuple):
    """Answer to a caller.

    Attributes:
        status: HTTP status.
        body: JSON body; empty for none.
    """

    status: int
    body: bytes = b""


class Ingress:
    """Serves callers: submits, cancels and shows jobs."""

    def __init__(
        self,
        service: model.JobService,
        get_utc: Callable[[], datetime.datetime],
    ) -> None:
        self._service = service
        self._get_utc = get_utc
        self._in_flight: set[asyncio.Task[None]] = set()
        self._is_closing = False

    @property
    def in_flight(self) -> int:
        """Number of requests without an answer."""
        return len(self._in_flight)

    def close(self) -> None:
        """Asks callers to use other connections from now on."""
        self._is_closing = True

    def handle(self, request: httputil.HTTPServerRequest) -> None:
        """Serves one request; tornado calls this for each."""
        task = asyncio.get_running_loop().create_task(self._serve(request))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _serve(self, request: httputil.HTTPServerRequest) -> None:
        reply = await self._answer(request)
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
            headers["Retry-After"] = str(_RETRY_AFTER_S)
        if self._is_closing or reply.status >= 500:
            # Another instance may reach what this one does not.
            headers["Connection"] = "close"
        connection = request.connection
        if connection is None:
            return
        line = httputil.ResponseStartLine(
            "HTTP/1.1", reply.status, http.HTTPStatus(reply.status).phrase
        )
        # A caller that has gone away needs no answer.
        connection.write_headers(line, headers, reply.body)
        connection.finish()

    async def _answer(self, request: httputil.HTTPServerRequest) -> Reply:
        path = request.path or "/"
        host = request.host.rpartition(":")[0] or request.host
        lookup = await self._service.find_queue(host, path)
        if lookup.outcome is model.Outcome.NO_QUEUE:
            return _make_reply(404, {"error": "no such queue"})
        if lookup.queue is None:
            return _make_reply(503, {"error": "no configuration yet"})
        identifier = path.removeprefix(lookup.queue.path_prefix)
        if not identifier:
            return await self._count(request, lookup.queue)
        if len(identifier) != _ID_LENGTH or not _HEX_DIGITS.issuperset(
            identifier
        ):
            error = f"{identifier[:40]!r} is not 16 hexadecimal digits"
            return _make_reply(404, {"error": error})
        if request.method == "POST":
            return await self._submit(request, lookup.queue, identifier)
        if request.method == "DELETE":
            return _make_cancel_reply(
                await self._service.cancel(
                    identifier, lookup.queue, _get_timeout(request)
                )
            )
        if request.method == "GET":
            found = await self._service.get_state(identifier, lookup.queue)
            return _make_state_reply(found)
        return _make_reply(405, {"error": "use POST, GET or DELETE"})

    async def _count(
        self, request: httputil.HTTPServerRequest, queue: model.Queue
    ) -> Reply:
        if request.method != "GET":
            return _make_reply(405, {"error": "use GET"})
        pending = await self._service.count_pending(queue)
        if pending is None:
            return _make_reply(503, {"error": "not known at present"})
        return _make_reply(200, {"pending": pending})

    async def _submit(
        self,
        request: httputil.HTTPServerRequest,
        queue: model.Queue,
        identifier: str,
    ) -> Reply:
        try:
            job = _job_body.decode_job(
                identifier, queue, request.body, self._get_utc()
            )
        except _job_body.BadJobError as error:
            return _make_reply(400, {"error": str(error)})
        outcome = await self._service.submit(job, _get_timeout(request))
        if outcome is model.Outcome.DONE:
            return _make_reply(200, {})
        if outcome is model.Outcome.NOT_DONE:
            return _make_reply(503, {"error": "not accepted"})
        return _make_reply(504, {"error": "not known whether accepted"})


def _make_reply(status: int, document: dict[str, typing.Any]) -> Reply:
    return Reply(status, orjson.dumps(document))


def _make_cancel_reply(outcome: model.Outcome) -> Reply:
    if outcome is model.Outcome.DONE:
        return _make_reply(200, {})
    if outcome is model.Outcome.NO_JOB:
        return _make_reply(410, {"error": "no such job"})
    if outcome is model.Outcome.NOT_DONE:
        return _make_reply(503, {"error": "not cancelled"})
    return _make_reply(504, {"error": "not known whether cancelled"})


def _make_state_reply(found: model.JobLookup) -> Reply:
    if found.state is not None:
        return _make_reply(200, {"state": found.state.value})
    if found.outcome is model.Outcome.NO_JOB:
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
