"""Tests which waiting tasks a takeover holds back, and for how long."""

import asyncio
import base64
from collections.abc import Sequence

import pytest

from standins import fleet as standin_fleet
from standins import runner as standin_runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_TASK = model.Resources(processors=8000, memory_mb=100)
_LONG_RUNNING = model.Step(1, _TASK, is_long_running=True)


def _plan(task: str, _run: int) -> tuple[float, str]:
    return (60.0 if task.startswith("long") else 6.0), "done"


def _drain(runner: standin_runner.RunnerStandIn) -> None:
    """Announces a departure long before its time, so that tasks stay."""
    runner.state = "draining"
    runner.leaves_at = asyncio.get_running_loop().time() + 30


def _leave(
    fleet: standin_fleet.VirtualFleet, runner: standin_runner.RunnerStandIn
) -> None:
    """Ends a runner's registration and its connections."""
    runner.is_registering = False
    fleet.store.remove("servers", runner.identifier)
    fleet.network.get_faults(runner.address).unreachable_from.add("*")


async def _end_leader(fleet: standin_fleet.VirtualFleet, how: str) -> None:
    leader = fleet.get_leader()
    assert leader is not None
    if how == "stop":
        await leader.stop()
    else:
        leader.kill()
    del fleet.instances[leader.name]


async def _start_fleet(names: Sequence[str]) -> standin_fleet.VirtualFleet:
    fleet = standin_fleet.VirtualFleet(3, _plan)
    for name in names:
        fleet.start_instance(name)
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    await asyncio.sleep(1)
    return fleet


def _list_starts(fleet: standin_fleet.VirtualFleet, job: str) -> list[float]:
    return [
        run.started
        for run in fleet.history.runs
        if run.task.startswith(f"{job}.")
    ]


