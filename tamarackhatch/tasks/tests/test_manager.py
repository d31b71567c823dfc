"""Failure tests of dispatcher and worker manager together."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import typing

import pytest

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
