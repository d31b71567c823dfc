"""Real processes whose clients keep to no limits.

Each crowd stays connected while an ordinary caller submits a job. No test
compares times, or counts how many of the crowd's requests are served.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import pathlib

import attrs
import orjson
import pytest

from standins import processes

_PREFIX = "/renewals/"
_INSTANCE = "entry-1"
_MEBIBYTE = 1024 * 1024
# The smallest machines of the deployments have 160 MB, of which a fifth is
# left for the state of a scheduler.
_MAX_RESIDENT_BYTES = 128 * _MEBIBYTE
# They have 4,100 descriptors. 200 are for files, 2,500 for runners, and 16
# for the store.
_MAX_DESCRIPTORS = 4100 - 200 - 2500 - 16
# Largest legal body; the default of the operator's configuration.
_MAX_BODY = 262_144
# Until then a process either has read what a crowd sends or has refused it.
_CROWD_TIMEOUT_S = 30.0
_ANSWER_TIMEOUT_S = 30.0
_PIECE = b"x" * 65_536
_JOB = {"spec": "renew", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256}]}


@attrs.frozen
class Crowd:
    """Connections that all send the same.

    Attributes:
        connections: Their number.
        size: Bytes that each sends after its header.
        head: The header, without the blank line that ends it.
        chunk: Bytes of each chunk of a chunked body; 0 for an announced one.
        is_whole: Whether each body is ended, so that it may be answered.
        address: Key of the settings with the address of the server.
        content: Content of an announced body, instead of one letter.
    """

    connections: int
    size: int
    head: bytes
    chunk: int = 0
    is_whole: bool = False
    address: str = "caller_address"
    content: bytes = b""


def _make_head(length: int | None, path: str = _PREFIX) -> bytes:
    """Returns the header of a submission; of a chunked one for None."""
    framing = b"Transfer-Encoding: chunked"
    if length is not None:
        framing = b"Content-Length: %d" % length
    return (
        b"POST %s00000000000000ff HTTP/1.1\r\nHost: %s\r\n"
        b"Content-Type: application/json\r\n%s\r\n"
        % (path.encode(), processes.HOST.encode(), framing)
    )


# A job of 5,000 steps, each without what it needs.
_LONG_JOB = b'{"queue":"a","steps":[%s{}]}' % (b'{"count":1},' * 4999)


def _make_interface_head() -> bytes:
    """Returns the header of a job for the own interface."""
    return (
        b"PUT /v1/jobs/00000000000000ff HTTP/1.1\r\nHost: a\r\n"
        b"Content-Length: %d\r\n" % len(_LONG_JOB)
    )


_ANNOUNCED = _make_head(_MAX_BODY)
_CHUNKED = _make_head(None)


def _iterate_pieces(crowd: Crowd) -> list[bytes]:
    """Returns what a connection sends after its header, in pieces."""
    if crowd.content:
        return [crowd.content]
    if not crowd.chunk:
        return [
            _PIECE[: crowd.size - sent]
            for sent in range(0, crowd.size, len(_PIECE))
        ]
    chunk = b"%x\r\n%s\r\n" % (crowd.chunk, _PIECE[: crowd.chunk])
    each = max(1, len(_PIECE) // len(chunk))
    count = crowd.size // crowd.chunk
    pieces = [
        chunk * min(each, count - sent) for sent in range(0, count, each)
    ]
    if crowd.is_whole:
        pieces.append(b"0\r\n\r\n")
    return pieces


async def _attack(
    crowd: Crowd, host: str, port: int, stack: contextlib.AsyncExitStack
) -> None:
    """Sends what one connection sends, unless the process closes it."""
    try:
        _, writer = await asyncio.open_connection(host, port)
        stack.callback(writer.close)
        if crowd.head:
            writer.write(crowd.head + b"\r\n")
        for piece in _iterate_pieces(crowd):
            writer.write(piece)
            await writer.drain()
    except OSError:
        # The process may refuse or close any of these connections.
        return


@contextlib.asynccontextmanager
async def _gather_crowd(
    crowd: Crowd, settings: dict[str, str]
) -> AsyncIterator[None]:
    """Connects a crowd, which stays connected, and lets it send."""
    host, port = settings[crowd.address].split(":")
    async with contextlib.AsyncExitStack() as stack:
        attacks = [
            asyncio.create_task(_attack(crowd, host, int(port), stack))
            for _ in range(crowd.connections)
        ]
        _, unfinished = await asyncio.wait(attacks, timeout=_CROWD_TIMEOUT_S)
        for attack in unfinished:
            # The process reads no more from it, and keeps it open.
            attack.cancel()
        await asyncio.gather(*attacks, return_exceptions=True)
        yield


def _read_peak_bytes(process: asyncio.subprocess.Process) -> int:
    """Returns the most resident memory that a process has had."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(
        line for line in status.splitlines() if line.startswith("VmHWM:")
    )
    return int(line.split()[1]) * 1024


