"""Tests calls to a server that drops connection requests."""

import asyncio
from collections.abc import Iterator
import contextlib
import datetime
import socket
import time

import pytest

from tamarackhatch import clock
from tamarackhatch import transport

_MS = datetime.timedelta(milliseconds=1)
# More than a queue of one takes.
_FILLING_CONNECTIONS = 4


@contextlib.contextmanager
def _serve_full_queue() -> Iterator[str]:
    """Yields the address of a server whose queue of connections is full."""
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.socket())
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        for _ in range(_FILLING_CONNECTIONS):
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(server.getsockname())
        host, port = server.getsockname()
        yield f"{host}:{port}"


@pytest.mark.parametrize(
    ("connect_timeout", "shortest_s", "longest_s"),
    [(None, 0.6, 1.5), (100 * _MS, 0.05, 0.6)],
)
def test_call_that_cannot_connect_fails_after_its_connect_timeout(
    connect_timeout: datetime.timedelta | None,
    shortest_s: float,
    longest_s: float,
) -> None:
    """Guards against a runner that is found late once it is back."""

    async def send(address: str) -> float:
        client = transport.HttpClient(clock.SystemClock(), 4)
        call = transport.Call(
            "GET", address, "/", 2000 * _MS, connect_timeout=connect_timeout
        )
        began = time.monotonic()
        with pytest.raises(transport.CallNotSentError):
            await client.send(call)
        client.close()
        return time.monotonic() - began

    with _serve_full_queue() as address:
        assert shortest_s < asyncio.run(send(address)) < longest_s
