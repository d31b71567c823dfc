"""Tests that nothing starts in data centres that are evacuated."""

import asyncio
import pathlib
import typing

import orjson
import pytest

from standins import runner
from standins import virtual_instance
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch.scheduler import _evacuations
from tamarackhatch.scheduler import _job_tracker
from tamarackhatch.scheduler.tests import evacuation_trial


def test_evacuated_data_centre_gets_no_starts_until_it_returns() -> None:
    """Guards against starts after the order, and a return that is missed.

    The runs that an evacuated data centre has are kept, with their leases.
    """

    def plan(task: str, run: int) -> tuple[float, str]:
        return (
            evacuation_trial.LONG_S if task.startswith("stay") else 0.3
        ), "done"

    async def simulate() -> None:
        fleet = await evacuation_trial.start_fleet(plan)
        await fleet.submit("stay", model.Step(4, evacuation_trial.TASK))
        await asyncio.sleep(1)
        kept = fleet.runners[0].running
        assert kept
        fleet.evacuate(evacuation_trial.EAST)
        ordered = evacuation_trial.get_time()
        await evacuation_trial.submit_steadily(fleet, "before", 20)
        assert not fleet.history.list_runs_in(
            evacuation_trial.EAST, ordered + evacuation_trial.GOAL_S
        )
        assert fleet.runners[0].running == kept
        returned = evacuation_trial.get_time()
        fleet.end_evacuation(evacuation_trial.EAST)
        await evacuation_trial.submit_steadily(
            fleet, "after", evacuation_trial.GOAL_S
        )
        assert fleet.history.list_runs_in(evacuation_trial.EAST, returned)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_evacuations_are_not_followed_without_their_bound() -> None:
    """Guards against a decision that is on where nobody asked for it."""

    async def simulate() -> None:
        fleet = await evacuation_trial.start_fleet(bound=None)
        fleet.evacuate(evacuation_trial.EAST)
        await asyncio.sleep(3)
        await fleet.submit("00", model.Step(12, evacuation_trial.TASK))
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 5)
        assert fleet.history.list_runs_in(evacuation_trial.EAST)

    virtual_time.run_virtually(simulate())


def test_two_evacuations_begin_and_end_independently() -> None:
    """Guards against an order that replaces another, or ends with it."""

    async def simulate() -> None:
        fleet = await evacuation_trial.start_fleet(
            data_centres=(
                "north",
                evacuation_trial.EAST,
                evacuation_trial.WEST,
            )
        )

        async def expect_starts(label: str, *expected: str) -> None:
            await evacuation_trial.submit_steadily(
                fleet, f"{label}-settling", evacuation_trial.GOAL_S
            )
            began = evacuation_trial.get_time()
            await evacuation_trial.submit_steadily(fleet, label, 3)
            used = {
                data_centre
                for data_centre in (
                    "north",
                    evacuation_trial.EAST,
                    evacuation_trial.WEST,
                )
                if fleet.history.list_runs_in(data_centre, began)
            }
            assert used == set(expected)

        fleet.evacuate(evacuation_trial.EAST)
        fleet.evacuate(evacuation_trial.WEST)
        await expect_starts("both", "north")
        fleet.end_evacuation(evacuation_trial.EAST)
        await expect_starts("west", "north", evacuation_trial.EAST)
        fleet.evacuate(evacuation_trial.EAST)
        fleet.end_evacuation(evacuation_trial.WEST)
        await expect_starts("east", "north", evacuation_trial.WEST)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("has_takeover", [True, False])
def test_jobs_wait_while_all_data_centres_are_evacuated(
    has_takeover: bool,
) -> None:
    """Guards against jobs that fail, or never run, when nothing is usable."""

    def plan(task: str, run: int) -> tuple[float, str]:
        return (
            0.5 if task.startswith("00") else evacuation_trial.LONG_S
        ), "done"

    async def simulate() -> None:
        fleet = await evacuation_trial.start_fleet(plan)
        fleet.evacuate(evacuation_trial.EAST)
        fleet.evacuate(evacuation_trial.WEST)
        await asyncio.sleep(evacuation_trial.GOAL_S)
        await fleet.submit("00", model.Step(4, evacuation_trial.TASK))
        long_running = model.Step(
            2, evacuation_trial.TASK, is_long_running=True, image="i"
        )
        await fleet.submit("01", long_running)
        if has_takeover:
            evacuation_trial.kill_leader(fleet)
        await asyncio.sleep(30)
        assert fleet.history.runs == []
        assert await fleet.read_state("00") is model.JobState.QUEUED
        fleet.end_evacuation(evacuation_trial.WEST)
        returned = evacuation_trial.get_time()
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 5)
        assert len(fleet.history.list_runs_in(evacuation_trial.WEST)) == 6
        assert (
            fleet.history.runs[0].started < returned + evacuation_trial.GOAL_S
        )
        assert not fleet.history.list_runs_in(evacuation_trial.EAST)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_chosen_start_that_is_not_sent_yet_is_withdrawn(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    """Guards against a start between the choice of a runner and the order.

    The read that shows the order arrives just after the choice.
    """
    chosen: set[str] = set()
    begin_start = _job_tracker.JobTracker.begin_start

    def begin_start_and_evacuate(*arguments: typing.Any) -> None:
        begin_start(*arguments)
        if arguments[2].record.data_centre == evacuation_trial.EAST:
            chosen.add(evacuation_trial.EAST)

    monkeypatch.setattr(
        _job_tracker.JobTracker, "begin_start", begin_start_and_evacuate
    )
    monkeypatch.setattr(
        _evacuations.EvacuationWatcher,
        "is_evacuated",
        lambda self, data_centre: data_centre in chosen,
    )
    log_path = tmp_path / "log"

    async def simulate() -> None:
        fleet = await evacuation_trial.start_fleet(log_path=str(log_path))
        await fleet.submit("00", model.Step(8, evacuation_trial.TASK))
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 5)
        assert chosen
        assert not fleet.history.list_runs_in(evacuation_trial.EAST)
        assert {run.run for run in fleet.history.runs} == {1, 2}

    virtual_time.run_virtually(simulate())
    assert "start_withdrawn" in log_path.read_text()


