"""The command ``where``: its calls, its errors and its exit codes."""

import asyncio
import collections
import pathlib
import socket
import sys
import typing

import orjson
import pytest
from tornado import httpserver
from tornado import httputil

_JOB = b"""{"queue": "renewals", // a comment
  "steps": [{"count": 2, "resources": {"processors": 1, "memory_mb": 1}}]}"""
_OPTIONS = (
    "--queue",
    "renewals",
    "--tasks",
    "2",
    "--processors",
    "500",
    "--memory-mb",
    "100",
)
_ANSWER: dict[str, typing.Any] = {
    "scheduler": "entry-2",
    "term": 4,
    "configuration": 7,
    "queue": "renewals",
    "service": "office",
    "priority": 0,
    "runners": 0,
    "objective": None,
    "earlier_work": {"steps": 0, "tasks": 0, "placed": 0, "first": []},
    "steps": [],
    "later_steps": [],
    "refusal": None,
    "remarks": [],
}
Reply = tuple[int, typing.Any]


class _Server:
    """Answers calls with given replies, and repeats the last one.

    Attributes:
        address: Its address.
        bodies: Bodies of the calls.
        replies: The replies.
    """

    def __init__(self, replies: list[Reply]) -> None:
        self.bodies: list[bytes] = []
        self.replies = collections.deque(replies)
        listening = socket.socket()
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        listening.setblocking(False)
        self.address = f"127.0.0.1:{listening.getsockname()[1]}"
        self.server = httpserver.HTTPServer(self._handle)
        self.server.add_sockets([listening])

    def _handle(self, request: httputil.HTTPServerRequest) -> None:
        self.bodies.append(request.body)
        status, document = self.replies[0]
        if len(self.replies) > 1:
            self.replies.popleft()
        body = (
            document if isinstance(document, bytes) else orjson.dumps(document)
        )
        connection = request.connection
        assert connection is not None
        connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, "-"),
            httputil.HTTPHeaders({"Content-Length": str(len(body))}),
            body,
        )
        connection.finish()


