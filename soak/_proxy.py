"""Loopback proxy that disturbs the connections of one link."""

import asyncio
from collections.abc import Iterator
import contextlib
import socket
import struct

import attrs

from soak import _faults

_CHUNK_BYTES = 65_536
_DELAY_S = 0.15
# Makes the kernel send RST instead of FIN when the socket is closed.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class _Connection:
    """Writers to both sides, and whether all traffic is discarded for good.

    A connection whose packets were dropped for seconds does not resume within
    the time-outs of its users.
    """

    writers: list[asyncio.StreamWriter]
    is_discarded: bool

    def reset(self) -> None:
        for writer in self.writers:
            end = writer.get_extra_info("socket")
            if end is not None and end.fileno() >= 0:
                option = (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                end.setsockopt(*option)
            writer.transport.abort()


class Proxy:
    """Passes connections on to one server, with the faults of a link."""

    def __init__(self, target: str) -> None:
        """Creates a proxy to ``host:port`` that does not listen yet."""
        self.address = ""
        self._target = target
        self._faults: list[_faults.LinkKind] = []
        self._changed = asyncio.Event()
        self._connections: set[_Connection] = set()
        self._exits = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Starts to listen at `address`."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self._exits.callback(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        await self._exits.aclose()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @contextlib.contextmanager
    def disturb(self, kind: _faults.LinkKind) -> Iterator[None]:
        """Applies a fault while the context lasts; kinds may overlap."""
        for connection in self._connections:
            if kind is _faults.LinkKind.RESET:
                connection.reset()
            elif kind is _faults.LinkKind.DROP:
                connection.is_discarded = True
        self._faults.append(kind)
        yield
        self._faults.remove(kind)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        is_discarded = _faults.LinkKind.DROP in self._faults
        connection = _Connection([writer], is_discarded)
        self._connections.add(connection)
        host, _, port = self._target.partition(":")
        try:
            answers, requests = await asyncio.open_connection(host, int(port))
            connection.writers.append(requests)
            cut = _faults.LinkKind.CUT_ANSWERS
            other = self._pump(answers, writer, cut, connection)
            cut = _faults.LinkKind.CUT_REQUESTS
            async with asyncio.TaskGroup() as group:
                group.create_task(other)
                await self._pump(reader, requests, cut, connection)
        except (OSError, asyncio.CancelledError):
            # The connection has ended, or the proxy is closed.
            return
        finally:
            self._tasks.discard(task)
            self._connections.discard(connection)
            for item in connection.writers:
                item.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: _faults.LinkKind,
        connection: _Connection,
    ) -> None:
        """Passes on what one side sends, and then its end."""
        try:
            data = b"-"
            while data:
                data = await reader.read(_CHUNK_BYTES)
                if _faults.LinkKind.DELAY in self._faults:
                    await asyncio.sleep(_DELAY_S)
                while cut in self._faults:
                    await self._changed.wait()
                if not connection.is_discarded:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            connection.reset()
        writer.close()
