"""Urgent batch tasks that need more than half a runner, on a full fleet."""

import asyncio
import datetime
import random

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import runner
from standins import virtual_time
from tamarackhatch import model

_CAPACITY = model.Resources(64_000, 256_000)
_RUN_TIME = datetime.timedelta(seconds=1)
_URGENT = attrs.evolve(
    standin_fleet.QUEUE,
    name="checks",
    stretch=1.5,
    target_latency=datetime.timedelta(milliseconds=400),
)
_OBJECTIVE_S = 1.9


def _plan(task: str, _number: int) -> tuple[float, str]:
    if task.startswith("long-running"):
        return 600.0, "done"
    return _RUN_TIME.total_seconds(), "done"


def _make_long_running_steps(cpu: int) -> list[model.Step]:
    """Returns steps of 8 to 18 cores a task.

    Args:
        cpu: CPU that they reserve together at most, in thousandths of a core.
    """
    source = random.Random(1)
    steps: list[model.Step] = []
    free = cpu
    while True:
        count = source.randint(4, 12)
        processors = source.randrange(8_000, 18_000, 50)
        free -= count * processors
        if free < 0:
            return steps
        steps.append(
            model.Step(
                count,
                model.Resources(processors, 20_000),
                is_long_running=True,
                max_per_runner=2 * source.randint(0, 1),
                image=f"serving-{source.randrange(8)}",
                tail_latency_target=datetime.timedelta(milliseconds=50),
            )
        )


@pytest.mark.parametrize(
    ("runners", "reserved_share"),
    [
        pytest.param(40, 0.88, id="40-runners"),
        pytest.param(160, 0.92, id="160-runners"),
    ],
)
def test_large_urgent_tasks_start_at_once_beside_long_running_ones(
    runners: int, reserved_share: float
) -> None:
    """Guards against free processors that lie in pieces of a few cores.

    Load: the long-running tasks of a service come together and reserve about
    nine tenths of it. Urgent jobs with a task of 24 to 36 cores, one a second
    for each ten runners, need about half of what is left.
    """

    async def simulate() -> float:
        fleet = standin_fleet.VirtualFleet(0)
        for index in range(runners):
            fleet.adopt_runner(
                runner.RunnerStandIn(
                    f"i-{index}",
                    f"10.1.0.{index + 1}:8000",
                    standin_fleet.SERVICE,
                    _plan,
                    fleet.history,
                    _CAPACITY,
                )
            )
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        steps = _make_long_running_steps(
            int(runners * _CAPACITY.processors * reserved_share)
        )
        await asyncio.gather(
            *(
                fleet.submit(f"long-running-{number}", step)
                for number, step in enumerate(steps)
            )
        )
        count = sum(step.count for step in steps)
        await fleet.wait_until(lambda: len(fleet.history.runs) == count)
        source = random.Random(2)
        loop = asyncio.get_running_loop()
        submitted: dict[str, float] = {}
        for number in range(runners):
            job = f"check-{number}"
            step = model.Step(
                1,
                model.Resources(source.randrange(24_000, 36_000, 100), 40_000),
                estimate=_RUN_TIME,
            )
            submitted[job] = loop.time()
            await fleet.submit(job, step, queue=_URGENT)
            await asyncio.sleep(10 / runners)
        await asyncio.sleep(_OBJECTIVE_S)
        started = {
            run.task.split(".")[0]: run.started
            for run in reversed(fleet.history.runs)
        }
        in_time = sum(
            started.get(job, loop.time()) + _RUN_TIME.total_seconds()
            <= begin + _OBJECTIVE_S
            for job, begin in submitted.items()
        )
        assert not fleet.check()
        return in_time / runners

    assert virtual_time.run_virtually(simulate()) >= 0.9