async def _run_command(*arguments: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tamarackhatch",
        "where",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await asyncio.wait_for(process.communicate(), 30)
    return process.returncode or 0, output.decode()


def _write_settings(folder: pathlib.Path, address: str | None) -> str:
    path = folder / "settings.jsonc"
    path.write_bytes(
        orjson.dumps(
            {
                "instance": "entry-1",
                "data_centre": "z",
                "caller_address": "127.0.0.1:1",
                "readiness_address": "127.0.0.1:2",
                "store_address": "127.0.0.1:3",
                "metrics_address": address,
            }
        )
    )
    return str(path)


def _redirect(address: str | None) -> Reply:
    return 409, {
        "code": "TH310",
        "error": f"the active scheduler is entry-2, at {address}",
        "scheduler": "entry-2",
        "metrics_address": address,
    }


def _fail(status: int, message: str) -> Reply:
    return status, {"code": "TH310", "error": message}


@pytest.mark.parametrize(
    ("replies", "code", "expected"),
    [
        pytest.param(
            [(200, _ANSWER)], 0, "Dry run at scheduler entry-2", id="answer"
        ),
        pytest.param(
            [_fail(503, "no active scheduler"), (200, _ANSWER)],
            0,
            "Dry run at scheduler entry-2",
            id="takeover",
        ),
        pytest.param(
            [_fail(429, "too much"), (200, _ANSWER)],
            0,
            "Dry run at scheduler entry-2",
            id="limit",
        ),
        pytest.param(
            [_fail(404, "has no queue 'renewals'")],
            1,
            "answered 404: has no queue 'renewals'",
            id="unknown queue",
        ),
        pytest.param(
            [_fail(503, "has not read a configuration yet")],
            1,
            "answered 503: has not read a configuration yet",
            id="no configuration",
        ),
        pytest.param(
            [_redirect(None)],
            1,
            "answered 409: the active scheduler is entry-2",
            id="scheduler without an address",
        ),
        pytest.param(
            [(200, b"tamarackhatch_requests_total 1\n")],
            1,
            "the instance runs a build without this command",
            id="instance of an earlier build",
        ),
        pytest.param(
            [(200, {"status": "up"})],
            1,
            "or the address belongs to another program",
            id="another program",
        ),
        pytest.param(
            [(400, {"error": "TH999 new", "findings": [{"code": "TH999"}]})],
            1,
            "answered 400: TH999 new",
            id="finding of a later build",
        ),
        pytest.param(
            [
                (
                    400,
                    {
                        "error": "",
                        "findings": [
                            {
                                "line": 2,
                                "column": 3,
                                "code": "TH102",
                                "message": "unknown key steps",
                            }
                        ],
                    },
                )
            ],
            2,
            "JOB.json:2:3: TH102 unknown key steps",
            id="job that only the scheduler finds faulty",
        ),
    ],
)
def test_answers_and_exit_codes(
    replies: list[Reply], code: int, expected: str, tmp_path: pathlib.Path
) -> None:
    """Guards against errors that operators cannot act on."""

    async def run() -> tuple[int, str, _Server]:
        server = _Server(replies)
        path = tmp_path / "JOB.json"
        path.write_bytes(_JOB)
        result = await _run_command(
            "--settings", _write_settings(tmp_path, server.address), str(path)
        )
        return *result, server

    actual_code, output, server = asyncio.run(run())
    assert (actual_code, expected in output) == (code, True), output
    assert server.bodies[0] == _JOB


def test_command_asks_the_scheduler_that_an_instance_names(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a command that works at one of the instances only."""

    async def run() -> tuple[int, str]:
        active = _Server([(200, _ANSWER)])
        standby = _Server([_redirect(active.address)])
        return await _run_command(
            "--settings",
            _write_settings(tmp_path, standby.address),
            *_OPTIONS,
            "--preferred-rack",
            "r1",
            "--output",
            "json",
        )

    code, output = asyncio.run(run())
    assert (code, orjson.loads(output)) == (0, _ANSWER)


@pytest.mark.parametrize(
    ("address", "expected"),
    [
        ("127.0.0.1:9", "no answer from 127.0.0.1:9"),
        # Not the address of a process: it must not be called.
        ("example.com:80", "answered 409"),
    ],
)
def test_scheduler_that_cannot_be_asked(
    address: str, expected: str, tmp_path: pathlib.Path
) -> None:
    """Guards against an endless or silent wait for a scheduler that is gone.

    Load: the link to the active scheduler is cut, or the row is damaged.
    """

    async def run() -> tuple[int, str]:
        standby = _Server([_redirect(address)])
        return await _run_command(
            "--settings",
            _write_settings(tmp_path, standby.address),
            *_OPTIONS,
        )

    code, output = asyncio.run(run())
    assert code == 1 and expected in output


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        ((), "missing: --queue, --tasks, --processors, --memory-mb"),
        (_OPTIONS[:4], "missing: --processors, --memory-mb"),
        (
            ("JOB.json", "--queue", "renewals"),
            "a job file is given, so that --queue must not be given",
        ),
        (("no such file",), "no such file:1:1: TH108 cannot read the file"),
        (
            ("--queue", "q", "--tasks", "0", *_OPTIONS[4:]),
            "command line:1:",
        ),
    ],
)
def test_faulty_options_and_files(
    arguments: tuple[str, ...], expected: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a question that is not the one that was meant."""
    path = _write_settings(tmp_path, "127.0.0.1:9")
    code, output = asyncio.run(_run_command("--settings", path, *arguments))
    assert code == 2 and expected in output


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b" " * 20_000 + _JOB, "JOB.json:1:1: TH302 the job has 20"),
        (
            _JOB.replace(b'"count": 2', b'"count": 2001'),
            "JOB.json:1:1: TH105 the job has 2001 tasks",
        ),
        (_JOB[:20], "JOB.json:1:21: TH101 unexpected end of file"),
    ],
)
def test_faulty_job_files(
    body: bytes, expected: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a faulty job that is sent to the scheduler."""
    path = tmp_path / "JOB.json"
    path.write_bytes(body)
    # Nobody listens there.
    settings = _write_settings(tmp_path, "127.0.0.1:9")
    code, output = asyncio.run(_run_command("--settings", settings, str(path)))
    assert code == 2 and expected in output


def test_settings_without_metrics_address(tmp_path: pathlib.Path) -> None:
    """Guards against an error that does not name the missing setting."""
    path = _write_settings(tmp_path, None)
    code, output = asyncio.run(_run_command("--settings", path, *_OPTIONS))
    assert code == 1 and f"{path}: metrics_address is not set" in output
