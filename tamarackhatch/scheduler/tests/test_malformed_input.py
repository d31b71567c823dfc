"""Malformed rows in the store and malformed answers of runners.

Each must be skipped by itself, while everything else goes on.
"""

import asyncio
import base64
import datetime
import os
import pathlib
import typing

import orjson
import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner as standin_runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch import records

_STEP = model.Step(2, model.Resources(processors=1000, memory_mb=100))

_GARBAGE = [
    b"",
    b"\xff\x00",
    b"null",
    b"[]",
    b"{}",
    b'[["i-9"]]',
    b'{"term":"x","instance":1,"incarnation":[]}',
    b'{"s":"nothing"}',
    # Nested within the limit of the decoder, and beyond that of the
    # interpreter.
    b'{"instance":"a","incarnation":"b","count":1,"term":'
    + b"[" * 1_000
    + b"]" * 1_000
    + b"}",
    b'[["i-9",' + b"[" * 1_000 + b"]" * 1_000 + b',"office",1]]',
    b"[" * 10_000 + b"]" * 10_000,
]


# Stand for values that an encoder refuses to write.
_NESTED = "nested"
_HUGE = "huge"
_RAW_VALUES = {
    b'"nested"': b"[" * 1_000 + b"]" * 1_000,
    b'"huge"': b"1" + b"0" * 30,
}


def _encode(body: object) -> bytes:
    """Returns a body in which texts above are replaced by their values."""
    text = orjson.dumps(body)
    for former, latter in _RAW_VALUES.items():
        text = text.replace(former, latter)
    return text


def _put(
    fleet: standin_fleet.VirtualFleet, ref: model.RowRef, value: bytes
) -> None:
    text = base64.b64encode(value).decode()
    fleet.store.put(ref.table, ref.key, text, ref.partition)


async def _run_job(fleet: standin_fleet.VirtualFleet, identifier: str) -> None:
    await fleet.submit(identifier, _STEP)
    await fleet.wait_for_state(identifier, model.JobState.COMPLETED, 30)


