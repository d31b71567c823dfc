"""Tests what a third term knows of the runs of the terms before it."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_RUN_S = 12.0


def _make_step(count: int) -> model.Step:
    return model.Step(count, model.Resources(processors=1000, memory_mb=100))


async def _start_fleet() -> standin_fleet.VirtualFleet:
    fleet = standin_fleet.VirtualFleet(
        runners=2, plan=lambda task, run: (_RUN_S, "done")
    )
    for name in ("a", "b", "c"):
        fleet.start_instance(name)
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    await asyncio.sleep(3)
    return fleet


@pytest.mark.parametrize("silent_s", [2.6, 3.0, 3.4, 4.0])
def test_runner_with_an_unread_run_stays_tracked(silent_s: float) -> None:
    """Guards against a third term that takes such a runner for new.

    The second term reads the job of the run late, and has no task there. The
    runner then does not answer it, and it hands over.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        first = fleet.get_leader()
        assert first is not None
        second, third = (n for n in fleet.instances if n != first.name)
        runner = fleet.runners[0]
        runner_faults = fleet.network.get_faults(runner.address)
        other_faults = fleet.network.get_faults(fleet.runners[1].address)
        store_faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        # The first scheduler does not learn that it is superseded. It still
        # reads jobs and reaches one runner.
        store_faults.lost_writes.add(first.name)
        store_faults.lost_feeds |= {
            (third, records.LEADER_HEARTBEAT.table),
            (second, records.JOBS_TABLE),
        }
        runner_faults.unreachable_from |= {second, third}
        other_faults.unreachable_from.add(first.name)
        await fleet.wait_until(
            lambda: fleet.instances[second].role.is_active, 10
        )
        await asyncio.sleep(0.3)
        await fleet.submit("unread", _make_step(1), instance=third)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 1, 2)
        runner_faults.unreachable_from.discard(second)
        await asyncio.sleep(1.8)
        store_faults.unreachable_from.add(first.name)
        runner_faults.unreachable_from |= {first.name, second}
        store_faults.lost_feeds.discard(
            (third, records.LEADER_HEARTBEAT.table)
        )
        await asyncio.sleep(silent_s)
        asyncio.create_task(fleet.instances.pop(second).stop())
        await asyncio.sleep(12)
        runner_faults.unreachable_from.clear()
        store_faults.unreachable_from.clear()
        await fleet.wait_for_state_of(
            third, "unread", model.JobState.COMPLETED, 40
        )
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("is_killed", [False, True])
@pytest.mark.parametrize("gap_s", [0.2, 1.0, 2.0])
def test_first_scheduler_of_three_is_not_known_to_have_stopped(
    gap_s: float, is_killed: bool
) -> None:
    """Guards against a third term that starts what the first still starts.

    The second scheduler stops, or is killed and starts again under its name,
    while the first one does not know that it is superseded.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        first = fleet.get_leader()
        assert first is not None
        second, third = (n for n in fleet.instances if n != first.name)
        runner_faults = fleet.network.get_faults(fleet.runners[0].address)
        other_faults = fleet.network.get_faults(fleet.runners[1].address)
        store_faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store_faults.lost_writes.add(first.name)
        # The instance that accepts the job does not learn of the takeovers.
        store_faults.lost_feeds.add((third, records.LEADER_HEARTBEAT.table))
        store_faults.lost_reads.add((third, records.LEADER_HEARTBEAT.table))
        runner_faults.unreachable_from |= {second, third}
        other_faults.unreachable_from.add(first.name)
        await fleet.wait_until(
            lambda: fleet.instances[second].role.is_active, 10
        )
        await asyncio.sleep(gap_s)
        stopped = fleet.instances[second]
        if is_killed:
            stopped.kill()
        else:
            await stopped.stop()
        fleet.start_instance(second)
        await fleet.wait_until(
            lambda: fleet.instances[second].role.is_active, 10
        )
        await fleet.submit("late", _make_step(4), instance=third)
        await asyncio.sleep(25)
        runner_faults.unreachable_from.clear()
        other_faults.unreachable_from.clear()
        store_faults.lost_feeds.clear()
        store_faults.lost_reads.clear()
        del fleet.instances[first.name]
        await fleet.wait_for_state_of(
            second, "late", model.JobState.COMPLETED, 60
        )
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
