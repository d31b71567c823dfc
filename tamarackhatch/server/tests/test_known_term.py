"""The latest term that an instance knows of."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time


@pytest.mark.parametrize("is_stopped", [False, True])
def test_known_term_never_decreases(is_stopped: bool) -> None:
    """Guards against the heartbeat from before a term as the latest one.

    Jobs carry the term, which keeps earlier schedulers from starting them.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=0)
        for name in ("a", "b", "c"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        first = fleet.get_leader()
        assert first is not None
        await asyncio.sleep(3)
        first.kill()
        del fleet.instances[first.name]
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        second = fleet.get_leader()
        assert second is not None
        await asyncio.sleep(3)
        terms = [second.role.term]
        if is_stopped:
            second.role.stop()
        else:
            faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
            faults.unreachable_from.add(second.name)
            await asyncio.sleep(6)
            faults.unreachable_from.clear()
        for _ in range(6_000):
            await asyncio.sleep(0.001)
            terms.append(second.role.term)
        assert terms == sorted(terms)
        assert terms[-1] > terms[0]

    virtual_time.run_virtually(simulate())
