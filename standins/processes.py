"""Real ``serve`` processes against the stand-ins, on loopback addresses."""

import asyncio
import base64
import pathlib
import random
import socket
import sys
import typing

import orjson
from tornado import httpclient

from standins import history
from standins import runner
from standins import servers
from standins import store
from tamarackhatch import records

HOST = "office.example"
SERVICE = "office"
_START_TIMEOUT_S = 20.0
_ANSWER_TIMEOUT_S = 30.0
# Below the ports that the kernel gives to outgoing connections.
_SERVER_PORTS = range(20_000, 32_000)
_random = random.SystemRandom()
_returned_ports: set[int] = set()


class ProcessFleet:
    """Processes, the stand-ins that they call, and their callers.

    Attributes:
        history: Runs and callers' answers so far.
        store: Stand-in of the metadata store.
        runners: Stand-ins of the runners.
        processes: Processes by the name of their instance.
        settings_paths: Settings files by the name of their instance.
        metrics_ports: Ports of the metrics addresses by the same name.
    """

    def __init__(self, folder: pathlib.Path, max_attempts: int = 3) -> None:
        """Creates a fleet without runners and processes.

        Args:
            folder: Folder of settings and logs.
            max_attempts: Runs of a task that may fail, for all queues.
        """
        self.history = history.History()
        self.store = store.StoreStandIn()
        self.runners: list[runner.RunnerStandIn] = []
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.settings_paths: dict[str, pathlib.Path] = {}
        self.metrics_ports: dict[str, int] = {}
        self._folder = folder
        self._max_attempts = max_attempts
        self._store_server = servers.StandInServer(self.store.handle)
        self._runner_servers: list[servers.StandInServer] = []
        self._ports: dict[str, int] = {}
        self._client = httpclient.AsyncHTTPClient()
        self._registrations = asyncio.create_task(self._register_runners())

    def add_runner(self, added: runner.RunnerStandIn) -> None:
        """Serves a runner and registers it from now on."""
        server = servers.StandInServer(added.handle)
        added.address = server.address
        self.runners.append(added)
        self._runner_servers.append(server)

    def publish_configuration(
        self,
        version: int,
        prefixes: list[str],
        limits: dict[str, int] | None = None,
    ) -> None:
        """Writes a configuration with a queue for each path prefix.

        Args:
            version: Number of the version.
            prefixes: The path prefixes.
            limits: Limits of requests from callers, by key.
        """
        routes = [
            {
                "name": f"queue-{prefix.strip('/')}",
                "host": HOST,
                "path_prefix": prefix,
                "service": SERVICE,
                "max_attempts": self._max_attempts,
            }
            for prefix in prefixes
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "enforces_capacity": True}],
            "limits": limits or {},
        }
        value = base64.b64encode(orjson.dumps(document)).decode()
        self.store.put("op", "config", value)

    async def start_instance(
        self,
        name: str,
        module: str = "tamarackhatch",
        *arguments: str,
        store_address: str | None = None,
        has_internal_address: bool = False,
        has_interface: bool = False,
        bounds: dict[str, int] | None = None,
        data_centre: str = "here",
        program: pathlib.Path | None = None,
    ) -> None:
        """Starts a process and waits until it is ready.

        Args:
            name: Name of the instance.
            module: Python module to run with the arguments of ``serve``.
            *arguments: Further arguments.
            store_address: Address at which it reaches the store; None for
                that of the others.
            has_internal_address: Whether other instances know it.
            has_interface: Whether it serves the project's own interface.
            bounds: Further bounds of its settings, by key.
            data_centre: Its data centre.
            program: Folder whose modules it runs; None for the own ones.
        """
        caller, readiness, internal, metrics, interface = get_free_ports(5)
        path = self._folder / f"{name}.jsonc"
        self.settings_paths[name] = path
        self.metrics_ports[name] = metrics
        path.write_bytes(
            orjson.dumps(
                {
                    "instance": name,
                    "data_centre": data_centre,
                    "caller_address": f"127.0.0.1:{caller}",
                    "readiness_address": f"127.0.0.1:{readiness}",
                    "metrics_address": f"127.0.0.1:{metrics}",
                    "store_address": (
                        store_address or self._store_server.address
                    ),
                    "internal_address": (
                        f"127.0.0.1:{internal}"
                        if has_internal_address
                        else None
                    ),
                    "interface_address": (
                        f"127.0.0.1:{interface}" if has_interface else None
                    ),
                    "bounds": bounds or {},
                }
            )
        )
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                "serve",
                "--settings",
                str(path),
                *arguments,
                stdout=log,
                stderr=log,
                cwd=program,
            )
        self._ports[name] = caller
        await self._wait_until_ready(readiness)

    async def submit_at(
        self, name: str, identifier: str, prefix: str, document: object
    ) -> int:
        """Submits a job at one instance and returns the status."""
        response = await self._client.fetch(
            f"http://127.0.0.1:{self._ports[name]}{prefix}{identifier}",
            method="POST",
            body=orjson.dumps(document),
            headers={"Host": HOST},
            request_timeout=4.0,
            raise_error=False,
        )
        return response.code

    def get_address(self, name: str) -> str:
        """Returns the address of an instance for callers."""
        return f"127.0.0.1:{self._ports[name]}"

    def remove_instance(self, name: str) -> asyncio.subprocess.Process:
        """Returns an instance's process, which gets no more requests."""
        del self._ports[name]
        return self.processes.pop(name)

    async def find_scheduler(self) -> str:
        """Waits until one of the instances is the active scheduler.

        Returns:
            The name of that instance.
        """
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            while True:
                name = self.read_leader()
                if name in self.processes:
                    return name
                await asyncio.sleep(0.1)

    def read_leader(self) -> str:
        """Returns the instance that the leader heartbeat names, or ''."""
        heartbeat = records.LEADER_HEARTBEAT
        text = self.store.get(
            heartbeat.table, heartbeat.key, heartbeat.partition
        )
        if text is None:
            return ""
        return records.decode_leader_heartbeat(base64.b64decode(text)).instance

    async def submit_job(
        self, identifier: str, prefix: str, document: dict[str, typing.Any]
    ) -> None:
        """Submits a job, and records that it is accepted."""
        await self._send_request("POST", prefix + identifier, document)
        self.history.accepted.add(identifier)

    async def cancel_job(self, identifier: str, prefix: str) -> None:
        """Cancels a job."""
        await self._send_request("DELETE", prefix + identifier)

    async def wait_until_completed(self, identifier: str, prefix: str) -> bool:
        """Returns whether a job is shown as completed within half a minute."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _ANSWER_TIMEOUT_S
        while loop.time() < deadline:
            response = await self._send_request("GET", prefix + identifier)
            if orjson.loads(response.body)["state"] == "completed":
                self.history.completed[identifier] = loop.time()
                return True
            await asyncio.sleep(0.1)
        return False

    def check(self) -> list[history.Violation]:
        """Returns all broken rules."""
        return self.history.check(self._max_attempts)

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        self._registrations.cancel()
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            await process.wait()
        for server in [self._store_server, *self._runner_servers]:
            await server.close()

    async def _register_runners(self) -> None:
        while True:
            for registered in self.runners:
                registered.register(self.store)
            await asyncio.sleep(1.0)

    async def _wait_until_ready(self, port: int) -> None:
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                try:
                    await self._client.fetch(
                        f"http://127.0.0.1:{port}/-/ready"
                    )
                    return
                except (OSError, httpclient.HTTPClientError):
                    await asyncio.sleep(0.1)

    async def _send_request(
        self, method: str, path: str, document: object = None
    ) -> httpclient.HTTPResponse:
        """Sends a caller's request to each instance in turn until one answers.

        Raises:
            TimeoutError: No instance answered in time.
        """
        body = None if document is None else orjson.dumps(document)
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            while True:
                for port in list(self._ports.values()):
                    try:
                        return await self._client.fetch(
                            f"http://127.0.0.1:{port}{path}",
                            method=method,
                            body=body,
                            headers={"Host": HOST},
                            request_timeout=3.0,
                        )
                    except (OSError, httpclient.HTTPClientError):
                        await asyncio.sleep(0.1)


def get_free_ports(count: int) -> list[int]:
    """Returns free ports that no outgoing connection takes meanwhile.

    No port is returned twice, since processes bind theirs later.
    """
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            item = socket.socket()
            sockets.append(item)
            port = _random.choice(_SERVER_PORTS)
            try:
                item.bind(("127.0.0.1", port))
            except OSError:
                port = 0
            if not port or port in _returned_ports:
                sockets.remove(item)
                item.close()
            _returned_ports.add(port)
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
