"""Tests of HttpRunnerClient against a raw server that misbehaves."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import typing

import attrs
import pytest

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import platform

_UNKNOWN = platform.RunnerOutcomeUnknownError
_UNAVAILABLE = platform.RunnerUnavailableError
_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
_WHOLE = _HEAD + b"Content-Length: 2\r\n\r\nok"

_Test: typing.TypeAlias = Callable[
    ["_Runner", platform.HttpRunnerClient], Awaitable[None]
]


class _Runner:
    """Raw server; plays one script per request, the last one for ever.

    A script is the bytes to answer, with "hang" or "close" afterwards.
    """

    def __init__(self, scripts: list[tuple[bytes, str]]) -> None:
        self.scripts = scripts
        self.requests: list[bytes] = []
        self.opened = 0
        self.closed = 0
        self.address = ""

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests.append(head)
                if b"Content-Length: 4" in head:
                    await reader.readexactly(4)
                index = min(len(self.requests), len(self.scripts)) - 1
                answer, then = self.scripts[index]
                writer.write(answer)
                await writer.drain()
                if then == "close":
                    return
                if then == "hang":
                    await reader.read()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed += 1
            writer.close()


def _run(scripts: list[tuple[bytes, str]], test: _Test) -> None:
    async def run() -> None:
        runner = _Runner(scripts)
        server = await asyncio.start_server(runner.handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        runner.address = f"{host}:{port}"
        client = platform.HttpRunnerClient(
            clock.SystemClock(), max_answer=1000, max_requests=16
        )
        async with server:
            try:
                await test(runner, client)
            finally:
                client.close()

    asyncio.run(run())


def _make_request(
    seconds: float = 0.5, **changes: typing.Any
) -> model.ServiceRequest:
    now = datetime.datetime.now(datetime.timezone.utc)
    request = model.ServiceRequest(
        "r1",
        "renewals",
        "POST",
        "a?b=1",
        (("X-Note", "n"), ("Connection", "x"), ("Content-Length", "77")),
        b"body",
        now + datetime.timedelta(seconds=seconds),
        is_repeatable=False,
    )
    return attrs.evolve(request, **changes)


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ((_WHOLE, "keep"), None),
        (
            (
                _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
                b"2\r\nok\r\n0\r\n\r\n",
                "keep",
            ),
            None,
        ),
        ((b"", "close"), _UNKNOWN),
        ((b"", "hang"), _UNKNOWN),
        ((_HEAD, "close"), _UNKNOWN),
        ((_HEAD + b"Content-Length: 3\r\n\r\nok", "close"), _UNKNOWN),
        ((_HEAD + b"Content-Length: 3\r\n\r\nok", "hang"), _UNKNOWN),
        (
            (
                _HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                "close",
            ),
            _UNKNOWN,
        ),
        ((_HEAD + b"\r\nok", "close"), _UNKNOWN),
        ((_WHOLE.replace(b"r1", b"r2"), "keep"), _UNKNOWN),
        ((_WHOLE.replace(b"Request-Id: r1\r\n", b""), "keep"), _UNKNOWN),
        (
            (_HEAD + b"Content-Length: 2000\r\n\r\n" + b"x" * 2000, "keep"),
            _UNKNOWN,
        ),
        ((b"garbage\r\n\r\n", "close"), _UNKNOWN),
    ],
)
@pytest.mark.parametrize("is_repeatable", [True, False])
def test_answer_is_whole_or_unknown(
    script: tuple[bytes, str],
    expected: type[Exception] | None,
    is_repeatable: bool,
) -> None:
    """Guards against partial answers, and against a hidden second send."""

    async def test(runner: _Runner, client: platform.HttpRunnerClient) -> None:
        request = _make_request(is_repeatable=is_repeatable)
        if expected is None:
            answer = await client.send_request(runner.address, request)
            assert (answer.status, answer.body) == (200, b"ok")
            head = runner.requests[0].decode()
            assert head.startswith("POST /a?b=1 HTTP/1.1\r\n")
            assert "X-Note: n" in head and "Content-Length: 4" in head
            assert "Request-Id: r1" in head
            assert "Content-Length: 77" not in head
        else:
            with pytest.raises(expected):
                await client.send_request(runner.address, request)
        assert len(runner.requests) == 1
        assert client.in_flight == 0

    _run([script], test)


@pytest.mark.parametrize("address", ["127.0.0.1:1", "not a host:1"])
def test_refused_connection_is_unavailable(address: str) -> None:
    """Guards against "unknown" for a request that was never sent."""

    async def test(_: _Runner, client: platform.HttpRunnerClient) -> None:
        for request in (_make_request(), _make_request(is_repeatable=True)):
            with pytest.raises(_UNAVAILABLE):
                await client.send_request(address, request)
        with pytest.raises(_UNAVAILABLE):
            await client.send_request(address, _make_request(-1))

    _run([(b"", "close")], test)


def test_dead_idle_connection_does_not_cause_second_send() -> None:
    """Guards against curl's own retry on a reused connection."""

    async def test(runner: _Runner, client: platform.HttpRunnerClient) -> None:
        request = _make_request(is_repeatable=True, method="GET", body=b"")
        await client.send_request(runner.address, request)
        with pytest.raises(_UNKNOWN):
            await client.send_request(runner.address, request)
        assert (len(runner.requests), runner.opened) == (2, 1)

    # The second request arrives on the same connection, which then closes.
    _run([(_WHOLE, "keep"), (b"", "close"), (_WHOLE, "keep")], test)


@pytest.mark.parametrize(
    ("changes", "opened"),
    [
        ({"is_repeatable": True}, 1),
        ({"is_repeatable": False}, 3),
        ({"is_repeatable": True, "is_watch": True}, 3),
    ],
)
def test_reuse_of_connections(changes: dict[str, bool], opened: int) -> None:
    """Guards against risky reuse, and against a new one for each query."""

    async def test(runner: _Runner, client: platform.HttpRunnerClient) -> None:
        for _ in range(3):
            request = _make_request(**changes)
            await client.send_request(runner.address, request)
        await asyncio.sleep(0.05)
        assert runner.opened == opened
        assert runner.closed == (0 if opened == 1 else opened)

    _run([(_WHOLE, "keep")], test)


def test_connection_out_of_step_is_not_reused() -> None:
    """Guards against late answers to an earlier request."""

    async def test(runner: _Runner, client: platform.HttpRunnerClient) -> None:
        request = _make_request(is_repeatable=True)
        with pytest.raises(_UNKNOWN):
            await client.send_request(runner.address, request)
        await client.send_request(runner.address, request)
        assert runner.opened == 2

    _run([(_WHOLE.replace(b"r1", b"r0"), "keep"), (_WHOLE, "keep")], test)


def test_cancelled_watch_closes_its_connection() -> None:
    """Guards against connections that stay open after a drain."""

    async def test(runner: _Runner, client: platform.HttpRunnerClient) -> None:
        watch = _make_request(20, is_watch=True, is_repeatable=True)
        send = asyncio.create_task(client.send_request(runner.address, watch))
        await asyncio.sleep(0.1)
        send.cancel()
        with pytest.raises(asyncio.CancelledError):
            await send
        await asyncio.sleep(0.05)
        assert (runner.closed, client.in_flight) == (1, 0)

    _run([(b"", "hang")], test)
