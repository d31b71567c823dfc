"""Tests takeovers and runner faults with whole schedulers in virtual time."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_TASK = model.Resources(processors=1000, memory_mb=100)
_ATTEMPTS = standin_fleet.QUEUE.max_attempts


def _make_step(count: int, **fields: object) -> model.Step:
    return model.Step(count=count, resources=_TASK, **fields)  # type: ignore


async def _start_fleet(
    **options: object,
) -> standin_fleet.VirtualFleet:
    fleet = standin_fleet.VirtualFleet(**options)  # type: ignore
    for name in ("a", "b", "c"):
        fleet.start_instance(name)
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    return fleet


def test_job_completes_once() -> None:
    """Guards against steps out of order and tasks that run twice."""

    async def simulate() -> None:
        fleet = await _start_fleet()
        await fleet.submit("00", _make_step(4), _make_step(3, after=(0,)))
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert len(fleet.history.runs) == 7
        first = [r for r in fleet.history.runs if r.task.startswith("00.0.0.")]
        second = [r for r in fleet.history.runs if r not in first]
        assert max(r.exited or 0 for r in first) <= min(
            r.started for r in second
        )
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("delay_s", [0.05, 0.45, 0.52, 0.56, 0.6, 0.75, 1.2])
def test_killed_scheduler_repeats_no_task(delay_s: float) -> None:
    """Guards against losing exits that the killed scheduler did not write.

    This happens if runners' reports are read before the jobs are known.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        await fleet.submit("00", _make_step(9), _make_step(4, after=(0,)))
        await asyncio.sleep(delay_s)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 30)
        assert fleet.check() == []
        assert len(fleet.history.runs) == 13

    virtual_time.run_virtually(simulate())


def test_planned_stop_hands_over_at_once() -> None:
    """Guards against a wait for timeouts after a graceful stop."""

    async def simulate() -> None:
        fleet = await _start_fleet()
        leader = fleet.get_leader()
        assert leader is not None
        await leader.stop()
        del fleet.instances[leader.name]
        began = asyncio.get_running_loop().time()
        await fleet.submit("00", _make_step(1))
        await fleet.wait_until(lambda: bool(fleet.history.runs))
        assert fleet.history.runs[0].started - began < 0.5

    virtual_time.run_virtually(simulate())


def test_takeover_after_kill_is_fast() -> None:
    """Guards against a killed scheduler delaying starts by 2.5 s or more."""

    async def simulate() -> None:
        fleet = await _start_fleet()
        await asyncio.sleep(3)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        began = asyncio.get_running_loop().time()
        await fleet.submit("00", _make_step(1))
        await fleet.wait_until(lambda: bool(fleet.history.runs))
        assert fleet.history.runs[0].started - began < 2.5

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    "processors, leader",
    [
        ({"a": 0.5, "b": 2.0, "c": 0.5}, "b"),
        ({"a": 2.0, "b": 2.0, "c": 0.5}, "a"),
        ({"a": 0.5, "b": 0.5, "c": 0.5}, None),
    ],
)
def test_scheduler_after_the_loss_of_all_processes(
    processors: dict[str, float], leader: str | None
) -> None:
    """Guards against a scheduler that is too slow for its fleet.

    After all processes were lost together, the instance that had the term
    knows first that it is free. On little processor time it must leave it to
    a better candidate, and all leases must be renewed before they lapse.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(plan=lambda task, run: (12, "done"))
        fleet.start_instance("a", processor=processors["a"])
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        for name in ("b", "c"):
            fleet.start_instance(name, processor=processors[name])
        await fleet.submit("00", _make_step(6))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 6)
        await asyncio.sleep(2)
        for instance in list(fleet.instances.values()):
            instance.kill()
        await asyncio.sleep(1.2)
        for name, processor in processors.items():
            fleet.start_instance(name, processor=processor)
        await fleet.wait_until(lambda: fleet.get_leader() is not None, 1.5)
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        if leader is not None:
            found = fleet.get_leader()
            assert found is not None and found.name == leader
        assert len(fleet.history.runs) == 6
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_no_takeover_while_the_store_serves_nobody() -> None:
    """Guards against a takeover that only an outage of the store causes.

    This happens if time without heartbeats counts while the store gives no
    answers.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        await asyncio.sleep(2)
        leader = fleet.get_leader()
        fleet.store.is_down = True
        await asyncio.sleep(4)
        fleet.store.is_down = False
        await asyncio.sleep(3)
        assert fleet.get_leader() is leader

    virtual_time.run_virtually(simulate())


