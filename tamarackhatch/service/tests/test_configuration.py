"""Tests of ConfigurationWatcher."""

import asyncio
import base64
import datetime
import os
import typing

import orjson
import pytest

from standins import network
from standins import store as standin_store
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch import service
from tamarackhatch import transport

_ADDRESS = "10.0.0.1:7000"
_SECOND = datetime.timedelta(seconds=1)


class _WatcherFixture:
    """A store stand-in and a watcher of its configuration."""

    def __init__(self) -> None:
        time_source = virtual_time.VirtualClock(asyncio.get_running_loop())
        net = network.Network()
        self.reads = 0
        self.transfer_s = 0.0
        self.store = standin_store.StoreStandIn()
        net.serve(_ADDRESS, self._handle_call)
        self._client = net.make_client("a")
        descriptor = os.open(os.devnull, os.O_WRONLY)
        sink = observability.LineSink(descriptor, time_source, 1000)
        log = observability.Log(sink, time_source, observability.LevelFilter())
        table_store = platform.PlatformStore(
            typing.cast(typing.Any, self), _ADDRESS
        )
        self.watcher = service.ConfigurationWatcher(
            table_store, time_source, log, 2.5 * _SECOND
        )
        self.jobs = service.JobService(
            records.JobStore(table_store, time_source, lambda: 0),
            self.watcher,
            typing.cast(typing.Any, None),
            time_source,
            log,
            observability.Metrics(),
        )

    async def send(self, call: transport.Call) -> transport.Answer:
        """Sends a call; its answer arrives byte by byte for some time."""
        answer = await self._client.send(call)
        await asyncio.sleep(self.transfer_s)
        return answer

    async def _handle_call(self, request: network.Request) -> network.Response:
        response = await self.store.handle(request)
        self.reads += len(response.body.get("rows", ()))
        return response

    def publish(self, version: int, *prefixes: str) -> None:
        """Writes a configuration version as the operator does."""
        routes = [
            {
                "name": prefix,
                "host": "h",
                "path_prefix": prefix,
                "service": "s",
            }
            for prefix in prefixes
        ]
        document = {"version": version, "routes": routes, "services": []}
        value = base64.b64encode(orjson.dumps(document)).decode()
        self.store.put("op", "config", value)

    @property
    def version(self) -> int:
        """Version of the watcher's configuration; 0 before the first one."""
        configuration = self.watcher.configuration
        return 0 if configuration is None else configuration.version


def test_newer_versions_apply_and_older_ones_do_not() -> None:
    """Guards against replacing a configuration by an older one."""

    async def run_scenario() -> None:
        fixture = _WatcherFixture()
        task = asyncio.create_task(fixture.watcher.run())
        await asyncio.sleep(1)
        assert fixture.version == 0
        fixture.publish(5, "/a/")
        await asyncio.sleep(0.1)
        assert fixture.version == 5
        fixture.publish(3, "/b/")
        await asyncio.sleep(0.1)
        assert fixture.version == 5
        fixture.publish(9, "/c/")
        fixture.store.discard_history()
        await asyncio.sleep(2)
        assert fixture.version == 9
        task.cancel()

    virtual_time.run_virtually(run_scenario())


def test_refresh_reads_a_version_that_the_feed_has_not_delivered() -> None:
    """Guards against answer 404 for a route that was just added."""

    async def run_scenario() -> None:
        fixture = _WatcherFixture()
        fixture.publish(1, "/a/")
        assert await fixture.watcher.refresh(_SECOND)
        fixture.publish(2, "/a/", "/b/")
        assert await fixture.watcher.refresh(0 * _SECOND)
        assert fixture.version == 2
        fixture.store.is_down = True
        assert not await fixture.watcher.refresh(0 * _SECOND)

    virtual_time.run_virtually(run_scenario())


def test_refresh_transfers_a_configuration_only_once() -> None:
    """Guards against reading a large row at each request for a missing queue.

    On a slow link such reads delay everything else, and the next version.
    """

    async def run_scenario() -> None:
        fixture = _WatcherFixture()
        fixture.publish(1, "/a/")
        task = asyncio.create_task(fixture.watcher.run())
        await asyncio.sleep(1)
        fixture.reads = 0
        for _ in range(5):
            assert await fixture.watcher.refresh(0 * _SECOND)
        assert fixture.reads == 0
        fixture.publish(2, "/a/", "/b/")
        assert await fixture.watcher.refresh(0 * _SECOND)
        assert fixture.version == 2
        fixture.store.discard_history()
        fixture.publish(3, "/a/")
        assert await fixture.watcher.refresh(0 * _SECOND)
        assert fixture.version == 3
        task.cancel()

    virtual_time.run_virtually(run_scenario())


def test_refreshes_at_the_same_time_share_one_read() -> None:
    """Guards against one call to the store for each waiting request."""

    async def run_scenario() -> None:
        fixture = _WatcherFixture()
        fixture.publish(1, "/a/")
        results = await asyncio.gather(
            *(fixture.watcher.refresh(0 * _SECOND) for _ in range(20))
        )
        assert results == [True] * 20
        assert fixture.reads == 1

    virtual_time.run_virtually(run_scenario())


@pytest.mark.parametrize(
    ("path", "outcome"),
    [("/b/x", model.Outcome.DONE), ("/c/x", model.Outcome.NO_QUEUE)],
)
def test_queue_added_during_a_slow_read_is_found(
    path: str, outcome: model.Outcome
) -> None:
    """Guards against answer 404 by a read that began before the request."""

    async def run_scenario() -> None:
        fixture = _WatcherFixture()
        fixture.publish(1, "/a/")
        assert await fixture.watcher.refresh(_SECOND)
        await asyncio.sleep(1)
        fixture.transfer_s = 0.7
        earlier = asyncio.create_task(fixture.watcher.refresh(0 * _SECOND))
        await asyncio.sleep(0.1)
        fixture.publish(2, "/a/", "/b/")
        await asyncio.sleep(0.4)
        assert (
            await fixture.jobs.find_queue("h", path, 3 * _SECOND)
        ).outcome is outcome
        assert await earlier

    virtual_time.run_virtually(run_scenario())


def test_request_is_answered_while_the_configuration_arrives_slowly() -> None:
    """Guards against requests without an answer until the caller gives up."""

    async def run_scenario() -> None:
        fixture = _WatcherFixture()
        fixture.publish(1, "/a/")
        assert await fixture.watcher.refresh(_SECOND)
        fixture.transfer_s = 8.0
        await asyncio.sleep(1)
        async with asyncio.timeout(3):
            lookup = await fixture.jobs.find_queue("h", "/b/x", 3 * _SECOND)
        assert lookup.outcome is model.Outcome.UNKNOWN

    virtual_time.run_virtually(run_scenario())


def test_longest_prefix_of_the_host_selects_the_queue() -> None:
    """Guards against a queue of another host or of a shorter prefix."""
    queues = tuple(
        model.Queue(name, host, prefix, "s")
        for name, host, prefix in (
            ("short", "h", "/a/"),
            ("long", "h", "/a/b/"),
            ("other", "i", "/a/b/c/"),
        )
    )
    configuration = model.Configuration(1, queues)
    for host, path, name in (
        ("h", "/a/x", "short"),
        ("h", "/a/b/c/x", "long"),
        ("i", "/a/b/c/x", "other"),
    ):
        queue = configuration.find_queue(host, path)
        assert queue is not None and queue.name == name
    assert configuration.find_queue("i", "/a/x") is None
    assert configuration.find_queue("j", "/a/x") is None
