"""Tests that no rule keeps suspects of crashes, or runners, back for good."""

import asyncio
import datetime

import pytest

from standins import fleet as standin_fleet
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch.scheduler import _precedence
from tamarackhatch.scheduler import _state

_SMALL = model.Resources(processors=1_000, memory_mb=100)
_LARGE = model.Resources(processors=9_000, memory_mb=100)
_SECOND = datetime.timedelta(seconds=1)
# A crashed stand-in is back after three seconds; a long-running task has to
# run again within nine.
_MAX_WAIT_S = 3.0 + 9.0


def _plan(task: str, run: int) -> tuple[float, str]:
    """Plans one crash of a runner for jobs named ``suspect``."""
    if task.startswith("suspect") and run == 1:
        return 0.01, runner.CRASH
    return (600.0 if task.startswith("long") else 1.0), "done"


async def _open_fleet(
    runners: int, labelled: int
) -> standin_fleet.VirtualFleet:
    """Opens a fleet, some of whose runners have the label ``b``."""
    fleet = standin_fleet.VirtualFleet(runners, _plan)
    for item in fleet.runners[:labelled]:
        item.labels = ["b", "r1"]
    fleet.start_instance("a")
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    await asyncio.sleep(1)
    return fleet


def _make_gang(count: int, label: str = "", limit: int = 0) -> model.Step:
    return model.Step(
        count,
        _LARGE,
        is_gang=True,
        is_long_running=True,
        required_label=label,
        max_per_runner=limit,
    )


@pytest.mark.parametrize(
    "waiting",
    [
        pytest.param(
            [_make_gang(3, "b", 1)],
            id="gang-without-runners-of-its-label",
        ),
        pytest.param([_make_gang(5)], id="gang-larger-than-the-service"),
        pytest.param(
            [_make_gang(5), _make_gang(6), _make_gang(7)], id="several-gangs"
        ),
        pytest.param(
            [model.Step(5, _LARGE, is_long_running=True, max_per_runner=1)],
            id="more-tasks-than-runners",
        ),
    ],
)
@pytest.mark.parametrize("is_long_running", [False, True])
def test_tasks_that_cannot_start_keep_no_suspects_waiting(
    is_long_running: bool, waiting: list[model.Step]
) -> None:
    """Guards against suspects that wait as long as such a task does."""

    async def simulate() -> None:
        fleet = await _open_fleet(4, labelled=2)
        for number, step in enumerate(waiting):
            await fleet.submit(f"long{number}", step)
        await asyncio.sleep(4)
        suspect = model.Step(1, _SMALL, is_long_running=is_long_running)
        await fleet.submit("suspect", suspect)
        await fleet.wait_until(
            lambda: any(
                run.task.startswith("suspect") and run.run == 2
                for run in fleet.history.runs
            ),
            _MAX_WAIT_S,
        )
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("is_long_running", [False, True])
def test_suspect_under_long_observation_keeps_no_other_waiting(
    is_long_running: bool,
) -> None:
    """Guards against suspects that wait as long as another one runs.

    A task that was lost in three crashes is observed as long as it runs. Two
    of three runners are empty meanwhile.
    """

    def plan(task: str, run: int) -> tuple[float, str]:
        if task.startswith("observed"):
            return (1.0, runner.CRASH) if run <= 3 else (60.0, "done")
        return _plan(task, run)

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(3, plan)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        await fleet.submit("observed", model.Step(1, _SMALL))
        await fleet.wait_until(lambda: len(fleet.history.runs) == 4, 60.0)
        await asyncio.sleep(4)
        suspect = model.Step(1, _SMALL, is_long_running=is_long_running)
        await fleet.submit("suspect", suspect)
        await fleet.wait_until(
            lambda: len(fleet.history.runs) == 6, _MAX_WAIT_S
        )
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("claims", "now", "may_claim"),
    [
        pytest.param([], 9.0, True, id="never"),
        pytest.param([9.0], 9.5, True, id="just-now"),
        pytest.param([9.0, 9.9], 9.99, True, id="still"),
        pytest.param([9.0, 9.9], 10.0, False, id="for-a-second"),
        pytest.param([9.0], 99.0, False, id="long-ago"),
    ],
)
def test_precedence_ends_by_itself(
    claims: list[float], now: float, may_claim: bool
) -> None:
    """Guards against a task that goes first for ever, and never starts."""
    job = _state.JobEntry(
        model.Job(
            "00",
            standin_fleet.QUEUE,
            "",
            (model.Step(2, _SMALL),),
            datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc),
        ),
        1,
    )
    first, second = (
        _state.TaskEntry(
            model.TaskKey("00", 0, 0, index), job.job.steps[0], job
        )
        for index in range(2)
    )
    precedence = _precedence.Precedence()
    for time in claims:
        precedence.claim(first, time * _SECOND)
    copied = precedence.copy()
    assert precedence.may_claim(first, now * _SECOND) is may_claim
    assert precedence.may_claim(second, now * _SECOND)
    # It has run again meanwhile.
    first.run += 1
    assert precedence.may_claim(first, now * _SECOND)
    first.run -= 1
    # It has started meanwhile.
    precedence.retain([second])
    assert precedence.may_claim(first, now * _SECOND)
    assert copied.may_claim(first, now * _SECOND) is may_claim
