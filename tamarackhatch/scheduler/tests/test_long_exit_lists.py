"""Tests takeovers while runners have more exits than a report lists."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model

_TASKS = 1700
_SMALL = model.Resources(processors=5, memory_mb=10)
_STEP = model.Step(4, model.Resources(processors=1000, memory_mb=100))


def _plan(task: str, run: int) -> tuple[float, str]:
    return (1.0 if task.startswith("many") else 0.3), "done"


async def _start_with_unread_exits() -> standin_fleet.VirtualFleet:
    """Lets 1,700 tasks end on one of 33 runners, and kills the scheduler.

    None of their exits can be acknowledged, because its writes are lost.
    """
    fleet = standin_fleet.VirtualFleet(runners=1, plan=_plan)
    fleet.runners[0].capacity = model.Resources(16_000, 64_000)
    for name in ("a", "b"):
        fleet.start_instance(name)
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    await fleet.submit("many", model.Step(_TASKS, _SMALL))
    await fleet.wait_until(lambda: len(fleet.history.runs) == _TASKS, 10)
    for index in range(1, 33):
        fleet.add_runner(_plan, index)
    leader = fleet.get_leader()
    assert leader is not None
    store = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
    store.lost_writes.add(leader.name)
    await fleet.wait_until(lambda: not fleet.runners[0].running, 10)
    leader.kill()
    del fleet.instances[leader.name]
    return fleet


@pytest.mark.parametrize("is_silent", [False, True])
def test_exits_beyond_the_first_report_count(is_silent: bool) -> None:
    """Guards against tasks that run again because their exits are not read.

    A runner that stops answering between two reports has not listed all.
    """

    async def simulate() -> None:
        fleet = await _start_with_unread_exits()
        full = fleet.runners[0]
        await fleet.wait_until(lambda: fleet.get_leader() is not None, 20)
        if is_silent:
            faults = fleet.network.get_faults(full.address)
            await asyncio.sleep(0.3)
            faults.unreachable_from.add("*")
            await asyncio.sleep(2)
            faults.unreachable_from.clear()
        await fleet.wait_for_state("many", model.JobState.COMPLETED, 40)
        assert len(fleet.history.runs) == _TASKS
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_other_runners_start_new_work_while_exits_are_read() -> None:
    """Guards against a takeover that waits until a long list is read."""

    async def simulate() -> None:
        fleet = await _start_with_unread_exits()
        await fleet.wait_until(lambda: fleet.get_leader() is not None, 20)
        began = asyncio.get_running_loop().time()
        await fleet.submit("new", _STEP)
        await fleet.wait_for_state("new", model.JobState.COMPLETED, 10)
        first = min(
            run.started
            for run in fleet.history.runs
            if run.task.startswith("new")
        )
        assert first - began < 2.5
        await fleet.wait_for_state("many", model.JobState.COMPLETED, 40)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_runner_that_ends_with_a_long_list_holds_up_nothing() -> None:
    """Guards against waiting for exits that nobody will ever list."""

    async def simulate() -> None:
        fleet = await _start_with_unread_exits()
        full = fleet.runners[0]
        await fleet.wait_until(lambda: fleet.get_leader() is not None, 20)
        await asyncio.sleep(0.3)
        fleet.network.get_faults(full.address).unreachable_from.add("*")
        before = len(fleet.history.runs)
        await fleet.submit("00", _STEP)
        # One of the four tasks may be placed on the runner that has ended.
        await fleet.wait_until(
            lambda: len(fleet.history.runs) >= before + 3, 2.5
        )
        for job in ("00", "many"):
            await fleet.wait_for_state(job, model.JobState.COMPLETED, 20)

    virtual_time.run_virtually(simulate())
