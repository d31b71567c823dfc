"""Tests how the HTTP client watches and closes its descriptors."""

import asyncio
import datetime
import os
import socket
import time

import pycurl
import pytest

from tamarackhatch import clock
from tamarackhatch import transport
from tamarackhatch.transport import _client
from tamarackhatch.transport.tests import raw_server

_MS = datetime.timedelta(milliseconds=1)


def test_closed_client_leaves_no_descriptor_open() -> None:
    """Guards against a leak of descriptors, and a second close that fails.

    The client has one idle connection, and one on which a call waits.
    """
    delays = iter([0.0, 1.0])

    def handle(connection: socket.socket) -> None:
        time.sleep(next(delays))
        raw_server.answer_at_once(connection)

    async def run(address: str) -> tuple[int, int]:
        before = len(os.listdir("/proc/self/fd"))
        client = transport.HttpClient(clock.SystemClock(), 2)
        call = transport.Call("GET", address, "/", 3000 * _MS)
        await client.send(call)
        opened = len(os.listdir("/proc/self/fd"))
        waiting = asyncio.create_task(client.send(call))
        await asyncio.sleep(0.05)
        client.close()
        client.close()
        with pytest.raises(transport.CallLostError):
            await waiting
        # The server's end of the connection stays open.
        return opened - before, len(os.listdir("/proc/self/fd")) - before

    with raw_server.serve(handle) as address:
        opened, left = asyncio.run(run(address))
    assert opened > left and left <= 1


def test_idle_connection_that_the_server_closes_is_not_used_again() -> None:
    """Guards against events of closed descriptors, and against a lost call.

    The server closes each connection after its answer.
    """

    def handle(connection: socket.socket) -> None:
        raw_server.answer_at_once(connection)
        connection.shutdown(socket.SHUT_RDWR)

    async def run(address: str) -> tuple[list[transport.Answer], float]:
        client = transport.HttpClient(clock.SystemClock(), 2)
        call = transport.Call("GET", address, "/", 3000 * _MS)
        answers = []
        for _ in range(10):
            answers.append(await client.send(call))
            await asyncio.sleep(0.05)
        began = time.thread_time()
        await asyncio.sleep(0.3)
        used = time.thread_time() - began
        client.close()
        return answers, used

    with raw_server.serve(handle) as address:
        answers, used = asyncio.run(run(address))
    # A descriptor that stays ready would keep the event loop busy.
    assert (
        answers == [transport.Answer(200, raw_server.BODY)] * 10 and used < 0.1
    )


@pytest.mark.parametrize(
    ("address", "expected"),
    [
        ("127.0.0.1:80", True),
        ("10.20.30.40:9000", True),
        ("localhost:80", False),
        ("10.example:80", False),
        ("1.2.3:80", False),
        ("", False),
    ],
)
def test_only_numeric_addresses_are_kept_for_ever(
    address: str, expected: bool
) -> None:
    """Guards against the use of a name's old address for ever."""
    assert _client._is_numeric(address) == expected


def test_reused_descriptor_number_is_watched() -> None:
    """Guards against a connection whose events are never seen.

    Its number is that of a descriptor closed without a report.
    """

    async def run() -> bool:
        client = transport.HttpClient(clock.SystemClock(), 1)
        first, _peer = socket.socketpair()
        number = first.fileno()
        client._watch_socket(pycurl.POLL_IN, number, None, None)
        first.close()
        second, other = socket.socketpair()
        assert second.fileno() == number
        client._watch_socket(pycurl.POLL_IN, number, None, None)
        other.sendall(b"x")
        is_seen = [n for n, _ in client._poller.poll(0)] == [number]
        client._watch_socket(pycurl.POLL_REMOVE, number, None, None)
        client.close()
        for end in (second, other, _peer):
            end.close()
        return is_seen

    assert asyncio.run(run())
