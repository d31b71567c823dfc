"""Tests of HttpWorkerClient against the stand-in and scripted answers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import json
import typing

import pytest

from standins import records
from standins import worker as standin
from standins import worker_tasks
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.platform.tests import loopback

_TASK = model.TaskId("job/with slash", 0)
_NAME = "job/with slash/0"
_Action = Callable[[platform.HttpWorkerClient, str], Awaitable[typing.Any]]


class _Objects:
    """Object store in memory."""

    def __init__(self) -> None:
        self._content: dict[str, bytes] = {}

    async def put(self, key: str, content: bytes) -> None:
        self._content[key] = content

    async def get(self, key: str) -> bytes | None:
        return self._content.get(key)


def _build_state() -> standin.WorkerState:
    capacity = records.Amounts(4000, 1000, 0)
    return standin.WorkerState(
        worker_tasks.WorkerTasks("w1", capacity, _Objects())
    )


def _in(seconds: float) -> datetime.datetime:
    now = datetime.datetime.now(datetime.timezone.utc)
    return now + datetime.timedelta(seconds=seconds)


def _order(
    attempt: int = 1,
    command: str = "run_ms=60000",
    lease: float = 30,
    checkpoint: str | None = None,
    processors: int = 1000,
) -> platform.StartTask:
    return platform.StartTask(
        _TASK,
        attempt,
        "kind",
        model.Resources(processors, 100, 0),
        command,
        checkpoint,
        _in(lease),
    )


def _run(
    state: standin.WorkerState,
    scenario: Callable[[platform.HttpWorkerClient, str], Awaitable[None]],
) -> None:
    async def run(server: loopback.Loopback) -> None:
        client = platform.HttpWorkerClient(
            server.pool, datetime.timedelta(milliseconds=500)
        )
        try:
            await scenario(client, server.address)
        finally:
            await state.tasks.close()

    loopback.run_with_server(standin.build_server(state), run)


def test_task_moves_with_its_checkpoint() -> None:
    """Guards against work that is lost or stopped twice on the way."""
    state = _build_state()

    async def scenario(
        client: platform.HttpWorkerClient, address: str
    ) -> None:
        await client.start_task(address, 1, _order())
        await client.start_task(address, 1, _order())
        renewed = await client.renew_leases(
            address, 1, (_TASK, model.TaskId("gone", 1)), _in(30)
        )
        assert renewed == (_TASK,)
        await client.throttle_task(address, 1, _TASK, 50)
        usage = await client.read_usage(address)
        assert usage.tasks == (platform.TaskUsage(_TASK, 500, 100),)
        key = await client.checkpoint_task(address, 1, _TASK)
        for _ in range(2):
            stopped = await client.stop_task(address, 1, _TASK, 1)
            assert stopped == platform.ReportedTask(
                _TASK, 1, platform.ReportedState.STOPPED, key, "ordered"
            )
        resumed = _order(2, "run_ms=1", checkpoint=key)
        await client.start_task(address, 2, resumed)
        await asyncio.sleep(0.1)
        tasks = await client.list_tasks(address, 2)
        assert [item.state for item in tasks] == [
            platform.ReportedState.STOPPED,
            platform.ReportedState.FINISHED,
        ]

    _run(state, scenario)
    assert state.tasks.get_records().violations == ()


@pytest.mark.parametrize(
    "action",
    [
        lambda client, at: client.start_task(at, 4, _order(2)),
        lambda client, at: client.start_task(at, 5, _order(2)),
        lambda client, at: client.start_task(at, 5, _order(2, lease=-1)),
        lambda client, at: client.renew_leases(at, 4, (_TASK,), _in(30)),
        lambda client, at: client.renew_leases(at, 5, (_TASK,), _in(-1)),
        lambda client, at: client.throttle_task(at, 4, _TASK, 50),
        lambda client, at: client.throttle_task(at, 5, _TASK, 50, 2),
        lambda client, at: client.checkpoint_task(at, 5, _TASK, 2),
        lambda client, at: client.stop_task(at, 4, _TASK),
        lambda client, at: client.stop_task(at, 5, _TASK, 2),
        lambda client, at: client.list_tasks(at, 4),
    ],
)
def test_worker_refuses_old_and_late_orders(action: _Action) -> None:
    """Guards against orders of an old owner or for another attempt."""
    state = _build_state()

    async def scenario(
        client: platform.HttpWorkerClient, address: str
    ) -> None:
        await client.start_task(address, 5, _order())
        with pytest.raises(platform.WorkerRefusedError):
            await action(client, address)

    _run(state, scenario)
    events = [event.kind for event in state.tasks.get_records().events]
    assert events.count(records.EventKind.START) == 1
    assert records.EventKind.STOP not in events


def test_worker_refuses_over_commitment() -> None:
    """Guards against a stand-in that would hide an over-commitment."""
    state = _build_state()

    async def scenario(
        client: platform.HttpWorkerClient, address: str
    ) -> None:
        with pytest.raises(platform.WorkerRefusedError):
            await client.start_task(address, 1, _order(processors=4001))

    _run(state, scenario)


def test_task_ends_with_its_lease() -> None:
    """Guards against a task that outlives its lease."""
    state = _build_state()

    async def scenario(
        client: platform.HttpWorkerClient, address: str
    ) -> None:
        await client.start_task(address, 1, _order(lease=0.2))
        await asyncio.sleep(0.4)
        (task,) = await client.list_tasks(address, 1)
        assert task.state is platform.ReportedState.LAPSED
        assert await client.renew_leases(address, 1, (_TASK,), _in(9)) == ()

    _run(state, scenario)


_ORDERS: list[_Action] = [
    lambda client, at: client.start_task(at, 1, _order(2)),
    lambda client, at: client.renew_leases(at, 1, (_TASK,), _in(30)),
    lambda client, at: client.throttle_task(at, 1, _TASK, 50),
    lambda client, at: client.checkpoint_task(at, 1, _TASK),
    lambda client, at: client.stop_task(at, 1, _TASK),
]
_READS: list[_Action] = [
    lambda client, at: client.list_tasks(at, 1),
    lambda client, at: client.read_usage(at),
]


@pytest.mark.parametrize(
    ("action", "faults", "error"),
    [
        *(
            (action, {"refuse": True}, platform.WorkerUnavailableError)
            for action in _ORDERS + _READS
        ),
        *(
            (action, {"lose_answers": 1}, platform.WorkerOutcomeUnknownError)
            for action in _ORDERS
        ),
        *(
            (action, {"silent": True}, platform.WorkerUnavailableError)
            for action in _READS
        ),
    ],
)
def test_faults_give_typed_errors(
    action: _Action, faults: dict[str, typing.Any], error: type[Exception]
) -> None:
    """Guards against a lost answer that is taken for a refusal."""
    state = _build_state()

    async def scenario(
        client: platform.HttpWorkerClient, address: str
    ) -> None:
        if action is not _ORDERS[0]:
            await client.start_task(address, 1, _order())
        state.faults = standin.Faults(**faults)
        with pytest.raises(error):
            await action(client, address)

    _run(state, scenario)


_SHOWN = {"task": _NAME, "attempt": 2, "state": "stopped"}


@pytest.mark.parametrize(
    ("action", "body"),
    [
        (_ORDERS[0], {}),
        (_ORDERS[0], {"task": _NAME, "attempt": 1}),
        (_ORDERS[0], {"task": "other/0", "attempt": 2}),
        (_ORDERS[1], {"renewed": None}),
        (_ORDERS[1], {"renewed": [1]}),
        (_ORDERS[1], {"renewed": ["other/0"]}),
        (_ORDERS[2], {"task": _NAME, "percent": 51}),
        (_ORDERS[3], {"task": _NAME}),
        (_ORDERS[3], {"task": "other/0", "checkpoint": "c"}),
        (_ORDERS[4], {**_SHOWN, "state": "running"}),
        (_ORDERS[4], {**_SHOWN, "state": "paused"}),
        (_ORDERS[4], {**_SHOWN, "task": "other/0"}),
        (_ORDERS[4], {**_SHOWN, "task": "job/with slash/00"}),
        (_ORDERS[4], {**_SHOWN, "attempt": -1}),
    ],
)
def test_malformed_answer_to_order_is_unknown(
    action: _Action, body: object
) -> None:
    """Guards against resources freed on an answer that proves nothing."""
    _run_scripted(200, body, action, platform.WorkerOutcomeUnknownError)


@pytest.mark.parametrize(
    ("action", "body"),
    [
        (_READS[0], {}),
        (_READS[0], {"tasks": [_SHOWN, _SHOWN]}),
        (_READS[0], {"tasks": [{**_SHOWN, "task": "0"}]}),
        (_READS[1], {"tasks": []}),
        (_READS[1], {"as_of": "2026-01-01T00:00:00", "tasks": []}),
        (
            _READS[1],
            {
                "as_of": "2026-01-01T00:00:00Z",
                "tasks": [{"task": _NAME, "processors": 1.5, "memory_mb": 1}],
            },
        ),
    ],
)
def test_malformed_answer_to_read_is_refused(
    action: _Action, body: object
) -> None:
    """Guards against half a report being taken for a whole one."""
    _run_scripted(200, body, action, platform.BadPlatformAnswerError)


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (409, {"reason": "r"}, platform.WorkerRefusedError),
        (404, {"reason": "r"}, platform.WorkerRefusedError),
        (404, {}, platform.WorkerOutcomeUnknownError),
        (409, [], platform.WorkerOutcomeUnknownError),
        (500, {}, platform.WorkerOutcomeUnknownError),
        (503, {}, platform.WorkerUnavailableError),
    ],
)
def test_status_of_an_order(
    status: int, body: object, error: type[Exception]
) -> None:
    """Guards against a foreign error page being taken for a refusal."""
    _run_scripted(status, body, _ORDERS[4], error)


def _run_scripted(
    status: int, body: object, action: _Action, error: type[Exception]
) -> None:
    async def scenario(server: loopback.Loopback) -> None:
        client = platform.HttpWorkerClient(server.pool)
        with pytest.raises(error):
            await action(client, server.address)

    answer = loopback.build_answer(status, json.dumps(body).encode())
    loopback.run_with_server(loopback.ScriptedServer([answer]), scenario)
