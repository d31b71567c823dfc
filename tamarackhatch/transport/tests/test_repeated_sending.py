"""Tests calls whose connection ends before a byte of their answer."""

import asyncio
import datetime
import socket
import struct
import threading

import attrs
import pytest

from tamarackhatch import clock
from tamarackhatch import transport
from tamarackhatch.transport.tests import raw_server

_TIMEOUT = datetime.timedelta(milliseconds=800)
_RESET = struct.pack("ii", 1, 0)


class _EndingServer:
    """Ends the connection of its second request instead of answering it.

    Attributes:
        received: Number of requests that it has read.
    """

    def __init__(self, is_reset: bool) -> None:
        self.received = 0
        self._is_reset = is_reset
        self._lock = threading.Lock()

    def handle(self, connection: socket.socket) -> None:
        """Answers a request, unless it is the second one."""
        with self._lock:
            self.received += 1
            is_second = self.received == 2
        if not is_second:
            raw_server.answer_at_once(connection)
            return
        if self._is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        connection.close()


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize(
    ("is_repeatable", "expected"),
    [
        pytest.param(True, ["answered", "answered"], id="repeatable"),
        pytest.param(False, ["answered", "lost"], id="not-repeatable"),
    ],
)
def test_call_is_sent_again_only_if_it_is_repeatable(
    is_repeatable: bool, expected: list[str], is_reset: bool
) -> None:
    """Guards against a call that libcurl repeats unasked."""
    server = _EndingServer(is_reset)

    async def send_two() -> list[str]:
        client = transport.HttpClient(clock.SystemClock(), 4)
        outcomes = []
        for _ in range(2):
            try:
                await client.send(
                    transport.Call(
                        "POST",
                        address,
                        "/",
                        _TIMEOUT,
                        b"{}",
                        is_repeatable=is_repeatable,
                    )
                )
                outcomes.append("answered")
            except transport.CallLostError:
                outcomes.append("lost")
        client.close()
        return outcomes

    with raw_server.serve(server.handle) as address:
        assert asyncio.run(send_two()) == expected
    assert server.received == 2 + is_repeatable


@pytest.mark.parametrize("idle_s", [0.1, 1.2])
def test_call_does_not_use_a_connection_that_the_server_has_closed(
    idle_s: float,
) -> None:
    """Guards against lost calls after a server has closed idle connections.

    libcurl looks for such connections only once a second.
    """
    received = []

    def answer_once(connection: socket.socket) -> None:
        received.append(connection)
        raw_server.answer_at_once(connection)
        connection.shutdown(socket.SHUT_RDWR)

    async def send_two() -> None:
        client = transport.HttpClient(clock.SystemClock(), 4)
        for _ in range(2):
            await client.send(
                transport.Call(
                    "POST", address, "/", _TIMEOUT, b"{}", is_repeatable=False
                )
            )
            await asyncio.sleep(idle_s)
        client.close()

    with raw_server.serve(answer_once) as address:
        asyncio.run(send_two())
    assert len(received) == 2


@pytest.mark.parametrize(
    ("is_restarted", "expected"),
    [
        pytest.param(False, [b"{1}", b"{1}"], id="same-connection"),
        pytest.param(True, [b"{1}", b"{} "], id="other-connection"),
    ],
)
def test_body_depends_on_the_age_of_the_connection(
    is_restarted: bool, expected: list[bytes]
) -> None:
    """Guards against a call for another process than the one that answers."""
    received = []

    def serve_connection(connection: socket.socket) -> None:
        # The handler reads, because it has to see the bodies.
        while data := connection.recv(65536):
            received.append(data.rpartition(b"\r\n\r\n")[2])
            raw_server.answer_at_once(connection)
            if is_restarted:
                connection.close()
                return

    async def send_all() -> None:
        time_source = clock.SystemClock()
        client = transport.HttpClient(time_source, 4)
        call = transport.Call(
            "POST", address, "/", _TIMEOUT, b"{1}", is_repeatable=False
        )
        await client.send(call)
        opened_before = time_source.get_monotonic()
        await asyncio.sleep(0.05)
        await client.send(
            attrs.evolve(call, opened_before=opened_before, other_body=b"{} ")
        )
        client.close()

    with raw_server.serve_connections(serve_connection) as address:
        asyncio.run(send_all())
    assert received == expected
