"""Runs scenarios of forwarding between instances in virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable

from standins import network
from standins import virtual_time
from tamarackhatch.entry.tests import fleet as entry_fleet

# Ways in which the store fails an instance.
FAULTS = ("503", "429", "reset", "silence")
JOB = "00000000000000a1"
PAIR = ("north-a/a", "north-a/b")
Scenario = Callable[[entry_fleet.EntryFleet], Awaitable[None]]


def run(
    scenario: Scenario, *names: str, has_internal_addresses: bool = True
) -> None:
    """Runs a scenario on instances that know each other; a pair by default."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet(
            *(names or PAIR), has_internal_addresses=has_internal_addresses
        )
        await fleet.discover()
        await scenario(fleet)

    virtual_time.run_virtually(simulate())


def count_calls(fleet: entry_fleet.EntryFleet, name: str) -> dict[str, int]:
    """Counts the calls to an instance's internal interface by path."""
    instance = fleet.instances[name]
    counts: dict[str, int] = {}

    async def handle(request: network.Request) -> network.Response:
        counts[request.path] = counts.get(request.path, 0) + 1
        return await instance._handle(request)

    fleet.network.serve(instance.address, handle)
    return counts