@pytest.mark.parametrize("value", _GARBAGE, ids=lambda value: repr(value[:20]))
def test_malformed_rows_stop_nothing(value: bytes) -> None:
    """Guards against a process or a feed that one malformed row ends.

    The rows are there when the second scheduler starts, and others of each
    table arrive while it runs.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await _run_job(fleet, "00")
        for ref in _list_rows("07"):
            _put(fleet, ref, value)
        await asyncio.sleep(1)
        await _run_job(fleet, "01")
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        for ref in _list_rows("08"):
            _put(fleet, ref, value)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await _run_job(fleet, "02")
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def _list_rows(job: str) -> list[model.RowRef]:
    """Returns one row of each kind."""
    return [
        model.RowRef(platform.RUNNERS_TABLE, "", "i-bad"),
        model.RowRef(platform.OPERATOR_TABLE, "", platform.CONFIGURATION_KEY),
        model.RowRef(platform.OPERATOR_TABLE, "", "news"),
        model.RowRef(records.JOBS_TABLE, "f", "not a job"),
        records.get_job_ref(job),
        records.get_cancel_ref(job),
        records.get_progress_ref("09"),
        records.LEADER_HEARTBEAT,
        records.INTERFERENCE,
        records.TRACKED_RUNNERS,
        records.FENCE,
    ]


class _BabblingRunner(standin_runner.RunnerStandIn):
    """Runner that adds malformed entries to its reports, or garbles answers.

    Attributes:
        bad_fields: Fields of its reports that have other values.
        bad_running: Malformed entries among the runs in progress.
        bad_exits: Malformed entries among the exits.
        garbled: For each path, the number of further answers that are
            replaced by a 409 without the published form.
    """

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self.bad_fields: dict[str, typing.Any] = {}
        self.bad_running: list[typing.Any] = []
        self.bad_exits: list[typing.Any] = []
        self.garbled: dict[str, int] = {}

    async def handle(self, request: network.Request) -> network.Response:
        response = await super().handle(request)
        if self.garbled.get(request.path, 0) > 0:
            self.garbled[request.path] -= 1
            return network.Response(409, {"reason": ["fence"]})
        body = response.body
        if "running" in body:
            body["running"] = self.bad_running + body["running"]
            body["ended"] = self.bad_exits + body["ended"]
            body.update(self.bad_fields)
            return network.Response(response.status, encoded=_encode(body))
        return response


def _make_fleet(
    duration_s: float = 0.5, log_path: str = os.devnull
) -> tuple[standin_fleet.VirtualFleet, _BabblingRunner]:
    """Returns a fleet of one instance and one babbling runner."""
    fleet = standin_fleet.VirtualFleet(runners=0, log_path=log_path)
    added = _BabblingRunner(
        "i-0",
        "10.1.0.1:8000",
        standin_fleet.SERVICE,
        lambda task, run: (
            1000.0 if task.startswith("ff") else duration_s,
            "done",
        ),
        fleet.history,
    )
    fleet.adopt_runner(added)
    fleet.start_instance("a")
    return fleet, added


_BAD_ENTRIES: list[typing.Any] = [
    7,
    None,
    [],
    {},
    [None, 1, "", 0, 0],
    ["00", 1, "", 0, 0],
    ["00.0.0.x", 1, "", 0, 0],
    [["00.0.0.0"], 1, "", 0, 0],
    ["00.0.0.0", "one", "", 0, 0],
    ["00.0.0.0", 1, 5, 0, 0],
    ["00.0.0.0", 1, "", None, 0],
    [1, "00.0.0.0", 1, {}, ""],
    ["x", "00.0.0.0", 1, "done", ""],
    [1, "00.0.0.0", 1, "done", 9],
    [1e400, "00.0.0.0", 1, "done", ""],
    ["00.0.0.0", 1e300, "", 0, 0],
    ["00.0.0.0", _HUGE, "", 0, 0],
    ["00.0.0.0", 1, "", 1e300, 0],
    ["00.0.0.0", 1, "", 0, 1e300],
    [1e300, "ee.0.0.0", 1, "done", ""],
    [_HUGE, "00.0.0.0", 1, "done", ""],
    [1, "00.0.0.0", 1e300, "done", ""],
]


_NESTED_ENTRIES: list[typing.Any] = [
    _NESTED,
    ["00.0.0.0", _NESTED, "", 0, 0],
    ["00.0.0.0", 1, _NESTED, 0, 0],
    [1, "00.0.0.0", _NESTED, "done", ""],
]


@pytest.mark.parametrize("entry", _BAD_ENTRIES, ids=repr)
def test_malformed_entries_of_a_report_are_skipped(
    entry: typing.Any,
) -> None:
    """Guards against a report whose good entries are lost with a bad one."""

    async def simulate() -> None:
        fleet, added = _make_fleet()
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        added.bad_running = [entry]
        added.bad_exits = [entry]
        await _run_job(fleet, "00")
        await _run_job(fleet, "01")
        assert len(fleet.history.runs) == 4
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("entry", _NESTED_ENTRIES, ids=repr)
def test_nested_entries_of_a_report_are_skipped(
    entry: typing.Any, tmp_path: pathlib.Path
) -> None:
    """Guards against a reconciler that ends while it describes an entry.

    The limit of the decoder is 1,024 levels, that of the interpreter less.
    """

    async def simulate() -> None:
        fleet, added = _make_fleet(log_path=str(tmp_path / "log"))
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        added.bad_running = added.bad_exits = [entry]
        await _run_job(fleet, "00")
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
    assert b"reconciler_failed" not in (tmp_path / "log").read_bytes()


@pytest.mark.parametrize(
    "fields",
    [
        {"born": _HUGE},
        {"born": 1e300},
        {"clock_ms": 8.63999999999999e16},
        {"clock_ms": -8.63999999999999e16},
        {"clock_ms": 1e300},
        {"running": _NESTED},
    ],
    ids=lambda fields: str(fields)[:30],
)
def test_report_with_a_number_too_large_ends_nothing(
    fields: dict[str, typing.Any], tmp_path: pathlib.Path
) -> None:
    """Guards against a term that ends with the report of one runner."""

    async def simulate() -> None:
        fleet, added = _make_fleet(log_path=str(tmp_path / "log"))
        fleet.add_runner(lambda task, run: (0.5, "done"), 1)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await _run_job(fleet, "00")
        added.bad_fields = fields
        await asyncio.sleep(4)
        await _run_job(fleet, "01")
        added.bad_fields = {}
        await _run_job(fleet, "02")
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
    log = (tmp_path / "log").read_bytes()
    assert b"reconciler_failed" not in log
    assert log.count(b"scheduler_ready") == 1


def test_reconciler_that_fails_is_started_again_after_a_pause(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a loop that uses the processor and fills the log."""

    async def simulate() -> None:
        fleet, added = _make_fleet(log_path=str(tmp_path / "log"))
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await _run_job(fleet, "00")
        handle = added.handle

        async def fail(request: network.Request) -> network.Response:
            raise ArithmeticError

        fleet.network.serve(added.address, fail)
        await asyncio.sleep(4)
        fleet.network.serve(added.address, handle)
        await _run_job(fleet, "01")
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
    failures = (tmp_path / "log").read_bytes().count(b"reconciler_failed")
    assert 1 <= failures <= 5


