"""Tests of the callers' interface over real connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import json
import typing

import attrs
import pytest

from tamarackhatch import api
from tamarackhatch import clock
from tamarackhatch import declarations
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch import testing

_LIMITS = api.CallerLimits(
    max_header=2000, max_requests=2, max_watches=1, max_buffered=500
)
_POLICY = declarations.ServicePolicy(max_body=100)
_JOB = {
    "job": "j1",
    "team": "t1",
    "kind": "k1",
    "task_count": 2,
    "resources": {"processors": 100, "memory_mb": 10},
    "command": "run",
    "expected_duration": 1.5,
}


@attrs.define
class _Backend:
    """Router and job service that tests control."""

    answer: model.ServiceAnswer = model.ServiceAnswer(
        model.Outcome.ANSWERED, 200, (("X-A", "1"), ("X-A", "2")), b"done"
    )
    error: Exception | None = None
    is_leaving: bool = False
    blocked: asyncio.Event = attrs.field(factory=asyncio.Event)
    requests: list[model.ServiceRequest] = attrs.field(factory=list)
    cancelled: int = 0
    finished: int = 0
    jobs: dict[str, model.Job] = attrs.field(factory=dict)

    async def route_request(
        self, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        self.requests.append(request)
        try:
            if request.path.startswith("block"):
                await self.blocked.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        self.finished += 1
        if self.error is not None:
            raise self.error
        return self.answer

    async def submit_job(self, spec: model.JobSpec) -> None:
        if self.error is not None:
            raise self.error
        self.jobs[spec.job] = model.Job(spec, model.JobState.ACTIVE, ())

    async def get_job(self, job: str) -> model.Job | None:
        return self.jobs.get(job)

    async def cancel_job(self, job: str) -> None:
        if self.error is not None:
            raise self.error


class _Caller:
    """Speaks plain HTTP, as tests need broken requests too."""

    def __init__(self, port: int) -> None:
        self._port = port

    async def connect(
        self, text: str, body: bytes = b""
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        line, *headers = text.split("\n")
        lines = [line + " HTTP/1.1", "Host: x", *headers, "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        return reader, writer

    async def read(
        self, reader: asyncio.StreamReader
    ) -> tuple[int, str, bytes]:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = 0
        for line in head.split("\r\n"):
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        return int(head.split()[1]), head, await reader.readexactly(length)

    async def ask(
        self, text: str, body: bytes | None = None
    ) -> tuple[int, str, bytes]:
        if body is not None:
            text += f"\nContent-Length: {len(body)}"
        reader, writer = await self.connect(text, body or b"")
        try:
            return await asyncio.wait_for(self.read(reader), 5)
        finally:
            writer.close()


_Test: typing.TypeAlias = Callable[[_Backend, _Caller], Awaitable[None]]


def _run(test: _Test, limits: api.CallerLimits = _LIMITS) -> None:
    async def run() -> None:
        backend = _Backend()
        application = api.build_caller_application(
            clock.SystemClock(),
            testing.FixedConfiguration(service=_POLICY),
            backend,
            backend,
            lambda: backend.is_leaving,
            limits,
        )
        server = api.build_caller_server(application, limits)
        server.listen(0, "127.0.0.1")
        sockets = list(server._sockets.values())
        try:
            await test(backend, _Caller(sockets[0].getsockname()[1]))
        finally:
            backend.blocked.set()
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


_URL = "/v1/services/s/x/y?q=1%202"
_ID = "\nRequest-Id: r1"


@pytest.mark.parametrize(
    ("text", "body", "status", "code", "words"),
    [
        ("GET " + _URL, None, 200, None, ""),
        ("HEAD " + _URL, None, 200, None, ""),
        ("POST " + _URL + _ID, b"abc", 200, None, ""),
        ("POST " + _URL, b"abc", 400, "TH301", "Request-Id"),
        ("GET " + _URL + "\nRequest-Id: a b", None, 400, "TH301", "letters"),
        ("GET " + _URL + _ID + _ID, None, 400, "TH301", "2 times"),
        (
            "GET " + _URL + "\nRequest-Timeout-Ms: -1\nRequest-Watch: maybe",
            None,
            400,
            "TH301",
            "yes or no; Request-Timeout-Ms",
        ),
        (
            "POST " + _URL + _ID + "\nRequest-Watch: yes",
            b"",
            400,
            "TH301",
            "a watch must be repeatable",
        ),
        ("POST " + _URL + _ID, b"x" * 101, 413, "TH302", "100 bytes"),
        ("POST " + _URL + _ID, b"x" * 900_000, 413, "TH302", "100 bytes"),
        ("GET " + _URL, b"x", 413, "TH302", "0 bytes"),
        ("GET " + _URL + "\nX: " + "x" * 3000, None, 431, "TH301", "header"),
        ("GET /v1/services/a%20b/x", None, 404, "TH301", "no such path"),
        ("POST /v2", b"abc", 404, "TH301", "no such path"),
        ("PUT /v1/jobs", b"", 405, "TH301", "Not Allowed"),
    ],
)
def test_requests_and_refusals(
    text: str, body: bytes | None, status: int, code: str | None, words: str
) -> None:
    """Guards against refusals without code, outcome or reason."""

    async def test(backend: _Backend, caller: _Caller) -> None:
        if text.startswith("HEAD"):
            backend.answer = attrs.evolve(backend.answer, body=b"")
        found, head, answer = await caller.ask(text, body)
        assert found == status
        if code is None:
            assert "Tamarackhatch-Outcome: answered" in head
            assert "X-A: 1" in head and "X-A: 2" in head
            (request,) = backend.requests
            assert f"Request-Id: {request.request_id}" in head
            assert request.path == "x/y?q=1%202"
            assert request.is_repeatable is (body is None)
            assert request.body == (body or b"")
            assert not {"host", "request-id", "content-length"} & {
                name.lower() for name, _ in request.headers
            }
        else:
            assert not backend.requests
            content = json.loads(answer)
            assert "Tamarackhatch-Outcome: not-run" in head
            assert (content["outcome"], content["code"]) == ("not-run", code)
            assert words in content["reason"]

    _run(test)


def test_body_over_the_limit_is_refused_early() -> None:
    """Guards against reading all of an endless body before refusing it."""

    async def test(backend: _Backend, caller: _Caller) -> None:
        text = "POST " + _URL + _ID
        for header, body in (
            ("\nTransfer-Encoding: chunked", b"65\r\n" + b"x" * 0x65),
            ("\nContent-Length: 999999999", b""),
            ("\nContent-Length: 999\nExpect: 100-continue", b""),
        ):
            reader, writer = await caller.connect(text + header, body)
            status, _, _ = await asyncio.wait_for(caller.read(reader), 5)
            assert status == 413
            writer.close()

    _run(test)


def test_limits_on_concurrency_and_memory() -> None:
    """Guards against unbounded work, and against counts that leak."""

    async def test(backend: _Backend, caller: _Caller) -> None:
        block = "POST /v1/services/s/block"
        watch = "GET /v1/services/s/block\nRequest-Watch: yes"
        for _ in range(3):
            backend.blocked.clear()
            held = [
                asyncio.create_task(caller.ask(f"{block}{_ID}{n}", b"x" * 60))
                for n in range(2)
            ]
            held.append(asyncio.create_task(caller.ask(watch)))
            await asyncio.sleep(0.1)
            for text, body in ((block + _ID, b""), (watch, None)):
                status, head, answer = await caller.ask(text, body)
                assert (status, json.loads(answer)["code"]) == (503, "TH303")
                assert "Retry-After: 1" in head
            backend.blocked.set()
            for task in held:
                assert (await task)[0] == 200
            # A caller that leaves in the middle of its body frees its place.
            text = f"{block}{_ID}\nContent-Length: 90"
            for _ in range(8):
                _, writer = await caller.connect(text, b"x" * 80)
                await asyncio.sleep(0.02)
                writer.close()
                await asyncio.sleep(0.02)

    _run(test)


def test_limit_on_buffered_bodies() -> None:
    """Guards against running out of memory under many large bodies."""

    async def test(backend: _Backend, caller: _Caller) -> None:
        text = "POST /v1/services/s/block" + _ID
        held = asyncio.create_task(caller.ask(text, b"x" * 90))
        await asyncio.sleep(0.1)
        status, _, answer = await caller.ask(text, b"x" * 90)
        assert (status, json.loads(answer)["code"]) == (503, "TH303")
        backend.blocked.set()
        assert (await held)[0] == 200

    _run(test, attrs.evolve(_LIMITS, max_buffered=150))


@pytest.mark.parametrize("is_watch", [False, True])
def test_disconnect_cancels_only_watches(is_watch: bool) -> None:
    """Guards against renewals that are cut off when their caller leaves."""

    async def test(backend: _Backend, caller: _Caller) -> None:
        text = "POST /v1/services/s/block" + _ID
        if is_watch:
            text = "GET /v1/services/s/block\nRequest-Watch: yes"
        _, writer = await caller.connect(text + "\nContent-Length: 0")
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)
        assert backend.cancelled == (1 if is_watch else 0)
        backend.blocked.set()
        await asyncio.sleep(0.05)
        assert backend.finished == (0 if is_watch else 1)
        assert (await caller.ask("GET " + _URL))[0] == 200

    _run(test)


@pytest.mark.parametrize(
    ("answer", "status", "outcome", "retry"),
    [
        (
            model.ServiceAnswer(
                model.Outcome.NOT_RUN,
                503,
                code=errors.ErrorCode.NO_RUNNER,
                retry_after=datetime.timedelta(milliseconds=1100),
            ),
            503,
            "not-run",
            "2",
        ),
        (
            model.ServiceAnswer(
                model.Outcome.UNKNOWN,
                502,
                code=errors.ErrorCode.RUNNER_OUTCOME_UNKNOWN,
            ),
            502,
            "unknown",
            None,
        ),
        (
            model.ServiceAnswer(
                model.Outcome.ANSWERED, 200, (("X", "a\r\nB: c"),)
            ),
            502,
            "unknown",
            None,
        ),
        (
            model.ServiceAnswer(model.Outcome.ANSWERED, 204),
            204,
            "answered",
            None,
        ),
        (RuntimeError("injected"), 500, "unknown", None),
    ],
)
def test_outcomes(
    answer: model.ServiceAnswer | Exception,
    status: int,
    outcome: str,
    retry: str | None,
) -> None:
    """Guards against answers whose outcome header is wrong or missing."""

    async def test(backend: _Backend, caller: _Caller) -> None:
        if isinstance(answer, Exception):
            backend.error = answer
        else:
            backend.answer = answer
        found, head, _ = await caller.ask("GET " + _URL)
        assert found == status
        assert f"Tamarackhatch-Outcome: {outcome}" in head
        assert ("Retry-After" in head) is (retry is not None)
        if retry is not None:
            assert f"Retry-After: {retry}" in head

    _run(test)


@pytest.mark.parametrize(
    ("changes", "fields"),
    [
        ({}, []),
        ({"job": "a/b", "teem": 1}, ["teem", "job"]),
        ({"urgent": 1, "task_count": True}, ["task_count", "urgent"]),
        ({"task_count": 0, "command": None}, ["task_count", "command"]),
        ({"resources": []}, ["resources"]),
        (
            {"resources": {"processors": 0, "disk": 1}},
            [
                "resources.disk",
                "resources.processors",
                "resources.memory_mb",
            ],
        ),
        ({"expected_duration": -1}, ["expected_duration"]),
    ],
)
def test_job_bodies(changes: dict[str, object], fields: list[str]) -> None:
    """Guards against job faults that are reported one at a time."""

    async def test(backend: _Backend, caller: _Caller) -> None:
        body = json.dumps(_JOB | changes).encode()
        status, _, answer = await caller.ask("POST /v1/jobs", body)
        content = json.loads(answer)
        assert status == (400 if fields else 201)
        found = [item["field"] for item in content.get("findings", [])]
        assert found == fields
        assert bool(backend.jobs) is not bool(fields)
        if not fields:
            status, _, answer = await caller.ask("GET /v1/jobs/j1")
            assert json.loads(answer)["spec"]["expected_duration"] == 1.5

    _run(test)


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b'{"job": NaN}'])
def test_malformed_job_bodies(body: bytes) -> None:
    """Guards against an internal error on a body that is not JSON."""

    async def test(backend: _Backend, caller: _Caller) -> None:
        status, _, answer = await caller.ask("POST /v1/jobs", body)
        assert (status, json.loads(answer)["code"]) == (400, "TH401")

    _run(test)


@pytest.mark.parametrize(
    ("error", "status", "outcome"),
    [
        (platform.StoreUnavailableError("x"), 503, "not-run"),
        (platform.StoreOutcomeUnknownError("x"), 502, "unknown"),
        (
            errors.CodedError(errors.ErrorCode.INFEASIBLE_JOB, "x"),
            422,
            "not-run",
        ),
    ],
)
def test_job_refusals(error: Exception, status: int, outcome: str) -> None:
    """Guards against 201 for a job that is not in the store."""

    async def test(backend: _Backend, caller: _Caller) -> None:
        backend.error = error
        body = json.dumps(_JOB).encode()
        for text, sent in (
            ("POST /v1/jobs", body),
            ("DELETE /v1/jobs/j1", None),
        ):
            found, head, _ = await caller.ask(text, sent)
            assert found == status
            assert f"Tamarackhatch-Outcome: {outcome}" in head

    _run(test)


def test_health_tells_leaving() -> None:
    """Guards against new callers at an instance that is about to stop."""

    async def test(backend: _Backend, caller: _Caller) -> None:
        assert (await caller.ask("GET /v1/health"))[0] == 200
        backend.is_leaving = True
        assert (await caller.ask("GET /v1/health"))[0] == 503
        assert (await caller.ask("POST /v1/jobs", b"{}"))[0] == 503
        assert (await caller.ask("GET /v1/jobs/j9"))[0] == 404

    _run(test)
