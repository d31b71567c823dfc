"""Numbers of waiting jobs that callers get while no scheduler counts."""

import asyncio
import base64
import datetime
import os
import typing

import attrs
import pytest

from standins import network
from standins import store
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch import service

_ADDRESS = "10.0.0.1:7000"
_QUEUE = "renewals"
_STEP = model.Step(1, model.Resources(1000, 100))


@attrs.define
class _Source:
    """What the scheduler reports."""

    count: model.PendingCount | None = None
    is_active: bool = False
    term: int = 3

    def get_pending_count(self) -> model.PendingCount | None:
        """Returns the reported numbers."""
        return self.count


class _Trial:
    """A counter of one instance, beside a store."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.clock = virtual_time.VirtualClock(loop)
        self.store = store.StoreStandIn()
        self.network = network.Network()
        self.requests: list[str] = []
        self.network.serve(_ADDRESS, self._handle)
        sink = observability.LineSink(
            os.open(os.devnull, os.O_WRONLY), self.clock, 1000
        )
        log = observability.Log(sink, self.clock, observability.LevelFilter())
        store_clock = records.StoreClock(self.clock)
        self.table_store = platform.PlatformStore(
            typing.cast(typing.Any, self.network.make_client("a")),
            _ADDRESS,
            on_time=store_clock.record_reading,
        )
        self.source = _Source()
        self.counter = service.PendingCounter(
            self.source,
            records.PendingReader(self.table_store, self.clock, log),
            store_clock,
            self.clock,
            log,
            observability.Metrics(),
        )

    async def _handle(self, request: network.Request) -> network.Response:
        self.requests.append(request.path)
        return await self.store.handle(request)

    async def report(
        self, number: int | None, has_moment: bool = True
    ) -> None:
        """Reports a number of waiting jobs as of now."""
        page = await self.table_store.follow(
            records.JOBS_TABLE, 0, datetime.timedelta()
        )
        self.requests.clear()
        self.source.count = (
            None
            if number is None
            else model.PendingCount(
                {_QUEUE: number}, page.moment if has_moment else None
            )
        )

    def put(self, ref: model.RowRef, value: bytes) -> None:
        """Writes a row."""
        self.store.put(
            ref.table,
            ref.key,
            base64.b64encode(value).decode(),
            ref.partition,
        )

    def submit(self, identifier: str, queue: str = _QUEUE) -> None:
        """Stores a job."""
        job = model.Job(
            identifier,
            model.Queue(queue, "", "", "office"),
            "work",
            (_STEP,),
            self.clock.get_utc(),
        )
        self.put(records.get_job_ref(identifier), records.encode_job(job))

    async def count(self) -> int | None:
        """Returns what a caller gets."""
        return await self.counter.count(_QUEUE)


def _add_jobs(trial: _Trial) -> None:
    """Stores three jobs that wait, and rows that are no such jobs."""
    for identifier in ("a1", "b2", "c3", "d4"):
        trial.submit(identifier)
    trial.submit("e5", "another")
    trial.put(records.get_cancel_ref("d4"), b"{}")
    trial.put(records.get_cancel_ref("f6"), b"{}")
    trial.put(records.get_refusal_ref("a7"), b"{}")
    trial.put(records.get_job_ref("a8"), b"unreadable")


def _start_jobs(trial: _Trial) -> None:
    """Stores two jobs that have started, and two that have not."""
    for identifier in ("01", "02", "03", "04"):
        trial.submit(identifier)
    for identifier, state in (
        ("01", model.JobState.RUNNING),
        ("03", model.JobState.QUEUED),
        ("04", model.JobState.QUEUED),
    ):
        trial.put(
            records.get_progress_ref(identifier),
            records.encode_progress(records.JobProgress(state)),
        )
    for identifier in ("02", "04"):
        trial.put(records.get_progress_part_ref(identifier, 0), b"{}")


@pytest.mark.parametrize(
    ("reported", "has_moment", "age_s", "loses_history", "expected"),
    [
        pytest.param(7, True, 1.5, False, 7, id="young"),
        pytest.param(7, True, 2.5, False, 10, id="old"),
        pytest.param(7, True, 60.0, False, 10, id="very old"),
        pytest.param(7, True, 2.5, True, 5, id="old, history is lost"),
        pytest.param(7, False, 0.0, False, 5, id="of an earlier build"),
        pytest.param(None, True, 0.0, False, 5, id="unknown"),
    ],
)
def test_count_includes_jobs_that_the_report_does_not_know(
    reported: int | None,
    has_moment: bool,
    age_s: float,
    loses_history: bool,
    expected: int,
) -> None:
    """Guards against an old number, and against no number, in a takeover."""

    async def simulate() -> None:
        trial = _Trial()
        _start_jobs(trial)
        await trial.report(reported, has_moment)
        _add_jobs(trial)
        if loses_history:
            trial.store.discard_history()
        await asyncio.sleep(age_s)
        assert await trial.count() == expected

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("age_s", "expected"), [(1.0, 7), (3.0, 7), (3.9, None), (60.0, None)]
)
@pytest.mark.parametrize("is_answering", [False, True])
def test_number_without_a_store_is_right_or_missing(
    is_answering: bool, age_s: float, expected: int | None
) -> None:
    """Guards against an old number while the store serves nobody.

    A read without an answer takes so long that 3.9 s become over 4 s.
    """

    async def simulate() -> None:
        trial = _Trial()
        await trial.report(7)
        trial.store.is_down = is_answering
        trial.store.is_unresponsive = not is_answering
        await asyncio.sleep(age_s + (0.2 if is_answering else 0))
        assert await trial.count() == expected

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("reported", "interval_s", "most"),
    [
        pytest.param(7, 0.0, 1, id="at once"),
        pytest.param(7, 0.1, 2, id="within the age that is allowed"),
        pytest.param(None, 0.0, 17, id="all rows at once"),
        pytest.param(None, 0.3, 51, id="all rows, rarely"),
    ],
)
def test_callers_share_reads(
    reported: int | None, interval_s: float, most: int
) -> None:
    """Guards against one read of the jobs for each caller that asks."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.report(reported)
        _add_jobs(trial)
        await asyncio.sleep(3)
        callers = []
        for _ in range(20):
            callers.append(asyncio.create_task(trial.count()))
            await asyncio.sleep(interval_s)
        answers = await asyncio.gather(*callers)
        assert set(answers) == {(reported or 0) + 3}
        assert len(trial.requests) <= most

    virtual_time.run_virtually(simulate())