def test_long_checkpoint_does_not_end_the_term(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a row of progress that the store refuses.

    Each transaction with it failed, and with them the heartbeats.
    """

    def plan(task: str, run: int) -> tuple[float, str]:
        return (1.0, "failed") if run == 1 else (20.0, "done")

    async def simulate() -> None:
        fleet, added = _make_fleet(log_path=str(tmp_path / "log"))
        fleet.start_instance("b")
        added._plan = plan
        added._get_checkpoint = lambda run, time: "x" * 100_000  # type: ignore
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", _STEP)
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 60)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
    assert (tmp_path / "log").read_bytes().count(b"scheduler_ready") == 1


def test_unreadable_entry_may_be_a_run_that_is_not_listed() -> None:
    """Guards against a second start of a run whose entry is unreadable."""

    async def simulate() -> None:
        fleet, added = _make_fleet(duration_s=4.0)
        fleet.add_runner(lambda task, run: (4.0, "done"), 1)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", _STEP)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 2)
        list_run = added._list_run
        added._list_run = lambda run: [run.task, "?"]  # type: ignore
        await asyncio.sleep(2)
        added._list_run = list_run  # type: ignore
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 30)
        assert len(fleet.history.runs) == 2
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    "path",
    [
        standin_runner.START_PATH,
        standin_runner.RENEWAL_PATH,
        standin_runner.STOP_PATH,
    ],
)
@pytest.mark.parametrize("answers", [1, 5, 100])
def test_garbled_rejection_does_not_end_the_command(
    path: str, answers: int
) -> None:
    """Guards against a task that nothing starts or stops any more.

    The command was carried out although its answer is a malformed rejection.
    """

    async def simulate() -> None:
        fleet, added = _make_fleet()
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        added.garbled = {path: answers}
        await fleet.submit("00", _STEP)
        long_running = model.Step(
            1, model.Resources(processors=1000), is_long_running=True
        )
        await fleet.submit("ff", long_running)
        await asyncio.sleep(1)
        deadline = fleet.clock.get_monotonic() + datetime.timedelta(seconds=3)
        await fleet.instances["a"].jobs.cancel("ff", deadline)
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 60)
        await fleet.wait_until(lambda: not added.running)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_job_with_unreadable_progress_is_not_started() -> None:
    """Guards against running tasks again whose progress cannot be read."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        leader = fleet.get_leader()
        assert leader is not None
        await fleet.submit("00", _STEP, instance=leader.name)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 2)
        await asyncio.sleep(0.45)
        leader.kill()
        del fleet.instances[leader.name]
        _put(fleet, records.get_progress_ref("00"), b"{")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await _run_job(fleet, "01")
        await asyncio.sleep(12)
        assert len(fleet.history.runs) == 4
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_malformed_requests_are_not_decoded_as_jobs() -> None:
    """Guards against an unexpected error on a body that a caller sends."""
    queue = standin_fleet.QUEUE
    now = virtual_time.VirtualClock(asyncio.new_event_loop()).get_utc()
    step = {"count": 1, "cpu": 1, "mem_mb": 1}
    for change in (
        {"interval_ms": 1e300, "repeat_count": 2},
        {"first_run_ms": 1e18, "repeat_count": 2},
        {"interval_ms": 1e12, "repeat_count": 10**9},
        {"interval_ms": -5, "repeat_count": 2},
        {"steps": [{**step, "est_runtime_ms": 1e300}]},
        {"steps": [{**step, "target_ms": 1e300}]},
        {"steps": [{**step, "after": [0]}]},
        {"steps": [{**step, "count": 1e300}]},
    ):
        document = {"spec": "x", "steps": [step], **change}
        with pytest.raises(platform.MalformedJobError):
            platform.decode_job("00", queue, orjson.dumps(document), now)
