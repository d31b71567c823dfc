"""Asks real processes where a job would be placed."""

import asyncio
import pathlib
import sys
import typing

import orjson

from standins import processes
from standins import runner

_PREFIX = "/renewals/"
_RUNNERS = 4
# The job file of the command and the platform's form of the same job.
_STEP = {"count": 3, "resources": {"processors": 6000, "memory_mb": 512}}
_SUBMITTED = {"spec": "", "steps": [{"count": 3, "cpu": 6000, "mem_mb": 512}]}


def _plan(task: str, run: int) -> tuple[float, str]:
    return 30.0, "done"


async def _ask(settings: pathlib.Path, job: pathlib.Path) -> typing.Any:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tamarackhatch",
        "where",
        "--settings",
        str(settings),
        "--output",
        "json",
        str(job),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await asyncio.wait_for(process.communicate(), 20)
    assert process.returncode == 0
    return orjson.loads(output)


async def _run(folder: pathlib.Path) -> None:
    fleet = processes.ProcessFleet(folder)
    try:
        fleet.publish_configuration(1, [_PREFIX])
        for index in range(_RUNNERS):
            fleet.add_runner(
                runner.RunnerStandIn(
                    f"i-{index}", "", processes.SERVICE, _plan, fleet.history
                )
            )
        for name in ("entry-1", "entry-2"):
            await fleet.start_instance(name)
        leader = await fleet.find_scheduler()
        # Until the runners are tracked and have answered.
        await asyncio.sleep(2)
        job = folder / "JOB.json"
        job.write_bytes(
            orjson.dumps({"queue": "queue-renewals", "steps": [_STEP]})
        )
        for name in ("entry-1", "entry-2"):
            answer = await _ask(fleet.settings_paths[name], job)
            assert answer["scheduler"] == leader
        assert not fleet.history.runs
        await fleet.submit_job("00000000000000b1", _PREFIX, _SUBMITTED)
        async with asyncio.timeout(10):
            while len(fleet.history.runs) < 3:
                await asyncio.sleep(0.05)
        foretold = {
            f"00000000000000b1.0.0.{index}": chosen["rated"]["runner"]
            for chosen in answer["steps"][0]["chosen"]
            for index in chosen["tasks"]
        }
        started = {run.task: run.runner for run in fleet.history.runs}
        assert foretold == started
        process = fleet.remove_instance(leader)
        process.kill()
        await process.wait()
        (other,) = fleet.processes
        # The command waits for the takeover.
        answer = await _ask(fleet.settings_paths[other], job)
        assert answer["scheduler"] == other and answer["term"] == 2
    finally:
        await fleet.close()


def test_command_foretells_what_real_processes_do(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a command that works in virtual time only."""
    asyncio.run(_run(tmp_path))
