"""New serving tasks that fill runners together, in the whole scheduler."""

import asyncio
import datetime
import pathlib

import attrs
import orjson

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import placement

_SERVING = model.Step(
    2,
    model.Resources(5_000, 100),
    is_long_running=True,
    image="a",
    tail_latency_target=datetime.timedelta(milliseconds=50),
)
_SMALLER = attrs.evolve(_SERVING, resources=model.Resources(3_000, 100))
# Half a runner.
_URGENT = model.Step(1, model.Resources(8_000, 100))


def _plan(task: str, _number: int) -> tuple[float, str]:
    return (60.0 if task.startswith("serving") else 2.0), "done"


def test_combined_tasks_start_once_and_after_urgent_ones(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against planned places that take room from earlier tasks.

    The urgent task comes while the serving tasks are collected, and has to get
    its half of one of the two runners. Each task starts once.
    """
    log = tmp_path / "log"

    async def simulate() -> dict[str, list[str]]:
        fleet = standin_fleet.VirtualFleet(
            2,
            _plan,
            log_path=str(log),
            policy=placement.PlacementPolicy(min_combined_runners=0),
        )
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        for number in range(2):
            await fleet.submit(f"serving-{number}", _SERVING)
            await fleet.submit(f"serving-{number}-small", _SMALLER)
        await fleet.submit("urgent", _URGENT)
        await asyncio.sleep(1.5)
        first: dict[str, list[str]] = {}
        for run in fleet.history.runs:
            first.setdefault(run.task, []).append(run.runner)
        await asyncio.sleep(3)
        assert len(fleet.history.runs) == 9
        assert not fleet.check()
        return first

    first = virtual_time.run_virtually(simulate())
    assert "urgent.0.0.0" in first
    assert all(len(runners) == 1 for runners in first.values())
    # Two of 5 and two of 3 cores fill a runner of 16, one of each the half of
    # the other one.
    full = {
        runners[0]
        for task, runners in first.items()
        if task.startswith("serving")
    } - set(first["urgent.0.0.0"])
    assert len(full) == 1
    lines = [orjson.loads(line) for line in log.read_bytes().splitlines()]
    filled = [line for line in lines if line["event"] == "runners_filled"]
    assert filled and filled[0]["tasks"] == 6 and filled[0]["left"] == 2
