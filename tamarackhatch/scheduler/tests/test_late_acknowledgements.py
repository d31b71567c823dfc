"""Renewals with acknowledgements that a restarted runner carries out late."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model

_TASK = model.Step(1, model.Resources(processors=4_000, memory_mb=100))


class _LateRenewal:
    """Restarts a runner while a renewal for it is held back.

    Attributes:
        delay_s: Time by which the next renewal is late, in seconds; 0 for
            none.
        is_restarted: Set once the runner has restarted.
    """

    def __init__(self, item: runner.RunnerStandIn) -> None:
        self.delay_s = 0.0
        self.is_restarted = asyncio.Event()
        self._runner = item
        self._late: asyncio.Task[None] | None = None

    async def handle(self, request: network.Request) -> network.Response:
        """Answers a call."""
        if request.path != runner.RENEWAL_PATH or not self.delay_s:
            return await self._runner.handle(request)
        delay, self.delay_s = self.delay_s, 0.0
        self._late = asyncio.create_task(self._handle_late(request, delay))
        self._runner.crash()
        self.is_restarted.set()
        raise network.NoResponseError

    async def _handle_late(
        self, request: network.Request, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        await self._runner.handle(request)


@pytest.mark.parametrize("is_registering", [True, False])
@pytest.mark.parametrize("delay_s", [2.0, 2.2, 2.4])
def test_late_renewal_forgets_no_exit_of_a_new_incarnation(
    delay_s: float, is_registering: bool
) -> None:
    """Guards against a task that runs again after its end was forgotten.

    A renewal that waits for an exit acknowledges those before once more, and
    reaches the next incarnation, which has ended a run meanwhile.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1)
        item = fleet.runners[0]
        late = _LateRenewal(item)
        fleet.network.serve(item.address, late.handle)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        await fleet.submit("00", _TASK)
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        await asyncio.sleep(4)
        item.is_registering = is_registering
        late.delay_s = delay_s
        await late.is_restarted.wait()
        await fleet.submit("01", _TASK)
        await asyncio.sleep(4)
        item.is_registering = True
        await fleet.wait_for_state("01", model.JobState.COMPLETED, 20)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
