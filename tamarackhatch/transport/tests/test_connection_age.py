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
_SECOND = datetime.timedelta(seconds=1)


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


@pytest.mark.parametrize("connect_s", [0.2, 0.6])
def test_connection_is_not_older_than_its_establishment(
    connect_s: float,
) -> None:
    """Guards against an acknowledgement to a process that came up meanwhile.

    A report is made between the creation of the socket and its connection.
    """
    time_source = clock.ManualClock()
    connections = _transfer.Connections(time_source)
    name = ("10.0.0.1", "10.0.0.2", 80, 40_000)

    async def open_and_use() -> bytes:
        loop = asyncio.get_running_loop()
        call = transport.Call(
            "POST", "10.0.0.1:80", "/", _TIMEOUT, b"{1}", is_repeatable=False
        )
        opening = _transfer.Transfer(
            call, loop.create_future(), connections, transport.Traffic()
        )
        with socket.socket() as used:
            opening.record_socket(used.fileno(), 0)
            await time_source.advance(connect_s / 2 * _SECOND)
            reported = time_source.get_monotonic()
            await time_source.advance(connect_s / 2 * _SECOND)
            opening.prepare_sending(*name)
            later = _transfer.Transfer(
                attrs.evolve(
                    call,
                    opened_before=reported + _SECOND / 1000,
                    other_body=b"{} ",
                ),
                loop.create_future(),
                connections,
                transport.Traffic(),
            )
            later.prepare_sending(*name)
            return later.read_body(10)

    assert asyncio.run(open_and_use()) == b"{} "
