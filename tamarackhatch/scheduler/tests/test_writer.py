"""Transactions of the scheduler under lost and late answers."""

import asyncio
import typing

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_TASK = model.Resources(processors=1000, memory_mb=100)


def test_late_transaction_does_not_overwrite_newer_rows() -> None:
    """Guards against progress that goes back when the store is late.

    A transaction without an answer is carried out seconds later, when later
    progress of the same jobs is already written.
    """

    async def play() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.late_calls = 0.5
        faults.late_s = (1.0, 4.0)
        for number in range(6):
            await fleet.submit(f"0{number}", model.Step(2, _TASK))
            await asyncio.sleep(0.4)
        await asyncio.sleep(4)
        faults.late_calls = 0.0
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

    virtual_time.run_virtually(play())


def test_unknown_outcome_is_not_a_refusal() -> None:
    """A submission whose answers were lost is never said not to be stored."""

    async def play() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.lost_answers = 1.0
        result = await fleet.submit("00", model.Step(1, _TASK))
        assert result is records.Submission.UNKNOWN
        faults.lost_answers = 0.0
        fleet.store.is_down = True
        repeated = await fleet.submit("00", model.Step(1, _TASK))
        assert repeated is records.Submission.UNKNOWN
        fleet.store.is_down = False
        again = await fleet.submit("00", model.Step(1, _TASK))
        assert again is records.Submission.ACCEPTED
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert len(fleet.history.runs) == 1

    virtual_time.run_virtually(play())


def test_refusal_comes_at_once_while_the_store_is_down() -> None:
    """A caller is told within a quarter second to come back later."""

    async def play() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        fleet.store.is_down = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        result = await fleet.submit("00", model.Step(1, _TASK))
        assert result is records.Submission.REFUSED
        assert loop.time() - began < 0.35

    virtual_time.run_virtually(play())


async def _read_progress(
    fleet: standin_fleet.VirtualFleet, identifier: str
) -> model.JobState | None:
    """Reads the row itself, because final states are cached."""
    fresh = records.JobStore(
        typing.cast(typing.Any, fleet.instances["a"].jobs)._store, fleet.clock
    )
    return await fresh.read_state(identifier)
