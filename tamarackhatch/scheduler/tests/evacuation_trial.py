"""A fleet in virtual time whose data centres are evacuated."""

import asyncio
import datetime
import os

import attrs

from standins import fleet as standin_fleet
from standins import history
from standins import runner
from tamarackhatch import model

SECOND = datetime.timedelta(seconds=1)
BOUND = history.EVACUATION_BOUND_S * SECOND
GOAL_S = history.EVACUATION_BOUND_S / 2
TASK = model.Resources(2_000, 8_000)
LONG_S = 600.0
EAST, WEST = "east", "west"


def plan_second(task: str, run: int) -> tuple[float, str]:
    """Plans a second for every run, and success."""
    return 1.0, "done"


def plan_long(task: str, run: int) -> tuple[float, str]:
    """Plans ten minutes for every run."""
    return LONG_S, "done"


async def start_fleet(
    plan: runner.Plan = plan_second,
    data_centres: tuple[str, ...] = (EAST, WEST),
    bound: datetime.timedelta | None = BOUND,
    log_path: str = os.devnull,
    seed: int = 0,
) -> standin_fleet.VirtualFleet:
    """Starts three instances and one runner in each data centre."""
    fleet = standin_fleet.VirtualFleet(
        len(data_centres),
        plan,
        seed,
        log_path=log_path,
        data_centres=data_centres,
    )
    fleet.bounds = attrs.evolve(fleet.bounds, evacuation=bound)
    for name in ("a", "b", "c"):
        fleet.start_instance(name)
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    # Until the runners are tracked.
    await asyncio.sleep(1)
    return fleet


def kill_leader(fleet: standin_fleet.VirtualFleet) -> None:
    """Kills the instance of the active scheduler."""
    leader = fleet.get_leader()
    assert leader is not None
    leader.kill()
    del fleet.instances[leader.name]


def get_time() -> float:
    """Returns virtual time in seconds."""
    return asyncio.get_running_loop().time()


async def submit_steadily(
    fleet: standin_fleet.VirtualFleet, prefix: str, duration_s: float
) -> None:
    """Submits four tasks every tenth of a second."""
    for number in range(round(duration_s * 10)):
        await fleet.submit(f"{prefix}{number}", model.Step(4, TASK))
        await asyncio.sleep(0.1)