def _count_descriptors(process: asyncio.subprocess.Process) -> int:
    return len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))


async def _face_crowd(folder: pathlib.Path, crowd: Crowd) -> None:
    fleet = processes.ProcessFleet(folder)
    try:
        fleet.publish_configuration(1, [_PREFIX])
        await fleet.start_instance(
            _INSTANCE, has_internal_address=True, has_interface=True
        )
        process = fleet.processes[_INSTANCE]
        settings = orjson.loads(fleet.settings_paths[_INSTANCE].read_bytes())
        async with _gather_crowd(crowd, settings):
            descriptors = _count_descriptors(process)
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                # The client sends it again after a refusal.
                await fleet.submit_job("00000000000000a1", _PREFIX, _JOB)
        assert process.returncode is None
        assert _read_peak_bytes(process) <= _MAX_RESIDENT_BYTES
        assert descriptors <= _MAX_DESCRIPTORS
    finally:
        await fleet.close()


@pytest.mark.parametrize(
    "crowd",
    [
        pytest.param(
            Crowd(400, _MAX_BODY - 1, _ANNOUNCED),
            id="legal-bodies-without-their-last-byte",
        ),
        pytest.param(
            Crowd(400, _MAX_BODY, _CHUNKED, chunk=32_768),
            id="legal-chunked-bodies-without-an-end",
        ),
        pytest.param(
            Crowd(400, _MAX_BODY, _CHUNKED, chunk=16),
            id="bodies-in-small-chunks-without-an-end",
        ),
        pytest.param(
            Crowd(60, 200_000, _CHUNKED, chunk=1),
            id="bodies-in-chunks-of-a-byte-without-an-end",
        ),
        pytest.param(
            Crowd(400, _MAX_BODY, _ANNOUNCED, is_whole=True),
            id="whole-legal-bodies",
        ),
        pytest.param(
            Crowd(10, 20 * _MEBIBYTE, _make_head(90 * _MEBIBYTE)),
            id="announced-bodies-over-the-limit",
        ),
        pytest.param(
            Crowd(10, 20 * _MEBIBYTE, _CHUNKED, chunk=65_536),
            id="chunked-bodies-over-the-limit",
        ),
        pytest.param(
            Crowd(
                10,
                20 * _MEBIBYTE,
                _make_head(90 * _MEBIBYTE, "/v1/jobs/"),
                address="interface_address",
            ),
            id="bodies-over-the-limit-for-the-own-interface",
        ),
        pytest.param(
            Crowd(
                10,
                20 * _MEBIBYTE,
                _make_head(90 * _MEBIBYTE, "/-/ready/"),
                address="readiness_address",
            ),
            id="bodies-over-the-limit-for-the-readiness-probe",
        ),
        pytest.param(
            Crowd(
                600,
                131_071,
                _make_head(131_072, "/-/jobs/"),
                address="internal_address",
            ),
            id="legal-bodies-for-other-instances-without-their-last-byte",
        ),
        pytest.param(
            Crowd(
                1600,
                0,
                b"GET /renewals/ HTTP/1.1\r\nX-Filling: " + b"x" * 60_000,
            ),
            id="headers-without-an-end",
        ),
        pytest.param(
            Crowd(
                4,
                len(_LONG_JOB),
                _make_interface_head(),
                is_whole=True,
                address="interface_address",
                content=_LONG_JOB,
            ),
            id="long-jobs-with-errors-for-the-own-interface",
        ),
        pytest.param(
            Crowd(1600, 0, b""),
            id="connections-without-a-request",
        ),
    ],
)
def test_crowd_ends_no_process_and_keeps_no_caller_from_an_answer(
    tmp_path: pathlib.Path, crowd: Crowd
) -> None:
    """Guards against memory and descriptors that clients use up."""
    asyncio.run(_face_crowd(tmp_path, crowd))
