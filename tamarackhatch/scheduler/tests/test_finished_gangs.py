"""Tests gangs whose members are still listed after one of them was done.

The first exit of a gang completes all its tasks, and with them the job. The
other members stay with their runners until these report.
"""

import asyncio

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model

_TASK = model.Resources(processors=7_000, memory_mb=100)
_LASTING = model.Step(
    1, model.Resources(processors=2_000, memory_mb=100), is_long_running=True
)
_GANG = model.Step(8, _TASK, is_gang=True, is_rack_sensitive=True)
_NEAR = model.Step(6, _TASK, preferred_rack="r1")
_SENSITIVE = model.Step(6, _TASK, is_rack_sensitive=True)


def _plan(task: str, run: int) -> tuple[float, str]:
    if task.startswith("lasting"):
        return 1000.0, "done"
    # The members of a gang end at slightly different times.
    index = int(task.rpartition(".")[2])
    return 0.8 + 0.05 * (index % 3), "done"


@pytest.mark.parametrize(
    "other",
    [
        pytest.param(_NEAR, id="tasks-near-data"),
        pytest.param(_SENSITIVE, id="rack-sensitive"),
        pytest.param(_GANG, id="gangs"),
    ],
)
@pytest.mark.parametrize("is_runner_lost", [False, True])
def test_members_of_a_finished_gang_do_not_end_the_term(
    is_runner_lost: bool, other: model.Step
) -> None:
    """Guards against a term that ends with each gang that ends.

    A placement pass for tasks that wait for the rack looked up the gang's
    occurrence, which was gone. In each new term the wait for a lost runner
    began anew, so that its long-running task never ran again.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(6, _plan)
        fleet.bounds = attrs.evolve(fleet.bounds, remote_slowdown=2.0)
        for index, item in enumerate(fleet.runners):
            item.labels = ["a", f"r{index // 4 + 1}"]
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        leader = fleet.get_leader()
        for number in range(6):
            await fleet.submit(f"lasting{number}", _LASTING)
        await asyncio.sleep(2)
        lost = fleet.runners[5]
        for number in range(30):
            await fleet.submit(f"gang{number:02}", _GANG)
            await fleet.submit(f"other{number:02}", other)
            await asyncio.sleep(0.5)
            if number == 4 and is_runner_lost:
                running = [it for it in lost.running if it[:4] == "last"]
                assert running
                lost.is_registering = False
                fleet.network.remove(lost.address)
        if is_runner_lost:
            # The fleet is full until now. The longest run that takes room, on
            # another rack than the others of its step, takes twice 0.9 s.
            await fleet.wait_until(
                lambda: set(running)
                <= {
                    task for item in fleet.runners[:5] for task in item.running
                },
                2 * 0.9,
            )
        for number in range(30):
            for name in ("gang", "other"):
                await fleet.wait_for_state(
                    f"{name}{number:02}", model.JobState.COMPLETED, 60
                )
        assert fleet.get_leader() is leader
        assert leader is not None and leader.role.term == 1

    virtual_time.run_virtually(simulate())
