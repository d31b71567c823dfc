"""Tests the HTTP client against a raw TCP server in another thread."""

import asyncio
import datetime
import socket
import threading
import time

import pycurl
import pytest

from tamarackhatch import clock
from tamarackhatch import transport
from tamarackhatch.transport import _client
from tamarackhatch.transport.tests import raw_server

_MS = datetime.timedelta(milliseconds=1)


def _answer_slowly(connection: socket.socket) -> None:
    connection.sendall(raw_server.HEAD)
    for index in range(8):
        time.sleep(0.1)
        connection.sendall(raw_server.BODY[index * 5 : index * 5 + 5])


def _stall(connection: socket.socket) -> None:
    connection.sendall(raw_server.HEAD + raw_server.BODY[:5])


def _stay_silent(connection: socket.socket) -> None:
    return None


def _close(connection: socket.socket) -> None:
    connection.shutdown(socket.SHUT_RDWR)


def _send_garbage(connection: socket.socket) -> None:
    connection.sendall(b"\x00\xff garbage\r\n\r\n")
    connection.shutdown(socket.SHUT_RDWR)


def _cut_answer(connection: socket.socket) -> None:
    connection.sendall(raw_server.HEAD + raw_server.BODY[:5])
    connection.shutdown(socket.SHUT_RDWR)


async def _send(
    address: str, transfer_time: datetime.timedelta = 0 * _MS
) -> transport.Answer:
    client = transport.HttpClient(clock.SystemClock(), 4)
    try:
        return await client.send(
            transport.Call(
                "GET", address, "/", 300 * _MS, transfer_time=transfer_time
            )
        )
    finally:
        client.close()


def test_answer_that_arrived_while_the_process_was_late_is_used() -> None:
    """Guards against taking a server for silent because this process slept.

    The answer is in the socket before the timeout, and the event loop runs
    again only after it.
    """

    is_received = threading.Event()

    async def call_and_block(address: str) -> transport.Answer:
        sending = asyncio.create_task(_send(address))
        while not is_received.is_set():
            await asyncio.sleep(0.005)
        time.sleep(0.8)
        return await sending

    def answer_late(connection: socket.socket) -> None:
        is_received.set()
        time.sleep(0.15)
        raw_server.answer_at_once(connection)

    with raw_server.serve(answer_late) as address:
        answer = asyncio.run(call_and_block(address))
    assert answer == transport.Answer(200, raw_server.BODY)


def test_slow_answer_is_read_while_bytes_arrive() -> None:
    """Guards against giving up large answers on slow links each time."""
    with raw_server.serve(_answer_slowly) as address:
        answer = asyncio.run(_send(address, 3000 * _MS))
    assert answer == transport.Answer(200, raw_server.BODY)


@pytest.mark.parametrize(
    ("handle", "transfer_time", "max_seconds"),
    [
        (_answer_slowly, 0 * _MS, 0.6),
        (_stay_silent, 0 * _MS, 0.6),
        (_stay_silent, 3000 * _MS, 0.6),
        (_stall, 3000 * _MS, 1.9),
        (_close, 0 * _MS, 0.2),
        (_send_garbage, 0 * _MS, 0.2),
        (_cut_answer, 3000 * _MS, 0.2),
    ],
)
def test_call_without_a_complete_answer_is_lost_in_time(
    handle: raw_server.Handler,
    transfer_time: datetime.timedelta,
    max_seconds: float,
) -> None:
    """Guards against waiting long for an answer, and against part of one."""
    with raw_server.serve(handle) as address:
        began = time.monotonic()
        with pytest.raises(transport.CallLostError):
            asyncio.run(_send(address, transfer_time))
        assert time.monotonic() - began < max_seconds


@pytest.mark.parametrize(
    ("handle", "is_connected"),
    [
        (_stay_silent, True),
        (_stall, True),
        (_close, False),
        (_send_garbage, False),
        (_cut_answer, False),
    ],
)
def test_lost_call_tells_whether_the_server_takes_connections(
    handle: raw_server.Handler, is_connected: bool
) -> None:
    """Guards against taking a stopped process for one that has ended."""
    with raw_server.serve(handle) as address:
        with pytest.raises(transport.CallLostError) as raised:
            asyncio.run(_send(address))
    assert raised.value.is_connected is is_connected


