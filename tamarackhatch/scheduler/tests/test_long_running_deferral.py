"""New long-running tasks beside urgent tasks that lack room."""

import asyncio
import datetime

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import runner
from standins import virtual_time
from tamarackhatch import model

_CAPACITY = model.Resources(64_000, 256_000)
_RUN_TIMES_S = {"first": 0.6, "second": 1.0}
_URGENT = attrs.evolve(
    standin_fleet.QUEUE,
    name="checks",
    stretch=1.5,
    target_latency=datetime.timedelta(milliseconds=400),
)
_MAX_WAIT_BESIDE_ROOM_S = 3.0


def _plan(task: str, _run: int) -> tuple[float, str]:
    return _RUN_TIMES_S.get(task.partition(".")[0], 600.0), "done"


def _make_step(
    count: int, processors: int, is_long_running: bool = False
) -> model.Step:
    return model.Step(
        count,
        model.Resources(processors, 4_000),
        estimate=datetime.timedelta(seconds=1),
        is_long_running=is_long_running,
        image="serving" if is_long_running else "",
    )


@pytest.mark.parametrize("runners", [1, 2, 6])
def test_new_long_running_task_leaves_room_that_urgent_ones_return(
    runners: int,
) -> None:
    """Guards against room that urgent tasks lose for minutes.

    Of the 24 cores that are free on each runner an urgent task uses 10 for
    0.6 s. Another one of 20 cores waits for it. A long-running task of 12
    cores would fit at once, and the second urgent task would not fit after it.
    """

    async def simulate() -> None:
        loop = asyncio.get_running_loop()
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
        await fleet.submit("old", _make_step(runners, 40_000, True))
        await fleet.wait_until(lambda: len(fleet.history.runs) == runners)
        await asyncio.sleep(1)
        await fleet.submit("first", _make_step(runners, 10_000), queue=_URGENT)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 2 * runners)
        submitted = loop.time()
        await fleet.submit(
            "second", _make_step(runners, 20_000), queue=_URGENT
        )
        await fleet.submit("new", _make_step(runners, 12_000, True))
        await asyncio.sleep(8)
        started = {
            run.task.partition(".")[0]: run.started - submitted
            for run in fleet.history.runs
        }
        # Its objective is 1.9 s, of which it runs for one.
        assert started["second"] <= 0.9
        assert started["second"] < started["new"]
        new = [
            run.started - submitted
            for run in fleet.history.runs
            if run.task.startswith("new.")
        ]
        assert len(new) == runners
        # The second urgent tasks end within two seconds.
        assert max(new) <= 2 + _MAX_WAIT_BESIDE_ROOM_S
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_long_running_task_starts_beside_urgent_ones_that_fit_nowhere() -> (
    None
):
    """Guards against a long-running task that waits beside room for two.

    The urgent task is larger than what the long-running tasks leave.
    """

    async def simulate() -> None:
        loop = asyncio.get_running_loop()
        fleet = standin_fleet.VirtualFleet(0)
        for index in range(3):
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
        await fleet.submit("old", _make_step(3, 40_000, True))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 3)
        await fleet.submit("second", _make_step(1, 30_000), queue=_URGENT)
        await asyncio.sleep(0.5)
        submitted = loop.time()
        await fleet.submit("new", _make_step(2, 12_000, True))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 5, 8)
        new = [
            run.started - submitted
            for run in fleet.history.runs
            if run.task.startswith("new.")
        ]
        assert max(new) <= _MAX_WAIT_BESIDE_ROOM_S

    virtual_time.run_virtually(simulate())
