"""Stand-in for a runner."""

import asyncio
from collections.abc import Callable
import datetime
import math
import typing

from standins import history
from standins import network
from standins import registrations
from standins import runs
from standins import store
from tamarackhatch import model

_MILLISECOND = datetime.timedelta(milliseconds=1)
_STOP_DURATION_S = 0.1
MAX_LEASE = datetime.timedelta(seconds=10)
# Exit reason in a plan: the run crashes its runner.
CRASH = "crash"
# Paths of the calls that a runner takes.
RENEWAL_PATH = "/-/hold"
START_PATH = "/-/run-start"
STOP_PATH = "/-/run-stop"
SPEED_LIMIT_PATH = "/-/pace"
# A report lists at most this many exits; the others follow once these are
# acknowledged.
MAX_LISTED_EXITS = 500
_RESTART_S = 3.0


Run = runs.Run
Plan = Callable[[str, int], tuple[float, str]]


class RunnerStandIn:
    """Runs tasks under a lease, and reports them and their exits.

    A plan gives the seconds and the exit reason of each task and run. Without
    a checkpoint interval all runs are listed with 100 % and no checkpoint, and
    start from the beginning.

    Attributes:
        identifier: Name of the runner in the registry.
        address: ``host:port`` of the runner.
        service: Service to which the runner belongs.
        data_centre: Data centre that it registers; empty for none.
        labels: Labels that it registers; the last one is its rack.
        state: State that it registers, such as "ready".
        leaves_at: Loop time at which it registers that it leaves, while it is
            draining; None if it leaves at once.
        is_registering: Whether it registers.
        ticket: Ticket that each start must have; None accepts all starts.
        starts_without_ticket: Number of starts refused for lack of the ticket.
        starts_without_capacity: Number of starts refused because the task
            does not fit.
        capacity: Capacity that it registers; it may change at any time.
        enforces_capacity: Whether it refuses tasks that do not fit.
        is_down: Whether the process has crashed and is not back yet.
        gets_new_identifier: Whether it is back under a new identifier after a
            run has crashed it.
        checkpoint_interval_s: Seconds of work between two checkpoints of a
            run; None for runs without progress and checkpoints.
        checkpoint_length: Least number of characters of a checkpoint.
        restore_s: Seconds that a run needs to resume from a checkpoint.
        kill_s: Seconds that it takes to kill runs whose lease has expired.
        registered_at: Loop time at which it last registered; minus infinity
            before that.
        on_restart: Called when an incarnation begins.
        max_lease: Longest lease that it grants.
    """

    def __init__(
        self,
        identifier: str,
        address: str,
        service: str,
        plan: Plan,
        run_history: history.History,
        capacity: model.Resources = model.Resources(16_000, 64_000),
        incarnation: int = 1,
    ) -> None:
        self.identifier = identifier
        self.address = address
        self.service = service
        self.data_centre = "here"
        self.labels = ["a", "r1"]
        self.state = "ready"
        self.leaves_at: float | None = None
        self.is_registering = True
        self.ticket: str | None = None
        self.starts_without_ticket = 0
        self.starts_without_capacity = 0
        self.capacity = capacity
        self.enforces_capacity = False
        self.is_down = False
        self.gets_new_identifier = True
        self.checkpoint_interval_s: float | None = None
        self.checkpoint_length = 0
        self.restore_s = 0.0
        self.kill_s = 0.0
        self.registered_at = -math.inf
        self.on_restart: Callable[[], None] = lambda: None
        self.max_lease = MAX_LEASE
        self._stalled_from = math.inf
        self._resumed_at = -math.inf
        self._speed = 1.0
        self._earlier_identifiers: list[str] = []
        self._plan = plan
        self._history = run_history
        self._incarnation = incarnation
        # Connections to earlier incarnations are reset.
        self._reset_incarnation = incarnation
        self._registration_number = 0
        self._runs_changed = asyncio.Event()
        self._is_late_start = False
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        loop = asyncio.get_running_loop()
        self.on_restart()
        self._incarnation_start = loop.time()
        self._token = 0
        self._lease_end_ms = 0
        self._last_exit_number = 0
        self._runs: dict[str, Run] = {}
        self._exits: list[list[typing.Any]] = []
        self._closed_runs: dict[str, int] = {}
        self._specs: dict[str, tuple[int, int]] = {}

    @property
    def running(self) -> list[str]:
        """Names of the tasks that run now, sorted."""
        self._update()
        return sorted(self._runs)

    async def stall(self, duration_s: float) -> None:
        """Stops the process, as SIGSTOP does, and continues it.

        Meanwhile it answers no call and kills no run, and its clock goes on.
        The calls that have arrived are handled before its timers.
        """
        self._update()
        loop = asyncio.get_running_loop()
        self._stalled_from = loop.time()
        await asyncio.sleep(duration_s)
        self._stalled_from = math.inf
        self.resume()
        self._wake_renewals()

    def resume(self) -> None:
        """Records that the process was stalled until now.

        A process that signals have stopped learns of it afterwards. Runs
        whose lease has expired meanwhile are killed from now on.
        """
        self._resumed_at = asyncio.get_running_loop().time()

    @property
    def speed(self) -> float:
        """Share of their full speed that it gives runs without a limit."""
        return self._speed

    @speed.setter
    def speed(self, speed: float) -> None:
        self._update()
        self._speed = speed
        now = asyncio.get_running_loop().time()
        for run in self._runs.values():
            run.set_runner_speed(now, speed)
        self._wake_renewals()

    def crash(self, resets_connections: bool = False) -> None:
        """Ends all runs without a report and starts a new incarnation.

        Args:
            resets_connections: Whether calls that wait for their answer see
                that the earlier incarnation has ended.
        """
        self._update()
        for run in self._runs.values():
            now = asyncio.get_running_loop().time()
            self._history.record_exit(
                self.identifier, run.task, run.run, "crashed", now
            )
        self._incarnation += 1
        self._start_incarnation()
        if resets_connections:
            self._reset_incarnation = self._incarnation
            self._wake_renewals()

    def _crash_by_run(self, task: str, number: int) -> None:
        """Crashes because of a run, and is back after some seconds."""
        run = self._runs.get(task)
        if self.is_down or run is None or run.run != number:
            return
        loop = asyncio.get_running_loop()
        self._history.record_exit(
            self.identifier, task, number, CRASH, loop.time()
        )
        self.crash()
        self.is_down = True
        self._wake_renewals()
        loop.call_later(_RESTART_S, self._restart)

    def _restart(self) -> None:
        self.is_down = False
        if self.gets_new_identifier:
            self._earlier_identifiers.append(self.identifier)
            self.identifier += "+"
        self._start_incarnation()

    def register(self, store_stand_in: store.StoreStandIn) -> None:
        """Writes the runner's entry into the registry in the store.

        A process that is stopped writes nothing.
        """
        if self.is_down or self._stalled_from < math.inf:
            return
        self.registered_at = asyncio.get_running_loop().time()
        for identifier in self._earlier_identifiers:
            store_stand_in.remove("servers", identifier)
        self._earlier_identifiers.clear()
        value = self.encode_registration()
        store_stand_in.put("servers", self.identifier, value)
        self._history.record_capacity(self.identifier, self.capacity)
        self._history.record_data_centre(self.identifier, self.data_centre)

    def encode_registration(self) -> str:
        """Returns its next registry entry, as base64 text."""
        self._registration_number += 1
        numbers = (self._incarnation, self._registration_number)
        return registrations.encode(self, *numbers, self._get_clock_ms())

    async def handle(self, request: network.Request) -> network.Response:
        """Answers one call; refuses fencing tokens below the highest seen."""
        if self.is_down:
            raise network.BrokenConnectionError
        while self._stalled_from < math.inf:
            await self._runs_changed.wait()
        if request.expected_instance not in ("", self.identifier):
            return network.Response(421)
        self._update()
        body = request.body
        token = body.get("fencing_token", 0)
        if token < self._token:
            return self._make_response(409, reason="fence")
        self._token = token
        if request.path == RENEWAL_PATH:
            return await self._renew(body)
        if request.path == START_PATH:
            self._is_late_start = request.is_late
            return self._start(body)
        if request.path == STOP_PATH:
            return self._stop(body)
        if request.path == SPEED_LIMIT_PATH:
            return self._set_speed_limit(body)
        return self._make_response(404)

    def _make_response(
        self, status: int, **fields: typing.Any
    ) -> network.Response:
        return network.Response(
            status, {"clock_ms": self._get_clock_ms(), **fields}
        )

    def _get_clock_ms(self) -> int:
        loop = asyncio.get_running_loop()
        return 1 + int((loop.time() - self._incarnation_start) * 1000)

    def _extend_lease(self, body: network.Body) -> None:
        if self._lease_end_ms < self._get_clock_ms():
            self._history.record_expiry(
                self.identifier,
                self._incarnation,
                self._incarnation_start + self._lease_end_ms / 1000,
            )
        latest_ms = self._get_clock_ms() + self.max_lease // _MILLISECOND
        requested_ms = min(body.get("deadline_ms", 0), latest_ms)
        self._lease_end_ms = max(self._lease_end_ms, requested_ms)

    async def _renew(self, body: network.Body) -> network.Response:
        loop = asyncio.get_running_loop()
        incarnation = self._incarnation
        acknowledged = body.get("ack_cursor", 0)
        self._extend_lease(body)
        self._history.record_acknowledgement(
            self.identifier, self._incarnation, acknowledged
        )
        self._exits = [it for it in self._exits if it[0] > acknowledged]
        deadline = loop.time() + body.get("wait_ms", 0) / 1000
        while not self._exits and loop.time() < deadline:
            wait_s = min(deadline, self._get_next_exit_time()) - loop.time()
            try:
                async with asyncio.timeout(max(0.001, wait_s)):
                    await self._runs_changed.wait()
            except TimeoutError:
                pass
            if self.is_down or incarnation < self._reset_incarnation:
                raise network.BrokenConnectionError
            self._update()
        running = [self._list_run(run) for run in self._runs.values()]
        return self._make_response(
            200,
            born=self._incarnation,
            running=running,
            ended=self._exits[:MAX_LISTED_EXITS],
        )

    def _list_run(self, run: Run) -> list[typing.Any]:
        """Returns a run's row: task, run, checkpoint, percent, sample."""
        if self.checkpoint_interval_s is None:
            return [run.task, run.run, "", 100, 0]
        now = asyncio.get_running_loop().time()
        percent = int(100 * run.compute_progress(now))
        return [run.task, run.run, self._get_checkpoint(run, now), percent, 0]

    def _get_checkpoint(self, run: Run, time: float) -> str:
        """Returns the latest checkpoint: the seconds of work that it saves.

        Empty for none.
        """
        if self.checkpoint_interval_s is None or not self._saves(run.task):
            return ""
        count = run.compute_work_done(time) // self.checkpoint_interval_s
        saved = str(count * self.checkpoint_interval_s)
        return saved.zfill(self.checkpoint_length) if count else ""

    def _start(self, body: network.Body) -> network.Response:
        task, number = body["task"], body["run"]
        current = self._runs.get(task)
        if current is not None and current.run == number:
            self._extend_lease(body)
            return self._make_response(200)
        if self.ticket is not None and body.get("ticket") != self.ticket:
            self.starts_without_ticket += 1
            return self._make_response(409, reason="ticket")
        if body["deadline_ms"] <= self._get_clock_ms():
            return self._make_response(409, reason="late")
        if current is not None or number <= self._closed_runs.get(task, 0):
            self._extend_lease(body)
            return self._make_response(409, reason="old")
        self._extend_lease(body)
        if self.enforces_capacity and not self._has_capacity(task):
            self.starts_without_capacity += 1
            return self._make_response(409, reason="room")
        work_s, exit_reason = self._plan(task, number)
        now = asyncio.get_running_loop().time()
        checkpoint = body.get("checkpoint", "")
        is_resumed = self.checkpoint_interval_s is not None and checkpoint
        self._runs[task] = Run(
            task,
            number,
            now,
            work_s,
            exit_reason,
            body["fencing_token"],
            runner_speed=self._speed,
            work_done_s=float(checkpoint) if is_resumed else 0.0,
            limit_changed=now + self.restore_s if is_resumed else now,
        )
        self._history.record_start(
            self.identifier,
            self._incarnation,
            task,
            number,
            body["fencing_token"],
            self._is_late_start,
        )
        self._wake_renewals()
        if exit_reason == CRASH:
            run = self._runs[task]
            run.work_s = math.inf
            if work_s == 0:
                self._crash_by_run(task, number)
                raise network.BrokenConnectionError
            asyncio.get_running_loop().call_later(
                work_s, self._crash_by_run, task, number
            )
        return self._make_response(200)

    def _has_capacity(self, task: str) -> bool:
        """Returns whether a task fits beside the runs in progress."""
        reserved = sum(
            map(self._get_reservation, [task, *self._runs]), model.Resources()
        )
        return reserved.fits_in(self.capacity)

    def _get_reservation(self, task: str) -> model.Resources:
        return self._history.get_reservation(task)

    def _get_kill_s(self) -> float:
        return self.kill_s

    def _saves(self, task: str) -> bool:
        """Returns whether a task takes checkpoints, if any does."""
        return True

    def _set_speed_limit(self, body: network.Body) -> network.Response:
        run = self._runs.get(body["task"])
        if run is not None and run.run == body["run"]:
            now = asyncio.get_running_loop().time()
            run.set_speed_limit(now, body["percent"] / 100)
        return self._make_response(200)

    def _stop(self, body: network.Body) -> network.Response:
        task, number = body["task"], body["run"]
        self._closed_runs[task] = max(self._closed_runs.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.run <= number and not run.is_stopping:
            now = asyncio.get_running_loop().time()
            if run.exit_time > now + _STOP_DURATION_S:
                run.exit_reason = "stopped"
            run.stop_time = now + _STOP_DURATION_S
            self._wake_renewals()
        return self._make_response(200)

    def _wake_renewals(self) -> None:
        self._runs_changed.set()
        self._runs_changed = asyncio.Event()

    def _get_next_exit_time(self) -> float:
        exit_times = [run.exit_time for run in self._runs.values()]
        lease_end = self._incarnation_start + self._lease_end_ms / 1000
        return min([*exit_times, lease_end if self._runs else float("inf")])

    def _update(self) -> None:
        """Ends all runs that are over, or whose lease has expired."""
        now = asyncio.get_running_loop().time()
        lease_end = self._incarnation_start + self._lease_end_ms / 1000
        if lease_end <= now and self._stalled_from == math.inf:
            for run in self._runs.values():
                if run.exit_time > lease_end and not run.is_stopping:
                    run.exit_reason = "lapsed"
                    run.stop_time = (
                        max(lease_end, self._resumed_at) + self._get_kill_s()
                    )
        for run in sorted(self._runs.values(), key=lambda it: it.exit_time):
            if run.exit_time <= min(now, self._stalled_from):
                self._record_exit(run, run.exit_reason, run.exit_time)

    def _record_exit(self, run: Run, exit_reason: str, time: float) -> None:
        del self._runs[run.task]
        self._closed_runs[run.task] = max(
            self._closed_runs.get(run.task, 0), run.run
        )
        self._last_exit_number += 1
        number = self._last_exit_number
        checkpoint = self._get_checkpoint(run, time)
        row = [number, run.task, run.run, exit_reason, checkpoint]
        self._exits.append(row)
        self._history.record_exit(
            self.identifier, run.task, run.run, exit_reason, time, number
        )
