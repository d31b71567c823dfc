"""Demonstration: three instances serve jobs while some of them fail.

Starts three ``serve`` processes against the stand-ins, submits jobs of each
kind, kills one process, changes the configuration, stops another process
gracefully, and then checks what the stand-ins recorded and callers were
answered. Exits with 1 if a check fails.
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

_INSTANCE_COUNT = 3
_RUNNER_COUNT = 4
_HOST = "office.example"
_PATH_PREFIX = "/renewals/"
_NEW_PATH_PREFIX = "/checks/"
_MAX_ATTEMPTS = 3
_START_TIMEOUT_S = 20.0
_FINISH_TIMEOUT_S = 30.0
_BATCH_RUN_S = 0.6


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
        """Runs the demonstration and returns the failed checks."""
        self._publish_configuration(1, [_PATH_PREFIX])
        for index in range(_RUNNER_COUNT):
            self._add_runner(index)
        registrations = asyncio.create_task(self._register_runners())
        try:
            for index in range(_INSTANCE_COUNT):
                await self._start_instance(f"entry-{index + 1}")
            return await self._run_scenario()
        finally:
            registrations.cancel()
            await self._stop_all()

    async def _run_scenario(self) -> list[str]:
        failures: list[str] = []
        print("submitting a batch, a long-running and a best-effort job")
        await self._submit_job("00000000000000a1", _PATH_PREFIX, _make_batch())
        await self._submit_job(
            "00000000000000a2", _PATH_PREFIX, _make_long_running()
        )
        await self._submit_job(
            "00000000000000a3", _PATH_PREFIX, _make_best_effort()
        )
        await asyncio.sleep(0.3)
        leader = await self._find_scheduler()
        print(f"killing the active scheduler, {leader}")
        self._processes.pop(leader).kill()
        self._ports.pop(leader)
        await self._submit_job("00000000000000a4", _PATH_PREFIX, _make_batch())
        self._publish_configuration(2, [_PATH_PREFIX, _NEW_PATH_PREFIX])
        print("added a queue to the configuration")
        await asyncio.sleep(1.0)
        await self._submit_job(
            "00000000000000a5", _NEW_PATH_PREFIX, _make_batch()
        )
        for job in ("a1", "a3", "a4", "a5"):
            identifier = f"{job:0>16}"
            prefix = _NEW_PATH_PREFIX if job == "a5" else _PATH_PREFIX
            if not await self._wait_completed(identifier, prefix):
                failures.append(f"job {identifier} did not complete")
        stopped = await self._find_scheduler()
        print(f"stopping the active scheduler gracefully, {stopped}")
        process = self._processes.pop(stopped)
        self._ports.pop(stopped)
        process.send_signal(signal.SIGTERM)
        await self._submit_job("00000000000000a6", _PATH_PREFIX, _make_batch())
        if not await self._wait_completed("00000000000000a6", _PATH_PREFIX):
            failures.append("job 00000000000000a6 did not complete")
        if await process.wait() != 0:
            failures.append(f"{stopped} did not stop cleanly")
        await self._cancel_job("00000000000000a2")
        await asyncio.sleep(2.0)
        if any(task for item in self._runners for task in item.running):
            failures.append("tasks still run after the cancellation")
        violations = self._history.check(_MAX_ATTEMPTS)
        print(f"checked {len(self._history.runs)} runs of tasks")
        return failures + [
            f"{item.rule} {item.task}: {item.detail}" for item in violations
        ]

    def _add_runner(self, index: int) -> None:
        added = runner.RunnerStandIn(
            f"i-{index}", "", "office", _plan_run, self._history
        )
        server = servers.StandInServer(added.handle)
        added.address = server.address
        self._runners.append(added)
        self._runner_servers.append(server)

    async def _register_runners(self) -> None:
        while True:
            for registered in self._runners:
                registered.register(self._store)
            await asyncio.sleep(1.0)

    def _publish_configuration(
        self, version: int, prefixes: list[str]
    ) -> None:
        routes = [
            {
                "name": f"queue-{prefix.strip('/')}",
                "host": _HOST,
                "path_prefix": prefix,
                "service": "office",
                "max_attempts": _MAX_ATTEMPTS,
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

    async def _start_instance(self, name: str) -> None:
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
        async with asyncio.timeout(_START_TIMEOUT_S):
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
        async with asyncio.timeout(_FINISH_TIMEOUT_S):
            while True:
                text = self._store.get("beat-0", "beat")
                if text is not None:
                    heartbeat = orjson.loads(base64.b64decode(text))
                    if heartbeat["instance"] in self._processes:
                        return str(heartbeat["instance"])
                await asyncio.sleep(0.1)

    async def _send_request(
        self, method: str, path: str, document: object = None
    ) -> httpclient.HTTPResponse:
        """Sends a caller's request to each instance in turn until one answers.

        Raises:
            TimeoutError: No instance answered in time.
        """
        body = None if document is None else orjson.dumps(document)
        async with asyncio.timeout(_FINISH_TIMEOUT_S):
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

    async def _submit_job(
        self, identifier: str, prefix: str, document: dict[str, typing.Any]
    ) -> None:
        await self._send_request("POST", prefix + identifier, document)
        self._history.accepted.add(identifier)

    async def _cancel_job(self, identifier: str) -> None:
        await self._send_request("DELETE", _PATH_PREFIX + identifier)

    async def _wait_completed(self, identifier: str, prefix: str) -> bool:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _FINISH_TIMEOUT_S
        while loop.time() < deadline:
            response = await self._send_request("GET", prefix + identifier)
            if orjson.loads(response.body)["state"] == "completed":
                self._history.completed[identifier] = loop.time()
                return True
            await asyncio.sleep(0.1)
        return False

    async def _stop_all(self) -> None:
        for process in self._processes.values():
            process.terminate()
        for process in self._processes.values():
            await process.wait()
        for server in [self._store_server, *self._runner_servers]:
            await server.close()


def _plan_run(task: str, run: int) -> tuple[float, str]:
    """Plans an hour for long-running tasks, and one failure in job a1."""
    if task.startswith("00000000000000a2"):
        return 3_600.0, "done"
    if task == "00000000000000a1.0.0.1" and run == 1:
        return 0.2, "failed"
    return _BATCH_RUN_S, "done"


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
    """Runs the demonstration and returns the number of failed checks."""
    start_time = datetime.datetime.now(datetime.timezone.utc)
    with tempfile.TemporaryDirectory() as folder:
        failures = await Demonstration(pathlib.Path(folder)).run()
    for line in failures:
        print(f"FAILED: {line}")
    elapsed = datetime.datetime.now(datetime.timezone.utc) - start_time
    print(f"{len(failures)} checks failed, {elapsed.total_seconds():.0f} s")
    return len(failures)


if __name__ == "__main__":
    sys.exit(1 if asyncio.run(demonstrate()) else 0)
