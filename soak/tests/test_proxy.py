"""The loopback proxy, between a client and a server that echoes."""

import asyncio
import contextlib

import pytest

from soak import _faults
from soak import _proxy

_LONG_S = 0.4
_TIMEOUT_S = 5.0


class _Echo:
    """Server that answers each line with the same line.

    Attributes:
        received: Lines received so far.
    """

    def __init__(self) -> None:
        self.received: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                self.received.append(line)
                writer.write(line)
        writer.close()


async def _play(
    fault: _faults.LinkFault,
) -> tuple[list[bytes], bytes | None, list[bytes], bytes | None]:
    """Sends a line before, and one during a fault.

    Returns:
        What the server had received and the client was answered during the
        fault (None for nothing), and the same after it.
    """
    echo = _Echo()
    server = await asyncio.start_server(echo.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    proxy = _proxy.Proxy(f"127.0.0.1:{port}")
    await proxy.open()
    host, _, proxy_port = proxy.address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(proxy_port))

    async def read(timeout_s: float) -> bytes | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await reader.readline()
        except TimeoutError:
            return None
        except ConnectionError:
            return b"reset"

    try:
        writer.write(b"1\n")
        assert await read(_TIMEOUT_S) == b"1\n"
        echo.received.clear()
        proxy.add_fault(fault)
        writer.write(b"2\n")
        answer = await read(_LONG_S)
        received = list(echo.received)
        proxy.remove_fault(fault)
        later = await read(_LONG_S)
        return received, answer, echo.received, later
    finally:
        writer.close()
        await proxy.close()
        server.close()


@pytest.mark.parametrize(
    ("fault", "received", "answer", "received_later", "later"),
    [
        (_faults.LinkFault.CUT_REQUESTS, [], None, [b"2\n"], b"2\n"),
        (_faults.LinkFault.CUT_ANSWERS, [b"2\n"], None, [b"2\n"], b"2\n"),
        (_faults.LinkFault.DROP, [], None, [], None),
        (_faults.LinkFault.RESET, [], b"reset", [], b"reset"),
    ],
)
def test_faults_of_a_link(
    fault: _faults.LinkFault,
    received: list[bytes],
    answer: bytes | None,
    received_later: list[bytes],
    later: bytes | None,
) -> None:
    """Guards against faults that act in the wrong direction, or not."""
    assert asyncio.run(_play(fault)) == (
        received,
        answer,
        received_later,
        later,
    )
