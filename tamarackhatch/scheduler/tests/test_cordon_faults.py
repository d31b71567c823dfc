"""Tests cordons when transactions or exits are pending as a scheduler ends."""

import asyncio
import base64

import pytest

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
    runners = records.decode_cordons(base64.b64decode(value))
    return {item.identifier: len(item.tasks) for item in runners}


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


@pytest.mark.parametrize(
    "is_cordoned, term_s",
    [(True, 1.0), (False, 2.2)],
    ids=["cordoned", "not-cordoned"],
)
def test_tasks_on_an_unreachable_runner_wait_in_later_terms(
    is_cordoned: bool, term_s: float
) -> None:
    """Guards against a second run after two takeovers within one lease.

    Neither successor reaches a runner with tasks. The first has no report of
    it, and hands on what it has read, if the runner was cordoned at all.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(2, lambda task, run: (30.0, "done"))
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        await fleet.submit("01", model.Step(4, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 4)
        hidden = fleet.runners[0]
        assert len(hidden.running) == 2
        if is_cordoned:
            hidden.state = "draining"
            hidden.leaves_at = asyncio.get_running_loop().time() + 60
            await asyncio.sleep(2)
        faults = fleet.network.get_faults(hidden.address)
        faults.unreachable_from = {"b", "c"}
        fleet.start_instance("b")
        fleet.start_instance("c")
        fleet.add_runner(lambda task, run: (2.0, "done"), 2)
        await asyncio.sleep(2)
        for _ in range(2):
            await fleet.wait_until(lambda: fleet.get_leader() is not None, 5)
            leader = fleet.get_leader()
            assert leader is not None
            await asyncio.sleep(term_s)
            await leader.stop()
            del fleet.instances[leader.name]
        await fleet.wait_until(lambda: fleet.get_leader() is not None, 5)
        await asyncio.sleep(20)
        assert fleet.check() == []
        assert len(fleet.history.runs) == 6

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("delay_s", [0.002, 0.1])
def test_successor_that_stops_while_it_reads_hands_on_the_list(
    delay_s: float,
) -> None:
    """Guards against a wait for a departed runner that begins again.

    A successor is stopped as soon as it has won its term, before it has read
    what its predecessor stored.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(3, lambda task, run: (6.0, "done"))
        for name in "abcd":
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        await fleet.submit("00", model.Step(6, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 6)
        await fleet.submit("long", model.Step(1, _TASK, is_long_running=True))
        departed = fleet.runners[2]
        departed.state = "draining"
        departed.leaves_at = asyncio.get_running_loop().time() + 30
        await asyncio.sleep(1.5)
        departed.is_registering = False
        fleet.store.remove("servers", departed.identifier)
        faults = fleet.network.get_faults(departed.address)
        faults.unreachable_from.add("*")
        await asyncio.sleep(2)
        store_faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store_faults.delay_s = delay_s
        for _ in range(2):
            await fleet.wait_until(lambda: fleet.get_leader() is not None, 5)
            leader = fleet.get_leader()
            assert leader is not None
            await leader.stop()
            del fleet.instances[leader.name]
        await asyncio.sleep(20)
        free = min(run.exited or 99.0 for run in fleet.history.runs)
        started = min(
            run.started
            for run in fleet.history.runs
            if run.task.startswith("long")
        )
        assert started < free + 3

    virtual_time.run_virtually(simulate())
