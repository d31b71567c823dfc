"""Tests of tasks that crash the runners that start them."""

import asyncio
import datetime

import pytest

from standins import fleet as standin_fleet
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _state

_TASK = model.Resources(processors=1000, memory_mb=100)
_DEADLY = "dead"


def _make_step(count: int, **fields: object) -> model.Step:
    return model.Step(count=count, resources=_TASK, **fields)  # type: ignore


async def _kill_leader(fleet: standin_fleet.VirtualFleet) -> None:
    leader = fleet.get_leader()
    assert leader is not None
    leader.kill()
    del fleet.instances[leader.name]
    await fleet.wait_until(lambda: fleet.get_leader() is not None)


@pytest.mark.parametrize("gets_new_identifier", [True, False])
@pytest.mark.parametrize("crash_delay_s", [0.0, 0.01, 2.0])
@pytest.mark.parametrize("kill_times_s", [(), (1.0,), (4.0, 9.0)])
def test_only_the_task_that_crashes_its_runners_is_given_up(
    gets_new_identifier: bool,
    crash_delay_s: float,
    kill_times_s: tuple[float, ...],
) -> None:
    """Guards against starts without limit, and against jobs lost beside it.

    The sound tasks are lost with the deadly ones and are placed again at the
    same time.
    """

    def plan(task: str, run: int) -> tuple[float, str]:
        if task.startswith(_DEADLY) and task.endswith(".0"):
            return crash_delay_s, runner.CRASH
        return (1000.0 if task.startswith("lasting") else 1.0), "done"

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=6, plan=plan)
        for stand_in in fleet.runners:
            stand_in.gets_new_identifier = gets_new_identifier
        for name in ("a", "b", "c"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("lasting", _make_step(6, is_long_running=True))
        await asyncio.sleep(1)
        sound = [f"sound{number}" for number in range(8)]
        deadly = [f"{_DEADLY}{number}" for number in range(2)]
        for name in deadly:
            await fleet.submit(name, _make_step(2))
        for name in sound:
            await fleet.submit(name, _make_step(4))
        began = asyncio.get_running_loop().time()
        for time in kill_times_s:
            await asyncio.sleep(
                began + time - asyncio.get_running_loop().time()
            )
            await _kill_leader(fleet)
        await asyncio.sleep(80)
        assert fleet.check() == []
        for name in deadly:
            assert await fleet.read_state(name) is model.JobState.FAILED
        for name in sound:
            assert await fleet.read_state(name) is model.JobState.COMPLETED
        running = [key for item in fleet.runners for key in item.running]
        assert sum(key.startswith("lasting") for key in running) == 6

    virtual_time.run_virtually(simulate())


_QUEUE = standin_fleet.QUEUE
_SECOND = datetime.timedelta(seconds=1)
_Evidence = _crash_suspects.Evidence
_Role = model.CrashRole


def _make_task(
    index: int, age_s: float, crashes: int = 0, **fields: object
) -> _state.TaskEntry:
    """Makes a task placed some seconds before second 100."""
    step = _make_step(9, **fields)
    now = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    job = _state.JobEntry(model.Job("00", _QUEUE, "", (step,), now), 1)
    task = _state.TaskEntry(model.TaskKey("00", 0, 0, index), step, job)
    task.crashes = {run: _Role.BYSTANDER for run in range(1, crashes + 1)}
    task.run = crashes + 1
    task.placed_at = (100 - age_s) * _SECOND
    return task


@pytest.mark.parametrize(
    ("tasks", "evidence", "roles"),
    [
        # Only the task that had just started may have caused the crash.
        ([(0.1, 0), (9, 0)], _Evidence.ENDED, [2, 0]),
        ([(0.1, 0), (0.2, 0), (9, 0)], _Evidence.REFUSED, [1, 1, 0]),
        # A cut of the network is no reason to observe what had just started.
        ([(0.1, 0), (0.2, 0)], _Evidence.SILENT, [0, 0]),
        ([(0.1, 0)], _Evidence.SILENT, [0]),
        # Nothing had just started, and one task is observed for late crashes.
        ([(9, 3), (9, 0)], _Evidence.ENDED, [2, 0]),
        ([(9, 3), (0.1, 0)], _Evidence.ENDED, [0, 2]),
        ([(0.01 * n, 0) for n in range(8)], _Evidence.ENDED, [1] * 6 + [0, 0]),
    ],
)
def test_roles_in_a_crash(
    tasks: list[tuple[float, int]], evidence: _Evidence, roles: list[int]
) -> None:
    """Guards against blame for tasks that only shared a runner."""
    entries = [_make_task(i, *task) for i, task in enumerate(tasks)]
    crash = _crash_suspects.Crash(100 * _SECOND, evidence)
    assigned = _crash_suspects.assign_roles(entries, crash)
    assert [role for _, role in assigned] == roles


def test_settled_long_running_task_is_no_suspect_after_many_crashes() -> None:
    """Guards against a service that is given up because machines fail."""
    task = _make_task(0, 9, is_long_running=True)
    crash = _crash_suspects.Crash(100 * _SECOND, _Evidence.ENDED)
    assert _crash_suspects.assign_roles([task], crash) == []


@pytest.mark.parametrize(
    ("roles", "evidence", "is_long_running", "is_deadly"),
    [
        ([2], _Evidence.ENDED, False, False),
        ([1, 1, 1], _Evidence.ENDED, False, False),
        ([0, 2], _Evidence.ENDED, False, False),
        ([1, 2], _Evidence.ENDED, False, True),
        ([1, 2], _Evidence.ENDED, True, False),
        ([2, 2], _Evidence.ENDED, True, True),
        ([2, 2], _Evidence.REFUSED, False, False),
        ([2, 2, 2], _Evidence.REFUSED, False, True),
        ([0, 0, 0, 2], _Evidence.ENDED, False, True),
        ([0, 0, 0, 0], _Evidence.ENDED, False, False),
    ],
)
def test_proof_that_a_task_crashes_its_runners(
    roles: list[int],
    evidence: _Evidence,
    is_long_running: bool,
    is_deadly: bool,
) -> None:
    """Guards against giving up a task without a crash under observation."""
    task = _make_task(0, 0.1, is_long_running=is_long_running)
    task.crashes = {run: _Role(role) for run, role in enumerate(roles, 1)}
    task.run = len(roles)
    assert _crash_suspects.is_deadly(task, evidence) == is_deadly
