"""Answers of an instance to the question where a job would be placed."""

import asyncio
import datetime
import os
import typing

import attrs
import orjson
import pytest

from tamarackhatch import clock as clocks
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.server import _where
from tamarackhatch import where

_MS = datetime.timedelta(milliseconds=1)
_QUEUE = model.Queue("renewals", "office.example", "/renewals/", "office")
_CONFIGURATION = model.Configuration(7, (_QUEUE,))
_HEARTBEAT = records.LeaderHeartbeat("entry-2", "x", 4)
_ANSWER = where.Answer(
    "entry-1",
    4,
    7,
    "renewals",
    "office",
    0,
    0,
    None,
    where.EarlierWork(0, 0, 0, ()),
    (),
    (),
)


def _make_body(**changes: typing.Any) -> bytes:
    step = {"count": 1, "resources": {"processors": 1, "memory_mb": 1}}
    return orjson.dumps({"queue": "renewals", "steps": [step], **changes})


@attrs.define
class _Role:
    """Scheduler role with given answers."""

    is_active: bool = True
    is_scheduler_ready: bool = True
    term: int = 4
    active_scheduler: records.LeaderHeartbeat | None = None
    answer: where.Answer | None = _ANSWER
    jobs: list[model.Job] = attrs.field(factory=list)

    def try_placement(
        self, job: model.Job, configuration: int
    ) -> where.Answer | None:
        self.jobs.append(job)
        return self.answer


@attrs.define
class _Queues:
    """Queues of a configuration, which may not be readable."""

    configuration: model.Configuration | None = _CONFIGURATION
    is_store_up: bool = True

    async def find_named_queue(
        self, name: str, timeout: datetime.timedelta
    ) -> model.QueueLookup:
        found = self.configuration and self.configuration.get_queue(name)
        if found:
            return model.QueueLookup(model.Outcome.DONE, found)
        if not self.is_store_up:
            return model.QueueLookup(model.Outcome.UNKNOWN)
        return model.QueueLookup(model.Outcome.NO_QUEUE)


@attrs.define
class _Clock:
    """Clock that is set by hand.

    Attributes:
        now: Monotonic time.
        step: Time that passes between two readings.
    """

    now: datetime.timedelta = 1000 * _MS
    step: datetime.timedelta = datetime.timedelta()

    def get_monotonic(self) -> datetime.timedelta:
        self.now += self.step
        return self.now

    def get_utc(self) -> datetime.datetime:
        return datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


def _make_handler(
    role: _Role, queues: _Queues, clock: _Clock | None = None
) -> _where.WhereHandler:
    time_source = typing.cast(typing.Any, clock or _Clock())
    # The readings of the log must not advance the handler's clock.
    sink = observability.LineSink(
        os.open(os.devnull, os.O_WRONLY), clocks.SystemClock(), 100
    )
    log = observability.Log(
        sink, time_source, observability.LevelFilter(), "where"
    )
    return _where.WhereHandler(
        role, queues, queues, time_source, log, observability.Metrics()
    )


_STANDBY = _Role(is_active=False, is_scheduler_ready=False)


