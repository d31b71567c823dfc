"""Proxy of the calls to one runner, which knows where each call ends.

A call that it holds back outlives the process of the runner.
"""

import asyncio
import contextlib
import enum
import random
import re
import socket

import attrs

from soak.rota import _calls
from standins import processes
from standins import runner

_HOST = "127.0.0.1"
_BACKLOG = 128
# A call that is carried out late gets no answer, or its connection breaks.
_BROKEN_SHARE = 0.5
_LENGTH_PATTERN = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)

Port = enum.Enum("Port", "OPEN DARK CLOSED")


@attrs.define
class Disturbances:
    """What happens to the calls of one runner.

    Attributes:
        late_share: Share of the calls that get no answer and are carried out
            seconds later.
        late_delays_s: Shortest and longest such delay, in seconds.
        delayed_share: Share of the answers that are delayed.
        answer_delays_s: Shortest and longest delay of these.
        holds_requests: Whether requests are held back for now.
        holds_answers: Whether answers are held back for now.
    """

    late_share: float = 0.0
    late_delays_s: tuple[float, float] = (2.0, 12.0)
    delayed_share: float = 0.0
    answer_delays_s: tuple[float, float] = (0.1, 4.0)
    holds_requests: bool = False
    holds_answers: bool = False


class CallProxy:
    """Passes calls on to the process that runs behind an address.

    Attributes:
        address: Address at which it listens, as ``host:port``.
        disturbances: What happens to the calls.
        starts: Start commands so far.
        late_calls: Other calls so far that were held back for seconds.
    """

    def __init__(self, source: random.Random) -> None:
        """Creates a proxy that listens once it is opened.

        Args:
            source: Source of random numbers.
        """
        (self._port,) = processes.get_free_ports(1)
        self.address = f"{_HOST}:{self._port}"
        self.disturbances = Disturbances()
        self.starts: list[_calls.Call] = []
        self.late_calls: list[_calls.Call] = []
        self._random = source
        self._loop = asyncio.get_running_loop()
        self._target = ("", 0)
        self._runner = ""
        self._highest_token = 0
        self._is_reached = False
        self._generation = 0
        # Generations of processes that have ended without a sign of it.
        self._silent_generations: set[int] = set()
        self._changed = asyncio.Event()
        self._listener = _bind(self._port)
        self._fillers: list[socket.socket] = []
        # Connections, with the process that they were opened to.
        self._tasks: dict[asyncio.Task[None], int] = {}
        self._late_tasks: set[asyncio.Task[None]] = set()

    def set_target(self, target: str, identifier: str) -> None:
        """Passes calls on to another process from now on.

        Calls on connections that were opened before do not reach it.

        Args:
            target: Its address, as ``host:port``.
            identifier: Identifier of its runner.
        """
        self._runner = identifier
        self._highest_token = 0
        self._is_reached = False
        host, _, port = target.partition(":")
        self._target = (host, int(port))

    def set_port(self, port: Port) -> None:
        """Accepts connections, ignores them, or refuses them."""
        if self._fillers:
            self._drop_waiting()
        self._loop.remove_reader(self._listener)
        if port is Port.CLOSED:
            # A socket that is bound and does not listen refuses connections.
            self._listener.close()
            self._listener = _bind(self._port)
            return
        if port is Port.OPEN:
            self._listener.listen(_BACKLOG)
            self._loop.add_reader(self._listener, self._accept)
            return
        # The kernel ignores connection requests while the queue is full.
        self._listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            with contextlib.suppress(BlockingIOError):
                filler.connect((_HOST, self._port))

    def _drop_waiting(self) -> None:
        """Resets the connections that wait in the accept queue."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        with contextlib.suppress(BlockingIOError):
            while True:
                connection, _ = self._listener.accept()
                connection.close()

    def cut(self, requests: bool, answers: bool) -> None:
        """Holds back requests and answers, or passes them on again."""
        self.disturbances.holds_requests = requests
        self.disturbances.holds_answers = answers
        self._changed.set()
        self._changed = asyncio.Event()
        self._break_old_connections()

    def break_connections(self, is_silent: bool) -> None:
        """Breaks all connections, as the end of the process does.

        Args:
            is_silent: Whether the machine has lost its power: clients learn of
                it when they next send something. Otherwise they do at once,
                or when the link is no longer cut.
        """
        if is_silent:
            self._silent_generations.add(self._generation)
        self._generation += 1
        self._break_old_connections()

    def _break_old_connections(self) -> None:
        if not self._is_cut:
            for task, generation in self._tasks.items():
                if (
                    generation != self._generation
                    and generation not in self._silent_generations
                ):
                    task.cancel()

    @property
    def _is_cut(self) -> bool:
        it = self.disturbances
        return it.holds_requests or it.holds_answers

    async def close(self) -> None:
        """Stops listening, and drops all calls."""
        self.set_port(Port.CLOSED)
        self.cut(False, False)
        # Clients need not notice any more that a process has ended.
        self._silent_generations.clear()
        tasks = [*self._tasks, *self._late_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            connection, _ = self._listener.accept()
            task = self._loop.create_task(self._serve(connection))
            self._tasks[task] = self._generation
            task.add_done_callback(self._tasks.pop)

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        generation = self._generation
        upstream: _Upstream | None = None
        try:
            while True:
                message = await _read_message(reader)
                late = self._random.random() < self.disturbances.late_share
                call = _calls.decode(message, self._loop.time())
                if call is not None and call.path == runner.START_PATH:
                    self.starts.append(call)
                if late:
                    self._hold_back(message, call)
                    if self._random.random() >= _BROKEN_SHARE:
                        await reader.read()
                    return
                while self.disturbances.holds_requests:
                    await self._changed.wait()
                if generation != self._generation:
                    # The next process knows nothing of the connection.
                    writer.transport.abort()
                    return
                if upstream is None:
                    upstream = await _Upstream.open(self._target)
                answer = await self._pass_on(upstream, message, call)
                disturbances = self.disturbances
                if self._random.random() < disturbances.delayed_share:
                    delays_s = disturbances.answer_delays_s
                    await asyncio.sleep(self._random.uniform(*delays_s))
                while self.disturbances.holds_answers:
                    await self._changed.wait()
                writer.write(answer)
        except (OSError, EOFError, asyncio.CancelledError):
            # Either side has ended, or the proxy breaks the connection.
            return
        finally:
            if upstream is not None:
                upstream.close()
            if generation in self._silent_generations:
                with contextlib.suppress(OSError, asyncio.CancelledError):
                    await reader.read(1)
            while self._is_cut:
                await self._changed.wait()
            writer.transport.abort()

    def _hold_back(self, message: bytes, call: _calls.Call | None) -> None:
        delay_s = self._random.uniform(*self.disturbances.late_delays_s)
        task = self._loop.create_task(self._carry_out(message, call, delay_s))
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)

    async def _carry_out(
        self, message: bytes, call: _calls.Call | None, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        while self.disturbances.holds_requests:
            await self._changed.wait()
        if call is not None:
            call.is_late = True
            if call.path != runner.START_PATH:
                self.late_calls.append(call)
        with contextlib.suppress(OSError, EOFError):
            upstream = await _Upstream.open(self._target)
            try:
                await self._pass_on(upstream, message, call)
            finally:
                upstream.close()

    async def _pass_on(
        self, upstream: "_Upstream", message: bytes, call: _calls.Call | None
    ) -> bytes:
        if call is not None:
            call.passed_on, call.runner = self._loop.time(), self._runner
            call.highest_token = self._highest_token
            call.is_first = not self._is_reached
            self._highest_token = max(self._highest_token, call.token)
        if call is None or not call.is_late:
            self._is_reached = True
        answer = await upstream.send(message)
        if call is not None:
            call.status = int(answer.split(b" ", 2)[1])
        return answer


def _bind(port: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((_HOST, port))
    listener.setblocking(False)
    return listener


class _Upstream:
    """A connection to the process of a runner."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, target: tuple[str, int]) -> "_Upstream":
        """Opens a connection."""
        return cls(*await asyncio.open_connection(*target))

    async def send(self, message: bytes) -> bytes:
        """Sends a call, and returns its answer."""
        self._writer.write(message)
        return await _read_message(self._reader)

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


async def _read_message(reader: asyncio.StreamReader) -> bytes:
    """Reads a request or an answer to its end.

    Raises:
        EOFError: The connection has ended.
    """
    head = await reader.readuntil(_calls.HEAD_END)
    match = _LENGTH_PATTERN.search(head)
    length = int(match.group(1)) if match is not None else 0
    return head + await reader.readexactly(length)
