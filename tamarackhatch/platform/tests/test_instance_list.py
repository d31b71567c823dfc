"""Tests of HttpInstanceList and InstanceListCache."""

import asyncio
import datetime
import json
import typing

import pytest

from standins import platform as standin
from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.platform.tests import loopback

_BACKEND = {
    "id": "w1",
    "role": "backend",
    "state": "live",
    "data_centre": "d1",
    "rack": "r1",
    "worker_address": "127.0.0.1:1",
    "runner_address": "[::1]:65535",
    "service": "badge",
    "processors": 64000,
    "memory_mb": 250000,
    "accelerators": 2,
}
_ENTRY = {
    "id": "e1",
    "role": "entry",
    "state": "leaving",
    "data_centre": "d1",
    "worker_address": None,
}
_NOW = "2026-01-01T00:00:00+00:00"


def test_reads_list_of_stand_in() -> None:
    """Guards against a client and a stand-in that speak two protocols."""

    async def scenario(server: loopback.Loopback) -> None:
        client = platform.HttpInstanceList(server.pool, server.address)
        snapshot = await client.read_instances()
        assert snapshot.backends == (
            model.BackendServer(
                "w1",
                model.ServerState.LIVE,
                "d1",
                "r1",
                model.Resources(64000, 250000, 2),
                "127.0.0.1:1",
                "[::1]:65535",
                "badge",
            ),
        )
        assert snapshot.entries == (
            model.EntryServer("e1", model.ServerState.LEAVING, "d1"),
        )
        state.board.change([], {"w1": "leaving"}, ["e1"])
        assert await client.read_instances() != snapshot
        state.faults = standin.Faults(standin.Outage.REFUSE)
        with pytest.raises(platform.StoreUnavailableError):
            await client.read_instances()

    state = standin.PlatformState()
    state.board.change([_BACKEND, _ENTRY], {}, [])
    loopback.run_with_server(standin.build_server(state), scenario)


def test_stand_in_shows_changes_with_lag() -> None:
    """Guards against a list that is fresher than the platform's."""
    state = standin.PlatformState(lag_ms=60_000)
    state.board.change([_BACKEND], {}, [])
    state.board.change([], {"w1": "leaving"}, [])
    assert [item["state"] for item in state.board.get_shown()[1]] == ["live"]
    state.board.set_lag(0)
    assert [item["state"] for item in state.board.get_shown()[1]] == [
        "leaving"
    ]


@pytest.mark.parametrize(
    "content",
    [
        [],
        {"instances": []},
        {"as_of": _NOW},
        {"as_of": "2026-01-01T00:00:00", "instances": []},
        {"as_of": "0001-01-01T00:00:00+23:59", "instances": []},
        {"as_of": 5, "instances": []},
        {"as_of": _NOW, "instances": [_BACKEND, _BACKEND]},
        *(
            {"as_of": _NOW, "instances": [{**_BACKEND, key: value}]}
            for key, value in [
                ("id", ""),
                ("id", 5),
                ("role", "other"),
                ("state", "dead"),
                ("data_centre", None),
                ("rack", None),
                ("processors", -1),
                ("processors", 1.5),
                ("memory_mb", True),
                ("accelerators", "2"),
                ("worker_address", "127.0.0.1"),
                ("worker_address", "127.0.0.1:70000"),
                ("worker_address", "evil/path:80"),
                ("runner_address", None),
                ("service", None),
            ]
        ),
    ],
)
def test_refuses_malformed_list(content: typing.Any) -> None:
    """Guards against a server that looks gone because it is misprinted."""

    async def scenario(server: loopback.Loopback) -> None:
        client = platform.HttpInstanceList(server.pool, server.address)
        with pytest.raises(platform.BadPlatformAnswerError):
            await client.read_instances()

    answer = loopback.build_answer(200, json.dumps(content).encode())
    loopback.run_with_server(loopback.ScriptedServer([answer]), scenario)


class _ScriptedList:
    """Returns or raises one item for each reading."""

    def __init__(
        self, items: list[model.InstanceSnapshot | Exception]
    ) -> None:
        self._items = items

    async def read_instances(self) -> model.InstanceSnapshot:
        item = self._items.pop(0)
        if isinstance(item, Exception):
            raise item
        return item


def _snapshot(seconds: int, name: str) -> model.InstanceSnapshot:
    as_of = datetime.datetime.fromisoformat(_NOW)
    backend = model.BackendServer(
        name, model.ServerState.LIVE, "d1", "r1", model.Resources()
    )
    return model.InstanceSnapshot(
        as_of + datetime.timedelta(seconds=seconds), (backend,), ()
    )


@pytest.mark.parametrize(
    ("items", "expected"),
    [
        ([_snapshot(-5, "a"), _snapshot(-4, "b")], "b"),
        ([_snapshot(-4, "a"), _snapshot(-5, "b")], "a"),
        ([_snapshot(-4, "a"), _snapshot(-4, "b")], "b"),
        ([_snapshot(-4, "a"), platform.StoreUnavailableError("out")], "a"),
        ([_snapshot(-4, "a"), platform.BadPlatformAnswerError("bad")], "a"),
        ([_snapshot(999, "a"), _snapshot(-4, "b")], "b"),
        ([platform.StoreUnavailableError("out"), _snapshot(-4, "b")], "b"),
    ],
)
def test_cache_keeps_newest_list(
    items: list[model.InstanceSnapshot | Exception], expected: str
) -> None:
    """Guards against an old, failed or future list that replaces a good one.

    A list from the future would block all lists until its time has come.
    """

    async def run() -> None:
        manual = clock.ManualClock()
        cache = platform.InstanceListCache(manual, _ScriptedList(items))
        assert cache.snapshot is None
        poller = asyncio.create_task(cache.run())
        await manual.advance(datetime.timedelta(seconds=1.5))
        poller.cancel()
        assert not items
        assert [item.worker for item in cache.list_backends()] == [expected]
        assert cache.get_backend(expected) is not None
        assert cache.get_backend("none") is None

    asyncio.run(run())