def test_process_that_accepts_nothing_takes_connections() -> None:
    """Guards against a stopped process whose kernel takes connections."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with pytest.raises(transport.CallLostError) as raised:
            asyncio.run(_send(address))
    assert raised.value.is_connected


def test_silence_on_an_open_connection_tells_nothing() -> None:
    """Guards against taking a machine that was cut off for a stopped process.

    Its open connections take requests as long as nothing ends them.
    """
    answers = 0

    def handle(connection: socket.socket) -> None:
        nonlocal answers
        answers += 1
        if answers == 1:
            raw_server.answer_at_once(connection)

    async def send_both(address: str) -> bool:
        client = transport.HttpClient(clock.SystemClock(), 1)
        await client.send(transport.Call("GET", address, "/", 3000 * _MS))
        with pytest.raises(transport.CallLostError) as raised:
            await client.send(transport.Call("GET", address, "/", 300 * _MS))
        client.close()
        return raised.value.is_connected

    with raw_server.serve(handle) as address:
        assert not asyncio.run(send_both(address))


def test_refused_connection_means_that_nothing_was_sent() -> None:
    """Guards against taking a call for carried out that was never sent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    with pytest.raises(transport.CallNotSentError):
        asyncio.run(_send(f"127.0.0.1:{port}"))


def test_client_is_usable_after_a_call_that_was_lost() -> None:
    """Guards against a handle or connection that a lost call leaves behind."""
    is_silent = True

    def handle(connection: socket.socket) -> None:
        if not is_silent:
            raw_server.answer_at_once(connection)

    async def send_both(address: str) -> list[transport.Answer]:
        nonlocal is_silent
        client = transport.HttpClient(clock.SystemClock(), 1)
        call = transport.Call("GET", address, "/", 200 * _MS)
        with pytest.raises(transport.CallLostError):
            await client.send(call)
        is_silent = False
        # The server's threads may be late on a busy machine.
        sound = transport.Call("GET", address, "/", 3000 * _MS)
        answers = [await client.send(sound) for _ in range(3)]
        client.close()
        return answers

    with raw_server.serve(handle) as address:
        answers = asyncio.run(send_both(address))
    assert answers == [transport.Answer(200, raw_server.BODY)] * 3


def _serve_after(delays: list[float]) -> raw_server.Handler:
    """Answers the requests in turn after delays, in seconds."""
    remaining = iter(delays)

    def handle(connection: socket.socket) -> None:
        time.sleep(next(remaining))
        raw_server.answer_at_once(connection)

    return handle


def test_cancelled_call_frees_its_connection_for_the_next_one() -> None:
    """Guards against abandoned calls that use up the connections of a host.

    The second call waits for the only connection when the first is cancelled.
    """

    async def abandon_first(address: str) -> tuple[transport.Answer, float]:
        client = transport.HttpClient(clock.SystemClock(), 1)
        call = transport.Call("GET", address, "/", 3000 * _MS)
        first = asyncio.create_task(client.send(call))
        await asyncio.sleep(0.1)
        second = asyncio.create_task(client.send(call))
        await asyncio.sleep(0.1)
        first.cancel()
        began = time.monotonic()
        answer = await second
        elapsed = time.monotonic() - began
        assert first.cancelled()
        client.close()
        return answer, elapsed

    with raw_server.serve(_serve_after([2.5, 0.0])) as address:
        answer, elapsed = asyncio.run(abandon_first(address))
    assert answer == transport.Answer(200, raw_server.BODY) and elapsed < 0.5


def test_cancelled_call_gives_its_answer_to_no_other_call() -> None:
    """Guards against the late answer of an abandoned call in another's place.

    Calls are cancelled before they are sent, while they wait for a connection,
    while the server works, and when their answer has just arrived.
    """
    bodies = 0

    def handle(connection: socket.socket) -> None:
        nonlocal bodies
        time.sleep(0.02)
        bodies += 1
        body = b"%040d" % bodies
        connection.sendall(raw_server.HEAD + body)

    async def run(address: str) -> list[bytes]:
        client = transport.HttpClient(clock.SystemClock(), 2)
        call = transport.Call("GET", address, "/", 5000 * _MS)
        received = []
        for round_number in range(40):
            tasks = [asyncio.create_task(client.send(call)) for _ in range(4)]
            await asyncio.sleep(round_number % 10 * 0.003)
            for task in tasks[1:]:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            received.append(tasks[0].result().body)
        assert not client._transfers
        client.close()
        return received

    with raw_server.serve(handle) as address:
        received = asyncio.run(run(address))
    assert len(set(received)) == 40 and received == sorted(received)


