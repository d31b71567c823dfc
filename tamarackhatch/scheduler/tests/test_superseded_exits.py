"""Tests exits that a superseded scheduler receives beside its successor."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model

_TASK = model.Resources(processors=8000, memory_mb=100)


@pytest.mark.parametrize("duration_s", [3.3, 3.4, 3.5, 3.6])
def test_exit_that_a_superseded_scheduler_receives_starts_no_step_twice(
    duration_s: float,
) -> None:
    """Guards against a step that two schedulers start after the same exit.

    The transactions of the first scheduler are lost. It waits for the answer
    of a runner that has answered its successor meanwhile, and reaches another
    runner that the successor does not reach.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            3, lambda task, run: (duration_s, "done")
        )
        for name in "ab":
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        steps = (model.Step(1, _TASK), model.Step(5, _TASK, after=(0,)))
        await fleet.submit("00", *steps)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 1)
        leader = fleet.get_leader()
        assert leader is not None
        (other,) = set(fleet.instances) - {leader.name}
        hidden = next(item for item in fleet.runners if not item.running)
        faults = fleet.network.get_faults(hidden.address)
        faults.unreachable_from.add(other)
        await asyncio.sleep(1.5)
        store_faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store_faults.lost_writes.add(leader.name)
        await asyncio.sleep(25)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
