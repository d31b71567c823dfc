"""Demonstration: three instances serve jobs while some of them fail.

Starts three ``serve`` processes against the stand-ins, submits jobs of each
kind, kills one process, stops another gracefully, changes the configuration,
and then checks what the stand-ins and the callers saw. Exits with 1 if a
promise was broken.
"""

import asyncio
import base64
import datetime
import pathlib
import signal
import socket
import sys
import tempfile
import typing

import orjson
from tornado import httpclient

from standins import history
from standins import runner
from standins import servers
from standins import store

_INSTANCES = 3
_RUNNERS = 4
_HOST = "office.example"
_PREFIX = "/renewals/"
_NEW_PREFIX = "/checks/"
_ATTEMPTS = 3
_START_LIMIT_S = 20.0
_FINISH_LIMIT_S = 30.0
_BATCH_S = 0.6


class Demonstration:
    """The processes and the stand-ins of one demonstration."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._history = history.History()
        self._store = store.StoreStandIn()
        self._store_server = servers.StandInServer(self._store.handle)
        self._runners: list[runner.RunnerStandIn] = []
        self._runner_servers: list[servers.StandInServer] = []
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._ports: dict[str, int] = {}
        self._client = httpclient.AsyncHTTPClient()

    async def run(self) -> list[str]:
        """Plays the demonstration and returns the broken promises."""
        self._publish(1, [_PREFIX])
        for index in range(_RUNNERS):
            self._add_runner(index)
        heartbeats = asyncio.create_task(self._send_heartbeats())
        try:
            for index in range(_INSTANCES):
                await self._start(f"entry-{index + 1}")
            return await self._play()
        finally:
            heartbeats.cancel()
            await self._end()

    async def _play(self) -> list[str]:
        broken: list[str] = []
        print("submitting jobs of each kind")
        await self._submit("00000000000000a1", _PREFIX, _make_batch())
        await self._submit("00000000000000a2", _PREFIX, _make_long_running())
        await self._submit("00000000000000a3", _PREFIX, _make_best_effort())
        await asyncio.sleep(0.3)
        leader = await self._find_scheduler()
        print(f"killing the active scheduler, {leader}")
        self._processes.pop(leader).kill()
        self._ports.pop(leader)
        await self._submit("00000000000000a4", _PREFIX, _make_batch())
        self._publish(2, [_PREFIX, _NEW_PREFIX])
        print("changed the configuration: a queue was added")
        await asyncio.sleep(1.0)
        await self._submit("00000000000000a5", _NEW_PREFIX, _make_batch())
        for job in ("a1", "a3", "a4", "a5"):
            identifier = f"{job:0>16}"
            prefix = _NEW_PREFIX if job == "a5" else _PREFIX
            if not await self._wait_completed(identifier, prefix):
                broken.append(f"job {identifier} did not complete")
        stopped = await self._find_scheduler()
        print(f"stopping the active scheduler gracefully, {stopped}")
        process = self._processes.pop(stopped)
        self._ports.pop(stopped)
        process.send_signal(signal.SIGTERM)
        await self._submit("00000000000000a6", _PREFIX, _make_batch())
        if not await self._wait_completed("00000000000000a6", _PREFIX):
            broken.append("job 00000000000000a6 did not complete")
        if await process.wait() != 0:
            broken.append(f"{stopped} did not stop cleanly")
        await self._cancel("00000000000000a2")
        await asyncio.sleep(2.0)
        if any(task for item in self._runners for task in item.running):
            broken.append("tasks run on after the cancellation")
        violations = self._history.check(_ATTEMPTS)
        print(f"{len(self._history.runs)} runs of tasks were checked")
        return broken + [
            f"{item.rule} {item.task}: {item.detail}" for item in violations
        ]

    def _add_runner(self, index: int) -> None:
        added = runner.RunnerStandIn(
            f"i-{index}", "", "office", _plan, self._history
        )
        server = servers.StandInServer(added.handle)
        added.address = server.address
        self._runners.append(added)
        self._runner_servers.append(server)

    async def _send_heartbeats(self) -> None:
        while True:
            for registered in self._runners:
                registered.register(self._store)
            await asyncio.sleep(1.0)

    def _publish(self, version: int, prefixes: list[str]) -> None:
        routes = [
            {
                "name": f"queue-{prefix.strip('/')}",
                "host": _HOST,
                "path_prefix": prefix,
                "service": "office",
                "max_attempts": _ATTEMPTS,
            }
            for prefix in prefixes
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": "office", "enforces_capacity": True}],
        }
        value = base64.b64encode(orjson.dumps(document)).decode()
        self._store.put("op", "config", value)

    async def _start(self, name: str) -> None:
        caller, readiness = _get_free_ports(2)
        path = self._folder / f"{name}.jsonc"
        path.write_bytes(
            orjson.dumps(
                {
                    "instance": name,
                    "data_centre": "here",
                    "caller_address": f"127.0.0.1:{caller}",
                    "readiness_address": f"127.0.0.1:{readiness}",
                    "store_address": self._store_server.address,
                }
            )
        )
        log = (self._folder / f"{name}.log").open("wb")
        self._processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tamarackhatch",
            "serve",
            "--settings",
            str(path),
            stdout=log,
            stderr=log,
        )
        log.close()
        self._ports[name] = caller
        await self._wait_ready(name, readiness)

    async def _wait_ready(self, name: str, port: int) -> None:
        async with asyncio.timeout(_START_LIMIT_S):
            while True:
                try:
                    await self._client.fetch(
                        f"http://127.0.0.1:{port}/-/ready"
                    )
                    print(f"{name} is ready")
                    return
                except (OSError, httpclient.HTTPClientError):
                    await asyncio.sleep(0.1)

    async def _find_scheduler(self) -> str:
        async with asyncio.timeout(_FINISH_LIMIT_S):
            while True:
                text = self._store.get("beat-0", "beat")
                if text is not None:
                    heartbeat = orjson.loads(base64.b64decode(text))
                    if heartbeat["instance"] in self._processes:
                        return str(heartbeat["instance"])
                await asyncio.sleep(0.1)

    async def _call(
        self, method: str, path: str, document: object = None
    ) -> httpclient.HTTPResponse:
        """Sends a caller's request, trying all instances in turn."""
        body = None if document is None else orjson.dumps(document)
        async with asyncio.timeout(_FINISH_LIMIT_S):
            while True:
                for port in list(self._ports.values()):
                    try:
                        return await self._client.fetch(
                            f"http://127.0.0.1:{port}{path}",
                            method=method,
                            body=body,
                            headers={"Host": _HOST},
                            request_timeout=3.0,
                        )
                    except (OSError, httpclient.HTTPClientError):
                        await asyncio.sleep(0.1)

    async def _submit(
        self, identifier: str, prefix: str, document: dict[str, typing.Any]
    ) -> None:
        await self._call("POST", prefix + identifier, document)
        self._history.accepted.add(identifier)

    async def _cancel(self, identifier: str) -> None:
        await self._call("DELETE", _PREFIX + identifier)

    async def _wait_completed(self, identifier: str, prefix: str) -> bool:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _FINISH_LIMIT_S
        while loop.time() < deadline:
            response = await self._call("GET", prefix + identifier)
            if orjson.loads(response.body)["state"] == "completed":
                self._history.completed[identifier] = loop.time()
                return True
            await asyncio.sleep(0.1)
        return False

    async def _end(self) -> None:
        for process in self._processes.values():
            process.terminate()
        for process in self._processes.values():
            await process.wait()
        for server in [self._store_server, *self._runner_servers]:
            await server.close()


