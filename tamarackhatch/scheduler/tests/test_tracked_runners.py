"""Tests the durable list of runners that a successor has to reconcile."""

import asyncio
import base64
from collections.abc import Sequence
import functools

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_TASK = model.Resources(processors=8000, memory_mb=100)
_RUNNER = "i-1"


def _read_tracked_runners(fleet: standin_fleet.VirtualFleet) -> set[str]:
    ref = records.TRACKED_RUNNERS
    value = fleet.store.get(ref.table, ref.key, ref.partition)
    assert value is not None
    tracked_runners = records.decode_tracked_runners(
        [model.Row(ref, base64.b64decode(value), 1)]
    )
    return {entry.identifier for entry in tracked_runners}


def _is_longer(items: Sequence[object], count: int) -> bool:
    return len(items) > count


def _set_state(fleet: standin_fleet.VirtualFleet, state: str) -> None:
    for item in fleet.runners:
        if item.identifier == _RUNNER:
            item.state = state


@pytest.mark.parametrize("pause_s", [0.05, 0.15, 0.25, 0.35, 0.45, 0.55])
def test_runner_gets_tasks_once_it_is_tracked(pause_s: float) -> None:
    """Guards against a start on a runner that no successor would ask.

    A second runner is added while the list of tracked runners with the first
    one is being written; the store answers slowly.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1, lambda task, run: (60.0, "done"))
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(20, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 2)
        store = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store.delay_s = 0.3
        for index in (1, 2):
            fleet.add_runner(lambda task, run: (60.0, "done"), index)
            await asyncio.sleep(pause_s)
        runs = fleet.history.runs
        while len(runs) < 6:
            count = len(runs)
            await fleet.wait_until(functools.partial(_is_longer, runs, count))
            started = {run.runner for run in runs}
            assert started <= _read_tracked_runners(fleet)

    virtual_time.run_virtually(simulate())


def test_drained_runner_is_untracked_and_tracked_again() -> None:
    """Guards against tracking a drained runner, which delays successors.

    Once the runner is ready again, it must get tasks.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(2)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(4, _TASK))
        await asyncio.sleep(0.3)
        assert _RUNNER in _read_tracked_runners(fleet)
        _set_state(fleet, "draining")
        await asyncio.sleep(3)
        assert _RUNNER not in _read_tracked_runners(fleet)
        count = len(fleet.history.runs)
        await fleet.submit("01", model.Step(4, _TASK))
        await fleet.wait_for_state("01", model.JobState.COMPLETED)
        assert {run.runner for run in fleet.history.runs[count:]} == {"i-0"}
        _set_state(fleet, "ready")
        await asyncio.sleep(3)
        assert _RUNNER in _read_tracked_runners(fleet)
        await fleet.submit("02", model.Step(4, _TASK))
        await fleet.wait_for_state("02", model.JobState.COMPLETED)
        assert _RUNNER in {run.runner for run in fleet.history.runs[-4:]}
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_successor_does_not_wait_for_a_runner_that_has_left() -> None:
    """Guards against ten seconds without starts after a takeover.

    Found in brindle-rota trouble-3.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(2)
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        _set_state(fleet, "draining")
        await asyncio.sleep(3)
        leader = fleet.get_leader()
        assert leader is not None
        runner_faults = fleet.network.get_faults(fleet.runners[1].address)
        runner_faults.unreachable_from |= set(fleet.instances)
        await asyncio.sleep(1)
        leader.kill()
        del fleet.instances[leader.name]
        # The instance that accepts the job does not know of a later term yet.
        await fleet.submit("00", model.Step(1, _TASK))
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 4.5)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_long_list_of_tracked_runners_is_stored_and_read() -> None:
    """Guards against a list that the store rejects for its length.

    No runner got tasks, and the scheduler lost its term, since each of its
    transactions contained the list.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            300, lambda task, run: (20.0, "done")
        )
        for index, item in enumerate(fleet.runners):
            item.identifier = f"i-{index}".ljust(190, "x")
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        await fleet.submit("00", model.Step(300, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 300, 5)
        leader = fleet.get_leader()
        assert leader is not None and leader.role.term == 1
        ref = records.get_tracked_runners_ref(1)
        assert fleet.store.get(ref.table, ref.key) is not None
        leader.kill()
        del fleet.instances[leader.name]
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 30)
        assert len(fleet.history.runs) == 300
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
