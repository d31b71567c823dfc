"""What a released heartbeat of an earlier process says."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time


@pytest.mark.parametrize("pause_s", [0.1, 60.0])
def test_release_of_an_earlier_process_repeats_no_publication(
    pause_s: float,
) -> None:
    """Guards against an old publication that all instances take for new."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=0)
        fleet.start_instance("a", has_configuration=True, processor=0.5)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(5)
        earlier = fleet.instances.pop("a")
        earlier.kill()
        await asyncio.sleep(pause_s)
        watching = [
            fleet.start_instance(name, has_configuration=True)
            for name in ("b", "c")
        ]
        fleet.start_instance("a", has_configuration=True, processor=0.5)
        fleet.publish_configuration(2)
        newest = fleet.store.put("unrelated", "marker", "")
        seen = set()
        for _ in range(300):
            await asyncio.sleep(0.01)
            for instance in watching:
                publication = instance.role.publication
                if publication is not None:
                    seen.add(publication.position >= newest - 1)
        assert seen == {True}

    virtual_time.run_virtually(simulate())
