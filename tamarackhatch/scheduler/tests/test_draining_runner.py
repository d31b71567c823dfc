"""Tests how tasks leave a draining runner."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model

_TASK = model.Resources(processors=8000, memory_mb=100)
# A runner needs up to this long to stop a run.
_STOP_TIME_S = 0.9


@pytest.mark.parametrize("notice_s", [2.5, 3.0, 4.0, 4.3, 4.6, 9.5])
@pytest.mark.parametrize("phase_s", [0.05, 0.3, 0.55, 0.8])
@pytest.mark.parametrize(
    "has_takeover, earliest_s",
    [(False, 2.2), (True, 3.1)],
    ids=["one scheduler", "takeover"],
)
def test_tasks_are_stopped_before_a_draining_runner_leaves(
    notice_s: float, phase_s: float, has_takeover: bool, earliest_s: float
) -> None:
    """Guards against batch tasks that are lost with a runner that announced.

    The runner rewrites its row once a second, at any phase.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(2, lambda task, run: (60.0, "done"))
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(4, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 4)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1 - loop.time() % 1 + phase_s)
        draining = fleet.runners[1]
        draining.state = "draining"
        draining.leaves_at = loop.time() + notice_s
        draining.register(fleet.store)
        if has_takeover:
            await asyncio.sleep(notice_s - 2.2)
            leader = fleet.get_leader()
            assert leader is not None
            await leader.stop()
            del fleet.instances[leader.name]
        await asyncio.sleep(draining.leaves_at - _STOP_TIME_S - loop.time())
        assert not draining.running
        runs = [r for r in fleet.history.runs if r.runner == "i-1"]
        exits = [run.exited for run in runs if run.exited is not None]
        # Earlier stops would waste the time that is left.
        assert min(exits) > draining.leaves_at - earliest_s
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
