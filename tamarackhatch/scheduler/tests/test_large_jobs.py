"""Tests jobs whose progress does not fit into one row of the store."""

import asyncio
import base64
import random

import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_SMALL = model.Step(4, model.Resources(processors=500, memory_mb=100))
_LARGE = "aa"


class _Observer:
    """Notes which transactions the store rejects, and the longest value.

    Attributes:
        rejected: Number of transactions that were answered with 400.
        longest: Length of the longest value, in bytes of its base64 text.
        parts: Parts of the large job's progress that were written.
    """

    def __init__(self, fleet: standin_fleet.VirtualFleet) -> None:
        self.rejected = 0
        self.longest = 0
        self.parts: set[int] = set()
        self._store = fleet.store
        fleet.network.serve(standin_fleet.STORE_ADDRESS, self._handle)

    async def _handle(self, request: network.Request) -> network.Response:
        response = await self._store.handle(request)
        if request.path == "/-/rows-tx":
            self.rejected += response.status == 400
            for put in request.body["puts"]:
                self.longest = max(self.longest, len(put["value"]))
                part = records.get_progress_part(put["key"])
                if part is not None and part[0] == _LARGE:
                    self.parts.add(part[1])
        return response


def _plan_batch(task: str, run: int) -> tuple[float, str]:
    """Plans 2 to 12 s of work; every third task fails once."""
    if not task.startswith(_LARGE):
        return 0.5, "done"
    draw = random.Random(task)
    work_s = draw.uniform(2.0, 12.0)
    if draw.random() < 0.33 and run in (1, 1001):
        return 2.5, "failed"
    return work_s, "done"


def _plan_lasting(task: str, run: int) -> tuple[float, str]:
    """Plans work without end; every tenth task fails once."""
    if not task.startswith(_LARGE):
        return 0.5, "done"
    draw = random.Random(task)
    if draw.random() < 0.1 and run == 1:
        return draw.uniform(2.0, 8.0), "failed"
    return 1e6, "done"


def _open_fleet(runners: int, plan: runner.Plan) -> standin_fleet.VirtualFleet:
    fleet = standin_fleet.VirtualFleet(runners, plan)
    for item in fleet.runners:
        item.checkpoint_interval_s = 1.0
        item.checkpoint_length = 16
        item.restore_s = 0.2
    for name in ("a", "b"):
        fleet.start_instance(name)
    return fleet


async def _run_small_jobs(
    fleet: standin_fleet.VirtualFleet, first: int, count: int
) -> None:
    for number in range(first, first + count):
        job = f"b{number}"
        await fleet.submit(job, _SMALL)
        await fleet.wait_for_state(job, model.JobState.COMPLETED, 4)


@pytest.mark.parametrize("is_leader_killed", [False, True])
@pytest.mark.parametrize(
    ("plan", "is_long_running"),
    [
        pytest.param(_plan_batch, False, id="batch"),
        pytest.param(_plan_lasting, True, id="long-running"),
    ],
)
def test_large_job_holds_up_nothing(
    plan: runner.Plan, is_long_running: bool, is_leader_killed: bool
) -> None:
    """Guards against a row that the store rejects for its length.

    With it, the heartbeat and the progress of all jobs were rejected as well.
    A successor has to know all failures and finished tasks of the job.
    """

    async def simulate() -> None:
        fleet = _open_fleet(12, plan)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        observer = _Observer(fleet)
        step = model.Step(
            3_000,
            model.Resources(50, 10),
            is_checkpointing=True,
            is_long_running=is_long_running,
        )
        await fleet.submit(_LARGE, step)
        await _run_small_jobs(fleet, 0, 6)
        leader = fleet.get_leader()
        assert leader is not None and leader.role.term == 1
        if is_leader_killed:
            leader.kill()
            del fleet.instances[leader.name]
            await fleet.wait_until(lambda: fleet.get_leader() is not None)
            await asyncio.sleep(2)
        await _run_small_jobs(fleet, 6, 6)
        # The last failures come within 8 s of a start.
        await asyncio.sleep(3)
        if not is_long_running:
            await fleet.wait_for_state(_LARGE, model.JobState.COMPLETED, 60)
        leader = fleet.get_leader()
        assert leader is not None
        assert leader.role.term == (2 if is_leader_killed else 1)
        running = sum(
            task.startswith(_LARGE)
            for item in fleet.runners
            for task in item.running
        )
        assert running == (step.count if is_long_running else 0)
        assert observer.parts
        assert observer.rejected == 0
        assert observer.longest <= fleet.store.row_bytes
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_rows_of_a_large_job_are_removed_with_its_end() -> None:
    """Guards against tables that grow with each large job."""

    async def simulate() -> None:
        fleet = _open_fleet(12, _plan_batch)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        observer = _Observer(fleet)
        step = model.Step(
            2_400, model.Resources(50, 10), is_checkpointing=True
        )
        await fleet.submit(_LARGE, step)
        await fleet.wait_for_state(_LARGE, model.JobState.COMPLETED, 60)
        assert observer.parts
        for part in observer.parts:
            ref = records.get_progress_part_ref(_LARGE, part)
            assert fleet.store.get(ref.table, ref.key) is None
        ref = records.get_progress_ref(_LARGE)
        value = fleet.store.get(ref.table, ref.key)
        assert value is not None
        assert base64.b64decode(value) == b'{"s":"completed"}'

    virtual_time.run_virtually(simulate())


def test_successor_resumes_a_large_job_from_its_checkpoints() -> None:
    """Guards against work of a large job that is done again after a kill.

    The runners of its tasks are lost together with the scheduler, so that
    only the store has the checkpoints.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(12, lambda task, run: (6.0, "done"))
        for item in fleet.runners:
            item.checkpoint_interval_s = 1.0
            item.checkpoint_length = 16
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        observer = _Observer(fleet)
        step = model.Step(
            2_000, model.Resources(90, 10), is_checkpointing=True
        )
        await fleet.submit(_LARGE, step)
        await asyncio.sleep(3.5)
        # Stops save the checkpoints, which are stored with the exits.
        for item in fleet.runners[:6]:
            item.state = "draining"
            item.leaves_at = asyncio.get_running_loop().time() + 1.0
            item.register(fleet.store)
        await asyncio.sleep(1.0)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        await fleet.wait_for_state(_LARGE, model.JobState.COMPLETED, 90)
        assert observer.parts
        saved = [
            run
            for run in fleet.history.runs
            if run.run > 1000 and run.exit_reason == "done"
        ]
        assert saved
        assert fleet.check() == []
        resumed = [
            run
            for run in saved
            if run.exited is not None and run.exited - run.started < 4.5
        ]
        assert len(resumed) >= 0.9 * len(saved)

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("steps", [400, 2_000])
def test_job_that_cannot_be_stored_is_refused_at_once(steps: int) -> None:
    """Guards against a caller that waits for a write which never succeeds."""

    async def simulate() -> None:
        fleet = _open_fleet(2, _plan_batch)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        observer = _Observer(fleet)
        step = model.Step(1, model.Resources(50, 10), image="x" * 80)
        began = asyncio.get_running_loop().time()
        with pytest.raises(records.JobTooLargeError):
            await fleet.ask_service(_LARGE, *[step] * steps)
        assert asyncio.get_running_loop().time() == began
        assert observer.rejected == 0

    virtual_time.run_virtually(simulate())
