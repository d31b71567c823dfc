"""Queues with a placement policy, scheduled jobs, gangs and old jobs."""

import asyncio
import datetime

import attrs
import pytest

from standins import advice
from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_TASK = model.Resources(processors=1000, memory_mb=100)
_MS = datetime.timedelta(milliseconds=1)


def test_policy_decides_where_a_step_runs() -> None:
    """Guards against starts without the ticket that the policy requires."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=3)
        policy = advice.AdviceStandIn({"i-1": "t-1"})
        fleet.network.serve(standin_fleet.ADVICE_ADDRESS, policy.handle)
        for item in fleet.runners:
            item.ticket = f"t-{item.identifier.removeprefix('i-')}"
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        queue = attrs.evolve(
            standin_fleet.QUEUE,
            advice=model.AdviceTiming(20 * _MS, 1 * _MS, 3000 * _MS),
        )
        await fleet.submit("00", model.Step(3, _TASK), queue=queue)
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        assert {run.runner for run in fleet.history.runs} == {"i-1"}
        assert [item.starts_without_ticket for item in fleet.runners] == [
            0,
            0,
            0,
        ]
        assert policy.steps == ["00.0.0"]

    virtual_time.run_virtually(simulate())


def test_scheduled_job_runs_each_occurrence_at_its_time() -> None:
    """Guards against occurrences that start early or twice.

    The scheduler is killed between two occurrences.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        first = fleet.clock.get_utc() + datetime.timedelta(seconds=2)
        job = model.Job(
            "00",
            standin_fleet.QUEUE,
            "work",
            (model.Step(2, _TASK),),
            fleet.clock.get_utc(),
            model.Schedule(first, datetime.timedelta(seconds=3), 3),
        )
        deadline = fleet.clock.get_monotonic() + datetime.timedelta(seconds=3)
        jobs = fleet.instances["a"].jobs
        await jobs.submit(job, deadline)
        fleet.history.accepted.add("00")
        origin = asyncio.get_running_loop().time()
        await asyncio.sleep(3.5)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        fleet.start_instance("b")
        await fleet.wait_for_state_of("b", "00", model.JobState.COMPLETED)
        starts: dict[str, list[float]] = {}
        for run in fleet.history.runs:
            occurrence = run.task.split(".")[1]
            starts.setdefault(occurrence, []).append(run.started - origin)
        assert sorted(starts) == ["0", "1", "2"]
        for number, due in (("0", 2.0), ("1", 5.0), ("2", 8.0)):
            assert len(starts[number]) == 2
            assert min(starts[number]) >= due - 0.1
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("count", [2, 5])
def test_gang_starts_together_with_one_run_number(count: int) -> None:
    """Guards against gang members that start apart or with other numbers."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(count, _TASK, is_gang=True))
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        runs = fleet.history.runs
        assert len(runs) == count
        assert {run.run for run in runs} == {1}
        assert max(r.started for r in runs) - min(r.started for r in runs) < 1

    virtual_time.run_virtually(simulate())


def test_rows_of_old_jobs_are_removed() -> None:
    """Guards against tables that grow without bound."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(1, _TASK))
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        refs = [records.get_job_ref("00"), records.get_progress_ref("00")]
        await asyncio.sleep(240)
        for ref in refs:
            assert (
                fleet.store.get(ref.table, ref.key, ref.partition) is not None
            )
        await asyncio.sleep(400)
        for ref in refs:
            assert fleet.store.get(ref.table, ref.key, ref.partition) is None

    virtual_time.run_virtually(simulate())