@pytest.mark.parametrize("departure", ["drained", "silent"])
@pytest.mark.parametrize(
    "how, delay_s", [("stop", 1.5), ("kill", 4.0)], ids=["stop", "kill"]
)
def test_departed_runner_holds_back_only_its_own_tasks(
    how: str, delay_s: float, departure: str
) -> None:
    """Guards against waiting tasks that no runner can have started.

    A runner leaves with tasks, and soon after the scheduler ends.
    """

    async def simulate() -> None:
        fleet = await _start_fleet("ab")
        await fleet.submit("00", model.Step(6, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 6)
        await fleet.submit("long", _LONG_RUNNING)
        departed = fleet.runners[2]
        held = set(departed.running)
        assert len(held) == 2
        if departure == "drained":
            _drain(departed)
            await asyncio.sleep(1.5)
        _leave(fleet, departed)
        await asyncio.sleep(2)
        if how == "stop":
            # The other tasks end soon after the successor is ready.
            await asyncio.sleep(1)
        ended = asyncio.get_running_loop().time()
        await _end_leader(fleet, how)
        await fleet.wait_until(lambda: bool(_list_starts(fleet, "long")), 30)
        free = min(run.exited or 99.0 for run in fleet.history.runs)
        started = _list_starts(fleet, "long")[0]
        assert started < max(free + 0.5, ended + delay_s)
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert fleet.check() == []
        restarted = [run for run in fleet.history.runs if run.task in held]
        assert len(restarted) == 4

    virtual_time.run_virtually(simulate())


def test_task_starts_while_schedulers_stop_in_turn() -> None:
    """Guards against a wait that each of many takeovers begins anew."""

    async def simulate() -> None:
        fleet = await _start_fleet("abcdef")
        await fleet.submit("00", model.Step(6, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 6)
        await fleet.submit("long", _LONG_RUNNING)
        departed = fleet.runners[2]
        _drain(departed)
        await asyncio.sleep(1.5)
        _leave(fleet, departed)
        for _ in range(4):
            await asyncio.sleep(1)
            await _end_leader(fleet, "stop")
            await asyncio.sleep(2)
        free = min(run.exited or 99.0 for run in fleet.history.runs)
        assert _list_starts(fleet, "long")[0] < free + 1.5
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_exit_between_two_schedulers_starts_the_task_again() -> None:
    """Guards against a long-running task without a run for ten seconds.

    The first scheduler stops a task on a draining runner, and its successor
    reads the exit. Another runner has left with a task.
    """

    async def simulate() -> None:
        fleet = await _start_fleet("ab")
        await fleet.submit("00", model.Step(2, _TASK))
        await fleet.submit("long", _LONG_RUNNING)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 3)
        draining = next(
            runner
            for runner in fleet.runners
            if any(task.startswith("long") for task in runner.running)
        )
        departed = next(
            runner
            for runner in fleet.runners
            if runner is not draining and runner.running
        )
        _drain(departed)
        await asyncio.sleep(1.5)
        _leave(fleet, departed)
        await asyncio.sleep(1)
        # The scheduler ends before it reads the exit.
        fleet.network.get_faults(draining.address).delay_s = 0.3
        draining.state = "draining"
        await fleet.wait_until(
            lambda: not any(t.startswith("long") for t in draining.running), 5
        )
        exited = asyncio.get_running_loop().time()
        await _end_leader(fleet, "stop")
        await fleet.wait_until(lambda: len(_list_starts(fleet, "long")) == 2)
        assert _list_starts(fleet, "long")[1] < exited + 2.5
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("are_writes_lost", [False, True])
def test_runner_that_returns_gets_tasks_only_once_successors_know(
    are_writes_lost: bool,
) -> None:
    """Guards against a second run of a task that a cordoned runner got.

    A runner is silent, returns and gets a new task. Then the scheduler is
    killed, and its successor does not reach the runner.
    """

    async def simulate() -> None:
        fleet = await _start_fleet("ab")
        await fleet.submit("00", model.Step(4, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 4)
        silent = fleet.runners[2]
        faults = fleet.network.get_faults(silent.address)
        faults.unreachable_from.add("*")
        await asyncio.sleep(2.5)
        leader = fleet.get_leader()
        assert leader is not None
        store = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        if are_writes_lost:
            store.lost_writes.add(leader.name)
        (other,) = set(fleet.instances) - {leader.name}
        step = model.Step(4, _TASK, is_long_running=True)
        await fleet.submit("long", step, instance=other)
        faults.unreachable_from = {other}
        await asyncio.sleep(1.5)
        gained = [task for task in silent.running if task.startswith("long")]
        assert bool(gained) is not are_writes_lost
        leader.kill()
        del fleet.instances[leader.name]
        await asyncio.sleep(20)
        assert fleet.check() == []
        assert len(_list_starts(fleet, "long")) >= 4

    virtual_time.run_virtually(simulate())


def test_cordons_older_than_the_tracked_runners_do_not_count() -> None:
    """Guards against a start beside a run that the previous scheduler began.

    That scheduler is of a build which does not write cordons.
    """

    async def simulate() -> None:
        fleet = await _start_fleet("ab")
        await fleet.submit("00", model.Step(4, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 4)
        assert fleet.runners[2].running
        cordons = (records.CordonedRunner(fleet.runners[2].identifier, ()),)
        value = base64.b64encode(records.encode_cordons(cordons)).decode()
        faults = fleet.network.get_faults(fleet.runners[2].address)
        faults.unreachable_from.add("*")
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        # The list that an earlier build finds, and the one that it writes.
        cordon_ref, ref = records.CORDONS, records.TRACKED_RUNNERS
        fleet.store.put(cordon_ref.table, cordon_ref.key, value)
        tracked = fleet.store.get(ref.table, ref.key, ref.partition)
        assert tracked is not None
        fleet.store.put(ref.table, ref.key, tracked)
        await asyncio.sleep(20)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_loss_shortly_before_stops_in_series_delays_no_other_task() -> None:
    """Guards against a wait for a lost runner that each term begins anew.

    The runner is lost too late for the scheduler to cordon it.
    """

    async def simulate() -> None:
        fleet = await _start_fleet("abcdef")
        await fleet.submit("00", model.Step(6, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 6)
        await fleet.submit("long", _LONG_RUNNING)
        await asyncio.sleep(1)
        lost = fleet.network.get_faults(fleet.runners[2].address)
        lost.unreachable_from.add("*")
        await asyncio.sleep(0.2)
        for _ in range(4):
            await _end_leader(fleet, "stop")
            await asyncio.sleep(3)
        await fleet.wait_until(lambda: bool(_list_starts(fleet, "long")), 30)
        free = min(run.exited or 99.0 for run in fleet.history.runs)
        assert _list_starts(fleet, "long")[0] < free + 9
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("how", ["stop", "kill"])
def test_waiting_tasks_count_only_for_the_next_term(how: str) -> None:
    """Guards against a second run of a task that a later scheduler started.

    The first scheduler hands over a waiting task, the second one starts it and
    ends, and the third one does not reach the task's runner.
    """

    async def simulate() -> None:
        fleet = await _start_fleet("abc")
        await fleet.submit("00", model.Step(6, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 6)
        await fleet.submit("long", _LONG_RUNNING)
        await asyncio.sleep(1)
        await _end_leader(fleet, "stop")
        await fleet.wait_until(lambda: bool(_list_starts(fleet, "long")), 30)
        runner = next(
            item
            for item in fleet.runners
            if any(task.startswith("long") for task in item.running)
        )
        fleet.network.get_faults(runner.address).unreachable_from.add("*")
        await _end_leader(fleet, how)
        await asyncio.sleep(20)
        assert fleet.check() == []
        assert len(_list_starts(fleet, "long")) == 2

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("delay_s", [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7])
def test_scheduler_that_stops_before_it_is_ready_hands_on_what_it_read(
    delay_s: float,
) -> None:
    """Guards against running tasks that a successor takes for waiting ones.

    The second scheduler may have read the jobs, and not yet where they run.
    """

    async def simulate() -> None:
        fleet = await _start_fleet("abc")
        await fleet.submit("00", model.Step(3, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 3)
        silent = fleet.network.get_faults(fleet.runners[2].address)
        assert fleet.runners[2].running
        silent.unreachable_from = set(fleet.instances)
        store = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store.delay_s = 0.1
        await _end_leader(fleet, "stop")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(delay_s)
        await _end_leader(fleet, "stop")
        store.delay_s = 0.0
        await asyncio.sleep(3)
        silent.unreachable_from = set()
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_tasks_start_while_each_scheduler_is_stopped_at_once() -> None:
    """Guards against terms that end before they can start anything."""

    async def simulate() -> None:
        fleet = await _start_fleet("abcdefghijklmnop")
        await fleet.submit("00", model.Step(6, _TASK))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 6)
        await fleet.submit("long", _LONG_RUNNING)
        await asyncio.sleep(5)
        stops = 0
        while not _list_starts(fleet, "long"):
            await fleet.wait_until(lambda: fleet.get_leader() is not None)
            await _end_leader(fleet, "stop")
            stops += 1
            assert stops < 14
        free = min(run.exited or 99.0 for run in fleet.history.runs)
        assert _list_starts(fleet, "long")[0] < free + 2
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
