"""Tests what is known of connections that stay open for long."""

import asyncio
import datetime
import socket

import attrs
import pytest

from tamarackhatch import clock
from tamarackhatch import transport
from tamarackhatch.transport import _transfer
from tamarackhatch.transport.tests import raw_server

_TIMEOUT = datetime.timedelta(milliseconds=800)
_MAX_CONNECTIONS = 8


def test_age_of_a_connection_in_use_stays_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against exits that are never acknowledged on an old connection.

    The process opens many others meanwhile, which are closed again.
    """
    monkeypatch.setattr(_transfer, "_MAX_KNOWN_CONNECTIONS", 16)
    received = []

    def serve_connection(connection: socket.socket) -> None:
        while data := connection.recv(65536):
            received.append(data.rpartition(b"\r\n\r\n")[2])
            raw_server.answer_at_once(connection)

    async def send_all() -> None:
        time_source = clock.SystemClock()
        client = transport.HttpClient(time_source, _MAX_CONNECTIONS)
        call = transport.Call(
            "POST", address, "/", _TIMEOUT, b"{1}", is_repeatable=False
        )
        await client.send(call)
        for _ in range(20):
            await asyncio.sleep(0.002)
            await client.send(
                transport.Call(
                    "POST", other, "/", _TIMEOUT, b"{}", is_repeatable=False
                )
            )
            await client.send(
                attrs.evolve(
                    call,
                    opened_before=time_source.get_monotonic(),
                    other_body=b"{} ",
                )
            )
        client.close()

    def close_after_answer(connection: socket.socket) -> None:
        raw_server.answer_at_once(connection)
        connection.shutdown(socket.SHUT_RDWR)

    with (
        raw_server.serve_connections(serve_connection) as address,
        raw_server.serve(close_after_answer) as other,
    ):
        asyncio.run(send_all())
    assert received == [b"{1}"] * 21
