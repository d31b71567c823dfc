"""The active scheduler that an instance names to operators."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time


@pytest.mark.parametrize("is_dead", [False, True])
@pytest.mark.parametrize("is_new_process", [False, True])
def test_scheduler_that_ended_long_ago_is_not_named(
    is_new_process: bool, is_dead: bool
) -> None:
    """Guards against an old heartbeat whose age counts from its reading."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=0)
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        leader = fleet.get_leader()
        assert leader is not None
        asked = next(
            instance
            for instance in fleet.instances.values()
            if instance is not leader
        )
        await asyncio.sleep(3)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        if is_new_process:
            asked.kill()
        else:
            faults.unreachable_from.add(asked.name)
        await asyncio.sleep(5)
        if is_dead:
            leader.kill()
        await asyncio.sleep(20)
        if is_new_process:
            asked = fleet.start_instance(asked.name)
        faults.unreachable_from.clear()
        named = set()
        for _ in range(200):
            await asyncio.sleep(0.01)
            heartbeat = asked.role.active_scheduler
            named.add(heartbeat and heartbeat.instance)
        assert named - {None} == (set() if is_dead else {leader.name})

    virtual_time.run_virtually(simulate())
