"""The simulated tasks of the worker stand-in."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import time
import typing

import attrs

from standins import audit
from standins import records

_DEFAULT_RUN_MS = 100.0
_CHECKPOINT_RETRY_SECONDS = 0.2


class OrderRefusedError(Exception):
    """An order that the worker does not follow; the text is the reason."""


class UnknownTaskError(OrderRefusedError):
    """An order for a task that the worker does not run."""


class ObjectAccess(typing.Protocol):
    """Access to the object store; failures raise OSError."""

    async def put(self, key: str, content: bytes) -> None:
        """Writes an object."""
        ...

    async def get(self, key: str) -> bytes | None:
        """Returns an object, or None if there is none."""
        ...


@attrs.frozen
class Order:
    """Order to start a task attempt; ``lease_until`` is in seconds."""

    task: str
    attempt: int
    epoch: int
    lease_until: float
    amounts: records.Amounts
    kind: str = ""
    checkpoint: str | None = None
    command: str = ""


@attrs.frozen
class Script:
    """How a simulated task behaves, taken from its command text.

    Attributes:
        run_ms: Work, in milliseconds at full speed.
        is_failing: Whether it fails at the end of its work.
        checkpoint_ms: Time that a checkpoint takes.
    """

    run_ms: float = _DEFAULT_RUN_MS
    is_failing: bool = False
    checkpoint_ms: float = 0.0


@attrs.define
class Attempt:
    """A task attempt and its progress; times are in seconds."""

    order: Order
    script: Script
    lease_until: float
    started_at: float
    state: str = "running"
    checkpoint: str | None = None
    reason: str = ""
    percent: int = 100
    done_ms: float = 0.0
    is_loaded: bool = False
    is_load_failed: bool = False
    advanced_at: float = 0.0
    ended_at: float | None = None
    is_stop_wanted: bool = False
    checkpoint_count: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)


def parse_command(command: str) -> Script:
    """Returns the script of a command such as ``run_ms=200 fail``.

    Unknown words are ignored; a bad number gives the default.
    """
    numbers: dict[str, float] = {}
    words = command.split()
    for word in words:
        name, _, text = word.partition("=")
        with contextlib.suppress(ValueError):
            numbers[name] = float(text)
    return Script(
        numbers.get("run_ms", _DEFAULT_RUN_MS),
        "fail" in words,
        numbers.get("checkpoint_ms", 0.0),
    )


class WorkerTasks:
    """Follows orders, runs simulated tasks, records what happened.

    Leases end by the worker's own clock, which may be skewed; records carry
    the machine's clock, so that those of all workers can be merged.
    """

    def __init__(
        self,
        worker: str,
        capacity: records.Amounts,
        objects: ObjectAccess,
        skew_seconds: float = 0.0,
        get_time: Callable[[], float] = time.time,
    ) -> None:
        self._worker = worker
        self._capacity = capacity
        self._objects = objects
        self._skew = skew_seconds
        self._get_time = get_time
        self._audit = audit.WorkerAudit(worker, capacity)
        self._events: list[records.WorkerEvent] = []
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._latest: dict[str, Attempt] = {}
        self._running: dict[str, Attempt] = {}
        self._highest_epoch = 0
        self._fails_all = False
        self._runs: set[asyncio.Task[None]] = set()

    def set_fails_all(self, fails_all: bool) -> None:
        """Makes every task that starts from now on fail at once."""
        self._fails_all = fails_all

    def get_records(self) -> records.WorkerRecords:
        """Returns everything recorded."""
        return records.WorkerRecords(
            self._worker,
            self._capacity,
            tuple(self._events),
            self._audit.violations,
        )

    def start(self, order: Order) -> Attempt:
        """Starts an attempt; a repeated order starts nothing.

        Raises:
            OrderRefusedError: Nothing was started.
        """
        self._take_epoch(order.epoch, order.task, order.attempt)
        known = self._attempts.get((order.task, order.attempt))
        if known is not None:
            return known
        now = self._get_time()
        reason = self._find_refusal(order, now)
        if reason:
            self._record(
                records.EventKind.REFUSE,
                order.task,
                order.attempt,
                detail=reason,
            )
            raise OrderRefusedError(reason)
        script = parse_command(order.command)
        if self._fails_all:
            script = Script(0.0, True)
        attempt = Attempt(
            order, script, order.lease_until, now, checkpoint=order.checkpoint
        )
        self._attempts[order.task, order.attempt] = attempt
        # Older attempts are refused, so the last one started is the latest.
        self._latest[order.task] = attempt
        self._running[order.task] = attempt
        self._record(
            records.EventKind.START,
            order.task,
            order.attempt,
            order.epoch,
            order.amounts,
            order.checkpoint,
        )
        run = asyncio.create_task(self._run(attempt))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        return attempt

    def renew(
        self, epoch: int, lease_until: float, tasks: list[str]
    ) -> list[str]:
        """Extends leases; returns the tasks that still run."""
        self._take_epoch(epoch)
        if lease_until <= self._get_own_time():
            raise OrderRefusedError("the lease would already have ended")
        renewed = []
        for task in tasks:
            attempt = self._running.get(task)
            if attempt and attempt.lease_until > self._get_own_time():
                # A delayed renewal must not shorten a newer one.
                attempt.lease_until = max(attempt.lease_until, lease_until)
                attempt.changed.set()
                renewed.append(task)
        return renewed

    def throttle(
        self, epoch: int, task: str, number: int | None, percent: int
    ) -> None:
        """Changes the speed of a task."""
        attempt = self._find_running(epoch, task, number)
        if not 0 < percent <= 100:
            raise OrderRefusedError("percent must be from 1 to 100")
        self._advance(attempt)
        attempt.percent = percent
        attempt.changed.set()

    async def checkpoint(
        self, epoch: int, task: str, number: int | None
    ) -> str:
        """Writes the progress of a task to the object store.

        Raises:
            OrderRefusedError: The task does not run.
            OSError: The object store failed.
        """
        attempt = self._find_running(epoch, task, number)
        await asyncio.sleep(attempt.script.checkpoint_ms / 1000)
        if attempt.ended_at is not None:
            raise UnknownTaskError(f"task {task} has ended")
        self._advance(attempt)
        attempt.checkpoint_count += 1
        order = attempt.order
        name = order.task.replace("/", "-")
        key = f"checkpoint-{name}-{order.attempt}-{attempt.checkpoint_count}"
        content = {"task": order.task, "done_ms": attempt.done_ms}
        await self._objects.put(key, json.dumps(content).encode())
        attempt.checkpoint = key
        self._record(
            records.EventKind.CHECKPOINT,
            order.task,
            order.attempt,
            checkpoint=key,
        )
        return key

    async def stop(self, epoch: int, task: str, number: int | None) -> Attempt:
        """Stops a task; returns once it has ended.

        A task that has ended already is reported as it ended, because the
        answer to the first order may have been lost.
        """
        self._take_epoch(epoch, task, number or 0)
        attempt = self._find_latest(task, number)
        if attempt is None:
            raise UnknownTaskError(f"unknown task {task}")
        attempt.is_stop_wanted = True
        attempt.changed.set()
        await attempt.ended.wait()
        return attempt

    def list_attempts(self, epoch: int | None) -> list[Attempt]:
        """Returns all attempts, ended ones included."""
        if epoch is not None:
            self._take_epoch(epoch)
        return list(self._attempts.values())

    def list_running_at(self, moment: float) -> list[Attempt]:
        """Returns the attempts that ran at a time, by the machine's clock."""
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.started_at <= moment
            and (attempt.ended_at is None or attempt.ended_at > moment)
        ]

    async def close(self) -> None:
        """Ends all runs without recording an end."""
        for run in tuple(self._runs):
            run.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)

    def _find_refusal(self, order: Order, now: float) -> str:
        if order.lease_until <= now + self._skew:
            return "late: the lease has already ended"
        if order.task in self._running:
            return "another attempt of the task runs"
        newest = self._find_latest(order.task, None)
        if newest and newest.order.attempt > order.attempt:
            return f"attempt {newest.order.attempt} was started before"
        total = order.amounts
        for attempt in self._running.values():
            total = total.add(attempt.order.amounts)
        if not total.fits_in(self._capacity):
            return f"over-commitment: {total} of {self._capacity}"
        return ""

    def _find_latest(self, task: str, number: int | None) -> Attempt | None:
        if number is not None:
            return self._attempts.get((task, number))
        numbers = [attempt for name, attempt in self._attempts if name == task]
        return self._attempts[task, max(numbers)] if numbers else None

    def _find_running(
        self, epoch: int, task: str, number: int | None
    ) -> Attempt:
        self._take_epoch(epoch, task, number or 0)
        attempt = self._running.get(task)
        if attempt is None or number not in (None, attempt.order.attempt):
            raise UnknownTaskError(f"task {task} does not run")
        return attempt

    def _take_epoch(self, epoch: int, task: str = "", number: int = 0) -> None:
        if epoch < self._highest_epoch:
            reason = f"epoch {epoch} is below {self._highest_epoch}"
            self._record(records.EventKind.REFUSE, task, number, detail=reason)
            raise OrderRefusedError(reason)
        if epoch > self._highest_epoch:
            self._highest_epoch = epoch
            self._record(records.EventKind.EPOCH, epoch=epoch)

    def _get_own_time(self) -> float:
        return self._get_time() + self._skew

    def _record(
        self,
        kind: records.EventKind,
        task: str = "",
        attempt: int = 0,
        epoch: int = 0,
        amounts: records.Amounts = records.Amounts(),
        checkpoint: str | None = None,
        detail: str = "",
    ) -> None:
        event = records.WorkerEvent(
            self._get_time(),
            kind,
            task,
            attempt,
            epoch,
            amounts,
            checkpoint,
            detail,
        )
        self._events.append(event)
        self._audit.note(event)

    async def _run(self, attempt: Attempt) -> None:
        loader: asyncio.Task[None] | None = None
        if attempt.order.checkpoint is None:
            self._begin(attempt, 0.0)
        else:
            # A slow object store must not delay the end of the lease.
            loader = asyncio.create_task(self._load_checkpoint(attempt))
        try:
            while (wait := self._settle(attempt)) is not None:
                attempt.changed.clear()
                await _wait_at_most(attempt.changed.wait(), wait)
        finally:
            if loader is not None:
                loader.cancel()

    def _settle(self, attempt: Attempt) -> float | None:
        """Ends the attempt if it is due.

        Returns:
            Time to the next look in seconds, or None once it has ended.
        """
        self._advance(attempt)
        left_ms = attempt.script.run_ms - attempt.done_ms
        lease_left = attempt.lease_until - self._get_own_time()
        if lease_left <= 0:
            self._end(attempt, records.EventKind.LAPSE, "lapsed", "lease")
        elif attempt.is_stop_wanted:
            self._end(attempt, records.EventKind.STOP, "stopped", "ordered")
        elif attempt.is_load_failed:
            reason = "no checkpoint"
            self._end(attempt, records.EventKind.FAIL, "failed", reason)
        elif not attempt.is_loaded:
            return lease_left
        elif left_ms > 0:
            return min(left_ms / 10 / attempt.percent, lease_left)
        elif attempt.script.is_failing:
            self._end(attempt, records.EventKind.FAIL, "failed", "fails")
        else:
            self._end(attempt, records.EventKind.FINISH, "finished", "")
        return None

    def _advance(self, attempt: Attempt) -> None:
        if not attempt.is_loaded or attempt.ended_at is not None:
            return
        now = time.monotonic()
        speed = attempt.percent / 100
        attempt.done_ms += (now - attempt.advanced_at) * 1000 * speed
        attempt.advanced_at = now

    def _begin(self, attempt: Attempt, done_ms: float) -> None:
        attempt.done_ms = done_ms
        attempt.advanced_at = time.monotonic()
        attempt.is_loaded = True

    async def _load_checkpoint(self, attempt: Attempt) -> None:
        """Reads the progress, until the object store answers."""
        key = attempt.order.checkpoint or ""
        while True:
            try:
                content = await self._objects.get(key)
                break
            except OSError:
                await asyncio.sleep(_CHECKPOINT_RETRY_SECONDS)
        saved = json.loads(content) if content else {}
        if saved.get("task") == attempt.order.task:
            self._begin(attempt, float(saved["done_ms"]))
        else:
            attempt.is_load_failed = True
        attempt.changed.set()

    def _end(
        self,
        attempt: Attempt,
        kind: records.EventKind,
        state: str,
        reason: str,
    ) -> None:
        order = attempt.order
        attempt.state = state
        attempt.reason = reason
        attempt.ended_at = self._get_time()
        del self._running[order.task]
        self._record(kind, order.task, order.attempt, detail=reason)
        attempt.ended.set()


async def _wait_at_most(event: Awaitable[object], seconds: float) -> None:
    with contextlib.suppress(asyncio.TimeoutError):
        await asyncio.wait_for(event, seconds)
