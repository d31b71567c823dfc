"""Tests of ConfigurationWatcher."""

import asyncio
import base64
import datetime
import os
import typing

import orjson

from standins import network
from standins import store as standin_store
from standins import virtual_time
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import service

_ADDRESS = "10.0.0.1:7000"
_SECOND = datetime.timedelta(seconds=1)


class _WatcherFixture:
    """A store stand-in and a watcher of its configuration."""

    def __init__(self) -> None:
        time_source = virtual_time.VirtualClock(asyncio.get_running_loop())
        net = network.Network()
        self.store = standin_store.StoreStandIn()
        net.serve(_ADDRESS, self.store.handle)
        client = typing.cast(typing.Any, net.make_client("a"))
        descriptor = os.open(os.devnull, os.O_WRONLY)
        sink = observability.LineSink(descriptor, time_source, 1000)
        log = observability.Log(sink, time_source, observability.LevelFilter())
        self.watcher = service.ConfigurationWatcher(
            platform.PlatformStore(client, _ADDRESS), time_source, log
        )

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
