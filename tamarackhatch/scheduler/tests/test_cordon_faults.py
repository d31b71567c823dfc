"""Tests cordons when transactions or exits are pending as a scheduler ends."""

import asyncio
import base64

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_TASK = model.Resources(processors=8000, memory_mb=100)
_SMALL_TASK = model.Resources(processors=100, memory_mb=10)


def _list_cordoned(fleet: standin_fleet.VirtualFleet) -> dict[str, int]:
    """Returns the runners that the stored list names, with their tasks."""
    ref = records.CORDONS
    value = fleet.store.get(ref.table, ref.key, ref.partition)
    if value is None:
        return {}
    cordons = records.decode_cordons(base64.b64decode(value))
    return {item.identifier: len(item.tasks) for item in cordons.runners}


def _kill_leader(fleet: standin_fleet.VirtualFleet) -> None:
    leader = fleet.get_leader()
    assert leader is not None
    leader.kill()
    del fleet.instances[leader.name]


def test_cordon_whose_write_had_no_answer_is_removed_from_the_store() -> None:
    """Guards against a second run of a task that a cordoned runner got.

    The store carries out the transaction that cordons a silent runner, and its
    answer is lost. The runner returns before the next transaction and gets a
    task. Then the scheduler is killed, and its successor does not reach the
    runner.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(3, lambda task, run: (60.0, "done"))
        for name in "ab":
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        await fleet.submit("00", model.Step(4, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 4)
        leader = fleet.get_leader()
        assert leader is not None
        (other,) = set(fleet.instances) - {leader.name}
        silent = fleet.runners[2]
        runner_faults = fleet.network.get_faults(silent.address)
        store_faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        runner_faults.unreachable_from.add("*")
        await asyncio.sleep(2)
        store_faults.lost_answers_to.add(leader.name)
        await fleet.wait_until(
            lambda: silent.identifier in _list_cordoned(fleet), 10
        )
        runner_faults.unreachable_from = {other}
        store_faults.lost_answers_to.clear()
        step = model.Step(2, _TASK, is_long_running=True)
        await fleet.submit("long", step, instance=other)
        await fleet.wait_until(
            lambda: any(task.startswith("long") for task in silent.running)
        )
        fleet.add_runner(lambda task, run: (60.0, "done"), 3)
        await asyncio.sleep(1.5)
        assert fleet.get_leader() is leader
        _kill_leader(fleet)
        await asyncio.sleep(20)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_exits_that_are_not_durable_keep_their_tasks_in_the_list() -> None:
    """Guards against a start after a run whose exit a runner still lists.

    A draining runner lists the exits of more jobs than one transaction holds.
    The scheduler is killed after the first of these transactions, and its
    successor reaches the runner a second later than the others.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1, lambda task, run: (6.0, "done"))
        for name in "ab":
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        jobs = [f"{number:03}" for number in range(120)]
        for job in jobs:
            await fleet.submit(job, model.Step(1, _SMALL_TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 120)
        leader = fleet.get_leader()
        assert leader is not None
        (other,) = set(fleet.instances) - {leader.name}
        draining = fleet.runners[0]
        draining.state = "draining"
        draining.leaves_at = asyncio.get_running_loop().time() + 30
        fleet.add_runner(lambda task, run: (6.0, "done"), 1)
        await fleet.wait_until(lambda: len(draining.running) < 120, 10)
        store_faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store_faults.lost_writes.add(leader.name)
        await fleet.wait_until(lambda: not draining.running, 10)
        runner_faults = fleet.network.get_faults(draining.address)
        runner_faults.unreachable_from.add(other)
        store_faults.lost_writes.clear()
        await fleet.wait_until(
            lambda: _list_cordoned(fleet).get(draining.identifier) == 0, 3
        )
        _kill_leader(fleet)
        await fleet.wait_until(lambda: fleet.get_leader() is not None, 4)
        await asyncio.sleep(1)
        runner_faults.unreachable_from.clear()
        await asyncio.sleep(20)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
