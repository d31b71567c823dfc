"""Servers on loopback for the tests of the clients."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import typing

import attrs
from tornado import httpserver

from standins import serving
from tamarackhatch import clock
from tamarackhatch import platform

_T = typing.TypeVar("_T")


class ScriptedServer:
    """Sends fixed bytes, or none, for each request; counts requests."""

    def __init__(self, answers: list[bytes | None]) -> None:
        self._answers = answers
        self._requests: list[bytes] = []

    @property
    def requests(self) -> list[bytes]:
        """Heads of the requests received."""
        return self._requests

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until an answer is None or cut off."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await reader.readexactly(int(line.split(b":")[1]))
                index = min(len(self._requests), len(self._answers) - 1)
                self._requests.append(head)
                answer = self._answers[index]
                if answer is None:
                    break
                writer.write(answer)
                if b"Connection: close" in answer:
                    break
        writer.close()


def build_answer(status: int, body: bytes, cut: int = 0) -> bytes:
    """Returns an answer; ``cut`` bytes of the body are left out."""
    head = f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\n"
    if cut:
        return (head + "Connection: close\r\n\r\n").encode() + body[:-cut]
    return (head + "\r\n").encode() + body


@attrs.frozen
class Loopback:
    """A pool and the address of one server."""

    pool: platform.HttpPool
    address: str


def run_with_server(
    server: httpserver.HTTPServer | ScriptedServer,
    scenario: Callable[[Loopback], Awaitable[_T]],
    **options: typing.Any,
) -> _T:
    """Runs a scenario against a server, and ends both."""

    async def run() -> _T:
        pool = platform.HttpPool(clock.SystemClock(), **options)
        if isinstance(server, ScriptedServer):
            listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
            port = listener.sockets[0].getsockname()[1]
        else:
            port = serving.listen(server, "127.0.0.1", 0)
        try:
            return await scenario(Loopback(pool, f"127.0.0.1:{port}"))
        finally:
            await pool.close()
            if isinstance(server, ScriptedServer):
                listener.close()
            else:
                server.stop()
                await server.close_all_connections()

    return asyncio.run(run())
