"""Stand-in for a runner."""

import asyncio
import base64
from collections.abc import Callable
import math
import typing

import attrs
import orjson

from standins import history
from standins import network
from standins import store

_STOP_S = 0.1
_MAX_LEASE_MS = 10_000


@attrs.define
class Run:
    """A run in progress.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        started: Loop time at which it started.
        work: Seconds that it takes at full speed.
        how: How it then exits.
        token: Fencing token of the start.
        speed_limit: Share of its speed at which it works.
        worked: Seconds of its work that were done when the speed limit
            changed.
        limit_changed: Loop time at which the speed limit changed.
        stops: Loop time at which a command stops it.
    """

    task: str
    run: int
    started: float
    work: float
    how: str
    token: int
    speed_limit: float = 1.0
    worked: float = 0.0
    limit_changed: float = 0.0
    stops: float = math.inf

    @property
    def is_stopping(self) -> bool:
        """Whether it was told to stop."""
        return self.stops < math.inf

    @property
    def exit_time(self) -> float:
        """Loop time at which it exits."""
        if not self.speed_limit:
            return self.stops
        own_exit_time = (
            self.limit_changed + (self.work - self.worked) / self.speed_limit
        )
        return min(self.stops, own_exit_time)

    def compute_progress(self, now: float) -> float:
        """Returns the share of its work that is done."""
        done = self.worked + (now - self.limit_changed) * self.speed_limit
        return min(1.0, done / self.work)

    def set_speed_limit(self, now: float, speed_limit: float) -> None:
        """Lets it work at another share of its speed from now on."""
        self.worked += (now - self.limit_changed) * self.speed_limit
        self.limit_changed, self.speed_limit = now, speed_limit


Plan = Callable[[str, int], tuple[float, str]]


