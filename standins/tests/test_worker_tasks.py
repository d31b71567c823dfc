"""Tests of the worker stand-in's simulated tasks."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import time

import pytest

from standins import records
from standins import worker_tasks

_K = records.EventKind


class _Objects:
    """Object store in memory that can be down."""

    def __init__(self) -> None:
        self.content: dict[str, bytes] = {}
        self.is_down = False

    async def put(self, key: str, content: bytes) -> None:
        self.content[key] = content

    async def get(self, key: str) -> bytes | None:
        if self.is_down:
            raise OSError("down")
        return self.content.get(key)


def _order(
    command: str,
    lease: float = 30,
    checkpoint: str | None = None,
    attempt: int = 1,
) -> worker_tasks.Order:
    return worker_tasks.Order(
        "j/0",
        attempt,
        1,
        time.time() + lease,
        records.Amounts(1, 1, 0),
        checkpoint=checkpoint,
        command=command,
    )


def _run(
    scenario: Callable[[worker_tasks.WorkerTasks], Awaitable[None]],
    objects: _Objects | None = None,
    skew: float = 0.0,
) -> list[records.WorkerEvent]:
    tasks = worker_tasks.WorkerTasks(
        "w", records.Amounts(9, 9, 9), objects or _Objects(), skew
    )

    async def run() -> None:
        await scenario(tasks)
        await tasks.close()

    asyncio.run(run())
    found = tasks.get_records()
    assert found.violations == ()
    return [event for event in found.events if event.kind is not _K.EPOCH]


@pytest.mark.parametrize(
    ("command", "lease", "skew", "ending", "seconds"),
    [
        ("run_ms=200", 30, 0, _K.FINISH, 0.2),
        ("run_ms=100 fail", 30, 0, _K.FAIL, 0.1),
        ("run_ms=5000", 0.2, 0, _K.LAPSE, 0.2),
        ("run_ms=5000", 5, 4.8, _K.LAPSE, 0.2),
        ("run_ms=many", 30, 0, _K.FINISH, 0.1),
    ],
)
def test_task_ends_as_its_command_and_lease_say(
    command: str,
    lease: float,
    skew: float,
    ending: records.EventKind,
    seconds: float,
) -> None:
    """Guards against simulated tasks that end early, late or never."""

    async def scenario(tasks: worker_tasks.WorkerTasks) -> None:
        attempt = tasks.start(_order(command, lease))
        await asyncio.wait_for(attempt.ended.wait(), 3)

    start, end = _run(scenario, skew=skew)
    assert end.kind is ending
    assert seconds - 0.02 < end.at - start.at < seconds + 0.3


def test_throttled_task_takes_longer() -> None:
    """Guards against throttling without effect."""

    async def scenario(tasks: worker_tasks.WorkerTasks) -> None:
        attempt = tasks.start(_order("run_ms=200"))
        tasks.throttle(1, "j/0", 1, 25)
        await asyncio.wait_for(attempt.ended.wait(), 3)

    start, end = _run(scenario)
    assert 0.75 < end.at - start.at < 1.3


def test_resumes_from_checkpoint_when_the_store_is_back() -> None:
    """Guards against work that starts over, or a lease kept by loading."""
    objects = _Objects()

    async def scenario(tasks: worker_tasks.WorkerTasks) -> None:
        tasks.start(_order("run_ms=5000"))
        await asyncio.sleep(0.3)
        key = await tasks.checkpoint(1, "j/0", 1)
        await tasks.stop(1, "j/0", 1)
        saved = json.loads(objects.content[key])["done_ms"]
        objects.is_down = True
        lapsing = tasks.start(_order("run_ms=5000", 0.3, key, attempt=2))
        await asyncio.wait_for(lapsing.ended.wait(), 1)
        resumed = tasks.start(
            _order(f"run_ms={saved + 100}", checkpoint=key, attempt=3)
        )
        await asyncio.sleep(0.2)
        objects.is_down = False
        await asyncio.wait_for(resumed.ended.wait(), 2)
        assert resumed.state == "finished"
        assert 250 < saved < 600

    kinds = [event.kind for event in _run(scenario, objects)]
    ends = [_K.STOP, _K.LAPSE, _K.FINISH]
    assert [kind for kind in kinds if kind in ends] == ends


def test_attempt_starts_once_and_old_attempts_never() -> None:
    """Guards against an order that arrives twice or after its successor."""

    async def scenario(tasks: worker_tasks.WorkerTasks) -> None:
        for _ in range(2):
            ended = tasks.start(_order("run_ms=1", attempt=2))
            await ended.ended.wait()
        with pytest.raises(worker_tasks.OrderRefusedError):
            tasks.start(_order("run_ms=1", attempt=1))

    kinds = [event.kind for event in _run(scenario)]
    assert kinds == [_K.START, _K.FINISH, _K.REFUSE]
