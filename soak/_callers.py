"""Callers: they submit, cancel and ask, and record what is answered."""

import asyncio
from collections.abc import Coroutine
import datetime
import random
import typing

import orjson

from soak import _checks
from standins import processes
from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import transport

_TIMEOUT = datetime.timedelta(seconds=3)
_MAX_ATTEMPTS = 5
_RETRY_PAUSE_S = 0.2
_POLL_INTERVAL_S = 0.4
# Stand for a call that was lost and for one that was not sent.
_LOST, _NOT_SENT = 0, 1
_REFUSALS = (_NOT_SENT, 404, 429, 503)
_OPEN_JOBS = 25
# A write that a link holds back arrives at the latest after this time.
_LATE_WRITE_S = 15.0
# To each instance.
_CONNECTIONS = 8
# The first digit of an identifier tells the kind of the job.
LONG_RUNNING, FAILING, BEST_EFFORT, BATCH = "abcd"
_KINDS = LONG_RUNNING + FAILING + BEST_EFFORT + BATCH * 7


class Callers:
    """All callers of a run, over connections that stay open.

    Attributes:
        prefixes: Path prefixes of the queues, by the version of the
            configuration that added them.
    """

    def __init__(
        self, fleet: processes.ProcessFleet, checks: _checks.Checks, seed: int
    ) -> None:
        self.prefixes = ["/renewals/"]
        self._fleet = fleet
        self._checks = checks
        self._random = random.Random(f"callers {seed}")
        self._client = transport.HttpClient(clock.SystemClock(), _CONNECTIONS)
        self._time = asyncio.get_running_loop().time
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopping = False

    @property
    def open_jobs(self) -> int:
        """Number of jobs that have not ended."""
        return len(self._tasks)

    async def run(self) -> None:
        """Submits jobs and probes the configuration until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._probe_configuration())
            while True:
                if len(self._tasks) < _OPEN_JOBS and not self._is_stopping:
                    self.submit()
                await asyncio.sleep(self._random.expovariate(2.5))

    def submit(self) -> None:
        """Submits a random job, and follows it until its end."""
        kind = self._random.choice(_KINDS)
        identifier = f"{kind}{self._random.getrandbits(60):015x}"
        path = self._random.choice(self.prefixes) + identifier
        self._start(self._follow_job(identifier, path))

    def _start(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget_task)

    def _forget_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            self._checks.report("HARNESS", "callers", error)

    def stop(self) -> None:
        """Ends submissions, and cancels long-running jobs from now on."""
        self._is_stopping = True

    async def close(self) -> None:
        """Abandons all requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    async def _follow_job(self, job: str, path: str) -> None:
        document = _make_job(job, self._random)
        self._checks.record_submission(job, document)
        is_stored = await self._send("POST", path, orjson.dumps(document))
        if is_stored is not None:
            self._checks.record_outcome(job, is_stored)
        needs_cancellation = job[0] == LONG_RUNNING
        cancel_time = self._time() + self._random.uniform(1, 8)
        if not needs_cancellation and self._random.random() > 0.15:
            cancel_time = float("inf")
        give_up_time = self._time() + _LATE_WRITE_S
        while is_stored is not False and not self._checks.is_finished(job):
            is_last_chance = needs_cancellation and self._is_stopping
            if self._time() >= cancel_time or is_last_chance:
                # A 410 acknowledges a cancellation as well: if the job was
                # not stored, it must not be later.
                if await self._send("DELETE", path, is_absence_final=True):
                    self._checks.record_cancellation(job)
                    cancel_time, needs_cancellation = float("inf"), False
            began = self._time()
            status, body = await self._call("GET", path)
            if status == 200:
                state = model.JobState(orjson.loads(body)["state"])
                self._checks.record_state(job, began, state)
            elif status == 410:
                self._checks.record_absence(job, began)
                if is_stored is None and began > give_up_time:
                    return
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        is_absence_final: bool = False,
    ) -> bool | None:
        """Sends a request to up to five instances in turn.

        Returns whether it is carried out; None if that is not known.
        """
        outcome: bool | None = False
        for _ in range(_MAX_ATTEMPTS):
            status, _body = await self._call(method, path, body)
            if status == 200 or (is_absence_final and status == 410):
                return True
            if status not in _REFUSALS:
                outcome = None
            await asyncio.sleep(_RETRY_PAUSE_S)
        return outcome

    async def _probe_configuration(self) -> None:
        """Asks each instance for a job of each of the latest queues."""
        while True:
            for name, process in list(self._fleet.processes.items()):
                for version in range(len(self.prefixes))[-3:]:
                    path = f"{self.prefixes[version]}{0:016x}"
                    began = self._time()
                    status, _ = await self._call("GET", path, None, name)
                    if status in (404, 410):
                        self._checks.record_queue(
                            process.pid, version, began, status == 410
                        )
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        name: str = "",
    ) -> tuple[int, bytes]:
        """Sends a request to an instance, by default to a random one."""
        names = list(self._fleet.processes)
        name = name or self._random.choice(names or [""])
        if name not in names:
            return _NOT_SENT, b""
        address = self._fleet.get_address(name)
        headers = (f"Host: {processes.HOST}",)
        call = transport.Call(method, address, path, _TIMEOUT, body, headers)
        try:
            answer = await self._client.send(call)
        except transport.CallLostError:
            return _LOST, b""
        except transport.CallNotSentError:
            return _NOT_SENT, b""
        return answer.status, answer.body


def plan_run(task: str, run: int) -> tuple[float, str]:
    """Plans the seconds and the exit reason of a run on a sound runner."""
    source = random.Random(f"{task} {run}")
    if task[0] == LONG_RUNNING:
        return 3_600.0, "done"
    is_failing = task[0] == FAILING or source.random() < 0.04
    return source.uniform(0.2, 3.0), "failed" if is_failing else "done"


def _make_job(job: str, source: random.Random) -> dict[str, typing.Any]:
    step: dict[str, typing.Any] = {"mem_mb": 256, "est_runtime_ms": 1500}
    step["count"] = source.randint(1, 4)
    step["cpu"] = source.choice([500, 1000, 2000])
    step["image"] = "renew"
    steps = [step, {**step, "count": 2, "after": [0]}]
    if job[0] == LONG_RUNNING:
        steps = [{**step, "long_running": True, "target_ms": 50}]
    elif job[0] == BEST_EFFORT:
        steps = [{**step, "fills": True}]
    return {"spec": "renew", "steps": steps}
