"""Demonstration: three instances serve jobs while some of them fail.

Starts three ``serve`` processes against the stand-ins, submits jobs of each
kind, kills one process, changes the configuration, stops another process
gracefully, and then checks what the stand-ins recorded and callers were
answered. Exits with 1 if a check fails.
"""

import asyncio
import datetime
import pathlib
import signal
import sys
import tempfile
import typing

from standins import processes
from standins import runner

_INSTANCE_COUNT = 3
_RUNNER_COUNT = 4
_PATH_PREFIX = "/renewals/"
_NEW_PATH_PREFIX = "/checks/"
_BATCH_RUN_S = 0.6


async def _run_scenario(fleet: processes.ProcessFleet) -> list[str]:
    """Runs the scenario and returns the failed checks."""
    failures: list[str] = []
    print("submitting a batch, a long-running and a best-effort job")
    await fleet.submit_job("00000000000000a1", _PATH_PREFIX, _make_batch())
    await fleet.submit_job(
        "00000000000000a2", _PATH_PREFIX, _make_long_running()
    )
    await fleet.submit_job(
        "00000000000000a3", _PATH_PREFIX, _make_best_effort()
    )
    await asyncio.sleep(0.3)
    leader = await fleet.find_scheduler()
    print(f"killing the active scheduler, {leader}")
    fleet.remove_instance(leader).kill()
    await fleet.submit_job("00000000000000a4", _PATH_PREFIX, _make_batch())
    fleet.publish_configuration(2, [_PATH_PREFIX, _NEW_PATH_PREFIX])
    print("added a queue to the configuration")
    await asyncio.sleep(1.0)
    await fleet.submit_job("00000000000000a5", _NEW_PATH_PREFIX, _make_batch())
    for job in ("a1", "a3", "a4", "a5"):
        identifier = f"{job:0>16}"
        prefix = _NEW_PATH_PREFIX if job == "a5" else _PATH_PREFIX
        if not await fleet.wait_until_completed(identifier, prefix):
            failures.append(f"job {identifier} did not complete")
    stopped = await fleet.find_scheduler()
    print(f"stopping the active scheduler gracefully, {stopped}")
    process = fleet.remove_instance(stopped)
    process.send_signal(signal.SIGTERM)
    await fleet.submit_job("00000000000000a6", _PATH_PREFIX, _make_batch())
    if not await fleet.wait_until_completed("00000000000000a6", _PATH_PREFIX):
        failures.append("job 00000000000000a6 did not complete")
    if await process.wait() != 0:
        failures.append(f"{stopped} did not stop cleanly")
    await fleet.cancel_job("00000000000000a2", _PATH_PREFIX)
    await asyncio.sleep(2.0)
    if any(task for item in fleet.runners for task in item.running):
        failures.append("tasks still run after the cancellation")
    violations = fleet.check()
    print(f"checked {len(fleet.history.runs)} runs of tasks")
    return failures + [
        f"{item.rule} {item.task}: {item.detail}" for item in violations
    ]


async def _run_demonstration(folder: pathlib.Path) -> list[str]:
    fleet = processes.ProcessFleet(folder)
    try:
        fleet.publish_configuration(1, [_PATH_PREFIX])
        for index in range(_RUNNER_COUNT):
            fleet.add_runner(
                runner.RunnerStandIn(
                    f"i-{index}",
                    "",
                    processes.SERVICE,
                    _plan_run,
                    fleet.history,
                )
            )
        for index in range(_INSTANCE_COUNT):
            await fleet.start_instance(f"entry-{index + 1}")
            print(f"entry-{index + 1} is ready")
        return await _run_scenario(fleet)
    finally:
        await fleet.close()


def _plan_run(task: str, run: int) -> tuple[float, str]:
    """Plans an hour for long-running tasks, and one failure in job a1."""
    if task.startswith("00000000000000a2"):
        return 3_600.0, "done"
    if task == "00000000000000a1.0.0.1" and run == 1:
        return 0.2, "failed"
    return _BATCH_RUN_S, "done"


def _make_batch() -> dict[str, typing.Any]:
    step = {"count": 4, "cpu": 1000, "mem_mb": 256, "est_runtime_ms": 600}
    return {"spec": "renew", "steps": [step, {**step, "after": [0]}]}


def _make_long_running() -> dict[str, typing.Any]:
    step = {
        "count": 2,
        "cpu": 2000,
        "mem_mb": 512,
        "long_running": True,
        "image": "watch",
        "target_ms": 50,
    }
    return {"spec": "watch", "steps": [step]}


def _make_best_effort() -> dict[str, typing.Any]:
    step = {"count": 3, "cpu": 3000, "mem_mb": 256, "fills": True}
    return {"spec": "report", "steps": [{**step, "image": "report"}]}


async def demonstrate() -> int:
    """Runs the demonstration and returns the number of failed checks."""
    start_time = datetime.datetime.now(datetime.timezone.utc)
    with tempfile.TemporaryDirectory() as folder:
        failures = await _run_demonstration(pathlib.Path(folder))
    for line in failures:
        print(f"FAILED: {line}")
    elapsed = datetime.datetime.now(datetime.timezone.utc) - start_time
    print(f"{len(failures)} checks failed, {elapsed.total_seconds():.0f} s")
    return len(failures)


if __name__ == "__main__":
    sys.exit(1 if asyncio.run(demonstrate()) else 0)
