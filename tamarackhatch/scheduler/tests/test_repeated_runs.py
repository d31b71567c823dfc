"""Tests that tasks which have run twice are reported, within bounds."""

import asyncio
from collections.abc import Callable
import datetime
import os
import pathlib

import orjson
import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _repeated_runs
from tamarackhatch.scheduler import _state

_KEY = model.TaskKey("00", 0, 0, 0)
_SECOND = datetime.timedelta(seconds=1)


class _Report:
    """Two runners, a task, and what is reported of its runs.

    Attributes:
        clock: Clock of the recorder.
        task: The task.
        first: A runner.
        second: Another one.
    """

    def __init__(self) -> None:
        self._reader, writer = os.pipe()
        os.set_blocking(self._reader, False)
        self.clock = clock.ManualClock()
        self._metrics = observability.Metrics()
        sink = observability.LineSink(writer, self.clock, 10_000)
        log = observability.Log(
            sink, self.clock, observability.LevelFilter(), "scheduler"
        )
        self._recorder = _repeated_runs.RepeatedRunRecorder(
            self.clock, log, self._metrics
        )
        step = model.Step(1, model.Resources(100, 1))
        job = model.Job(
            "00",
            standin_fleet.QUEUE,
            "work",
            (step,),
            self.clock.get_utc(),
        )
        self.job = _state.JobEntry(job, 1)
        self.task = _state.TaskEntry(_KEY, step, self.job)
        self.first = _make_runner("i-0")
        self.second = _make_runner("i-1")

    def wait(self, duration: datetime.timedelta) -> None:
        """Advances the clock."""
        asyncio.run(self.clock.advance(duration))

    def place(self, run: int, entry: _fleet.RunnerEntry) -> None:
        """Places a run of the task on a runner."""
        self.task.run = run
        self.task.placed_at = self.clock.get_monotonic()
        entry.assign_task(self.task)

    def list_running(
        self,
        run: int,
        entry: _fleet.RunnerEntry,
        key: model.TaskKey = _KEY,
        is_known: bool = True,
    ) -> None:
        """Lets a runner list a run that does not belong there."""
        item = model.RunningTask(key, run, "", 0, 0)
        task = self.task if is_known else None
        self._recorder.record_running(entry, item, task, self.job)

    def list_done(
        self, run: int, entry: _fleet.RunnerEntry, is_known: bool = True
    ) -> None:
        """Lets a runner list a run that is done."""
        run_exit = model.RunExit(1, _KEY, run, model.ExitReason.DONE, "")
        task = self.task if is_known else None
        self._recorder.record_exit(entry, run_exit, task)

    def count(self, form: _repeated_runs.Form) -> float:
        """Returns the number of repeated runs that were counted."""
        counter = self._metrics.repeated_runs.labels(form.value)
        return sum(
            sample.value
            for metric in counter.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        )

    def read_lines(self) -> list[dict[str, object]]:
        """Returns the lines since the last call."""
        try:
            content = os.read(self._reader, 1 << 20)
        except BlockingIOError:
            return []
        return [orjson.loads(line) for line in content.splitlines()]


def _make_runner(identifier: str) -> _fleet.RunnerEntry:
    entry = _fleet.make_runner_entry(
        model.Runner(
            identifier, "office", "h:1", "", False, model.Resources(16_000, 64)
        )
    )
    entry.incarnation = 7 if identifier == "i-1" else 3
    return entry


def _list_run_that_runs_elsewhere(report: _Report) -> None:
    report.place(2, report.first)
    report.wait(_SECOND)
    report.list_running(1, report.second)


def _list_run_begun_after_done(report: _Report) -> None:
    report.place(1, report.first)
    report.list_done(1, report.first)
    report.wait(_SECOND)
    report.list_running(2, report.second, is_known=False)


def _list_run_begun_before_done(report: _Report) -> None:
    report.place(2, report.first)
    report.list_done(2, report.first)
    report.wait(_SECOND)
    report.list_running(1, report.second)


def _list_run_of_completed_job(report: _Report) -> None:
    report.job.state = model.JobState.COMPLETED
    report.list_running(2, report.second, is_known=False)


def _list_second_success(report: _Report) -> None:
    report.list_done(1, report.first)
    report.wait(_SECOND)
    report.list_done(2, report.second, is_known=False)


def _list_late_start_on_next_incarnation(report: _Report) -> None:
    report.second.incarnation = 6
    report.list_done(1, report.second)
    report.wait(_SECOND)
    report.second.incarnation = 7
    report.list_running(1, report.second, is_known=False)


def _list_success_while_running_elsewhere(report: _Report) -> None:
    report.place(2, report.first)
    report.wait(_SECOND)
    report.list_done(1, report.second)