class RunnerStandIn:
    """Runs tasks under a lease, and lists them and their exits.

    A plan says for each task and run how long it takes and how it exits.
    """

    def __init__(
        self,
        identifier: str,
        address: str,
        service: str,
        plan: Plan,
        record: history.History,
        cpu: int = 16_000,
        memory: int = 64_000,
    ) -> None:
        self.identifier = identifier
        self.address = address
        self.service = service
        self.state = "ready"
        # A start must carry this ticket, unless it is None.
        self.ticket: str | None = None
        self.missed_tickets = 0
        self.cpu = cpu
        self.memory = memory
        self._plan = plan
        self._history = record
        self._incarnation = 1
        self._seq = 0
        self._wake = asyncio.Event()
        self._start_life()

    def _start_life(self) -> None:
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        self._token = 0
        self._lease_end = 0
        self._numbers = 0
        self._runs: dict[str, Run] = {}
        self._exits: list[list[typing.Any]] = []
        self._closed: dict[str, int] = {}
        self._specs: dict[str, tuple[int, int]] = {}

    @property
    def running(self) -> list[str]:
        """Names of the tasks that run now."""
        self._update()
        return sorted(self._runs)

    def crash(self) -> None:
        """Ends everything and begins a new incarnation."""
        self._update()
        for run in self._runs.values():
            now = asyncio.get_running_loop().time()
            self._history.record_exit(
                self.identifier, run.task, run.run, "crashed", now
            )
        self._incarnation += 1
        self._start_life()

    def register(self, target: store.StoreStandIn) -> None:
        """Writes the entry in the registry."""
        self._seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "here",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.memory, "gpu": 0},
            "labels": ["a", "r1"],
            "born": self._incarnation,
            "seq": self._seq,
        }
        value = base64.b64encode(orjson.dumps(entry)).decode()
        target.put("servers", self.identifier, value)

    async def handle(self, request: network.Request) -> network.Response:
        """Answers one call."""
        self._update()
        body = request.body
        token = body.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        if request.path == "/-/hold":
            return await self._hold(body)
        if request.path == "/-/run-start":
            return self._start(body)
        if request.path == "/-/run-stop":
            return self._stop(body)
        if request.path == "/-/pace":
            return self._set_speed_limit(body)
        return self._answer(404)

    def _answer(self, status: int, **fields: typing.Any) -> network.Response:
        return network.Response(
            status, {"clock_ms": self._get_clock(), **fields}
        )

    def _get_clock(self) -> int:
        loop = asyncio.get_running_loop()
        return 1 + int((loop.time() - self._began) * 1000)

    def _extend(self, body: network.Body) -> None:
        if self._lease_end < self._get_clock():
            self._history.record_expiry(
                self.identifier,
                self._incarnation,
                self._began + self._lease_end / 1000,
            )
        limit = self._get_clock() + _MAX_LEASE_MS
        asked = min(body.get("deadline_ms", 0), limit)
        self._lease_end = max(self._lease_end, asked)

    async def _hold(self, body: network.Body) -> network.Response:
        loop = asyncio.get_running_loop()
        acknowledged_exit = body.get("ack_cursor", 0)
        self._extend(body)
        self._history.record_acknowledgement(
            self.identifier, self._incarnation, acknowledged_exit
        )
        self._exits = [
            run_exit
            for run_exit in self._exits
            if run_exit[0] > acknowledged_exit
        ]
        deadline = loop.time() + body.get("wait_ms", 0) / 1000
        while not self._exits and loop.time() < deadline:
            pause = min(deadline, self._get_next_exit()) - loop.time()
            try:
                async with asyncio.timeout(max(0.001, pause)):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._update()
        running = [self._list_run(run) for run in self._runs.values()]
        return self._answer(
            200, born=self._incarnation, running=running, ended=self._exits
        )

    def _list_run(self, run: Run) -> list[typing.Any]:
        """Returns a run's row: task, run, checkpoint, percent, sample."""
        return [run.task, run.run, "", 100, 0]

    def _start(self, body: network.Body) -> network.Response:
        task, number = body["task"], body["run"]
        present = self._runs.get(task)
        if present is not None and present.run == number:
            self._extend(body)
            return self._answer(200)
        if self.ticket is not None and body.get("ticket") != self.ticket:
            self.missed_tickets += 1
            return self._answer(409, reason="ticket")
        if body["deadline_ms"] <= self._get_clock():
            return self._answer(409, reason="late")
        if present is not None or number <= self._closed.get(task, 0):
            self._extend(body)
            return self._answer(409, reason="old")
        self._extend(body)
        if not self._has_capacity(task):
            return self._answer(409, reason="room")
        duration, how = self._plan(task, number)
        now = asyncio.get_running_loop().time()
        self._runs[task] = Run(
            task,
            number,
            now,
            duration,
            how,
            body["fencing_token"],
            limit_changed=now,
        )
        self._history.record_start(
            self.identifier,
            self._incarnation,
            task,
            number,
            body["fencing_token"],
        )
        self._wake_holders()
        return self._answer(200)

    def _has_capacity(self, task: str) -> bool:
        """Tells whether a task fits; here there is capacity for all."""
        return True

    def _set_speed_limit(self, body: network.Body) -> network.Response:
        run = self._runs.get(body["task"])
        if run is not None and run.run == body["run"]:
            now = asyncio.get_running_loop().time()
            run.set_speed_limit(now, body["percent"] / 100)
        return self._answer(200)

    def _stop(self, body: network.Body) -> network.Response:
        task, number = body["task"], body["run"]
        self._closed[task] = max(self._closed.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.run <= number and not run.is_stopping:
            now = asyncio.get_running_loop().time()
            if run.exit_time > now + _STOP_S:
                run.how = "stopped"
            run.stops = now + _STOP_S
            self._wake_holders()
        return self._answer(200)

    def _wake_holders(self) -> None:
        self._wake.set()
        self._wake = asyncio.Event()

    def _get_next_exit(self) -> float:
        exit_times = [run.exit_time for run in self._runs.values()]
        lease = self._began + self._lease_end / 1000
        return min([*exit_times, lease if self._runs else float("inf")])

    def _update(self) -> None:
        """Ends the runs whose time has come."""
        now = asyncio.get_running_loop().time()
        lease = self._began + self._lease_end / 1000
        for run in sorted(self._runs.values(), key=lambda run: run.exit_time):
            if run.exit_time <= min(now, lease):
                self._exit(run, run.how, run.exit_time)
            elif lease <= now:
                self._exit(run, "lapsed", lease)

    def _exit(self, run: Run, how: str, time: float) -> None:
        del self._runs[run.task]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.run)
        self._numbers += 1
        self._exits.append([self._numbers, run.task, run.run, how, ""])
        self._history.record_exit(
            self.identifier, run.task, run.run, how, time, self._numbers
        )