@pytest.mark.parametrize(
    ("role", "queues", "method", "body", "status", "text"),
    [
        pytest.param(
            _Role(), _Queues(), "GET", b"", 405, "use POST", id="method"
        ),
        pytest.param(
            _Role(),
            _Queues(),
            "POST",
            bytes(where.MAX_BODY_BYTES + 1),
            413,
            "the job has 16385 bytes, and at most 16384 are accepted",
            id="too large",
        ),
        pytest.param(
            _STANDBY,
            _Queues(),
            "POST",
            _make_body(),
            503,
            "no active scheduler is known at present",
            id="no scheduler",
        ),
        pytest.param(
            attrs.evolve(_STANDBY, active_scheduler=_HEARTBEAT),
            _Queues(),
            "POST",
            _make_body(),
            409,
            "the active scheduler is entry-2, and its heartbeat names no "
            "metrics address: it has none, or runs an earlier build",
            id="scheduler of an earlier build",
        ),
        pytest.param(
            attrs.evolve(
                _STANDBY,
                active_scheduler=attrs.evolve(
                    _HEARTBEAT, metrics_address="10.0.0.2:9100"
                ),
            ),
            _Queues(),
            "POST",
            _make_body(),
            409,
            "the active scheduler is entry-2, at 10.0.0.2:9100",
            id="scheduler elsewhere",
        ),
        pytest.param(
            _Role(is_scheduler_ready=False),
            _Queues(),
            "POST",
            _make_body(),
            503,
            "still reads jobs and runners",
            id="takeover",
        ),
        pytest.param(
            _Role(),
            _Queues(configuration=None),
            "POST",
            _make_body(),
            503,
            "has not read a configuration yet",
            id="no configuration",
        ),
        pytest.param(
            _Role(),
            _Queues(),
            "POST",
            _make_body(queue="nope"),
            404,
            "version 7 of the configuration has no queue 'nope'",
            id="unknown queue",
        ),
        pytest.param(
            _Role(),
            _Queues(is_store_up=False),
            "POST",
            _make_body(queue="nope"),
            503,
            "cannot be read from the store at present",
            id="unknown queue while the store is down",
        ),
        pytest.param(
            _Role(answer=None),
            _Queues(),
            "POST",
            _make_body(),
            503,
            "no active scheduler is known at present",
            id="term ends meanwhile",
        ),
        pytest.param(
            _Role(), _Queues(), "POST", _make_body(), 200, None, id="answer"
        ),
    ],
)
def test_status_and_reason(
    role: _Role,
    queues: _Queues,
    method: str,
    body: bytes,
    status: int,
    text: str | None,
) -> None:
    """Guards against an operator who does not learn what is wrong."""
    handler = _make_handler(role, queues)
    reply = asyncio.run(handler.answer(method, body))
    assert reply.status == status
    if text is None:
        assert reply.document == where.write_answer(_ANSWER)
    else:
        assert text in reply.document["error"]
        assert reply.document["code"].startswith("TH")
    if status == 409:
        assert reply.document["scheduler"] == "entry-2"
        assert reply.document["metrics_address"] in (None, "10.0.0.2:9100")


def test_invalid_job_is_answered_with_all_findings() -> None:
    """Guards against faults that are found one call after the other."""
    body = b'{"queue": "renewals",\n "queues": 1,\n "steps": [{"count": 0}]}'
    handler = _make_handler(_Role(), _Queues())
    reply = asyncio.run(handler.answer("POST", body))
    assert reply.status == 400
    assert [
        (item["line"], item["column"], item["code"], item["message"])
        for item in reply.document["findings"]
    ] == [
        (
            2,
            2,
            "TH102",
            "unknown key queues; the nearest known key is queue",
        ),
        (3, 12, "TH103", "steps[0].resources is missing"),
        (3, 22, "TH105", "steps[0].count must be from 1 to 20000"),
    ]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"null",
        b"[]",
        b"{",
        b"[" * 500,
        b'{"queue": 5, "steps": []}',
        b'{"queue": "renewals", "steps": [5]}',
        b'{"queue": "renewals", "steps": [{"count": ' + b"9" * 5000 + b"}]}",
        _make_body(specification=5),
    ],
)
def test_malformed_body_is_answered(body: bytes) -> None:
    """Guards against a call that ends without an answer or with 500."""
    handler = _make_handler(_Role(), _Queues())
    reply = asyncio.run(handler.answer("POST", body))
    assert reply.status == 400 and reply.document["findings"]


def test_number_of_tasks_is_bounded() -> None:
    """Guards against one call that keeps the scheduler busy for seconds."""
    role = _Role()
    step = {"count": 1001, "resources": {"processors": 1, "memory_mb": 1}}
    handler = _make_handler(role, _Queues())
    reply = asyncio.run(handler.answer("POST", _make_body(steps=[step, step])))
    assert reply.status == 400 and not role.jobs
    assert "the job has 2002 tasks" in reply.document["error"]


def test_dry_runs_take_a_tenth_of_the_time_at_most() -> None:
    """Guards against repeated calls that keep the scheduler from its work."""

    async def call() -> list[int]:
        clock = _Clock()
        handler = _make_handler(_Role(), _Queues(), clock)
        statuses = []
        # Each dry run takes 20 ms, the time between two readings.
        clock.step = 20 * _MS
        for pause_ms in (0, 0, 100, 200):
            clock.now += pause_ms * _MS
            statuses.append(
                (await handler.answer("POST", _make_body())).status
            )
        return statuses

    assert asyncio.run(call()) == [200, 429, 429, 200]


def test_job_has_the_present_term_and_is_accepted_now() -> None:
    """Guards against a dry run of a job that would be paused or overdue."""
    role = _Role()
    asyncio.run(_make_handler(role, _Queues()).answer("POST", _make_body()))
    (job,) = role.jobs
    assert (job.term, job.queue) == (4, _QUEUE)
    assert job.accepted_at.year == 2026
