"""Tests the HTTP client against a raw TCP server in another thread."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import datetime
import os
import socket
import threading
import time

import pycurl
import pytest

from tamarackhatch import clock
from tamarackhatch import transport
from tamarackhatch.transport import _client

_MS = datetime.timedelta(milliseconds=1)
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"
_BODY = b"x" * 40

# Answers one request that was read from a connection.
Handler = Callable[[socket.socket], None]


@contextlib.contextmanager
def _serve(handle: Handler) -> Iterator[str]:
    """Serves each connection in a thread, and yields the server's address."""
    listener = socket.create_server(("127.0.0.1", 0))
    is_stopped = threading.Event()
    connections: list[socket.socket] = []

    def serve_connection(connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while connection.recv(65536):
                handle(connection)

    def accept() -> None:
        while not is_stopped.is_set():
            with contextlib.suppress(OSError):
                connection, _ = listener.accept()
                connections.append(connection)
                threading.Thread(
                    target=serve_connection, args=(connection,), daemon=True
                ).start()

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        is_stopped.set()
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for connection in connections:
            connection.close()
        thread.join(5)


def _answer_at_once(connection: socket.socket) -> None:
    connection.sendall(_HEAD + _BODY)


def _answer_slowly(connection: socket.socket) -> None:
    connection.sendall(_HEAD)
    for index in range(8):
        time.sleep(0.1)
        connection.sendall(_BODY[index * 5 : index * 5 + 5])


def _stall(connection: socket.socket) -> None:
    connection.sendall(_HEAD + _BODY[:5])


def _stay_silent(connection: socket.socket) -> None:
    return None


def _close(connection: socket.socket) -> None:
    connection.shutdown(socket.SHUT_RDWR)


def _send_garbage(connection: socket.socket) -> None:
    connection.sendall(b"\x00\xff garbage\r\n\r\n")
    connection.shutdown(socket.SHUT_RDWR)


def _cut_answer(connection: socket.socket) -> None:
    connection.sendall(_HEAD + _BODY[:5])
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
        _answer_at_once(connection)

    with _serve(answer_late) as address:
        answer = asyncio.run(call_and_block(address))
    assert answer == transport.Answer(200, _BODY)


def test_slow_answer_is_read_while_bytes_arrive() -> None:
    """Guards against giving up large answers on slow links each time."""
    with _serve(_answer_slowly) as address:
        answer = asyncio.run(_send(address, 3000 * _MS))
    assert answer == transport.Answer(200, _BODY)


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
    handle: Handler, transfer_time: datetime.timedelta, max_seconds: float
) -> None:
    """Guards against waiting long for an answer, and against part of one."""
    with _serve(handle) as address:
        began = time.monotonic()
        with pytest.raises(transport.CallLostError):
            asyncio.run(_send(address, transfer_time))
        assert time.monotonic() - began < max_seconds


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
            _answer_at_once(connection)

    async def send_both(address: str) -> list[transport.Answer]:
        nonlocal is_silent
        client = transport.HttpClient(clock.SystemClock(), 1)
        call = transport.Call("GET", address, "/", 200 * _MS)
        with pytest.raises(transport.CallLostError):
            await client.send(call)
        is_silent = False
        answers = [await client.send(call) for _ in range(3)]
        client.close()
        return answers

    with _serve(handle) as address:
        answers = asyncio.run(send_both(address))
    assert answers == [transport.Answer(200, _BODY)] * 3


def _serve_after(delays: list[float]) -> Handler:
    """Answers the requests in turn after delays, in seconds."""
    remaining = iter(delays)

    def handle(connection: socket.socket) -> None:
        time.sleep(next(remaining))
        _answer_at_once(connection)

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

    with _serve(_serve_after([2.5, 0.0])) as address:
        answer, elapsed = asyncio.run(abandon_first(address))
    assert answer == transport.Answer(200, _BODY) and elapsed < 0.5


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
        connection.sendall(_HEAD + body)

    async def run(address: str) -> list[bytes]:
        client = transport.HttpClient(clock.SystemClock(), 2)
        call = transport.Call("GET", address, "/", 1000 * _MS)
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

    with _serve(handle) as address:
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
        _answer_at_once(connection)

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
        assert await client.send(hedge) == transport.Answer(200, _BODY)
        elapsed = time.monotonic() - began
        assert not first.done()
        first.cancel()
        client.close()
        return elapsed

    with _serve(handle) as address:
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
        _answer_at_once(connection)

    with _serve(answer) as server:
        asyncio.run(simulate(server))
    assert len(requests) == 1


def test_closed_client_leaves_no_descriptor_open() -> None:
    """Guards against a leak of descriptors, and a second close that fails.

    The client has one idle connection, and one on which a call waits.
    """
    delays = iter([0.0, 1.0])

    def handle(connection: socket.socket) -> None:
        time.sleep(next(delays))
        _answer_at_once(connection)

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

    with _serve(handle) as address:
        opened, left = asyncio.run(run(address))
    assert opened > left and left <= 1


def test_idle_connection_that_the_server_closes_is_not_used_again() -> None:
    """Guards against events of closed descriptors, and against a lost call.

    The server closes each connection after its answer.
    """

    def handle(connection: socket.socket) -> None:
        _answer_at_once(connection)
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

    with _serve(handle) as address:
        answers, used = asyncio.run(run(address))
    # A descriptor that stays ready would keep the event loop busy.
    assert answers == [transport.Answer(200, _BODY)] * 10 and used < 0.1


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
