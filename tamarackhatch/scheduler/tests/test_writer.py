"""Tests the scheduler's transactions with lost and late answers."""

import asyncio
import typing

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_TASK = model.Resources(processors=1000, memory_mb=100)


def test_late_transaction_does_not_overwrite_newer_rows() -> None:
    """Guards against older progress that overwrites newer progress.

    The store carries out a transaction without an answer seconds later, when
    newer progress of the same jobs is already written.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.late_call_share = 0.5
        faults.late_delay_range_s = (1.0, 4.0)
        for number in range(6):
            await fleet.submit(f"0{number}", model.Step(2, _TASK))
            await asyncio.sleep(0.4)
        await asyncio.sleep(4)
        faults.late_call_share = 0.0
        for number in range(6):
            if f"0{number}" in fleet.history.accepted:
                await fleet.wait_for_state(
                    f"0{number}", model.JobState.COMPLETED
                )
        await asyncio.sleep(10)
        for number in range(6):
            if f"0{number}" in fleet.history.accepted:
                state = await _read_progress(fleet, f"0{number}")
                assert state is model.JobState.COMPLETED
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("factor", [20, 76, 135, 200])
def test_scheduler_keeps_its_term_while_the_store_is_slow(
    factor: float,
) -> None:
    """Guards against a scheduler that starts nothing for as long as that.

    With a constant timeout of 0.9 s no transaction of a store that needs
    1.3 s was ever confirmed, and the leader lease ran out.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        for name in ("a", "b", "c"):
            fleet.start_instance(name)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.executes_abandoned_calls = True
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        leader = fleet.get_leader()
        await asyncio.sleep(3)
        fleet.store.slow_down(factor)
        await asyncio.sleep(10)
        for number in range(5):
            while (
                await fleet.submit(f"0{number}", model.Step(2, _TASK))
                is not model.Outcome.DONE
            ):
                continue
            await fleet.wait_for_state(
                f"0{number}", model.JobState.COMPLETED, 12.0
            )
        assert fleet.get_leader() is leader
        assert leader is not None and leader.role.term == 1
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


async def _read_progress(
    fleet: standin_fleet.VirtualFleet, identifier: str
) -> model.JobState | None:
    """Reads a job's state with a new `JobStore`, without cached states."""
    fresh = records.JobStore(
        typing.cast(typing.Any, fleet.instances["a"].jobs)._store, fleet.clock
    )
    return await fresh.read_state(identifier)
