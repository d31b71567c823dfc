"""Tests reports that starts overtake, on a runner that has restarted."""

import asyncio

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model

_TASK = model.Resources(processors=4_000, memory_mb=100)


class _LateReport:
    """Restarts a runner, and delays the first report of its incarnation.

    Attributes:
        delay_s: Delay of the next report, in seconds; 0 for none.
        is_made: Set once that report was made.
    """

    def __init__(self, item: runner.RunnerStandIn) -> None:
        self.delay_s = 0.0
        self.is_made = asyncio.Event()
        self._runner = item

    async def handle(self, request: network.Request) -> network.Response:
        """Answers a call."""
        if request.path != runner.RENEWAL_PATH or not self.delay_s:
            return await self._runner.handle(request)
        delay, self.delay_s = self.delay_s, 0.0
        self._runner.crash()
        body = {**request.body, "wait_ms": 0}
        response = await self._runner.handle(attrs.evolve(request, body=body))
        self.is_made.set()
        await asyncio.sleep(delay)
        return response


@pytest.mark.parametrize("run_s", [0.1, 5.0])
@pytest.mark.parametrize("delay_s", [0.2, 0.5])
def test_run_confirmed_after_a_report_was_made_is_not_lost(
    delay_s: float, run_s: float
) -> None:
    """Guards against a second run of a task that a late report omits.

    The report is the first one of a new incarnation, which starts the task
    after it has made the report and confirms the start before it arrives.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            1, lambda task, run: (run_s, "done")
        )
        item = fleet.runners[0]
        late = _LateReport(item)
        fleet.network.serve(item.address, late.handle)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        late.delay_s = delay_s
        await late.is_made.wait()
        await fleet.submit("00", model.Step(2, _TASK))
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        await asyncio.sleep(2)
        assert len(fleet.history.runs) == 2
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("report_delay_s", [0.2, 0.5])
@pytest.mark.parametrize("run_s", [0.1, 0.3])
def test_exit_of_a_new_incarnation_is_not_acknowledged_unread(
    run_s: float, report_delay_s: float
) -> None:
    """Guards against a task that runs again after its end was forgotten.

    The runner restarts after it has made a report, and ends a run before the
    next renewal arrives, which acknowledges exits of the incarnation before.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            1, lambda task, run: (run_s, "done")
        )
        item = fleet.runners[0]
        is_restarted = asyncio.Event()

        async def handle(request: network.Request) -> network.Response:
            response = await item.handle(request)
            if response.body.get("ended") and not is_restarted.is_set():
                item.crash()
                is_restarted.set()
                await asyncio.sleep(report_delay_s)
            return response

        fleet.network.serve(item.address, handle)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        await fleet.submit("00", model.Step(1, _TASK))
        await is_restarted.wait()
        await fleet.submit("01", model.Step(1, _TASK))
        for job in ("00", "01"):
            await fleet.wait_for_state(job, model.JobState.COMPLETED)
        await asyncio.sleep(2)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
