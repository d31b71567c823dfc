"""Loopback proxy that disturbs the connections of one link."""

import asyncio
import enum
import socket
import struct

import attrs

from soak import _faults

_CHUNK_BYTES = 65_536
_DELAY_S = 0.15
# Makes the kernel send RST instead of FIN when the socket is closed.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _Direction(enum.Enum):
    REQUESTS = _faults.LinkFault.CUT_REQUESTS
    ANSWERS = _faults.LinkFault.CUT_ANSWERS


@attrs.define(eq=False)
class _Connection:
    """Both halves of a connection through the proxy.

    Attributes:
        writers: Towards the client, and towards the server.
        is_discarded: Whether its traffic is discarded for good. A link that
            dropped packets of a connection never resumes it within the
            time-outs of this system's callers.
    """

    writers: list[asyncio.StreamWriter]
    is_discarded: bool = False


class Proxy:
    """Passes connections on to one server, with the faults of a link."""

    def __init__(self, target: str) -> None:
        """Creates a proxy that does not listen yet.

        Args:
            target: ``host:port`` of the server.
        """
        self._target = target
        self._server: asyncio.Server | None = None
        self._faults: list[_faults.LinkFault] = []
        self._changed = asyncio.Event()
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address at which it listens, as ``host:port``."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def open(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, backlog=256
        )

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def add_fault(self, fault: _faults.LinkFault) -> None:
        """Begins a fault; faults of several kinds may overlap."""
        if fault is _faults.LinkFault.RESET:
            for connection in self._connections:
                _reset(connection)
            return
        self._faults.append(fault)
        if fault is _faults.LinkFault.DROP:
            for connection in self._connections:
                connection.is_discarded = True

    def remove_fault(self, fault: _faults.LinkFault) -> None:
        """Ends a fault."""
        if fault in self._faults:
            self._faults.remove(fault)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = _Connection(
            [writer], _faults.LinkFault.DROP in self._faults
        )
        self._connections.add(connection)
        try:
            await self._serve(reader, connection)
        except (OSError, asyncio.CancelledError):
            # The connection has ended, or the proxy is closed.
            return
        finally:
            self._tasks.discard(task)
            self._connections.discard(connection)
            for item in connection.writers:
                item.close()

    async def _serve(
        self, reader: asyncio.StreamReader, connection: _Connection
    ) -> None:
        host, _, port = self._target.partition(":")
        server_reader, server_writer = await asyncio.open_connection(
            host, int(port)
        )
        client_writer = connection.writers[0]
        connection.writers.append(server_writer)
        async with asyncio.TaskGroup() as group:
            for source, target, direction in (
                (reader, server_writer, _Direction.REQUESTS),
                (server_reader, client_writer, _Direction.ANSWERS),
            ):
                group.create_task(
                    self._pump(source, target, direction, connection)
                )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: _Direction,
        connection: _Connection,
    ) -> None:
        """Passes on what one side sends, and then its end."""
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if _faults.LinkFault.DELAY in self._faults:
                    await asyncio.sleep(_DELAY_S)
                while direction.value in self._faults:
                    await self._changed.wait()
                if not connection.is_discarded:
                    writer.write(data)
                    await writer.drain()
            while direction.value in self._faults:
                await self._changed.wait()
        except OSError:
            _reset(connection)
        writer.close()


def _reset(connection: _Connection) -> None:
    for writer in connection.writers:
        end = writer.get_extra_info("socket")
        if end is not None and end.fileno() >= 0:
            end.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        writer.transport.abort()
