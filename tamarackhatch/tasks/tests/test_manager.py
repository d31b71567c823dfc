"""Failure tests of dispatcher and worker manager together."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
import typing

import pytest

from tamarackhatch import declarations
from tamarackhatch import model
from tamarackhatch.tasks.tests import bench as benches
from tamarackhatch.tasks.tests import fleet
from tamarackhatch import testing

FAULTS = testing.StoreFault


def run_bench(
    scenario: Callable[
        [benches.Bench], Coroutine[typing.Any, typing.Any, None]
    ],
    bench: benches.Bench | None = None,
) -> None:
    async def run() -> None:
        made = bench or benches.Bench()
        await made.start()
        try:
            await scenario(made)
        finally:
            await made.stop()

    asyncio.run(run())


@pytest.mark.parametrize("fault", [None, *FAULTS])
@pytest.mark.parametrize("position", range(4))
def test_store_fault_at_each_commit(
    fault: testing.StoreFault | None, position: int
) -> None:
    """Guards against work lost or done twice by a fault of one commit."""

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("j", count=10)
        bench.tables.add_commit_faults(*[None] * position, fault)
        await bench.advance(30)
        job = await bench.read_job("j")
        assert job.state is model.JobState.FINISHED
        assert [task.attempt for task in job.tasks] == [1] * 10
        assert len(bench.fleet.starts) == 10
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario)


def test_cut_off_worker_is_given_up_after_its_leases() -> None:
    """Guards against a second run while a silent worker may still run."""

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("j", count=4, command="60")
        await bench.advance(5)
        worker = bench.fleet.starts[0][0]
        bench.fleet.faults[worker] = fleet.Fault.CUT_OFF
        await bench.advance(150)
        job = await bench.read_job("j")
        assert job.state is model.JobState.FINISHED
        assert {task.attempt for task in job.tasks} == {2}
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario)


@pytest.mark.parametrize("keeps_authority", [False, True])
@pytest.mark.parametrize("pause", [5, 20, 40, 90])
@pytest.mark.parametrize("at", [0.8, 3])
def test_owner_paused_while_another_takes_over(
    at: float, pause: float, keeps_authority: bool
) -> None:
    """Guards against orders and settlements of an owner that was replaced.

    With keeps_authority, the paused owner still believes in its ownership
    after it wakes; then only tokens and row versions hold it back.
    """
    bench = benches.Bench(names=("a", "b"))

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("j", count=20, command="20")
        await bench.advance(at)
        old = bench.nodes["a"]
        old.set_paused(True)
        old.ownership.set_authority(keeps_authority)
        bench.nodes["b"].roster.members = ("b",)
        await bench.advance(4)
        for worker in bench.workers:
            if worker in old.ownership.list_owned():
                await bench.claim(worker, "b")
        await bench.advance(pause)
        old.set_paused(False)
        await bench.advance(10)
        for worker in old.ownership.list_owned():
            old.ownership.drop_worker(worker)
        await bench.advance(110)
        job = await bench.read_job("j")
        assert job.state is model.JobState.FINISHED
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario, bench)


def test_store_outage_keeps_tasks_running() -> None:
    """Guards against lapsed leases and lost results in a long outage."""

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("short", count=5, command="10")
        await bench.submit("long", count=5, command="100")
        await bench.advance(4)
        bench.tables.set_down(True)
        await bench.advance(80)
        assert len(bench.fleet.list_running()) == 5
        bench.tables.set_down(False)
        await bench.advance(40)
        for name in ("short", "long"):
            job = await bench.read_job(name)
            assert [task.attempt for task in job.tasks] == [1] * 5
            assert job.state is model.JobState.FINISHED
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario)


def test_urgent_job_preempts_batch_tasks() -> None:
    """Guards against urgent work that starts late or victims that double."""

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("batch", count=24, command="60")
        await bench.advance(6)
        assert len(bench.fleet.list_running()) == 24
        await bench.submit("now", count=3, command="5", urgent=True)
        begin = bench.clock.get_utc()
        await bench.advance(30)
        waits = [
            (at - begin).total_seconds()
            for (task, _), at in bench.fleet.started_at.items()
            if task.job == "now"
        ]
        assert len(waits) == 3 and max(waits) < 6.3
        await bench.advance(100)
        job = await bench.read_job("batch")
        moved = [task for task in job.tasks if task.attempt == 2]
        assert len(moved) == 3
        assert all(
            task.checkpoint == f"batch/{task.index}#1" for task in moved
        )
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario)


def test_cancel_wave_is_cheap_and_frees_everything() -> None:
    """Guards against a cost of cancellation that grows with its tasks."""

    async def scenario(bench: benches.Bench) -> None:
        jobs = [f"j{index}" for index in range(30)]
        for name in jobs:
            await bench.submit(name, count=2, command="1000")
        await bench.advance(10)
        before = bench.tables.commit_count
        await asyncio.gather(*map(bench.service.cancel_job, jobs))
        await bench.advance(10)
        assert bench.tables.commit_count - before <= len(jobs) + 6
        for name in jobs:
            job = await bench.read_job(name)
            assert job.state is model.JobState.CANCELLED
            assert {task.state for task in job.tasks} == {
                model.TaskState.CANCELLED
            }
        assert bench.fleet.list_running() == []
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario)


def test_worker_that_fails_everything_is_quarantined() -> None:
    """Guards against a bad worker that uses up the attempts of all jobs."""

    async def scenario(bench: benches.Bench) -> None:
        bench.fleet.failing.add("w0")
        for index in range(12):
            await bench.submit(f"j{index}", command="3")
            await bench.advance(2)
        await bench.advance(200)
        for index in range(12):
            job = await bench.read_job(f"j{index}")
            assert job.state is model.JobState.FINISHED
        tries = [place for place, _ in bench.fleet.starts if place == "w0"]
        assert len(tries) <= 6
        bench.fleet.failing.clear()
        for index in range(60):
            await bench.submit(f"k{index}", command="3")
        await bench.advance(300)
        records = {item.worker: item for item in await bench.read_workers()}
        assert records["w0"].health.probe_at is None
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario)


@pytest.mark.parametrize("workers", [1, 6])
def test_job_that_always_fails_ends_with_reasons(workers: int) -> None:
    """Guards against a job that is retried for ever."""

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("bad", count=3, command="fail")
        await bench.submit("good", count=6, command="5")
        await bench.advance(120)
        bad = await bench.read_job("bad")
        assert bad.state is model.JobState.FAILED
        assert "failed 4 times" in bad.reason
        failed = next(
            task for task in bad.tasks if task.state is model.TaskState.FAILED
        )
        assert len(set(failed.failed_workers)) == min(workers, 4)
        good = await bench.read_job("good")
        assert good.state is model.JobState.FINISHED
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario, benches.Bench(workers=workers))


def test_leaving_server_is_vacated() -> None:
    """Guards against tasks that end with their machine."""

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("j", count=6, command="60")
        await bench.advance(5)
        worker = bench.fleet.starts[0][0]
        count = len(bench.fleet.list_running(worker))
        benches.set_state(bench, worker, model.ServerState.LEAVING)
        await bench.advance(10)
        assert bench.fleet.list_running(worker) == []
        assert len(bench.fleet.list_running()) == 6
        job = await bench.read_job("j")
        resumed = [task for task in job.tasks if task.attempt == 2]
        assert len(resumed) == count > 0
        assert all(task.checkpoint for task in resumed)
        assert await bench.find_faults() == []

    run_bench(scenario)


@pytest.mark.parametrize("fault", list(fleet.Fault))
@pytest.mark.parametrize("length", [3, 15, 45])
def test_worker_faults(fault: fleet.Fault, length: float) -> None:
    """Guards against lost or doubled attempts when a worker's answers fail."""

    async def scenario(bench: benches.Bench) -> None:
        bench.fleet.faults["w1"] = fault
        await bench.submit("j", count=24, command="20")
        await bench.advance(length)
        del bench.fleet.faults["w1"]
        await bench.advance(200)
        job = await bench.read_job("j")
        assert job.state is model.JobState.FINISHED
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario)


