"""Tests calls to a runner whose connection ends before their answer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import socket
import threading
import typing

import orjson
import pytest

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch import transport
from tamarackhatch.transport.tests import raw_server

_REPORT = b'{"born":1,"clock_ms":1,"running":[],"ended":[]}'
_COMMAND = platform.RunCommand(model.TaskKey("00", 0, 0, 0), 1)
_AUTHORITY = platform.Authority(1, lambda: True)

_Send = Callable[[platform.RunnerClient, model.Runner], Awaitable[typing.Any]]


def _renew(
    client: platform.RunnerClient, runner: model.Runner
) -> Awaitable[typing.Any]:
    return client.renew(
        runner,
        _AUTHORITY,
        57,
        datetime.timedelta(seconds=5),
        datetime.timedelta(),
    )


def _start(
    client: platform.RunnerClient, runner: model.Runner
) -> Awaitable[typing.Any]:
    return client.start(
        runner,
        _AUTHORITY,
        _COMMAND,
        "work",
        datetime.timedelta(seconds=5),
        "",
        "",
    )


def _stop(
    client: platform.RunnerClient, runner: model.Runner
) -> Awaitable[typing.Any]:
    return client.stop(runner, _AUTHORITY, _COMMAND)


def _set_speed_limit(
    client: platform.RunnerClient, runner: model.Runner
) -> Awaitable[typing.Any]:
    return client.set_speed_limit(runner, _AUTHORITY, _COMMAND, 50)


class _EndingRunner:
    """Answers a renewal, and then ends the connection of the next call."""

    def __init__(self) -> None:
        self.received = 0
        self._lock = threading.Lock()

    def handle(self, connection: socket.socket) -> None:
        """Answers a call, unless it is the second one."""
        with self._lock:
            self.received += 1
            is_second = self.received == 2
        if is_second:
            connection.close()
            return
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
            % (len(_REPORT), _REPORT)
        )


@pytest.mark.parametrize(
    ("send", "error"),
    [
        pytest.param(_renew, platform.RunnerUnavailableError, id="renew"),
        pytest.param(_start, platform.RunnerOutcomeUnknownError, id="start"),
        pytest.param(_stop, platform.RunnerOutcomeUnknownError, id="stop"),
        pytest.param(
            _set_speed_limit, platform.RunnerOutcomeUnknownError, id="pace"
        ),
    ],
)
def test_call_without_answer_does_not_reach_the_next_incarnation(
    send: _Send, error: type[Exception]
) -> None:
    """Guards against a call that is sent again after a runner's restart.

    The next incarnation would forget exits by the acknowledgement of another
    one, and start a run by a lease that is not meant for it.
    """
    runner_process = _EndingRunner()

    async def send_two() -> None:
        http = transport.HttpClient(clock.SystemClock(), 4)
        client = platform.RunnerClient(http)
        runner = model.Runner(
            "i-0", "office", address, "", False, model.Resources()
        )
        try:
            await _renew(client, runner)
            with pytest.raises(error):
                await send(client, runner)
        finally:
            http.close()

    with raw_server.serve(runner_process.handle) as address:
        asyncio.run(send_two())
    assert runner_process.received == 2


@pytest.mark.parametrize(
    ("is_restarted", "expected"), [(False, [0, 57]), (True, [0, 0])]
)
def test_exits_are_acknowledged_to_the_process_that_listed_them(
    is_restarted: bool, expected: list[int]
) -> None:
    """Guards against a restarted runner that forgets exits unread."""
    received: list[int] = []

    def serve_connection(connection: socket.socket) -> None:
        while data := connection.recv(65536):
            body = orjson.loads(data.rpartition(b"\r\n\r\n")[2])
            received.append(body["ack_cursor"])
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                % (len(_REPORT), _REPORT)
            )
            if is_restarted:
                connection.close()
                return

    async def renew_twice() -> None:
        time_source = clock.SystemClock()
        http = transport.HttpClient(time_source, 4)
        client = platform.RunnerClient(http)
        runner = model.Runner(
            "i-0", "office", address, "", False, model.Resources()
        )
        for acknowledged_exit in (0, 57):
            await client.renew(
                runner,
                _AUTHORITY,
                acknowledged_exit,
                datetime.timedelta(seconds=5),
                datetime.timedelta(),
                reported_at=time_source.get_monotonic(),
            )
            await asyncio.sleep(0.05)
        http.close()

    with raw_server.serve_connections(serve_connection) as address:
        asyncio.run(renew_twice())
    assert received == expected