def test_caller_that_leaves_ends_no_read_of_others() -> None:
    """Guards against a shared read that is cancelled with its first caller."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.report(7)
        _add_jobs(trial)
        await asyncio.sleep(3)
        first = asyncio.create_task(trial.count())
        await asyncio.sleep(0.001)
        second = asyncio.create_task(trial.count())
        await asyncio.sleep(0.001)
        first.cancel()
        assert await second == 10

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("is_answering", [False, True])
def test_read_without_a_store_ends_after_its_callers_left(
    is_answering: bool,
) -> None:
    """Guards against a read that calls a failing store for nobody."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.report(None)
        trial.store.is_down = is_answering
        trial.store.is_unresponsive = not is_answering
        assert await trial.count() is None
        await asyncio.sleep(30)
        trial.requests.clear()
        await asyncio.sleep(30)
        assert trial.requests == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("delay_s", [0.2, 0.4])
@pytest.mark.parametrize("loses_history", [False, True])
def test_slow_full_read_keeps_callers_in_numbers(
    loses_history: bool, delay_s: float
) -> None:
    """Guards against a number that is too old when all rows are read."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.report(7 if loses_history else None)
        # Each partition takes two reads, one after the other.
        for number in range(501):
            trial.submit(f"{number:04x}a")
        if loses_history:
            trial.store.discard_history()
        trial.network.get_faults(_ADDRESS).delay_s = delay_s
        await asyncio.sleep(5)
        answers = []
        for _ in range(60):
            answers.append(await trial.count())
            await asyncio.sleep(0.5)
        assert set(answers[5:]) == {501}

    virtual_time.run_virtually(simulate())


def test_reads_of_a_store_that_refuses_become_rare() -> None:
    """Guards against instances that keep a store overloaded by retries."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.report(None)
        trial.store.is_down = True
        for _ in range(40):
            assert await trial.count() is None
            await asyncio.sleep(0.1)
        assert len(trial.requests) <= 10 * 60

    virtual_time.run_virtually(simulate())
