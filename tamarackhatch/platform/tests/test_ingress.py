"""Tests of the answers to callers over the platform's interface."""

import asyncio
import datetime
import os
import typing

import orjson
import pytest
from tornado import httputil

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records

_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_QUEUE = model.Queue("q", "h.example", "/p/", "office")
_JOB_PATH = "/p/00000000000000aa"
_JOB_BODY = orjson.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 1}]})


class _FixedService:
    """Answers every call with one outcome."""

    def __init__(
        self, outcome: model.Outcome, lookup: model.QueueLookup
    ) -> None:
        self._outcome = outcome
        self._lookup = lookup

    async def find_queue(
        self, host: str, path: str, timeout: object
    ) -> model.QueueLookup:
        return self._lookup

    async def submit(self, job: model.Job, timeout: object) -> model.JobLookup:
        records.check_job_size(job)
        if self._outcome is model.Outcome.REFUSED:
            retry_after = datetime.timedelta(milliseconds=6001)
            return model.JobLookup(self._outcome, retry_after=retry_after)
        return model.JobLookup(self._outcome)

    async def cancel(
        self, identifier: str, queue: object, timeout: object
    ) -> model.Outcome:
        return self._outcome

    async def get_state(
        self, identifier: str, queue: object, timeout: object
    ) -> model.JobLookup:
        if self._outcome is model.Outcome.DONE:
            return model.JobLookup(self._outcome, model.JobState.RUNNING)
        return model.JobLookup(self._outcome)

    async def count_pending(self, queue: object) -> int | None:
        return 3 if self._outcome is model.Outcome.DONE else None


class _RecordingConnection:
    """Records the response that the ingress writes."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.body = b""

    def write_headers(
        self,
        line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        self.status, self.headers, self.body = line.code, headers, body

    def finish(self) -> None:
        return None


def _send_request(
    method: str,
    path: str,
    outcome: model.Outcome = model.Outcome.DONE,
    lookup: model.QueueLookup = model.QueueLookup(model.Outcome.DONE, _QUEUE),
    body: bytes = b"",
) -> _RecordingConnection:
    connection = _RecordingConnection()
    request = httputil.HTTPServerRequest(
        start_line=httputil.RequestStartLine(method, path, "HTTP/1.1"),
        headers=httputil.HTTPHeaders({"Host": "h.example:80"}),
        body=body,
        connection=typing.cast(typing.Any, connection),
    )

    async def serve() -> None:
        service = typing.cast(typing.Any, _FixedService(outcome, lookup))
        sink = observability.LineSink(
            os.open(os.devnull, os.O_WRONLY), clock.SystemClock(), 1
        )
        log = observability.Log(
            sink, clock.SystemClock(), observability.LevelFilter()
        )
        ingress = platform.Ingress(service, lambda: _NOW, log)
        ingress.handle_request(request)
        while ingress.in_flight:
            await asyncio.sleep(0)

    asyncio.run(serve())
    return connection


@pytest.mark.parametrize(
    ("method", "outcome", "status"),
    [
        ("POST", model.Outcome.DONE, 200),
        ("POST", model.Outcome.NOT_DONE, 503),
        ("POST", model.Outcome.UNKNOWN, 504),
        ("POST", model.Outcome.REFUSED, 429),
        ("GET", model.Outcome.DONE, 200),
        ("GET", model.Outcome.NO_JOB, 410),
        ("GET", model.Outcome.NOT_DONE, 503),
        ("DELETE", model.Outcome.DONE, 200),
        ("DELETE", model.Outcome.NO_JOB, 410),
        ("DELETE", model.Outcome.UNKNOWN, 504),
        ("PATCH", model.Outcome.DONE, 405),
    ],
)
def test_status_matches_the_outcome(
    method: str, outcome: model.Outcome, status: int
) -> None:
    """Guards against a 503 for a request that may have been carried out."""
    answer = _send_request(method, _JOB_PATH, outcome, body=_JOB_BODY)
    assert answer.status == status
    assert ("Retry-After" in answer.headers) is (status in (429, 503))


def test_refused_caller_is_told_when_to_return() -> None:
    """Guards against callers that all return after a second."""
    answer = _send_request(
        "POST", _JOB_PATH, model.Outcome.REFUSED, body=_JOB_BODY
    )
    assert answer.headers["Retry-After"] == "7"
    assert answer.body == b'{"error":"cannot be served in time"}'
    assert "Connection" not in answer.headers


@pytest.mark.parametrize(
    ("method", "outcome", "status"),
    [
        ("POST", model.Outcome.NO_QUEUE, 404),
        ("POST", model.Outcome.NOT_DONE, 503),
        ("POST", model.Outcome.UNKNOWN, 504),
        ("DELETE", model.Outcome.UNKNOWN, 504),
        ("GET", model.Outcome.UNKNOWN, 503),
    ],
)
def test_unknown_queue_and_missing_configuration_have_different_statuses(
    method: str, outcome: model.Outcome, status: int
) -> None:
    """Guards against answers 404 and 503 that may be untrue."""
    answer = _send_request(
        method, _JOB_PATH, lookup=model.QueueLookup(outcome)
    )
    assert answer.status == status


@pytest.mark.parametrize(
    ("path", "body", "status", "text"),
    [
        ("/p/", b"", 200, b'{"pending":3}'),
        ("/p/short", b"", 404, b"16 hexadecimal digits"),
        (_JOB_PATH, b"", 200, b'{"state":"running"}'),
    ],
)
def test_answer_bodies_have_the_published_form(
    path: str, body: bytes, status: int, text: bytes
) -> None:
    """Guards against bodies that do not have the published form."""
    answer = _send_request("GET", path, body=body)
    assert answer.status == status and text in answer.body


def test_job_of_too_many_steps_is_rejected_before_they_are_read() -> None:
    """Guards against bodies that take a tenth of a second to read."""
    body = orjson.dumps({"spec": "x", "steps": [{"count": 0}] * 1601})
    answer = _send_request("POST", _JOB_PATH, body=body)
    assert answer.status == 400
    assert b"a job has more than 1600 steps" in answer.body


def test_malformed_job_is_rejected_with_a_reason() -> None:
    """Guards against a failure of the instance on a malformed job."""
    answer = _send_request("POST", _JOB_PATH, body=b'{"steps": 5}')
    assert answer.status == 400 and b"steps is not a list" in answer.body


@pytest.mark.parametrize(("steps", "status"), [(300, 200), (900, 400)])
def test_job_that_cannot_be_stored_is_rejected_with_its_size(
    steps: int, status: int
) -> None:
    """Guards against a job that is neither stored nor refused."""
    step = {"count": 1, "cpu": 1, "image": "x" * 40}
    body = orjson.dumps({"spec": "x", "steps": [step] * steps})
    answer = _send_request("POST", _JOB_PATH, body=body)
    assert answer.status == status
    if status == 400:
        assert b"of which a row holds 48000" in answer.body
