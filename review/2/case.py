"""A job is cancelled while the store still holds back its submission.

For 4.5 s the store loses the answers of a part of its writes and carries these
out 5.9 s later. With TROUBLE=0 it answers all of them.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import typing

from tornado import httpclient

from standins import history
from standins import network
from standins import processes
from standins import runner
from standins import servers
from standins import store

import orjson

# The sheet's largest doses of platform_lost (late): x = 0.35, for_s = 4.5.
_LOST_SHARE = 0.35
_DISTURBED_S = 4.5
# Late writes are done 1 to 6 s later.
_DELAY_S = 5.9
# Writes of the rows of the jobs in these partitions are lost.
_LOST_PARTITIONS = frozenset("ef")
_JOBS_TABLE = "jobs-0"
_RUNNERS = 6
_INSTANCES = 3
_PREFIX = "/renewals/"
_DEADLINE_MS = 1500
_OTHER_JOBS_PER_S = 10
_CANCEL_S = 3.0
_CONTACT_S = 4.0
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


class _Store:
    """The project's store, with writes that are done late and not answered."""

    def __init__(self, sound: store.StoreStandIn) -> None:
        self._sound = sound
        self._late: set[asyncio.Task[None]] = set()
        self.is_disturbed = False
        self.writes = 0
        self.lost: list[float] = []
        self.done_late: list[tuple[float, str]] = []

    async def handle(self, request: network.Request) -> network.Response:
        if request.path == "/-/rows-tx" and self.is_disturbed:
            self.writes += 1
            if self._is_lost(request.body):
                self.lost.append(asyncio.get_running_loop().time())
                task = asyncio.create_task(self._carry_out_late(request))
                self._late.add(task)
                raise network.NoResponseError
        return await self._sound.handle(request)

    def _is_lost(self, body: network.Body) -> bool:
        return any(
            put["table"] == _JOBS_TABLE and put["part"] in _LOST_PARTITIONS
            for put in body["puts"]
        )

    async def _carry_out_late(self, request: network.Request) -> None:
        await asyncio.sleep(_DELAY_S)
        response = await self._sound.handle(request)
        put = request.body["puts"][0]
        now = asyncio.get_running_loop().time()
        self.done_late.append((now, f"{put['key']}: {response.status}"))


class _Case:
    def __init__(self, folder: pathlib.Path, record: typing.TextIO) -> None:
        self._fleet = processes.ProcessFleet(folder)
        self._store = _Store(self._fleet.store)
        self._store_server = servers.StandInServer(self._store.handle)
        self._record = record
        self._time = asyncio.get_running_loop().time
        self._began = self._time()
        self._client = httpclient.AsyncHTTPClient()
        self._others: list[asyncio.Task[int]] = []
        self._cancelled: dict[str, float] = {}
        self._calm_from = 0.0

    def log(self, text: str) -> None:
        self._record.write(f"{self._time() - self._began:8.3f} s  {text}\n")
        self._record.flush()

    async def run(self, is_disturbed: bool) -> bool:
        """Returns whether the rule was broken."""
        fleet = self._fleet
        for index in range(_RUNNERS):
            fleet.add_runner(
                runner.RunnerStandIn(
                    f"i-{index}",
                    "",
                    processes.SERVICE,
                    lambda task, run: (0.6, "done"),
                    fleet.history,
                )
            )
        fleet.publish_configuration(1, [_PREFIX])
        for index in range(_INSTANCES):
            await fleet.start_instance(
                f"entry-{index}",
                store_address=self._store_server.address,
                has_internal_address=True,
                bounds=_BOUNDS,
            )
        await fleet.find_scheduler()
        self.log("processes are ready")
        await asyncio.sleep(6.0)
        began = self._time()
        self._store.is_disturbed = is_disturbed
        self.log(f"disturbed: {is_disturbed}")
        cancels = [
            asyncio.create_task(self._submit_and_cancel(began + 3.0, number))
            for number in range(4)
        ]
        number = 0
        while self._time() < began + _DISTURBED_S:
            number += 1
            self._others.append(
                asyncio.create_task(self._send("POST", f"{number:015x}1"))
            )
            await asyncio.sleep(1 / _OTHER_JOBS_PER_S)
        self._store.is_disturbed = False
        self._calm_from = self._time() + _CONTACT_S
        self.log("no longer disturbed")
        await asyncio.gather(*cancels, *self._others)
        await asyncio.sleep(12.0)
        return self._judge()

    async def _submit_and_cancel(self, at: float, number: int) -> None:
        await asyncio.sleep(at - self._time())
        job = f"{number:015x}" + "ef"[number % 2]
        # A broken connection, no answer, 502 or 504 say nothing about the job.
        if await self._send("POST", job) in (404, 429, 503):
            return
        for _ in range(5):
            status = await self._send("DELETE", job)
            if 200 <= status < 300 or status == 410:
                self._cancelled[job] = self._time()
                return
            await asyncio.sleep(0.2)

    async def _send(self, method: str, job: str) -> int:
        step = {"count": 2, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 600}
        body = None
        if method == "POST":
            body = orjson.dumps({"spec": "s", "steps": [step]})
            self._fleet.history.accepted.add(job)
        address = self._fleet.get_address(f"entry-{int(job[-2:], 16) % 3}")
        self.log(f"{method} {_PREFIX}{job}")
        try:
            response = await self._client.fetch(
                f"http://{address}{_PREFIX}{job}",
                method=method,
                body=body,
                headers={
                    "Host": processes.HOST,
                    "X-Deadline-Ms": str(_DEADLINE_MS),
                },
                request_timeout=_DEADLINE_MS / 1000,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPClientError) as error:
            self.log(f"{method} {job}: {error!r}")
            return 0
        self.log(f"{method} {job}: {response.code}")
        return response.code

    def _judge(self) -> bool:
        """Looks for starts of cancelled jobs, later than the bound."""
        for at, text in self._store.done_late:
            self._record.write(
                f"write done late at {at - self._began:.3f} s, {text}\n"
            )
        late = [
            run
            for run in self._fleet.history.runs
            if self._is_start_too_late(run)
        ]
        writes, lost = self._store.writes, len(self._store.lost)
        share = lost / max(1, writes)
        summary = (
            f"{len(self._cancelled)} cancels acknowledged; {len(late)} starts "
            f"of their tasks over {_CANCEL_S} s later, in touch; {lost} of "
            f"{writes} writes lost"
        )
        self.log(summary)
        print(summary)
        if share > _LOST_SHARE:
            raise RuntimeError(f"the store has lost {share:.2f} of its writes")
        return bool(late)

    def _is_start_too_late(self, run: history.RunRecord) -> bool:
        cancelled = self._cancelled.get(run.task.split(".")[0])
        return (
            cancelled is not None
            and run.started > cancelled + _CANCEL_S
            and run.started > self._calm_from
        )

    async def close(self) -> None:
        await self._fleet.close()
        await self._store_server.close()
        for run in self._fleet.history.runs:
            self._record.write(
                f"run {run.task} {run.run} on {run.runner} from "
                f"{run.started - self._began:.3f} s: {run.exit_reason}\n"
            )


async def _main() -> int:
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    path = pathlib.Path(__file__).parent / "record.txt"
    with path.open("w") as record, tempfile.TemporaryDirectory() as folder:
        case = _Case(pathlib.Path(folder), record)
        try:
            async with asyncio.timeout(100.0):
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