def test_runner_that_does_not_answer_gets_no_new_leases() -> None:
    """Guards against extending a lease with every attempt to reach a runner.

    Tasks of a runner that is cut off must restart within the lease and a
    second.
    """

    async def simulate() -> None:
        fleet = await _start_fleet(
            runners=2, plan=lambda task, run: (30, "done")
        )
        await fleet.submit("00", _make_step(4))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 4)
        await asyncio.sleep(1)
        lost = fleet.runners[0]
        fleet.network.get_faults(lost.address).unreachable_from.add("*")
        before = len(lost.running)
        await asyncio.sleep(7.5)
        assert len(fleet.history.runs) == 4 + before
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_failures_on_two_runners_count_after_a_takeover() -> None:
    """Guards against a start after a task's last allowed failure.

    This happens if only the highest failed run in the reports counts.
    """

    async def simulate() -> None:
        fleet = await _start_fleet(
            runners=5, plan=lambda task, run: (0.4, "failed")
        )
        await fleet.submit("00", _make_step(1))
        for _ in range(_ATTEMPTS - 1):
            started = len(fleet.history.runs)
            await fleet.wait_until(
                lambda: len(fleet.history.runs) > started, 5
            )
            # The store accepts no writes from now on, so the exits stay
            # unacknowledged and the successor reads them from the reports.
            fleet.store.is_down = True
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        await asyncio.sleep(1)
        fleet.store.is_down = False
        await fleet.wait_for_state("00", model.JobState.FAILED, 30)
        assert len(fleet.history.runs) == _ATTEMPTS
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_superseded_scheduler_that_reaches_runners_breaks_no_rule() -> None:
    """Guards against a second run while a superseded scheduler is active.

    The old scheduler is cut off from the store. Its successor cannot reach one
    runner that the old one still reaches, so it has to wait until the old
    leader lease and the leases granted under it expire.
    """

    async def simulate() -> None:
        fleet = await _start_fleet(
            runners=2, plan=lambda task, run: (4.0, "done")
        )
        await fleet.submit("00", _make_step(6))
        await asyncio.sleep(1)
        leader = fleet.get_leader()
        assert leader is not None
        others = {name for name in fleet.instances if name != leader.name}
        fleet.network.get_faults(
            standin_fleet.STORE_ADDRESS
        ).unreachable_from.add(leader.name)
        fleet.network.get_faults(
            fleet.runners[0].address
        ).unreachable_from |= others
        await asyncio.sleep(25)
        fleet.network.get_faults(
            fleet.runners[0].address
        ).unreachable_from.clear()
        fleet.network.get_faults(
            standin_fleet.STORE_ADDRESS
        ).unreachable_from.clear()
        del fleet.instances[leader.name]
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 30)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_successor_inherits_the_number_of_waiting_jobs() -> None:
    """Guards against reporting 0 waiting jobs before the jobs are read."""

    async def simulate() -> None:
        fleet = await _start_fleet(runners=0)
        for number in range(5):
            await fleet.submit(f"0{number}", _make_step(1))
        await asyncio.sleep(2)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        counts = set()
        for _ in range(500):
            await asyncio.sleep(0.01)
            for instance in fleet.instances.values():
                pending = instance.role.get_pending_count()
                if pending is not None:
                    counts.add(
                        pending.by_queue.get(standin_fleet.QUEUE.name, 0)
                    )
        assert counts == {5}
        assert fleet.get_leader() is not None

    virtual_time.run_virtually(simulate())


