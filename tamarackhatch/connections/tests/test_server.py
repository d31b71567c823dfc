"""A server with limits, and single clients on real sockets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import os
import socket
import typing

import attrs
import pytest
from tornado import httputil
from tornado import netutil

from tamarackhatch import clock
from tamarackhatch import connections
from tamarackhatch import observability

_SECOND = datetime.timedelta(seconds=1)
_MAX_BODY = 50_000
_LIMITS = connections.ServerLimits(4096, _MAX_BODY, 3 * _SECOND, 15 * _SECOND)
_TIMEOUT_S = 20.0


class _Trial:
    """A server that answers with the length of each body.

    Attributes:
        clock: Clock of the guard.
        guard: Guard of the server.
        held: Requests that are not answered yet, if they are held.
        is_holding: Whether requests are held.
        handled: Number of requests that were passed on.
    """

    def __init__(self, budget: connections.ConnectionBudget) -> None:
        self.clock = clock.ManualClock()
        levels = observability.LevelFilter()
        sink = observability.LineSink(
            os.open(os.devnull, os.O_WRONLY), self.clock, 400
        )
        self.guard = connections.ConnectionGuard(
            budget,
            self.clock,
            observability.Log(sink, self.clock, levels, "connections"),
            observability.Metrics(),
        )
        self.guard.add_server("callers", lambda: _LIMITS)
        self.held: list[httputil.HTTPServerRequest] = []
        self.is_holding = False
        self.handled = 0
        self._server = connections.GuardedServer(
            self._handle, "callers", self.guard
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self._server.add_sockets(sockets)
        self._port = sockets[0].getsockname()[1]

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns a new connection."""
        return await asyncio.open_connection("127.0.0.1", self._port)

    async def ask(self, request: bytes) -> bytes:
        """Returns all that the server sends until it closes."""
        reader, writer = await self.connect()
        writer.write(request)
        try:
            return await reader.read()
        finally:
            writer.close()

    def answer_held(self) -> None:
        """Answers the requests that are held."""
        self.is_holding = False
        for request in self.held:
            self._answer(request)
        self.held.clear()

    async def close(self) -> None:
        """Closes the server and its connections."""
        self._server.stop()
        await self._server.close_all_connections()
        assert not self.guard.charged

    def _handle(self, request: httputil.HTTPServerRequest) -> None:
        self.handled += 1
        if self.is_holding:
            self.held.append(request)
        else:
            self._answer(request)

    def _answer(self, request: httputil.HTTPServerRequest) -> None:
        body = str(len(request.body)).encode()
        assert request.connection is not None
        request.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", 200, "OK"),
            httputil.HTTPHeaders({"Content-Length": str(len(body))}),
            body,
        )
        request.connection.finish()


_HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"


def _announce(size: int, more: bytes = b"") -> bytes:
    return _HEAD + more + b"Content-Length: %d\r\n\r\n" % size


def _send_chunked(size: int, chunk: int) -> bytes:
    each = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    head = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + each * (size // chunk) + b"0\r\n\r\n"


def _run(
    play: Callable[[_Trial], Awaitable[None]],
    budget: connections.ConnectionBudget = connections.ConnectionBudget(
        8, 2_000_000
    ),
) -> None:
    async def run() -> None:
        trial = _Trial(budget)
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                await play(trial)
        finally:
            await trial.close()

    asyncio.run(run())


@attrs.frozen
class Case:
    """A request, and the answer.

    Attributes:
        request: What the client sends.
        status: Expected status.
        text: Text of the answer.
        handled: Number of requests that are passed on.
    """

    request: bytes
    status: int
    text: bytes
    handled: int = 0


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            Case(_announce(_MAX_BODY) + b"x" * _MAX_BODY, 200, b"50000", 1),
            id="body-of-the-largest-size",
        ),
        pytest.param(
            Case(_send_chunked(_MAX_BODY, 1), 200, b"50000", 1),
            id="body-in-chunks-of-a-byte",
        ),
        pytest.param(
            Case(_announce(_MAX_BODY + 1), 413, b"over 50000 bytes"),
            id="announced-and-not-sent",
        ),
        pytest.param(
            Case(
                _announce(_MAX_BODY + 1) + b"x" * (_MAX_BODY + 1),
                413,
                b"over 50000 bytes",
            ),
            id="announced-and-sent",
        ),
        pytest.param(
            Case(_send_chunked(400_000, 40_000), 413, b"over 50000 bytes"),
            id="chunked",
        ),
        pytest.param(
            Case(_announce(10**30), 413, b"over 50000 bytes"),
            id="length-of-many-digits",
        ),
        pytest.param(
            Case(
                _announce(_MAX_BODY + 1, b"Expect: 100-continue\r\n"),
                413,
                b"over 50000 bytes",
            ),
            id="client-that-waits-for-permission",
        ),
        pytest.param(
            Case(
                _announce(3, b"X-Filling: %s\r\n" % (b"x" * 5000)) + b"abc",
                400,
                b"over 4096 bytes",
            ),
            id="header",
        ),
    ],
)
def test_requests_over_a_limit_are_refused_with_an_answer(case: Case) -> None:
    """Guards against bodies that are kept before they are refused."""

    async def play(trial: _Trial) -> None:
        asking = asyncio.create_task(trial.ask(case.request))
        done, _ = await asyncio.wait([asking], timeout=1)
        if not done:
            # A client that sends less than it has announced.
            await trial.clock.advance(3 * _SECOND)
            trial.guard.close_overdue()
        answer = await asking
        assert answer.startswith(b"HTTP/1.1 %d " % case.status)
        assert case.text in answer
        assert b"Connection: close" in answer
        assert trial.handled == case.handled

    _run(play)


