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

    async def send_both(address: str) -> list[transport.Answer]:
        client = transport.HttpClient(clock.SystemClock(), 1)
        call = transport.Call(
            "GET", address, "/", 3000 * _MS, connect_timeout=100 * _MS
        )
        try:
            return await asyncio.gather(client.send(call), client.send(call))
        finally:
            client.close()

    with raw_server.serve(_answer_after(0.4)) as address:
        answers = asyncio.run(send_both(address))
    assert answers == [transport.Answer(200, raw_server.BODY)] * 2
