"""Tests that runs on silent runners are over before their tasks start again.

A runner is silent because it is cut off from the instances, because its
process is stopped or starved, or because it has crashed. A cut hides which of
them is the case.
"""

import asyncio
import datetime

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import repetitions
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import settings

_MS = datetime.timedelta(milliseconds=1)
_RESOURCES = model.Resources(processors=500, memory_mb=64)
_JOBS = [f"{number:02}" for number in range(12)]
_BATCH_RUN_S = 20.0
# Six seconds after the last run, three more without one break the rule.
_MAX_GAP_S = 9.0
_HEARTBEAT_S = 1.5
_LONG_RUNNING = model.Step(1, _RESOURCES, is_long_running=True)
_STEPS = {
    "long-running": _LONG_RUNNING,
    "batch": model.Step(1, _RESOURCES),
    "checkpointing": model.Step(1, _RESOURCES, is_checkpointing=True),
}


@attrs.frozen
class _Fault:
    """What happens to one runner, or to all.

    Attributes:
        cut_s: Duration of a cut between the instances and the runner.
        is_store_cut: Whether the runner does not reach the store meanwhile.
        stalls: Start, after that of the cut, and duration of each time for
            which the process is stopped, in seconds.
        kill_s: Seconds that the runner takes to kill runs after their lease.
        runners: Number of runners with the fault.
    """

    cut_s: float = 0.0
    is_store_cut: bool = False
    stalls: tuple[tuple[float, float], ...] = ()
    kill_s: float = 0.4
    runners: int = 1


async def _start(step: model.Step) -> standin_fleet.VirtualFleet:
    duration_s = 10_000.0 if step.is_long_running else _BATCH_RUN_S
    fleet = standin_fleet.VirtualFleet(
        runners=3, plan=lambda task, run: (duration_s, "done")
    )
    fleet.heartbeat_s = _HEARTBEAT_S
    fleet.bounds = settings.Bounds(
        max_lease=runner.MAX_LEASE, stop_timeout=400 * _MS
    )
    if step.is_checkpointing:
        for stand_in in fleet.runners:
            stand_in.checkpoint_interval_s = 2.0
            stand_in.restore_s = 0.6
    fleet.start_instance("a")
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    for job in _JOBS:
        await fleet.submit(job, step)
    await fleet.wait_until(
        lambda: sum(len(each.running) for each in fleet.runners) == len(_JOBS)
    )
    return fleet


async def _inflict(
    fleet: standin_fleet.VirtualFleet, index: int, fault: _Fault
) -> None:
    stand_in = fleet.runners[index]
    stand_in.kill_s = fault.kill_s
    # Runners that are silent together come back one after the other.
    delay_s = 0.3 * index

    async def cut() -> None:
        faults = fleet.network.get_faults(stand_in.address)
        faults.unreachable_from.add("*")
        stand_in.is_registering = not fault.is_store_cut
        await asyncio.sleep(fault.cut_s + delay_s)
        faults.unreachable_from.clear()
        stand_in.is_registering = True

    async def stall() -> None:
        clock = 0.0
        for start_s, duration_s in fault.stalls:
            await asyncio.sleep(start_s - clock)
            await stand_in.stall(duration_s + delay_s)
            clock = start_s + duration_s

    await asyncio.gather(*([cut()] if fault.cut_s else []), stall())


def _find_two_runs(kind: str, offset_ms: int, fault: _Fault) -> list[str]:
    """Returns what ran twice at once, in words."""

    async def simulate() -> list[str]:
        fleet = await _start(_STEPS[kind])
        await asyncio.sleep(offset_ms / 1000)
        await asyncio.gather(
            *(_inflict(fleet, index, fault) for index in range(fault.runners))
        )
        await asyncio.sleep(14)
        return [
            f"{violation.task}: {violation.detail}"
            for violation in fleet.check()
            if violation.form is repetitions.Form.AT_ONCE
        ]

    return virtual_time.run_virtually(simulate())