@pytest.mark.parametrize(
    ("play", "form", "expected"),
    [
        (
            _list_run_that_runs_elsewhere,
            _repeated_runs.Form.AT_ONCE,
            [1, "running", "i-1", 2, "i-0", 1000],
        ),
        (
            _list_run_begun_after_done,
            _repeated_runs.Form.AFTER_DONE,
            [2, "running", "i-1", 1, "i-0", 1000],
        ),
        (
            _list_run_begun_before_done,
            _repeated_runs.Form.AT_ONCE,
            [1, "running", "i-1", 2, "i-0", 1000],
        ),
        (
            _list_run_of_completed_job,
            _repeated_runs.Form.AFTER_DONE,
            [2, "running", "i-1", None, None, None],
        ),
        (
            _list_second_success,
            _repeated_runs.Form.AFTER_DONE,
            [2, "done", "i-1", 1, "i-0", 1000],
        ),
        (
            _list_late_start_on_next_incarnation,
            _repeated_runs.Form.AFTER_DONE,
            [1, "running", "i-1", 1, "i-1", 1000],
        ),
        (
            _list_success_while_running_elsewhere,
            _repeated_runs.Form.AFTER_DONE,
            [1, "done", "i-1", 2, "i-0", 1000],
        ),
    ],
)
def test_repeated_run_is_reported_with_its_form(
    play: Callable[[_Report], None],
    form: _repeated_runs.Form,
    expected: list[object],
) -> None:
    """Guards against a task that runs twice without a trace."""
    report = _Report()
    play(report)
    (line,) = report.read_lines()
    assert line["event"] == "repeated_run_found"
    assert line["form"] == form.value
    names = (
        "run",
        "state",
        "runner",
        "other_run",
        "other_runner",
        "other_since_ms",
    )
    assert [line.get(name) for name in names] == expected
    assert line["incarnation"] == 7
    assert report.count(form) == 1


def _list_lost_run_of_waiting_task(report: _Report) -> None:
    report.task.run = 2
    report.list_running(1, report.second)


def _list_run_of_cancelled_job(report: _Report) -> None:
    report.job.state = model.JobState.CANCELLED
    report.list_running(1, report.second, is_known=False)


def _list_success_twice(report: _Report) -> None:
    report.place(1, report.first)
    report.list_done(1, report.first)
    report.list_done(1, report.first, is_known=False)


@pytest.mark.parametrize(
    "play",
    [
        _list_lost_run_of_waiting_task,
        _list_run_of_cancelled_job,
        _list_success_twice,
    ],
)
def test_single_run_is_not_reported(play: Callable[[_Report], None]) -> None:
    """Guards against reports of tasks that have not run twice."""
    report = _Report()
    play(report)
    assert report.read_lines() == []


def test_restart_and_silence_are_told() -> None:
    """Guards against a report that hides how a second run came about."""
    report = _Report()
    report.second.restarted_at = report.clock.get_monotonic()
    report.wait(_SECOND)
    report.second.answering_again_at = report.clock.get_monotonic()
    _list_run_begun_after_done(report)
    (line,) = report.read_lines()
    assert line["restarted_ms"] == 2000
    assert line["answering_again_ms"] == 1000


def test_lines_are_bounded() -> None:
    """Guards against a log that repeated runs fill."""
    report = _Report()
    report.job.state = model.JobState.COMPLETED
    for _ in range(3):
        for index in range(30):
            key = model.TaskKey("00", 0, 0, index)
            report.list_running(1, report.second, key, is_known=False)
    assert len(report.read_lines()) == 10
    report.wait(10 * _SECOND)
    key = model.TaskKey("00", 0, 0, 30)
    report.list_running(1, report.second, key, is_known=False)
    (line,) = report.read_lines()
    assert line["omitted_lines"] == 20
    assert report.count(_repeated_runs.Form.AFTER_DONE) == 31


def test_scheduler_reports_a_run_after_the_end_of_its_task(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a recorder that the reports of runners do not reach."""
    path = tmp_path / "log"

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(2, log_path=str(path))
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        step = model.Step(1, model.Resources(100, 1))
        await fleet.submit("00", step)
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        (done,) = fleet.history.runs
        (other,) = (
            item for item in fleet.runners if item.identifier != done.runner
        )
        await other.handle(
            network.Request(
                "POST",
                runner.START_PATH,
                {},
                {
                    "task": done.task,
                    "run": done.run + 1,
                    "spec": "work",
                    "deadline_ms": 60_000,
                    "fencing_token": done.token,
                },
            )
        )
        await asyncio.sleep(3)

    virtual_time.run_virtually(simulate())
    lines = [orjson.loads(line) for line in path.read_bytes().splitlines()]
    (line,) = [
        line for line in lines if line.get("event") == "repeated_run_found"
    ]
    assert (line["form"], line["state"]) == ("after done", "done")
    assert line["other_run"] == 1
