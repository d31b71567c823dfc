"""Tests submissions through several instances while the store has faults."""

import asyncio
import datetime

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import virtual_time
from tamarackhatch import model

_STEP = model.Step(1, model.Resources(processors=1000, memory_mb=100))
_MS = datetime.timedelta(milliseconds=1)
_CALLER_TIMEOUT = 3000 * _MS


@attrs.define
class _StoreFault:
    """What keeps an instance from writing to the store.

    Attributes:
        is_down: Whether the store answers 503 to all calls.
        is_unresponsive: Whether the store answers no call.
        is_cut_off: Whether the second instance cannot reach the store.
    """

    is_down: bool = False
    is_unresponsive: bool = False
    is_cut_off: bool = False

    def begin(
        self, fleet: standin_fleet.VirtualFleet, faults: network.Faults
    ) -> None:
        """Starts the fault."""
        fleet.store.is_down = self.is_down
        fleet.store.is_unresponsive = self.is_unresponsive
        if self.is_cut_off:
            faults.unreachable_from.add("b")

    def end(
        self, fleet: standin_fleet.VirtualFleet, faults: network.Faults
    ) -> None:
        """Ends the fault."""
        fleet.store.is_down = fleet.store.is_unresponsive = False
        faults.unreachable_from.clear()


_FAULTS = [
    _StoreFault(is_down=True),
    _StoreFault(is_unresponsive=True),
    _StoreFault(is_cut_off=True),
]


async def _submit_late(
    fleet: standin_fleet.VirtualFleet, faults: network.Faults
) -> None:
    """Submits job 00 through instance a; the store applies it later."""
    faults.late_call_share = 1.0
    faults.late_delay_range_s = (6.0, 6.0)
    outcome = await fleet.submit("00", _STEP, instance="a")
    assert outcome is model.Outcome.UNKNOWN
    faults.late_call_share = 0.0


@pytest.mark.parametrize("fault", _FAULTS)
@pytest.mark.parametrize(
    "timeout", [0 * _MS, 100 * _MS, 400 * _MS, _CALLER_TIMEOUT]
)
def test_no_instance_refuses_a_job_that_another_may_have_stored(
    fault: _StoreFault, timeout: datetime.timedelta
) -> None:
    """Guards against saying that a job never runs while its write is pending.

    The store applies the write of instance a only after instance b, which
    cannot write, has answered the caller's second attempt.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        for name in ("a", "b"):
            fleet.start_instance(name)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await _submit_late(fleet, faults)
        fault.begin(fleet, faults)
        repeated = await fleet.submit(
            "00", _STEP, instance="b", timeout=timeout
        )
        assert repeated is model.Outcome.UNKNOWN
        fault.end(fleet, faults)
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert len(fleet.history.runs) == 1
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("fault", "max_seconds"),
    [
        (_StoreFault(is_down=True), 0.6),
        (_StoreFault(is_unresponsive=True), 1.1),
        (_StoreFault(is_cut_off=True), 1.1),
    ],
)
def test_caller_is_answered_in_time_to_ask_another_instance(
    fault: _StoreFault, max_seconds: float
) -> None:
    """Guards against holding a caller for its whole timeout.

    An instance that cannot write tries for half a second, and waits for at
    most one write that it has begun by then.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        for name in ("a", "b"):
            fleet.start_instance(name)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        fault.begin(fleet, faults)
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = await fleet.submit("00", _STEP, instance="b")
        assert outcome is model.Outcome.UNKNOWN
        assert loop.time() - began < max_seconds
        fault.end(fleet, faults)
        again = await fleet.submit("00", _STEP, instance="a")
        assert again is model.Outcome.DONE

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("outage_s", [0.05, 0.3, 0.45])
def test_short_outage_of_the_store_is_bridged(outage_s: float) -> None:
    """Guards against sending callers away that could be served at once."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        fleet.store.is_down = True
        submission = asyncio.create_task(fleet.submit("00", _STEP))
        await asyncio.sleep(outage_s)
        fleet.store.is_down = False
        assert await submission is model.Outcome.DONE

    virtual_time.run_virtually(simulate())


def test_lost_answer_costs_the_caller_under_half_a_second() -> None:
    """Guards against waiting long for an answer that the store has lost.

    A second write shows at once that the first one was applied.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.lost_answer_share = 1.0
        loop = asyncio.get_running_loop()
        began = loop.time()
        submission = asyncio.create_task(fleet.submit("00", _STEP))
        await asyncio.sleep(0.1)
        faults.lost_answer_share = 0.0
        assert await submission is model.Outcome.DONE
        assert loop.time() - began < 0.5
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert len(fleet.history.runs) == 1

    virtual_time.run_virtually(simulate())