def test_call_on_a_new_connection_avoids_a_dead_one() -> None:
    """Guards against a second attempt that waits on a dead connection too.

    All open connections stop answering; new ones work.
    """
    is_dead = threading.Event()
    old: set[int] = set()

    def handle(connection: socket.socket) -> None:
        if not is_dead.is_set():
            old.add(connection.fileno())
        if is_dead.is_set() and connection.fileno() in old:
            return
        time.sleep(0.05)
        raw_server.answer_at_once(connection)

    async def run(address: str) -> float:
        client = transport.HttpClient(clock.SystemClock(), 8)
        call = transport.Call("GET", address, "/", 1000 * _MS)
        await asyncio.gather(*(client.send(call) for _ in range(3)))
        is_dead.set()
        first = asyncio.create_task(client.send(call))
        await asyncio.sleep(0.1)
        began = time.monotonic()
        hedge = transport.Call(
            "GET", address, "/", 1000 * _MS, needs_new_connection=True
        )
        assert await client.send(hedge) == transport.Answer(
            200, raw_server.BODY
        )
        elapsed = time.monotonic() - began
        assert not first.done()
        first.cancel()
        client.close()
        return elapsed

    with raw_server.serve(handle) as address:
        assert asyncio.run(run(address)) < 0.5


@pytest.mark.parametrize(
    ("address", "header"),
    [
        ("127.0.0.1:\u0669", "i"),
        ("\ud800:9", "i"),
        ("127.0.0.1:9\0", "i"),
        ("127.0.0.1:9\n", "i"),
        ("127.0.0.1:99999", "i"),
        ("127.0.0.1:0", "i"),
        (":9", "i"),
        ("", "i"),
        ("[:9", "i"),
        ("{host}", "i-\xe9"),
        ("{host}", "i-\ud800"),
        ("{host}", "i\0"),
        ("{host}", "i\r\nX-Fencing-Token: 9"),
        ("{host}", "i\nX-Fencing-Token: 9"),
    ],
)
def test_call_that_cannot_be_written_is_not_sent(
    address: str, header: str
) -> None:
    """Guards against an error of libcurl that ends the caller's task.

    The client is used again, as its handle may be.
    """
    requests: list[bytes] = []

    async def simulate(server: str) -> None:
        client = transport.HttpClient(clock.SystemClock(), 2)
        call = transport.Call(
            "POST",
            address.format(host=server),
            "/",
            800 * _MS,
            b"{}",
            (f"X-Expect-Instance: {header}",),
        )
        try:
            with pytest.raises(transport.CallNotSentError):
                await client.send(call)
            sound = transport.Call("GET", server, "/", 800 * _MS)
            assert (await client.send(sound)).status == 200
        finally:
            client.close()

    def answer(connection: socket.socket) -> None:
        requests.append(b"")
        raw_server.answer_at_once(connection)

    with raw_server.serve(answer) as server:
        asyncio.run(simulate(server))
    assert len(requests) == 1


@pytest.mark.parametrize("calls", [10, 400])
def test_handles_of_many_calls_are_used_again(
    monkeypatch: pytest.MonkeyPatch, calls: int
) -> None:
    """Guards against a new handle for each call to a large fleet."""
    made = []
    make = _client._make_handle

    def count() -> pycurl.Curl:
        made.append(True)
        return make()

    monkeypatch.setattr(_client, "_make_handle", count)

    async def call_in_rounds(address: str) -> None:
        client = transport.HttpClient(clock.SystemClock(), 20)
        call = transport.Call("GET", address, "/", 10_000 * _MS)
        try:
            for _ in range(3):
                await asyncio.gather(
                    *(client.send(call) for _ in range(calls))
                )
        finally:
            client.close()

    with raw_server.serve(raw_server.answer_at_once) as address:
        asyncio.run(call_in_rounds(address))
    assert len(made) == calls
