"""A fleet in virtual time whose scheduler makes dry runs."""

import asyncio
import datetime
import typing

import attrs

from standins import fleet as standin_fleet
from standins import runner
from tamarackhatch import model
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _scheduler
from tamarackhatch import where

SECOND = datetime.timedelta(seconds=1)
CORE = 1000
QUEUE = standin_fleet.QUEUE
LATER = attrs.evolve(QUEUE, priority=3)
TIMELY = attrs.evolve(QUEUE, target_latency=2 * SECOND, stretch=1.5)
POLICY_QUEUE = attrs.evolve(
    QUEUE,
    advice=model.AdviceTiming(0.05 * SECOND, 0.002 * SECOND, 3 * SECOND),
)
BATCH = model.Step(4, model.Resources(2 * CORE, 1_000), estimate=0.5 * SECOND)
WIDE = attrs.evolve(BATCH, resources=model.Resources(16 * CORE, 1_000))
SERVING = model.Step(
    3,
    model.Resources(4 * CORE, 1_000),
    is_long_running=True,
    image="serving",
    tail_latency_target=0.05 * SECOND,
    max_per_runner=1,
)
BEST_EFFORT = model.Step(
    6,
    model.Resources(3 * CORE, 1_000),
    is_best_effort=True,
    image="report",
    estimate=SECOND,
)
ALMOST_WIDE = attrs.evolve(BATCH, resources=model.Resources(14 * CORE, 1_000))
SMALL = model.Resources(CORE, 1_000)
RACKS = ("r1", "r1", "r2", "r2", "r3", "r3")


def plan(task: str, run: int) -> tuple[float, str]:
    """Plans ten minutes for jobs named ``long``, and 5 s for others."""
    return (600.0 if task.startswith("long") else 5.0), "done"


async def start_fleet(
    run_plan: runner.Plan = plan,
    log_path: str = "/dev/null",
    remote_slowdown: float | None = None,
) -> standin_fleet.VirtualFleet:
    """Starts an instance and six runners of different sizes on three racks."""
    fleet = standin_fleet.VirtualFleet(0, run_plan, log_path=log_path)
    for index, rack in enumerate(RACKS):
        fleet.add_runner(run_plan, index)
        fleet.runners[index].labels = ["large" if index > 3 else "a", rack]
        fleet.runners[index].capacity = model.Resources(
            (16 + 2 * index) * CORE, 64_000
        )
    fleet.bounds = attrs.evolve(fleet.bounds, remote_slowdown=remote_slowdown)
    fleet.start_instance("a")
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    # Until the runners are tracked and have answered.
    await asyncio.sleep(2)
    return fleet


def ask(
    fleet: standin_fleet.VirtualFleet,
    steps: tuple[model.Step, ...],
    queue: model.Queue = QUEUE,
) -> where.Answer:
    """Returns the answer of a dry run at the active scheduler."""
    leader = fleet.get_leader()
    assert leader is not None
    job = model.Job(
        "dry-run",
        queue,
        "work",
        steps,
        fleet.clock.get_utc(),
        term=leader.role.term,
    )
    answer = leader.role.try_placement(job, 1)
    assert answer is not None
    return answer


def get_scheduler(
    fleet: standin_fleet.VirtualFleet,
) -> tuple[_scheduler.Scheduler, _context.SchedulerContext]:
    """Returns the active scheduler and its shared components."""
    leader: typing.Any = fleet.get_leader()
    scheduler = leader.role._scheduler
    return scheduler, scheduler._context
