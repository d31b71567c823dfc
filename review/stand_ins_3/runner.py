"""Stand-in for a runner, which also runs gangs and checks labels."""

import asyncio
from collections.abc import Callable
import time
import typing

from standins import network
from standins import servers

GANG_TIMEOUT_S = 3.0
MAX_HOLD_MS = 6000
STOP_S = 0.1
MAX_LISTED = 500
# A long-running task is at work after this time.
STARTUP_S = 0.3

# Seconds of work and the reason of the end, for a task, a run and a runner.
Plan = Callable[[str, int, "Runner"], tuple[float, str]]
Record = Callable[..., None]


class Run:
    """A run of a task."""

    def __init__(
        self, task: str, number: int, step: dict[str, typing.Any], now: float
    ) -> None:
        self.task = task
        self.number = number
        self.step = step
        self.began = now
        self.work_s = 0.0
        self.how = "done"
        self.is_stopping = False
        self.timer: asyncio.TimerHandle | None = None
        self.gang: "Gang | None" = None


class Gang:
    """The members of one run of a gang that are present, by task."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.members: dict[str, tuple["Runner", Run]] = {}
        self.is_complete = False
        self.is_over = False


class Gangs:
    """All gangs, by step and run."""

    def __init__(self) -> None:
        self._gangs: dict[tuple[str, int], Gang] = {}

    def join(self, runner: "Runner", run: Run) -> None:
        """Adds a member; the gang works once all of its run are present."""
        key = run.task.rpartition(".")[0], run.number
        gang = self._gangs.setdefault(key, Gang(run.step["count"]))
        run.gang = gang
        gang.members[run.task] = runner, run
        loop = asyncio.get_running_loop()
        if gang.is_over:
            loop.call_soon(runner.end, run, "broken")
            return
        if len(gang.members) < gang.size:
            run.timer = loop.call_later(
                GANG_TIMEOUT_S, self._end_alone, runner, run
            )
            return
        gang.is_complete = True
        for member_runner, member in gang.members.values():
            if member.timer is not None:
                member.timer.cancel()
            member.began = loop.time()
            member_runner.schedule_end(member)

    def _end_alone(self, runner: "Runner", run: Run) -> None:
        if run.gang is not None and not run.gang.is_complete:
            runner.end(run, "alone")

    def leave(self, run: Run, how: str) -> None:
        """Ends the other members when one has ended."""
        gang = run.gang
        assert gang is not None
        gang.members.pop(run.task, None)
        if gang.is_over or how == "alone":
            return
        gang.is_over = True
        other_how = "done" if how == "done" else "broken"
        for runner, member in list(gang.members.values()):
            runner.end(member, other_how)


class Runner:
    """A runner on a loopback address, as the pages describe it."""

    def __init__(
        self,
        identifier: str,
        service: str,
        labels: list[str],
        capacity: dict[str, int],
        steps: Callable[[str], dict[str, typing.Any] | None],
        plan: Plan,
        gangs: Gangs,
        record: Record,
        zone: str = "here-1",
    ) -> None:
        self.identifier = identifier
        self.service = service
        self.labels = labels
        self.capacity = capacity
        self.zone = zone
        self.state = "ready"
        # Tail of its serving tasks, as a share of their target.
        self.tail_share = 0.2
        self.is_up = True
        self.born = time.time_ns() // 1_000_000
        self.seq = 0
        self.runs: dict[str, Run] = {}
        self._steps = steps
        self._plan = plan
        self._gangs = gangs
        self._record = record
        self._started_at = asyncio.get_running_loop().time()
        self._token = 0
        self._lease_ms = 0
        self._ended: list[list[typing.Any]] = []
        self._count = 0
        self._closed: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._lease_timer: asyncio.TimerHandle | None = None
        self._server = servers.StandInServer(self.handle)
        self.address = self._server.address

    @property
    def clock_ms(self) -> int:
        """Reading of its steady clock."""
        now = asyncio.get_running_loop().time()
        return 1 + int((now - self._started_at) * 1000)

    async def crash(self) -> None:
        """Ends the process: nothing is reported, and its port is closed."""
        self.is_up = False
        self._record("crash", runner=self.identifier, runs=sorted(self.runs))
        lost = list(self.runs.values())
        self.runs.clear()
        for run in lost:
            if run.timer is not None:
                run.timer.cancel()
            if run.gang is not None:
                self._gangs.leave(run, "crashed")
        await self._server.close()

    def get_step(self, task: str) -> dict[str, typing.Any]:
        """Returns the step of a task that a client has sent."""
        return self._steps(task) or {}

    def encode_entry(self) -> dict[str, typing.Any]:
        """Returns its next entry in the store."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms,
            "seq": self.seq,
            "born": self.born,
        }

    async def handle(self, request: network.Request) -> network.Response:
        """Answers a call."""
        if request.expected_instance not in ("", self.identifier):
            return network.Response(421)
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
            return self._answer(200)
        return network.Response(404)

    def _answer(self, status: int, **fields: typing.Any) -> network.Response:
        return network.Response(
            status, {"clock_ms": self.clock_ms, "born": self.born, **fields}
        )

    def _take_lease(self, body: network.Body) -> None:
        asked = body.get("deadline_ms")
        if asked is None:
            return
        self._lease_ms = max(
            self._lease_ms, min(asked, self.clock_ms + MAX_HOLD_MS)
        )
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        self._lease_timer = asyncio.get_running_loop().call_later(
            max(0, self._lease_ms - self.clock_ms) / 1000, self._lapse
        )

    def _lapse(self) -> None:
        if self.is_up and self.clock_ms >= self._lease_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")

    async def _hold(self, body: network.Body) -> network.Response:
        self._take_lease(body)
        cursor = body.get("ack_cursor", 0)
        if cursor:
            for row in self._ended:
                if row[0] <= cursor:
                    self._record(
                        "noted",
                        runner=self.identifier,
                        task=row[1],
                        run=row[2],
                        how=row[3],
                    )
        self._ended = [row for row in self._ended if row[0] > cursor]
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(2000, body.get("wait_ms", 0)) / 1000
        while not self._ended and loop.time() < deadline:
            try:
                async with asyncio.timeout(deadline - loop.time()):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return self._answer(
            200,
            running=[self._list(run) for run in self.runs.values()],
            ended=self._ended[:MAX_LISTED],
        )

    def _list(self, run: Run) -> list[typing.Any]:
        elapsed = asyncio.get_running_loop().time() - run.began
        if run.step.get("long_running"):
            percent = 100 if elapsed >= STARTUP_S else 50
        else:
            percent = min(99, int(100 * elapsed / max(run.work_s, 0.001)))
        sample = run.step.get("cpu", 0)
        if run.step.get("target_ms"):
            sample = int(run.step["target_ms"] * self.tail_share)
        return [run.task, run.number, "", percent, sample]

    def _start(self, body: network.Body) -> network.Response:
        task, number = body["task"], body["run"]
        current = self.runs.get(task)
        if current is not None and current.number == number:
            self._take_lease(body)
            return self._answer(200)
        if body["deadline_ms"] <= self.clock_ms:
            return self._answer(409, reason="late")
        if current is not None or number <= self._closed.get(task, 0):
            self._take_lease(body)
            return self._answer(409, reason="old")
        step = self._steps(task)
        if step is None:
            return self._answer(400)
        self._take_lease(body)
        if not self._has_room(step):
            return self._answer(409, reason="room")
        run = Run(task, number, step, asyncio.get_running_loop().time())
        run.work_s, run.how = self._plan(task, number, self)
        self.runs[task] = run
        self._record("start", runner=self.identifier, task=task, run=number)
        if step.get("gang"):
            self._gangs.join(self, run)
        else:
            self.schedule_end(run)
        self._wake()
        return self._answer(200)

    def _has_room(self, step: dict[str, typing.Any]) -> bool:
        steps = [step, *(run.step for run in self.runs.values())]
        for name, limit in self.capacity.items():
            used = sum(
                item.get(name, 0)
                for item in steps
                if not (name == "cpu" and item.get("fills"))
            )
            if used > limit:
                return False
        return True

    def schedule_end(self, run: Run) -> None:
        """Lets a run that is at work end by itself."""
        if run.step.get("long_running") and run.how == "done":
            return
        run.timer = asyncio.get_running_loop().call_later(
            run.work_s, self.end, run, run.how
        )

    def end(self, run: Run, how: str) -> None:
        """Ends a run and lists its end."""
        if self.runs.get(run.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self.runs[run.task]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.number)
        self._count += 1
        self._ended.append([self._count, run.task, run.number, how, ""])
        self._record(
            "end",
            runner=self.identifier,
            task=run.task,
            run=run.number,
            how=how,
        )
        if run.gang is not None:
            self._gangs.leave(run, how)
        self._wake()

    def _stop(self, body: network.Body) -> network.Response:
        task, number = body["task"], body["run"]
        self._closed[task] = max(self._closed.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(
                STOP_S, self.end, run, "stopped"
            )
        return self._answer(200)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