def test_refusal_for_lack_of_memory_is_true_and_says_when_to_return() -> None:
    """Guards against requests that are run in spite of a refusal."""

    async def play(trial: _Trial) -> None:
        trial.is_holding = True
        body = _announce(_MAX_BODY) + b"x" * _MAX_BODY
        first = asyncio.create_task(trial.ask(body))
        while not trial.held:
            await asyncio.sleep(0.01)
        answer = await trial.ask(body)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1" in answer
        assert trial.handled == 1
        trial.answer_held()
        assert b" 200 " in await first
        assert b" 200 " in await trial.ask(body)

    _run(play, connections.ConnectionBudget(8, 80_000))


def test_requests_on_one_connection_are_counted_one_by_one() -> None:
    """Guards against budgets that a kept connection uses up."""

    async def play(trial: _Trial) -> None:
        reader, writer = await trial.connect()
        request = (
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s"
            % (_MAX_BODY, b"x" * _MAX_BODY)
        )
        for _ in range(5):
            # Two at a time, the second one while the first is handled.
            writer.write(request * 2)
            for _ in range(2):
                await reader.readuntil(b"\r\n\r\n")
                assert await reader.readexactly(5) == b"50000"
        assert trial.handled == 10
        writer.close()

    _run(play, connections.ConnectionBudget(8, 150_000))


def test_stalled_bodies_give_way_to_an_ordinary_request() -> None:
    """Guards against clients that stop just short of the end."""

    async def play(trial: _Trial) -> None:
        stalled = [await trial.connect() for _ in range(6)]
        for _, writer in stalled:
            writer.write(_announce(_MAX_BODY) + b"x" * (_MAX_BODY - 1))
            await writer.drain()
        answer = await trial.ask(_announce(3) + b"abc")
        assert answer.endswith(b"\r\n\r\n3")
        assert trial.handled == 1
        for _, writer in stalled:
            writer.close()

    _run(play, connections.ConnectionBudget(8, 120_000))


def test_unused_connections_give_way_to_a_new_one() -> None:
    """Guards against descriptors that idle clients use up."""

    async def play(trial: _Trial) -> None:
        idle = [await trial.connect() for _ in range(20)]
        answer = await trial.ask(_announce(3) + b"abc")
        assert answer.endswith(b"\r\n\r\n3")
        for _, writer in idle:
            writer.close()

    _run(play)


def test_request_that_the_guard_has_forgotten_is_not_passed_on() -> None:
    """Guards against a request that runs without a part of its body."""

    class Inner(httputil.HTTPMessageDelegate):
        is_finished = is_closed = False

        def finish(self) -> None:
            self.is_finished = True

        def on_connection_close(self) -> None:
            self.is_closed = True

    async def play(trial: _Trial) -> None:
        ours, theirs = socket.socketpair()
        connection = connections.Connection("callers")
        stream = connections.MeteredStream(
            ours, connection, trial.guard.record_read
        )
        trial.guard.add(stream)
        inner = Inner()
        receiver = connections.RequestReceiver(
            inner,
            typing.cast(httputil.HTTPConnection, None),
            stream,
            trial.guard,
        )
        receiver.headers_received(
            httputil.RequestStartLine("POST", "/a", "HTTP/1.1"),
            httputil.HTTPHeaders({"Content-Length": "6"}),
        )
        receiver.data_received(b"abc")
        await trial.clock.advance(60 * _SECOND)
        trial.guard.close_overdue()
        # What the stream had read before it was closed.
        receiver.data_received(b"def")
        receiver.finish()
        assert inner.is_closed and not inner.is_finished
        theirs.close()

    _run(play)


def test_client_that_leaves_takes_nothing_from_the_budget() -> None:
    """Guards against a budget that grows or shrinks with each client."""

    async def play(trial: _Trial) -> None:
        _, writer = await trial.connect()
        writer.write(_send_chunked(40_000, 1).removesuffix(b"0\r\n\r\n"))
        await writer.drain()
        while trial.guard.charged < 200_000:
            await asyncio.sleep(0.01)
        writer.close()
        while trial.guard.charged > 0:
            await asyncio.sleep(0.01)

    _run(play)
