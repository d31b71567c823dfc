"""Counts of calls, by purpose."""

import asyncio
import datetime
import socket

import pytest

from tamarackhatch import clock
from tamarackhatch import transport
from tamarackhatch.transport.tests import raw_server

_MS = datetime.timedelta(milliseconds=1)


def _stay_silent(connection: socket.socket) -> None:
    return None


@pytest.mark.parametrize(
    ("handle", "expected"),
    [
        pytest.param(
            raw_server.answer_at_once,
            (1, 4, len(raw_server.BODY), 0, 0),
            id="answered",
        ),
        pytest.param(_stay_silent, (1, 4, 0, 0, 1), id="unanswered"),
        pytest.param(None, (1, 4, 0, 1, 0), id="unsent"),
    ],
)
def test_calls_are_counted_with_their_bytes_and_outcomes(
    handle: raw_server.Handler | None, expected: tuple[int, ...]
) -> None:
    """Guards against a congested scheduler whose log names no cause."""

    async def call(address: str) -> transport.Traffic:
        client = transport.HttpClient(clock.SystemClock(), 1)
        await asyncio.gather(
            client.send(
                transport.Call(
                    "POST", address, "/", 300 * _MS, b"body", purpose="start"
                )
            ),
            return_exceptions=True,
        )
        client.close()
        return client.traffic.take()

    if handle is None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        traffic = asyncio.run(call(address))
    else:
        with raw_server.serve(handle) as address:
            traffic = asyncio.run(call(address))
    assert list(traffic.by_purpose) == ["start"]
    counted = traffic.by_purpose["start"]
    assert expected == (
        counted.calls,
        counted.request_bytes,
        counted.answer_bytes,
        counted.unsent,
        counted.unanswered,
    )
    assert traffic.opened_connections == 1
