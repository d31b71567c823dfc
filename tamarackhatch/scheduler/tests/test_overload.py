"""More starts than the processor of the acting scheduler can handle."""

import asyncio
import datetime
import random

import attrs
import pytest

from standins import busy_loop
from standins import fleet as standin_fleet
from standins import history
from standins import pausable_loop
from standins import runner
from tamarackhatch import model

_RUNNERS = 40
_CAPACITY = model.Resources(64_000, 256_000)
_RUN_TIME_S = 1.0
_URGENT = attrs.evolve(
    standin_fleet.QUEUE,
    name="checks",
    stretch=1.5,
    target_latency=datetime.timedelta(milliseconds=400),
)
_BULK = attrs.evolve(standin_fleet.QUEUE, priority=2)
# An urgent job that starts later than this misses its objective.
_LATEST_START_S = 0.9
_TRAFFIC_S = 12.0
_BURST = (3.0, 9.0)


def _plan(task: str, _run: int) -> tuple[float, str]:
    return _RUN_TIME_S, "done"


@attrs.define
class _Result:
    """What a play shows.

    Attributes:
        late_share: Share of the urgent tasks that started too late for their
            job's objective.
        unrecorded: Starts that were sent without a record.
        lost: Runs that were taken for lost.
        terms: Terms of schedulers.
        violations: Broken rules.
    """

    late_share: float
    unrecorded: float
    lost: float
    terms: int
    violations: list[history.Violation]


async def _play(loop: busy_loop.BusyLoop, callback_s: float) -> _Result:
    network = pausable_loop.IndependentNetwork(1)
    fleet = standin_fleet.VirtualFleet(0, fleet_network=network)
    for index in range(_RUNNERS):
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
    for name in ("a", "b"):
        loop.run_as(name, fleet.start_instance, name)
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    leader = fleet.get_leader()
    assert leader is not None
    client = next(name for name in ("a", "b") if name != leader.name)
    await asyncio.sleep(2)
    loop.set_cost(leader.name, callback_s)
    source = random.Random(1)
    submitted: dict[str, float] = {}
    jobs: list[asyncio.Task[model.Outcome]] = []
    began = loop.time()
    while (elapsed := loop.time() - began) < _TRAFFIC_S:
        number = len(submitted)
        job = f"{number:04}"
        is_burst = _BURST[0] <= elapsed < _BURST[1]
        if number % 4 == 0:
            step = model.Step(
                6,
                model.Resources(6_000, 8_000),
                estimate=datetime.timedelta(seconds=_RUN_TIME_S),
            )
            queue = _URGENT
        else:
            step = model.Step(
                source.randint(20, 40) if is_burst else 4,
                model.Resources(1_000, 2_000),
                is_best_effort=True,
                image=f"bulk-{number % 3}",
                estimate=datetime.timedelta(seconds=_RUN_TIME_S),
            )
            queue = _BULK
        submitted[job] = loop.time()
        jobs.append(
            asyncio.create_task(
                fleet.submit(job, step, instance=client, queue=queue)
            )
        )
        await asyncio.sleep(0.1)
    await asyncio.gather(*jobs)
    await asyncio.sleep(15)
    first_runs = {
        run.task: run.started for run in reversed(fleet.history.runs)
    }
    urgent = [job for job in submitted if int(job) % 4 == 0]
    late = sum(
        first_runs.get(f"{job}.0.0.{index}", 1e9) - submitted[job]
        > _LATEST_START_S
        for job in urgent
        for index in range(6)
    )
    metrics = [instance.metrics for instance in fleet.instances.values()]
    return _Result(
        late / (6 * len(urgent)),
        sum(_read(it.render(), "unrecorded_starts_total") for it in metrics),
        sum(_read(it.render(), 'ends_total{reason="lost"}') for it in metrics),
        leader.role.term,
        fleet.check(),
    )


def _read(rendered: bytes, name: str) -> float:
    for line in rendered.decode().splitlines():
        if line.startswith(f"tamarackhatch_{name} "):
            return float(line.split()[-1])
    return 0.0


@pytest.mark.parametrize(
    "callback_us",
    [pytest.param(100, id="fast"), pytest.param(700, id="slow")],
)
def test_urgent_tasks_start_in_time_while_more_starts_come_than_fit(
    callback_us: int,
) -> None:
    """Guards against a scheduler that starts all that has room, and all late.

    Load: in a burst of best-effort jobs more tasks have room than a slow
    processor can start, beside urgent jobs that need little.
    """
    loop = busy_loop.BusyLoop()
    result = pausable_loop.run_pausably(_play(loop, callback_us / 1e6), loop)
    assert result.violations == []
    assert result.lost == result.unrecorded == 0
    assert result.terms == 1
    assert result.late_share <= 0.05
