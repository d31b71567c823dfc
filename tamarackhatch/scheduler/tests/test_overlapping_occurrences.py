"""Tests takeovers of scheduled jobs whose occurrences overlap."""

import asyncio
import datetime

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model

_MS = datetime.timedelta(milliseconds=1)
_INTERVAL = 100 * _MS
_STEP = model.Step(1, model.Resources(processors=100, memory_mb=64))
_JOB = "3500000000000001"
_LONG_S = 11.0
_SHORT_S = 1.0


def _plan(task: str, run: int) -> tuple[float, str]:
    """Plans long and short runs in turn, so that over 100 overlap."""
    occurrence = int(task.split(".")[1])
    return (_SHORT_S if occurrence % 2 else _LONG_S), "done"


async def _submit(
    fleet: standin_fleet.VirtualFleet, *steps: model.Step, count: int = 2000
) -> None:
    now = fleet.clock.get_utc()
    job = model.Job(
        _JOB,
        standin_fleet.QUEUE,
        "work",
        steps,
        now,
        model.Schedule(now, _INTERVAL, count),
    )
    fleet.history.accepted.add(_JOB)
    fleet.history.record_steps(_JOB, steps)
    instance = next(iter(fleet.instances.values()))
    deadline = fleet.clock.get_monotonic() + 3000 * _MS
    await instance.jobs.submit(job, deadline)


async def _kill_leader(
    fleet: standin_fleet.VirtualFleet, slowness: float
) -> None:
    """Kills the leader while the store is slow, and starts it again."""
    usual = fleet.store.latency_s
    if slowness > 1:
        fleet.store.slow_down(slowness)
        await asyncio.sleep(4.2)
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    leader = fleet.get_leader()
    assert leader is not None
    leader.kill()
    del fleet.instances[leader.name]
    await asyncio.sleep(0.3)
    fleet.store.latency_s, fleet.store.write_latency_s = usual, None
    await asyncio.sleep(1)
    fleet.start_instance(leader.name)


@pytest.mark.parametrize("slowness", [1, 20, 60])
@pytest.mark.parametrize(
    "steps",
    [(_STEP,), (_STEP, attrs.evolve(_STEP, after=(0,)))],
    ids=["one-step", "two-steps"],
)
def test_occurrences_beyond_the_limit_keep_their_exits(
    steps: tuple[model.Step, ...], slowness: float
) -> None:
    """Guards against exits of occurrences that a successor has not opened.

    They were acknowledged as those of unknown tasks, and started again.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=6, plan=_plan)
        for name in ("a", "b", "c"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await _submit(fleet, *steps, count=500)
        await asyncio.sleep(16)
        for _ in range(4):
            await _kill_leader(fleet, slowness)
            await asyncio.sleep(9)
        await fleet.wait_for_state(_JOB, model.JobState.COMPLETED, 150)
        done = [run for run in fleet.history.runs if run.exit_reason == "done"]
        assert len({run.task for run in done}) == 500 * len(steps)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
