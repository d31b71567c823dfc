"""Late starts while the store confirms no term, so that no token rises."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model

_TASK = model.Step(1, model.Resources(processors=16_000, memory_mb=100))


class _LateStart:
    """Breaks off a first start, and carries out a second one late.

    Attributes:
        is_ready: Whether the runner takes starts.
        accepted: Set once a start was accepted.
    """

    def __init__(self, item: runner.RunnerStandIn, delay_s: float) -> None:
        self.is_ready = False
        self.accepted = asyncio.Event()
        self._runner = item
        self._delay_s = delay_s
        self._starts = 0
        self._late: asyncio.Task[None] | None = None

    async def handle(self, request: network.Request) -> network.Response:
        """Answers a call."""
        if request.path != runner.START_PATH:
            return await self._runner.handle(request)
        if not self.is_ready:
            return network.Response(503)
        self._starts += 1
        if self._starts == 1:
            raise network.BrokenConnectionError
        if self._starts == 2:
            self._late = asyncio.create_task(self._handle_late(request))
            raise network.NoResponseError
        response = await self._runner.handle(request)
        if response.status == 200:
            self.accepted.set()
        return response

    async def _handle_late(self, request: network.Request) -> None:
        await asyncio.sleep(self._delay_s)
        await self._runner.handle(request)


@pytest.mark.parametrize("is_store_up", [True, False])
@pytest.mark.parametrize("delay_s", [2.2, 2.6, 3.0])
def test_late_start_does_not_run_beside_one_elsewhere(
    delay_s: float, is_store_up: bool
) -> None:
    """Guards against a task that runs twice at once.

    Its confirmed run is lost with its runner, while an earlier attempt is
    still on its way and no higher token can be sent.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(2, lambda task, run: (8.0, "done"))
        late_runner = fleet.runners[0]
        late = _LateStart(late_runner, delay_s)
        fleet.network.serve(late_runner.address, late.handle)
        fleet.runners[1].capacity = model.Resources(1_000, 64_000)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        await fleet.submit("00", _TASK)
        await asyncio.sleep(0.5)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        if not is_store_up:
            faults.lost_writes = {"a"}
            await asyncio.sleep(0.1)
        late.is_ready = True
        await late.accepted.wait()
        fleet.runners[1].capacity = model.Resources(16_000, 64_000)
        fleet.runners[1].register(fleet.store)
        await asyncio.sleep(0.3)
        late_runner.crash(resets_connections=True)
        await asyncio.sleep(5)
        faults.lost_writes = set()
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 30)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
