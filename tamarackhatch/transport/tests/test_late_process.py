"""Calls of a process whose event loop does not run for a while."""

import asyncio
import datetime
import socket
import time

import pytest

from tamarackhatch import clock
from tamarackhatch import transport
from tamarackhatch.transport.tests import raw_server

_MS = datetime.timedelta(milliseconds=1)


def _answer_after(seconds: float) -> raw_server.Handler:
    def handle(connection: socket.socket) -> None:
        time.sleep(seconds)
        raw_server.answer_at_once(connection)

    return handle


@pytest.mark.parametrize("pause_before_stop_s", [0.0, 0.002])
def test_connection_of_a_late_process_is_used(
    pause_before_stop_s: float,
) -> None:
    """Guards against taking a server for unreachable that has accepted."""

    async def call_and_stop(address: str) -> transport.Answer:
        client = transport.HttpClient(clock.SystemClock(), 4)
        call = transport.Call(
            "GET", address, "/", 3000 * _MS, connect_timeout=100 * _MS
        )
        sending = asyncio.create_task(client.send(call))
        # Lets the client open the connection.
        for _ in range(3):
            await asyncio.sleep(pause_before_stop_s)
        time.sleep(0.5)
        try:
            return await sending
        finally:
            client.close()

    with raw_server.serve(raw_server.answer_at_once) as address:
        answer = asyncio.run(call_and_stop(address))
    assert answer == transport.Answer(200, raw_server.BODY)


def test_call_that_waits_for_a_connection_is_not_ended_by_its_connecting() -> (
    None
):
    """Guards against starts that fail because others go to the same runner."""

    async def send_both(address: str) -> tuple[transport.Answer, ...]:
        client = transport.HttpClient(clock.SystemClock(), 1)
        call = transport.Call(
            "GET", address, "/", 3000 * _MS, connect_timeout=100 * _MS
        )
        try:
            return tuple(
                await asyncio.gather(client.send(call), client.send(call))
            )
        finally:
            client.close()

    with raw_server.serve(_answer_after(0.4)) as address:
        answers = asyncio.run(send_both(address))
    assert answers == (transport.Answer(200, raw_server.BODY),) * 2


@pytest.mark.parametrize(
    ("answer_s", "is_answered"),
    [
        pytest.param(0.3, True, id="in-time"),
        pytest.param(1.2, False, id="late"),
    ],
)
def test_time_for_an_answer_begins_when_the_call_is_sent(
    answer_s: float, is_answered: bool
) -> None:
    """Guards against taking a late process for a silent server."""

    async def call_and_stop(address: str) -> bool:
        client = transport.HttpClient(clock.SystemClock(), 1)
        call = transport.Call(
            "GET", address, "/", 2000 * _MS, answer_timeout=600 * _MS
        )
        # Uses the only connection, so that the call waits unsent.
        earlier = asyncio.create_task(
            client.send(transport.Call("GET", address, "/", 3000 * _MS))
        )
        await asyncio.sleep(0.05)
        sending = asyncio.create_task(client.send(call))
        try:
            await earlier
            await sending
        except transport.CallLostError:
            return False
        finally:
            client.close()
        return True

    delays = iter([0.5, answer_s])

    def handle(connection: socket.socket) -> None:
        time.sleep(next(delays))
        raw_server.answer_at_once(connection)

    with raw_server.serve(handle) as address:
        assert asyncio.run(call_and_stop(address)) is is_answered


def test_call_that_finds_no_free_connection_tells_nothing_of_the_server() -> (
    None
):
    """Guards against a runner that is closed because calls queue up here."""

    async def send_both(address: str) -> bool:
        client = transport.HttpClient(clock.SystemClock(), 1)
        earlier = asyncio.create_task(
            client.send(transport.Call("GET", address, "/", 3000 * _MS))
        )
        await asyncio.sleep(0.05)
        with pytest.raises(transport.CallNotSentError) as raised:
            await client.send(transport.Call("GET", address, "/", 200 * _MS))
        await earlier
        client.close()
        return raised.value.is_delayed_here

    with raw_server.serve(_answer_after(0.6)) as address:
        assert asyncio.run(send_both(address))
