"""How soon a long-running task runs again in a service that is full."""

import asyncio
import datetime

import attrs

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model

_WIDE = model.Resources(processors=16_000, memory_mb=100)
_QUEUE = attrs.evolve(
    standin_fleet.QUEUE, target_latency=datetime.timedelta(seconds=20)
)
# Six seconds after the last run, three more without one break the rule.
_MAX_GAP_S = 9.0


def _plan(task: str, run: int) -> tuple[float, str]:
    if not task.startswith("long-running"):
        return 0.3, "done"
    return (2.0, "failed") if run == 1 else (100.0, "done")


def test_long_running_task_runs_again_beside_batch_jobs_in_time() -> None:
    """Guards against batch jobs that take each place that becomes free.

    Four small jobs a second arrive on one runner, and all meet their
    objective.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1, _plan)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        step = model.Step(1, _WIDE, is_long_running=True)
        await fleet.submit("long-running", step, queue=_QUEUE)
        await fleet.wait_until(lambda: len(fleet.history.runs) == 1)
        for number in range(60):
            job = f"{number:02}"
            await fleet.submit(job, model.Step(1, _WIDE), queue=_QUEUE)
            await asyncio.sleep(0.25)
        runs = [
            run for run in fleet.history.runs if run.task.startswith("long")
        ]
        ended = runs[0].exited
        assert ended is not None
        assert len(runs) > 1 and runs[1].started - ended < _MAX_GAP_S

    virtual_time.run_virtually(simulate())
