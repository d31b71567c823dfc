"""A small deployment: real processes, stand-ins and their clients."""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import socket
import time
import tomllib
import typing

import orjson
from tornado import httpclient

from review.stand_ins_3 import runner
from standins import servers
from standins import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "rota"
HOST = "office.example"
HEARTBEAT_S = 1.5
# Client's retries, as on the sheets of the small deployments.
RETRIES = 4
DEADLINE_S = 3.0
FINISH_S = 14.0
_random = random.SystemRandom()

# The bounds of brindle-rota.
BOUNDS = {
    "contact_ms": 4000,
    "grace_s": 6,
    "config_apply_ms": 2500,
    "max_hold_ms": 6000,
    "stop_timeout_ms": 400,
    "status_s": 120,
    "remote_factor": 2,
    "checkpoint_s": 2,
    "restore_ms": 600,
}


class Deployment:
    """Everything that a script starts, and the record of what happened."""

    def __init__(self, folder: pathlib.Path, record: pathlib.Path) -> None:
        self.began = time.monotonic()
        self.jobs: dict[str, dict[str, typing.Any]] = {}
        self.accepted: dict[str, float] = {}
        self.events: list[dict[str, typing.Any]] = []
        self.runners: list[runner.Runner] = []
        self.gangs = runner.Gangs()
        self.store = store.StoreStandIn()
        self.instances: dict[str, asyncio.subprocess.Process] = {}
        self.fronts: dict[str, str] = {}
        self._folder = folder
        self._record_file = record.open("w")
        self._store_server = servers.StandInServer(self.store.handle)
        self._net = f"127.{_random.randint(1, 250)}.{_random.randint(1, 250)}"
        self._last_entry: dict[str, float] = {}
        httpclient.AsyncHTTPClient.configure(None, max_clients=300)
        self._client = httpclient.AsyncHTTPClient()
        self._registrations = asyncio.create_task(self._register())

    @property
    def now(self) -> float:
        """Seconds since the script began."""
        return time.monotonic() - self.began

    def record(self, event: str, **fields: typing.Any) -> None:
        """Writes a line of the record."""
        item = {"t": round(self.now, 3), "event": event, **fields}
        self.events.append(item)
        self._record_file.write(json.dumps(item) + "\n")
        self._record_file.flush()

    def find_step(self, task: str) -> dict[str, typing.Any] | None:
        """Returns the step of a task that a client has sent."""
        job, _, step, _ = task.split(".")
        document = self.jobs.get(job)
        return None if document is None else document["steps"][int(step)]

    def add_runner(
        self,
        identifier: str,
        labels: list[str],
        plan: runner.Plan,
        cpu: int = 32_000,
    ) -> runner.Runner:
        """Adds a runner of the service."""
        added = runner.Runner(
            identifier,
            SERVICE,
            labels,
            {"cpu": cpu, "mem_mb": 128_000, "gpu": 0},
            self.find_step,
            plan,
            self.gangs,
            self.record,
        )
        self.runners.append(added)
        return added

    def put_configuration(
        self, version: int, routes: list[dict[str, typing.Any]]
    ) -> None:
        """Writes the operator's configuration."""
        document = {
            "version": version,
            "routes": [
                {
                    "host": HOST,
                    "kind": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 1000,
                    "service": SERVICE,
                    "max_attempts": 2,
                    "stretch": 2.0,
                    "priority": 0,
                    **route,
                }
                for route in routes
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforces_capacity": True,
                    "spare": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        value = base64.b64encode(orjson.dumps(document)).decode()
        self.store.put("op", "config", value)

    async def start_instances(self, count: int) -> None:
        """Starts the program with the command of the deploy file."""
        await asyncio.gather(
            *(
                self._start_instance(f"edge-here-{n + 1}", n)
                for n in range(count)
            )
        )

    async def _start_instance(self, name: str, number: int) -> None:
        ip = f"{self._net}.{10 + number}"
        front, ready, internal, metrics = _find_ports(ip, 4)
        fields = {
            "node": name,
            "ip": ip,
            "zone": "here-1",
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"},
            "internal_ports": [internal, internal + 15],
            "limits": {"cpu_share": 0.537, "cores": 2},
            "bounds": BOUNDS,
            "platform": {"address": self._store_server.address},
            "advice": getattr(self, "advice", None),
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["scheduler"]
        text = render((ROOT / role["template"]).read_text(), fields)
        # The metrics port of the deploy file may be in use here.
        text = text.replace(f"{ip}:9464", f"{ip}:{metrics}")
        path = self._folder / f"{name}.yaml"
        path.write_text(text)
        command = [
            str(path) if word == "/etc/tamarackhatch/boot.yaml" else word
            for word in role["run"].split(" ")
        ]
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "TAMARACKHATCH_CONFIG": str(path),
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self.instances[name] = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, cwd=ROOT, env=env
            )
        async with asyncio.timeout(20):
            while True:
                try:
                    await self._client.fetch(f"http://{ip}:{ready}/-/ready")
                    break
                except (OSError, httpclient.HTTPError):
                    await asyncio.sleep(0.1)
        self.fronts[name] = f"{ip}:{front}"
        self.record("ready", instance=name)

    async def call(
        self,
        method: str,
        path: str,
        document: object = None,
        retries: int = RETRIES,
    ) -> tuple[int, dict[str, typing.Any]]:
        """Sends a client's request; retries reach other instances."""
        body = None if document is None else orjson.dumps(document)
        names = list(self.fronts)
        _random.shuffle(names)
        status, content = 0, {}
        for attempt in range(retries + 1):
            front = self.fronts[names[attempt % len(names)]]
            try:
                response = await self._client.fetch(
                    f"http://{front}{path}",
                    method=method,
                    body=body,
                    headers={
                        "Host": HOST,
                        "Content-Type": "application/json",
                        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                    },
                    request_timeout=DEADLINE_S,
                    raise_error=False,
                )
                status = response.code
                content = orjson.loads(response.body) if response.body else {}
            except (OSError, httpclient.HTTPError):
                status = 0
            if status in (429, 503):
                await asyncio.sleep(1.0)
            elif status not in (0, 502, 504, 599):
                break
        return status, content

    async def submit(
        self, identifier: str, prefix: str, document: dict[str, typing.Any]
    ) -> int:
        """Hands a job in."""
        self.jobs[identifier] = document
        self.record("sent", job=identifier, steps=document["steps"])
        status, _ = await self.call("POST", prefix + identifier, document)
        self.record("answered", job=identifier, status=status)
        if 200 <= status < 300:
            self.accepted[identifier] = self.now
        return status

    async def get_state(self, identifier: str, prefix: str) -> str:
        """Asks for a job's state; '' if it has none."""
        status, content = await self.call("GET", prefix + identifier)
        state = content.get("state", "") if status == 200 else ""
        self.record("asked", job=identifier, status=status, state=state)
        return str(state)

    def list_running(self, job: str) -> list[str]:
        """Returns the tasks of a job that run on runners that are up."""
        return [
            task
            for item in self.runners
            if item.is_up
            for task in item.runs
            if task.startswith(job + ".")
        ]

    def compute_use(self) -> float:
        """Returns the share of the service's processors that is in use."""
        up = [item for item in self.runners if item.is_up]
        used = sum(
            run.step.get("cpu", 0)
            for item in up
            for run in item.runs.values()
            if not run.step.get("fills")
        )
        return used / sum(item.capacity["cpu"] for item in up)

    def count_places(
        self, step: dict[str, typing.Any], runners: list[runner.Runner]
    ) -> int:
        """Returns how many tasks of a step fit beside what runs now."""
        places = 0
        for item in runners:
            if not item.is_up:
                continue
            if step.get("requires") and step["requires"] not in item.labels:
                continue
            free = [
                (
                    limit
                    - sum(run.step.get(name, 0) for run in item.runs.values())
                )
                // step[name]
                for name, limit in item.capacity.items()
                if step.get(name)
            ]
            places += min(free)
        return places

    async def _register(self) -> None:
        """Writes the entries of runners; drops those that are silent."""
        offsets: dict[str, float] = {}
        while True:
            for item in self.runners:
                offsets.setdefault(
                    item.identifier, _random.uniform(0, HEARTBEAT_S)
                )
                last = self._last_entry.get(item.identifier)
                if item.is_up and (
                    last is None or self.now - last >= HEARTBEAT_S
                ):
                    self._last_entry[item.identifier] = self.now
                    if last is None:
                        self._last_entry[item.identifier] -= offsets[
                            item.identifier
                        ]
                    value = base64.b64encode(
                        orjson.dumps(item.encode_entry())
                    ).decode()
                    self.store.put("servers", item.identifier, value)
                elif (
                    last is not None
                    and not item.is_up
                    and self.now - last >= 3 * HEARTBEAT_S
                ):
                    self.store.remove("servers", item.identifier)
                    del self._last_entry[item.identifier]
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Ends all that was started."""
        for process in self.instances.values():
            if process.returncode is None:
                process.terminate()
        for process in self.instances.values():
            try:
                async with asyncio.timeout(8):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        self._registrations.cancel()
        self._record_file.close()


def render(template: str, fields: dict[str, typing.Any]) -> str:
    """Fills in the placeholders and sections that the template uses."""

    def find(name: str) -> typing.Any:
        value: typing.Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = (value or {}).get(part)
        return value

    def fill_section(match: re.Match[str]) -> str:
        value = find(match[1])
        if value is None or value is False:
            return ""
        return match[2].replace("{{.|json}}", json.dumps(value))

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
        fill_section,
        template,
        flags=re.S,
    )

    def fill(match: re.Match[str]) -> str:
        value = find(match[1])
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


def _find_ports(ip: str, count: int) -> list[int]:
    sockets = []
    for _ in range(count):
        item = socket.socket()
        item.bind((ip, 0))
        sockets.append(item)
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
