"""Callers: they submit, cancel and ask, and record what is answered."""

import asyncio
import datetime
import random
import typing

import attrs
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
_REFUSALS = (404, 429, 503)
_OPEN_JOBS = 25
# A write that a link holds back arrives at the latest after this time.
_LATE_WRITE_S = 15.0
# Connections of the callers to one instance.
_CONNECTIONS = 8
MAIN_PREFIX = "/renewals/"
# The first digit of an identifier tells the kind of the job.
LONG_RUNNING, FAILING, BEST_EFFORT, BATCH = "abcd"
_KINDS = LONG_RUNNING + FAILING + BEST_EFFORT + BATCH * 7


@attrs.frozen
class _Instance:
    """An instance that callers know.

    Attributes:
        process: Identifies the process; an instance that starts again is
            another one.
        address: Where it serves callers.
    """

    process: int
    address: str


class Callers:
    """All callers of a run, over connections that stay open.

    Attributes:
        prefixes: Path prefixes of the queues, by version of the
            configuration that added them.
    """

    def __init__(
        self,
        fleet: processes.ProcessFleet,
        checks: _checks.Checks,
        seed: int,
    ) -> None:
        self.prefixes = [MAIN_PREFIX]
        self._fleet = fleet
        self._checks = checks
        self._random = random.Random(f"callers {seed}")
        self._client = transport.HttpClient(clock.SystemClock(), _CONNECTIONS)
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
        task = asyncio.create_task(self._follow_job(identifier, path))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Ends submissions, and cancels long-running jobs from now on."""
        self._is_stopping = True

    async def close(self) -> None:
        """Abandons all requests."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._client.close()

    async def _follow_job(self, identifier: str, path: str) -> None:
        document = _make_job(identifier, self._random)
        outcome = await self._submit_job(identifier, path, document)
        if outcome is _checks.Submission.REFUSED:
            return
        time = asyncio.get_running_loop().time
        delay_s = self._random.uniform(1, 8)
        is_cancelled = identifier[0] == LONG_RUNNING
        if not is_cancelled and self._random.random() > 0.15:
            delay_s = float("inf")
        cancel_time = time() + delay_s
        give_up_time = time() + _LATE_WRITE_S
        while not self._checks.is_finished(identifier):
            if time() >= cancel_time or (is_cancelled and self._is_stopping):
                if await self._cancel(identifier, path):
                    cancel_time, is_cancelled = float("inf"), False
            began = time()
            answer = await self._call("GET", path)
            if isinstance(answer, transport.Answer):
                if answer.status == 200:
                    text = orjson.loads(answer.body)["state"]
                    self._checks.record_state(
                        identifier, began, model.JobState(text)
                    )
                elif answer.status == 410:
                    self._checks.record_absence(identifier, began)
                    is_unknown = outcome is _checks.Submission.UNKNOWN
                    if is_unknown and began > give_up_time:
                        return
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _submit_job(
        self, identifier: str, path: str, document: dict[str, typing.Any]
    ) -> _checks.Submission:
        """Submits a job at up to five instances in turn."""
        self._checks.record_submission(identifier, document)
        body = orjson.dumps(document)
        outcome = _checks.Submission.REFUSED
        for _ in range(_MAX_ATTEMPTS):
            answer = await self._call("POST", path, body)
            if isinstance(answer, transport.Answer):
                if answer.status == 200:
                    outcome = _checks.Submission.ACCEPTED
                    break
                if answer.status not in _REFUSALS:
                    outcome = _checks.Submission.UNKNOWN
            elif isinstance(answer, transport.CallLostError):
                outcome = _checks.Submission.UNKNOWN
            await asyncio.sleep(_RETRY_PAUSE_S)
        self._checks.record_outcome(identifier, outcome)
        return outcome

    async def _cancel(self, identifier: str, path: str) -> bool:
        """Cancels a job, and returns whether that was acknowledged."""
        for _ in range(_MAX_ATTEMPTS):
            began = asyncio.get_running_loop().time()
            answer = await self._call("DELETE", path)
            if isinstance(answer, transport.Answer):
                if answer.status == 200:
                    self._checks.record_cancellation(identifier)
                    return True
                if answer.status == 410:
                    self._checks.record_absence(identifier, began)
            await asyncio.sleep(_RETRY_PAUSE_S)
        return False

    async def _probe_configuration(self) -> None:
        """Asks each instance for a job of each of the latest queues."""
        while True:
            for instance in self._list_instances():
                for version in range(len(self.prefixes))[-3:]:
                    path = f"{self.prefixes[version]}{0:016x}"
                    began = asyncio.get_running_loop().time()
                    answer = await self._call("GET", path, None, instance)
                    if isinstance(answer, transport.Answer) and (
                        answer.status in (200, 404, 410)
                    ):
                        self._checks.record_queue(
                            instance.process,
                            version,
                            began,
                            is_known=answer.status != 404,
                        )
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _list_instances(self) -> list[_Instance]:
        return [
            _Instance(process.pid, self._fleet.get_address(name))
            for name, process in self._fleet.processes.items()
        ]

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        instance: _Instance | None = None,
    ) -> transport.Answer | Exception:
        """Sends a request to an instance, by default to a random one."""
        instances = self._list_instances()
        if instance is None and not instances:
            return transport.CallNotSentError("no instance")
        target = instance or self._random.choice(instances)
        call = transport.Call(
            method,
            target.address,
            path,
            _TIMEOUT,
            body,
            (f"Host: {processes.HOST}",),
        )
        try:
            return await self._client.send(call)
        except (transport.CallLostError, transport.CallNotSentError) as error:
            return error


def plan_run(task: str, run: int) -> tuple[float, str]:
    """Plans the seconds and the exit reason of a run on a sound runner."""
    source = random.Random(f"{task} {run}")
    if task[0] == LONG_RUNNING:
        return 3_600.0, "done"
    is_failing = task[0] == FAILING or source.random() < 0.04
    return source.uniform(0.2, 3.0), "failed" if is_failing else "done"


def _make_job(identifier: str, source: random.Random) -> dict[str, typing.Any]:
    step: dict[str, typing.Any] = {
        "count": source.randint(1, 4),
        "cpu": source.choice([500, 1000, 2000]),
        "mem_mb": 256,
        "est_runtime_ms": 1500,
        "image": "renew",
    }
    if identifier[0] == LONG_RUNNING:
        steps = [{**step, "long_running": True, "target_ms": 50}]
    elif identifier[0] == BEST_EFFORT:
        steps = [{**step, "fills": True}]
    else:
        steps = [step, {**step, "count": 2, "after": [0]}]
    return {"spec": "renew", "steps": steps}