def _plan(task: str, run: int) -> tuple[float, str]:
    """Lets the long-running job run on, and one task of a1 fail once."""
    if task.startswith("00000000000000a2"):
        return 3_600.0, "done"
    if task == "00000000000000a1.0.0.1" and run == 1:
        return 0.2, "failed"
    return _BATCH_S, "done"


def _make_batch() -> dict[str, typing.Any]:
    step = {"count": 4, "cpu": 1000, "mem_mb": 256, "est_runtime_ms": 600}
    return {"spec": "renew", "steps": [step, {**step, "after": [0]}]}


def _make_long_running() -> dict[str, typing.Any]:
    step = {
        "count": 2,
        "cpu": 2000,
        "mem_mb": 512,
        "long_running": True,
        "image": "watch",
        "target_ms": 50,
    }
    return {"spec": "watch", "steps": [step]}


def _make_best_effort() -> dict[str, typing.Any]:
    step = {"count": 3, "cpu": 3000, "mem_mb": 256, "fills": True}
    return {"spec": "report", "steps": [{**step, "image": "report"}]}


def _get_free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


async def demonstrate() -> int:
    """Plays the demonstration; returns the number of broken promises."""
    began = datetime.datetime.now(datetime.timezone.utc)
    with tempfile.TemporaryDirectory() as folder:
        broken = await Demonstration(pathlib.Path(folder)).run()
    for line in broken:
        print(f"BROKEN: {line}")
    elapsed = datetime.datetime.now(datetime.timezone.utc) - began
    print(f"{len(broken)} promises broken, {elapsed.total_seconds():.0f} s")
    return len(broken)


if __name__ == "__main__":
    sys.exit(1 if asyncio.run(demonstrate()) else 0)