def test_restarted_worker_loses_its_attempts_once() -> None:
    """Guards against attempts that a worker forgot and nobody resumes."""

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("j", count=24, command="40")
        await bench.advance(5)
        bench.fleet.restart("w1")
        await bench.advance(150)
        job = await bench.read_job("j")
        assert job.state is model.JobState.FINISHED
        assert sorted({task.attempt for task in job.tasks}) == [1, 2]
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario)


def test_shrunk_worker_is_never_over_committed() -> None:
    """Guards against a row that promises more than the machine has left."""

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("j", count=24, command="300")
        await bench.advance(5)
        small = model.Resources(2000, 8192, 0)
        bench.instances.set_backend(
            benches.build_backend("w1", capacity=small)
        )
        await bench.submit("k", count=24, command="300")
        await bench.advance(20)
        assert len(bench.fleet.list_running("w1")) == 2
        records = {item.worker: item for item in await bench.read_workers()}
        assert records["w1"].capacity == small
        assert await bench.find_faults() == []

    run_bench(scenario)


def test_quota_limits_a_team() -> None:
    """Guards against a team that holds more than its quota."""
    team = declarations.TeamPolicy(model.Resources(5000, 100000, 0))

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("j", count=20, command="10")
        await bench.advance(6)
        assert len(bench.fleet.list_running()) == 5
        await bench.advance(120)
        job = await bench.read_job("j")
        assert job.state is model.JobState.FINISHED
        assert await bench.find_faults(is_idle=True) == []

    run_bench(scenario, benches.Bench(team=team))


def test_slow_runner_gets_relief() -> None:
    """Guards against interference without throttle, eviction or lift."""

    async def scenario(bench: benches.Bench) -> None:
        await bench.submit("j", count=1, command="500")
        await bench.advance(5)
        latency = bench.nodes["a"].latency
        latency.service = "query"
        latency.p99 = datetime.timedelta(milliseconds=900)
        worker = bench.fleet.starts[0][0]
        run = bench.fleet.runs[worker][model.TaskId("j", 0)]
        await bench.advance(7)
        assert run.percent == 30
        latency.p99 = datetime.timedelta(milliseconds=50)
        await bench.advance(30)
        assert run.percent == 100
        latency.p99 = datetime.timedelta(milliseconds=900)
        await bench.advance(30)
        job = await bench.read_job("j")
        assert job.tasks[0].attempt >= 2
        assert await bench.find_faults() == []

    run_bench(scenario)