# Cuts of the platform's deployments last 5.5 s, and may follow each other.
_FAULTS = {
    "cut": _Fault(5.5),
    "cut, store too": _Fault(5.5, is_store_cut=True),
    "cut, at once killed": _Fault(5.5, kill_s=0.0),
    "cut, starved": _Fault(5.5, kill_s=1.0),
    "cut, starved for long": _Fault(5.5, kill_s=3.0),
    "cut, all starved": _Fault(5.5, kill_s=1.0, runners=3),
    "cut, store too, starved": _Fault(5.5, True, kill_s=1.0),
    "cut, stalled": _Fault(5.5, stalls=((0.0, 7.0),)),
    "cut, stalled late": _Fault(5.5, stalls=((4.0, 4.0),)),
    "cut, stalled at its lease's end": _Fault(7.0, stalls=((3.0, 3.0),)),
    "cut, store too, stalled": _Fault(5.5, True, ((0.0, 7.0),)),
    "cut, stalled twice": _Fault(7.0, stalls=((1.0, 2.0), (3.3, 3.0))),
    "long cut": _Fault(9.0),
    "long cut, starved": _Fault(9.0, kill_s=1.0),
    "long cut, starved for long": _Fault(9.0, kill_s=3.0),
    "long cut, store too": _Fault(9.0, True),
    "long cut, store too, starved": _Fault(9.0, True, kill_s=1.0),
    "long cut, all": _Fault(9.0, runners=3),
    "long cut, stalled at first": _Fault(9.0, stalls=((0.0, 6.5),)),
    "long cut, stalled": _Fault(9.0, stalls=((0.5, 7.0),)),
    "long cut, stalled late": _Fault(9.0, stalls=((3.5, 4.5),)),
    "all stalled": _Fault(stalls=((0.0, 7.0),), runners=3),
    "all stalled for long": _Fault(stalls=((0.0, 12.0),), runners=3),
    "stalled for long": _Fault(stalls=((0.0, 12.0),)),
    "stalled twice": _Fault(stalls=((0.0, 4.0), (4.3, 6.0))),
}


# Kinds of tasks, and when the faults begin between two renewals.
_PHASES = [
    *(("long-running", offset_ms) for offset_ms in range(0, 1800, 450)),
    ("batch", 300),
    ("checkpointing", 1050),
]


@pytest.mark.parametrize("fault", _FAULTS.values(), ids=_FAULTS)
@pytest.mark.parametrize("kind, offset_ms", _PHASES)
def test_task_of_a_silent_runner_runs_once(
    kind: str, offset_ms: int, fault: _Fault
) -> None:
    """Guards against a start elsewhere while a cut hides a stopped runner."""
    assert _find_two_runs(kind, offset_ms, fault) == []


def _measure_gaps(kind: str, offset_ms: int, dark_s: float) -> list[float]:
    """Returns for how many seconds the tasks of a crashed runner do not run.

    Args:
        kind: Kind of the tasks.
        offset_ms: When the runner crashes.
        dark_s: How long its address gives no answer.
    """

    async def simulate() -> list[float]:
        fleet = await _start(_STEPS[kind])
        crashed = fleet.runners[0]
        await asyncio.sleep(offset_ms / 1000)
        crashed_at = asyncio.get_running_loop().time()
        crashed.crash()
        crashed.is_registering = False
        faults = fleet.network.get_faults(crashed.address)
        faults.unreachable_from.add("*")
        await asyncio.sleep(dark_s)
        faults.unreachable_from.clear()
        crashed.is_registering = True
        await asyncio.sleep(16 - dark_s)
        lost = {
            run.task
            for run in fleet.history.runs
            if run.exit_reason == "crashed"
        }
        assert lost
        assert fleet.check() == []
        return [
            run.started - crashed_at
            for run in fleet.history.runs
            if run.task in lost and run.started > crashed_at
        ]

    return virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("offset_ms", range(0, 1800, 150))
@pytest.mark.parametrize("dark_s", [4.5, 15.0])
def test_long_running_task_of_a_crashed_runner_runs_again_in_time(
    dark_s: float, offset_ms: int
) -> None:
    """Guards against a wait for proofs that outlasts the permitted time."""
    gaps = _measure_gaps("long-running", offset_ms, dark_s)
    assert len(gaps) == 4
    assert max(gaps) < _MAX_GAP_S