def test_suspect_of_crashes_starts_in_no_evacuated_data_centre() -> None:
    """Guards against suspects that are observed on evacuated runners.

    Suspects prefer empty runners, and those of an evacuated data centre are
    the emptiest ones.
    """

    def plan(task: str, run: int) -> tuple[float, str]:
        if task.startswith("suspect") and run == 1:
            return 0.01, runner.CRASH
        return 1.0, "done"

    async def simulate() -> None:
        data_centres = (evacuation_trial.EAST,) * 3 + (
            evacuation_trial.WEST,
        ) * 3
        fleet = await evacuation_trial.start_fleet(plan, data_centres)
        fleet.evacuate(evacuation_trial.EAST)
        await asyncio.sleep(evacuation_trial.GOAL_S)
        ordered = evacuation_trial.get_time()
        # One at a time, so that no two suspects share a crash.
        for number in range(4):
            name = f"suspect{number}"
            await fleet.submit(name, model.Step(1, evacuation_trial.TASK))
            await evacuation_trial.submit_steadily(fleet, f"other{number}-", 3)
            await fleet.wait_for_state(name, model.JobState.COMPLETED, 20)
        assert not fleet.history.list_runs_in(evacuation_trial.EAST, ordered)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_evacuated_runners_do_not_count_for_isolation() -> None:
    """Guards against suspects that close all usable runners.

    Of nine runners three may be closed to other tasks, of three usable ones
    only one.
    """

    def plan(task: str, run: int) -> tuple[float, str]:
        if task.startswith("suspect") and run == 1:
            return 0.01, runner.CRASH
        return 1.0, "done"

    async def simulate() -> None:
        data_centres = (evacuation_trial.EAST,) * 6 + (
            evacuation_trial.WEST,
        ) * 3
        fleet = await evacuation_trial.start_fleet(plan, data_centres)
        fleet.evacuate(evacuation_trial.EAST)
        await asyncio.sleep(evacuation_trial.GOAL_S)
        # All three usable runners crash, and are back together.
        await fleet.submit("suspects", model.Step(12, evacuation_trial.TASK))
        most = 0
        for _ in range(600):
            await asyncio.sleep(0.05)
            recent = {
                run.runner
                for run in fleet.history.runs
                if run.run > 1
                and run.started > evacuation_trial.get_time() - 0.4
            }
            most = max(most, len(recent))
            if await fleet.read_state("suspects") is (
                model.JobState.COMPLETED
            ):
                break
        assert await fleet.read_state("suspects") is model.JobState.COMPLETED
        assert most == 1
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_runner_without_a_data_centre_waits_for_the_end() -> None:
    """Guards against starts on a runner that may be in an evacuated one."""

    async def simulate() -> None:
        fleet = await evacuation_trial.start_fleet(
            data_centres=("", evacuation_trial.WEST)
        )
        unknown = fleet.runners[0].identifier
        fleet.evacuate(evacuation_trial.EAST)
        await asyncio.sleep(evacuation_trial.GOAL_S)
        await evacuation_trial.submit_steadily(fleet, "0", 3)
        assert unknown not in {run.runner for run in fleet.history.runs}
        fleet.end_evacuation(evacuation_trial.EAST)
        await asyncio.sleep(evacuation_trial.GOAL_S)
        await evacuation_trial.submit_steadily(fleet, "1", 3)
        assert unknown in {run.runner for run in fleet.history.runs}

    virtual_time.run_virtually(simulate())


def test_evacuation_is_logged_and_measured(tmp_path: pathlib.Path) -> None:
    """Guards against an evacuation that an operator cannot see."""
    log_path = tmp_path / "log"

    async def simulate() -> None:
        fleet = await evacuation_trial.start_fleet(log_path=str(log_path))
        leader = fleet.get_leader()
        assert leader is not None
        fleet.evacuate(evacuation_trial.EAST)
        await asyncio.sleep(2)
        assert _get_gauge(leader) == 1
        fleet.store.is_down = True
        await asyncio.sleep(1.5)
        fleet.store.is_down = False
        await asyncio.sleep(2)
        fleet.end_evacuation(evacuation_trial.EAST)
        await asyncio.sleep(2)
        assert _get_gauge(leader) == 0
        fleet.evacuate(evacuation_trial.WEST)
        await asyncio.sleep(2)
        await leader.stop()
        assert _get_gauge(leader) == 0

    virtual_time.run_virtually(simulate())
    lines = [orjson.loads(line) for line in log_path.read_text().splitlines()]
    events = [
        (line["event"], line.get("data_centre"))
        for line in lines
        if line["event"].startswith("evacuation")
    ]
    assert events[:5] == [
        ("evacuation_started", evacuation_trial.EAST),
        ("evacuations_read_failed", None),
        ("evacuations_read_again", None),
        ("evacuation_ended", evacuation_trial.EAST),
        ("evacuation_started", evacuation_trial.WEST),
    ]


def _get_gauge(instance: virtual_instance.VirtualInstance) -> float:
    for line in instance.metrics.render().decode().splitlines():
        if line.startswith("tamarackhatch_evacuated_data_centres "):
            return float(line.split()[1])
    raise AssertionError("no gauge")
