"""Tests leases that expire on runners which need time to kill their runs."""

import asyncio
import datetime

import pytest

from standins import fleet as standin_fleet
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import settings

_MS = datetime.timedelta(milliseconds=1)
_STEP = model.Step(
    1, model.Resources(processors=500, memory_mb=64), is_long_running=True
)
_JOBS = [f"{number:02}" for number in range(12)]


def _plan(task: str, run: int) -> tuple[float, str]:
    return 10_000.0, "done"


async def _start(
    stop_timeout_ms: int, *instances: str
) -> standin_fleet.VirtualFleet:
    fleet = standin_fleet.VirtualFleet(runners=3, plan=_plan)
    fleet.bounds = settings.Bounds(
        max_lease=runner.MAX_LEASE, stop_timeout=stop_timeout_ms * _MS
    )
    for name in instances or ("a",):
        fleet.start_instance(name)
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    for job in _JOBS:
        await fleet.submit(job, _STEP)
    await fleet.wait_until(lambda: _count_running(fleet) == len(_JOBS))
    return fleet


def _count_running(fleet: standin_fleet.VirtualFleet) -> int:
    return sum(len(stand_in.running) for stand_in in fleet.runners)


@pytest.mark.parametrize("offset_ms", range(0, 1800, 150))
@pytest.mark.parametrize("are_calls_executed", [False, True])
@pytest.mark.parametrize("stop_timeout_ms", [100, 400, 900, 2000])
def test_tasks_of_a_silent_runner_wait_for_its_kills(
    stop_timeout_ms: int, are_calls_executed: bool, offset_ms: int
) -> None:
    """Guards against a start elsewhere while a run is still being killed.

    A kill after the lease's end takes as long as the platform permits. The
    latest renewal reaches the runner if only answers are lost. When the
    scheduler looks at the lease depends on the time since the last renewal.
    """

    async def simulate() -> None:
        fleet = await _start(stop_timeout_ms)
        silent = fleet.runners[0]
        silent.kill_s = stop_timeout_ms / 1000
        faults = fleet.network.get_faults(silent.address)
        lost = faults.unreachable_from
        if are_calls_executed:
            lost = faults.lost_answers_to
            faults.executes_abandoned_calls = True
        await asyncio.sleep(offset_ms / 1000)
        lost.update(fleet.instances)
        await asyncio.sleep(15)
        lost.clear()
        await asyncio.sleep(3)
        assert _count_running(fleet) == len(_JOBS)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("stop_timeout_ms", [100, 400, 900, 2000])
def test_takeover_waits_for_kills_on_a_silent_runner(
    stop_timeout_ms: int,
) -> None:
    """Guards against a successor that starts tasks which still run.

    The earlier scheduler renews a lease until its own ends, and the runner
    never answers its successor.
    """

    async def simulate() -> None:
        fleet = await _start(stop_timeout_ms, "a", "b")
        silent = fleet.runners[0]
        silent.kill_s = stop_timeout_ms / 1000
        leader = fleet.get_leader()
        assert leader is not None
        other = "b" if leader.name == "a" else "a"
        faults = fleet.network.get_faults(silent.address)
        faults.unreachable_from.add(other)
        store = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store.unreachable_from.add(leader.name)
        await asyncio.sleep(25)
        assert _count_running(fleet) == len(_JOBS)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
