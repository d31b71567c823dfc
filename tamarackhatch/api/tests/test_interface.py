"""Tests of the answers of the project's own interface."""

import asyncio
import datetime
import threading
import typing

import orjson
import pytest
from tornado import httpclient
from tornado import httpserver
from tornado import testing

from tamarackhatch import api
from tamarackhatch.api import _job_document
from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import records

_BODY = orjson.dumps(
    {
        "queue": "q",
        "specification": "x",
        "steps": [{"count": 1, "resources": {"processors": 1}}],
    }
)
_QUEUE = model.Queue("q", "", "", "office")


class _FixedService:
    """Answers every submission with one result."""

    def __init__(self, lookup: model.JobLookup) -> None:
        self._lookup = lookup

    async def find_named_queue(
        self, name: str, timeout: object
    ) -> model.QueueLookup:
        return model.QueueLookup(model.Outcome.DONE, _QUEUE)

    async def submit(self, job: model.Job, timeout: object) -> model.JobLookup:
        records.check_job_size(job)
        return self._lookup


async def _put_job(
    lookup: model.JobLookup, body: bytes = _BODY
) -> httpclient.HTTPResponse:
    socket, port = testing.bind_unused_port()
    service = typing.cast(model.JobService, _FixedService(lookup))
    application = api.make_application(service, clock.SystemClock())
    server = httpserver.HTTPServer(application)
    server.add_socket(socket)
    try:
        return await httpclient.AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{port}/v1/jobs/00000000000000aa",
            method="PUT",
            body=body,
            raise_error=False,
        )
    finally:
        server.stop()


@pytest.mark.parametrize(
    ("outcome", "retry_after_s", "status", "header"),
    [
        (model.Outcome.DONE, None, 200, None),
        (model.Outcome.NOT_DONE, None, 503, "1"),
        (model.Outcome.UNKNOWN, None, 504, None),
        (model.Outcome.REFUSED, 5.2, 429, "6"),
        (model.Outcome.REFUSED, None, 429, "1"),
    ],
)
def test_answer_to_a_submission(
    outcome: model.Outcome,
    retry_after_s: float | None,
    status: int,
    header: str | None,
) -> None:
    """Guards against a refusal without the time after which to return."""
    retry_after = None
    if retry_after_s is not None:
        retry_after = datetime.timedelta(seconds=retry_after_s)
    lookup = model.JobLookup(outcome, retry_after=retry_after)
    response = asyncio.run(_put_job(lookup))
    assert response.code == status
    assert response.headers.get("Retry-After") == header
    assert orjson.loads(response.body) == {"outcome": outcome.value}


def test_job_that_cannot_be_stored_is_rejected_with_its_size() -> None:
    """Guards against a job that is neither stored nor refused."""
    step = {"count": 1, "resources": {"processors": 1}, "image": "x" * 40}
    document = {"queue": "q", "specification": "x", "steps": [step] * 900}
    lookup = model.JobLookup(model.Outcome.DONE)
    response = asyncio.run(_put_job(lookup, orjson.dumps(document)))
    assert response.code == 400
    assert b"of which a row holds 48000" in response.body


def test_long_document_does_not_stop_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a scheduler that waits until a document is read."""
    began, has_turned = threading.Event(), threading.Event()
    read_job = _job_document.read_job

    def read_slowly(body: bytes) -> api.JobDocument:
        began.set()
        assert has_turned.wait(10)
        return read_job(body)

    async def put_job() -> httpclient.HTTPResponse:
        asking = asyncio.create_task(
            _put_job(model.JobLookup(model.Outcome.DONE))
        )
        while not began.is_set():
            await asyncio.sleep(0.01)
        has_turned.set()
        return await asking

    monkeypatch.setattr(_job_document, "read_job", read_slowly)
    assert asyncio.run(put_job()).code == 200
