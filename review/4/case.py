"""A scheduled job with overlapping occurrences while schedulers are killed.

With TROUBLE=0 no process is killed.
"""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time
import typing

from standins import processes
from standins import runner

_RUNNERS = 6
_INSTANCES = 3
# The sheet kills one process at a time, for up to 3.5 s.
_KILLS = 5
_KILL_INTERVAL_S = 9.0
# The sheet's largest doses of platform_slow: x = 60, for_s = 4.5.
_SLOWNESS = 60
_SLOW_S = 4.5
_SLOW_BEFORE_KILL_S = 4.2
_DOWN_S = 1.0
_FIRST_KILL_S = 16.0
_INTERVAL_MS = 100
_OCCURRENCES = 2000
# Over a hundred occurrences overlap.
_LONG_S = 11.0
_SHORT_S = 1.0
_PREFIX = "/renewals/"
_JOB = "3500000000000001"
_BOUNDS = {
    "apply_configuration_ms": 2500,
    "contact_ms": 4000,
    "max_lease_ms": 6000,
    "grace_s": 6,
    "status_retention_s": 120,
    "remote_slowdown": 2,
    "stop_timeout_ms": 400,
    "restore_ms": 600,
    "checkpoint_interval_s": 2,
}


def _plan(task: str, run: int) -> tuple[float, str]:
    occurrence = int(task.split(".")[1])
    return (_SHORT_S if occurrence % 2 else _LONG_S), "done"


class _Case:
    def __init__(self, folder: pathlib.Path, record: typing.TextIO) -> None:
        self._fleet = processes.ProcessFleet(folder)
        self._record = record
        self._time = asyncio.get_running_loop().time
        self._began = self._time()
        self._restarts: list[asyncio.Task[None]] = []

    def log(self, text: str) -> None:
        self._record.write(f"{self._time() - self._began:8.3f} s  {text}\n")
        self._record.flush()

    async def run(self, is_disturbed: bool) -> bool:
        """Returns whether the rule was broken."""
        fleet = self._fleet
        for index in range(_RUNNERS):
            fleet.add_runner(
                runner.RunnerStandIn(
                    f"i-{index}", "", processes.SERVICE, _plan, fleet.history
                )
            )
        fleet.publish_configuration(1, [_PREFIX])
        for index in range(_INSTANCES):
            await self._start(f"entry-{index}")
        await fleet.find_scheduler()
        self.log("processes are ready")
        document = {
            "spec": "s",
            "steps": [
                {
                    "count": 1,
                    "cpu": 100,
                    "mem_mb": 64,
                    "est_runtime_ms": 6000,
                }
            ],
            "repeat_count": _OCCURRENCES,
            "first_run_ms": int(time.time() * 1000) + 500,
            "interval_ms": _INTERVAL_MS,
        }
        self.log(f"POST {_PREFIX}{_JOB} {document}")
        await fleet.submit_job(_JOB, _PREFIX, document)
        self.log(f"200 {_JOB}")
        await asyncio.sleep(_FIRST_KILL_S)
        for _ in range(_KILLS):
            if is_disturbed:
                await self._kill_scheduler()
            await asyncio.sleep(_KILL_INTERVAL_S)
        return self._judge()

    async def _start(self, name: str) -> None:
        await self._fleet.start_instance(
            name, has_internal_address=True, bounds=_BOUNDS
        )

    async def _kill_scheduler(self) -> None:
        store = self._fleet.store
        usual = store.latency_s
        store.slow_down(_SLOWNESS)
        self.log(f"the store is {_SLOWNESS} times slower")
        await asyncio.sleep(_SLOW_BEFORE_KILL_S)
        name = await self._fleet.find_scheduler()
        self.log(f"SIGKILL to {name}")
        process = self._fleet.remove_instance(name)
        process.send_signal(signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(_SLOW_S - _SLOW_BEFORE_KILL_S)
        store.latency_s, store.write_latency_s = usual, None
        self.log("the store is as usual")
        self._restarts.append(asyncio.create_task(self._restart(name)))

    async def _restart(self, name: str) -> None:
        await asyncio.sleep(_DOWN_S)
        self.log(f"{name} starts again")
        await self._start(name)

    def _judge(self) -> bool:
        """Looks for starts of tasks whose end `done` was taken note of."""
        found = self._fleet.check()
        twice = [violation for violation in found if violation.rule == "TWICE"]
        for violation in found:
            self.log(str(violation))
        runs = self._fleet.history.runs
        summary = (
            f"{len(runs)} runs; TWICE: {len(twice)}, "
            f"first: {twice[0] if twice else None}"
        )
        self.log(summary)
        print(summary)
        return bool(twice)

    async def close(self) -> None:
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        await self._fleet.close()
        for run in self._fleet.history.runs:
            self._record.write(
                f"run {run.task} {run.run} on {run.runner} from "
                f"{run.started - self._began:.3f} s to "
                f"{(run.exited or self._time()) - self._began:.3f} s: "
                f"{run.exit_reason or 'running'}, noted: "
                f"{run.is_exit_acknowledged}\n"
            )


async def _main() -> int:
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    path = pathlib.Path(__file__).parent / "record.txt"
    with path.open("w") as record, tempfile.TemporaryDirectory() as folder:
        case = _Case(pathlib.Path(folder), record)
        try:
            async with asyncio.timeout(110.0):
                is_broken = await case.run(is_disturbed)
        except (OSError, RuntimeError, TimeoutError) as error:
            case.log(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            await case.close()
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
