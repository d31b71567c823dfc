"""Tests calls whose connection ends before a byte of their answer."""

import asyncio
import datetime
import socket
import struct
import threading

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
