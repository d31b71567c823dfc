"""Tests leases that expire on runners which need time to kill their runs."""

import asyncio
import datetime
import random

import pytest

from standins import fleet as standin_fleet
from standins import network
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


@pytest.mark.parametrize("stall_s", [4.0, 5.5, 6.0, 7.0, 8.0])
@pytest.mark.parametrize("offset_ms", range(0, 1800, 300))
@pytest.mark.parametrize("runners", [1, 2])
def test_tasks_of_a_stalled_runner_wait_for_it(
    runners: int, offset_ms: int, stall_s: float
) -> None:
    """Guards against a start elsewhere while a stopped process goes on.

    It accepts connections all the time, and kills its runs when it goes on.
    """

    async def simulate() -> None:
        fleet = await _start(400)
        await asyncio.sleep(offset_ms / 1000)
        await asyncio.gather(
            *(
                stand_in.stall(stall_s - index)
                for index, stand_in in enumerate(fleet.runners[:runners])
            )
        )
        await asyncio.sleep(8)
        assert _count_running(fleet) == len(_JOBS)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("stall_s", [12.0])
def test_tasks_of_a_runner_that_stalls_for_long_wait_for_it(
    stall_s: float,
) -> None:
    """Guards against two runs after a stall that outlasts every wait."""

    async def simulate() -> None:
        fleet = await _start(400)
        await fleet.runners[0].stall(stall_s)
        await asyncio.sleep(8)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


class _LateCalls:
    """Holds back calls to a runner, or its answers, for random times."""

    def __init__(
        self,
        stand_in: runner.RunnerStandIn,
        seed: int,
        path: str,
        is_answer_late: bool,
    ) -> None:
        self._stand_in = stand_in
        self._random = random.Random(seed)
        self._path = path
        self._is_answer_late = is_answer_late

    async def handle(self, request: network.Request) -> network.Response:
        """Answers one call."""
        delay_s = 0.0
        if request.path == self._path and self._random.random() < 0.5:
            delay_s = self._random.uniform(0.2, 4.0)
        if not self._is_answer_late:
            await asyncio.sleep(delay_s)
        response = await self._stand_in.handle(request)
        if self._is_answer_late:
            await asyncio.sleep(delay_s)
        return response


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("is_answer_late", [False, True])
@pytest.mark.parametrize("path", [runner.RENEWAL_PATH, runner.START_PATH])
def test_late_calls_and_answers_cause_no_second_run(
    path: str, is_answer_late: bool, seed: int
) -> None:
    """Guards against leases computed too early, and lists that are outdated.

    A start or renewal leaves later than the clock reading that its lease was
    computed from, or a list arrives after a run that it lacks was accepted.
    """

    async def simulate() -> None:
        draw = random.Random(seed)
        durations = [draw.uniform(0.2, 6.0) for _ in range(200)]
        fleet = standin_fleet.VirtualFleet(
            runners=4,
            plan=lambda task, run: (durations[int(task[:2])], "done"),
        )
        fleet.bounds = settings.Bounds(
            max_lease=runner.MAX_LEASE, stop_timeout=400 * _MS
        )
        fleet.start_instance("a")
        for index, stand_in in enumerate(fleet.runners[:2]):
            late = _LateCalls(stand_in, seed + index, path, is_answer_late)
            fleet.network.serve(stand_in.address, late.handle)
            faults = fleet.network.get_faults(stand_in.address)
            faults.executes_abandoned_calls = True
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        step = model.Step(3, model.Resources(processors=1000, memory_mb=64))
        for number in range(60):
            await fleet.submit(f"{number:02}", step)
            await asyncio.sleep(0.4)
        for number in range(60):
            await fleet.wait_for_state(
                f"{number:02}", model.JobState.COMPLETED, 120
            )
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
