"""The loopback proxy, between a client and a server that echoes."""

import asyncio
import contextlib

import pytest

from soak import _faults
from soak import _proxy

_SHORT_S = 0.4
_TIMEOUT_S = 5.0
_Observed = tuple[list[bytes], bytes | None]


async def _play(fault: _faults.LinkKind) -> tuple[_Observed, _Observed]:
    """Sends a line before a fault, and one during it.

    Returns what the server had received and the client was answered during
    the fault, and after it.
    """
    received: list[bytes] = []

    async def echo(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                received.append(line)
                writer.write(line)
        writer.close()

    async def read(timeout_s: float) -> bytes | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await reader.readline()
        except TimeoutError:
            return None
        except ConnectionError:
            return b"reset"

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    proxy = _proxy.Proxy(f"127.0.0.1:{port}")
    await proxy.open()
    reader, writer = await asyncio.open_connection(*proxy.address.split(":"))
    try:
        writer.write(b"1\n")
        assert await read(_TIMEOUT_S) == b"1\n"
        received.clear()
        with proxy.disturb(fault):
            writer.write(b"2\n")
            answer = await read(_SHORT_S)
            during = (list(received), answer)
        return during, (received, await read(_SHORT_S))
    finally:
        writer.close()
        await proxy.close()
        server.close()


@pytest.mark.parametrize(
    ("fault", "during", "after"),
    [
        (
            _faults.LinkKind.CUT_REQUESTS,
            ([], None),
            ([b"2\n"], b"2\n"),
        ),
        (
            _faults.LinkKind.CUT_ANSWERS,
            ([b"2\n"], None),
            ([b"2\n"], b"2\n"),
        ),
        (_faults.LinkKind.DROP, ([], None), ([], None)),
        (_faults.LinkKind.RESET, ([], b"reset"), ([], b"reset")),
    ],
)
def test_faults_of_a_link(
    fault: _faults.LinkKind, during: _Observed, after: _Observed
) -> None:
    """Guards against faults that act in the wrong direction, or not."""
    assert asyncio.run(_play(fault)) == (during, after)
