"""Forwards requests between real processes."""

import asyncio
import pathlib
import typing

import pytest

from standins import network
from standins import processes
from standins import servers

_PREFIX = "/renewals/"
_JOB = {"spec": "renew", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 64}]}


class _StoreFront:
    """Passes calls to the store on, until it refuses or ignores them."""

    def __init__(self, handle: network.Handler) -> None:
        self.fault: typing.Literal["", "503", "silence"] = ""
        self._handle = handle

    async def handle(self, request: network.Request) -> network.Response:
        if self.fault == "503":
            return network.Response(503)
        if self.fault == "silence":
            await asyncio.sleep(60)
        return await self._handle(request)


@pytest.mark.parametrize("fault", ["503", "silence"])
def test_process_that_the_store_refuses_accepts_jobs(
    tmp_path: pathlib.Path, fault: typing.Literal["503", "silence"]
) -> None:
    """Guards against forwarding that works only without sockets."""

    async def run() -> list[int]:
        fleet = processes.ProcessFleet(tmp_path)
        front = _StoreFront(fleet.store.handle)
        server = servers.StandInServer(front.handle)
        try:
            fleet.publish_configuration(1, [_PREFIX])
            await fleet.start_instance("b", has_internal_address=True)
            await fleet.start_instance(
                "a", store_address=server.address, has_internal_address=True
            )
            async with asyncio.timeout(10):
                while fleet.store.get("instances-0", "a") is None:
                    await asyncio.sleep(0.1)
            await asyncio.sleep(1)
            front.fault = fault
            statuses = [
                await fleet.submit_at("a", f"{index:016x}", _PREFIX, _JOB)
                for index in range(4)
            ]
            fleet.remove_instance("b").terminate()
            await asyncio.sleep(0.5)
            statuses.append(
                await fleet.submit_at("a", f"{9:016x}", _PREFIX, _JOB)
            )
            return statuses
        finally:
            await fleet.close()
            await server.close()

    assert asyncio.run(run()) == [200] * 4 + [504]