def test_unreachable_runner_delays_only_tasks_that_may_run_there() -> None:
    """Guards against ten seconds without starts after a takeover.

    One unreachable runner must not delay new jobs, nor the next steps of
    running jobs (found in brindle-rota trouble-3, seconds 4 to 14).
    """

    async def simulate() -> None:
        fleet = await _start_fleet(plan=lambda task, run: (4.0, "done"))
        await asyncio.sleep(2)
        runner_faults = fleet.network.get_faults(fleet.runners[0].address)
        runner_faults.unreachable_from |= set(fleet.instances)
        await asyncio.sleep(2)
        begin = asyncio.get_running_loop().time()
        await fleet.submit("00", _make_step(2), _make_step(1, after=(0,)))
        await asyncio.sleep(1)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        await asyncio.sleep(2.8)
        assert fleet.get_leader() is not None
        await fleet.submit("01", _make_step(1))
        await asyncio.sleep(2)
        starts = {run.task: run.started - begin for run in fleet.history.runs}
        assert starts["00.0.1.0"] < 4.7
        assert starts["01.0.0.0"] < 4.7
        runner_faults.unreachable_from.clear()
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        await fleet.wait_for_state("01", model.JobState.COMPLETED)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_step_that_an_earlier_scheduler_may_have_started_waits() -> None:
    """Guards against a step that two schedulers start after the same exit.

    The old scheduler receives the exit, cannot write it, and starts the next
    step also on a runner that its successor cannot reach.
    """

    def plan(task: str, _run: int) -> tuple[float, str]:
        return (3.0 if task.startswith("00.0.0.") else 20.0), "done"

    async def simulate() -> None:
        fleet = await _start_fleet(runners=2, plan=plan)
        leader = fleet.get_leader()
        assert leader is not None
        runner_faults = fleet.network.get_faults(fleet.runners[0].address)
        runner_faults.unreachable_from |= set(fleet.instances)
        await asyncio.sleep(2)
        await fleet.submit("00", _make_step(1), _make_step(10, after=(0,)))
        await asyncio.sleep(1)
        runner_faults.unreachable_from.discard(leader.name)
        await asyncio.sleep(1.8)
        store = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store.lost_writes.add(leader.name)
        await asyncio.sleep(0.7)
        hidden = [r for r in fleet.history.runs if r.runner == "i-0"]
        assert len(hidden) >= 3
        await asyncio.sleep(20)
        runner_faults.unreachable_from.clear()
        del fleet.instances[leader.name]
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_new_job_waits_while_a_superseded_scheduler_may_read_it() -> None:
    """Guards against two starts of a job submitted after a takeover.

    The old scheduler's transactions are lost, so it does not know that it is
    superseded. It still reads jobs and reaches a runner that its successor
    cannot (found in brindle-rota, mix 937688842346).
    """

    async def simulate() -> None:
        fleet = await _start_fleet(
            runners=2, plan=lambda task, run: (3.0, "done")
        )
        await fleet.submit("00", _make_step(2))
        await asyncio.sleep(5)
        leader = fleet.get_leader()
        assert leader is not None
        others = {name for name in fleet.instances if name != leader.name}
        store = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store.lost_writes.add(leader.name)
        runner_faults = fleet.network.get_faults(fleet.runners[0].address)
        runner_faults.unreachable_from |= others
        # Otherwise this runner would refuse the old scheduler's token, and it
        # would know that it is superseded.
        other_runner_faults = fleet.network.get_faults(
            fleet.runners[1].address
        )
        other_runner_faults.unreachable_from.add(leader.name)
        await asyncio.sleep(3.5)
        successor = next(
            name for name in others if fleet.instances[name].role.is_active
        )
        await fleet.submit("01", _make_step(4), instance=successor)
        await asyncio.sleep(20)
        runner_faults.unreachable_from.clear()
        other_runner_faults.unreachable_from.clear()
        del fleet.instances[leader.name]
        await fleet.wait_for_state("01", model.JobState.COMPLETED, 30)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("duration_s", [0.3, 4.0])
def test_runs_of_a_job_that_the_successor_reads_late(
    duration_s: float,
) -> None:
    """Guards against running tasks again, over and over, after a takeover.

    The superseded scheduler starts a job that its successor reads seconds
    later. Until then the runners' exits of other jobs must count, and then its
    own runs must be known before any of its tasks is started.
    """

    async def simulate() -> None:
        fleet = await _start_fleet(
            runners=2,
            plan=lambda task, run: (
                duration_s if task.startswith("unread") else 5.0,
                "done",
            ),
        )
        await asyncio.sleep(3)
        leader = fleet.get_leader()
        assert leader is not None
        await fleet.submit("00", _make_step(6), instance=leader.name)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 6, 2)
        successor, follower = (n for n in fleet.instances if n != leader.name)
        store_faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        # The leader still reads jobs and reaches the runners, and the follower
        # does not learn of the takeover.
        store_faults.lost_writes.add(leader.name)
        store_faults.lost_feeds |= {
            (follower, records.LEADER_HEARTBEAT.table),
            (successor, records.JOBS_TABLE),
        }
        for stand_in in fleet.runners:
            faults = fleet.network.get_faults(stand_in.address)
            faults.unreachable_from.add(successor)
        await fleet.wait_until(
            lambda: fleet.instances[successor].role.is_active
        )
        await asyncio.sleep(0.3)
        await fleet.submit("unread", _make_step(2), instance=follower)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 8, 2)
        for stand_in in fleet.runners:
            faults = fleet.network.get_faults(stand_in.address)
            faults.unreachable_from.discard(successor)
        await asyncio.sleep(7)
        store_faults.lost_feeds.clear()
        store_faults.lost_writes.clear()
        for job, count in (("unread", 2), ("00", 6)):
            await fleet.wait_for_state_of(
                successor, job, model.JobState.COMPLETED, 30
            )
            runs = [r for r in fleet.history.runs if r.task.startswith(job)]
            assert len(runs) == count
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
