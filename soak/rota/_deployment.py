"""The processes, stand-ins and links of deployment brindle-rota."""

import asyncio
import base64
from collections.abc import Sequence
import functools
import pathlib
import random
import signal

import orjson

from soak import _deployment
from soak.rota import _callers
from soak.rota import _events
from soak.rota import _machines
from soak.rota import _options
from soak.rota import _schedule
from soak.rota import _traffic
from soak.rota import _troubles
from standins import network
from standins import processes
from standins import servers

_RESTORE_MS = 600
# Entries of runners are removed after three heartbeats of silence.
_SILENCE_S = 4.5
_POLL_S = 0.25
# The store is this many times slower than usual.
SLOW_FACTOR = 60
# Share of the transactions that get no answer, and are carried out later.
_LATE_WRITE_SHARE = 0.35
_LATE_WRITE_DELAYS_S = (0.5, 6.0)


class RotaDeployment(_deployment.Deployment):
    """The deployment that `soak.rota._injection` disturbs.

    Attributes:
        machines: Machines of the runners.
        store_trouble: What the store does now.
        refused_instances: Names of the instances that the store refuses.
        events: Disturbances so far.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        deliberate: str | None,
        arrivals: Sequence[_traffic.Arrival],
        program: pathlib.Path | None,
        bounds: _options.LeaseBounds,
    ) -> None:
        """Creates a deployment that is not started yet.

        Args:
            folder: Folder of settings and logs.
            seed: Seed of the links.
            deliberate: Name of a deliberate fault of the schedulers.
            arrivals: Jobs that callers submit.
            program: Folder whose modules the instances run.
            bounds: Bounds of its leases.
        """
        super().__init__(folder, seed, deliberate)
        self.callers: _callers.Callers = _callers.Callers(
            self.fleet, self.checks, seed, arrivals
        )
        self.machines: list[_machines.Machine] = []
        self.store_trouble: _troubles.StoreKind | None = None
        self.refused_instances: set[str] = set()
        self.events = _events.EventLog()
        self._seed = seed
        self._program = program
        self._bounds = bounds
        self._random = random.Random(f"store {seed}")
        self._last_registrations: dict[str, float] = {}
        self._late_writes: set[asyncio.Task[network.Response]] = set()
        self._pauses: dict[str, int] = {}
        self._store_addresses: dict[str, str] = {}

    async def open(self) -> None:
        """Starts everything, and waits until the instances are ready."""
        self.publish_configuration()
        server = servers.StandInServer(self._answer_runner)
        self._servers.append(server)
        for index in range(_schedule.MACHINES):
            machine = _machines.Machine(
                index,
                self._seed,
                self.fleet.history,
                server.address,
                self._bounds,
            )
            self.machines.append(machine)
        await asyncio.gather(*(machine.start() for machine in self.machines))
        for index in range(_schedule.INSTANCES):
            name = f"entry-{index}"
            handler = functools.partial(self._answer_instance, name)
            server = servers.StandInServer(handler)
            self._servers.append(server)
            self._store_addresses[name] = server.address
        await asyncio.gather(*map(self._start_instance, self._store_addresses))
        await self.fleet.find_scheduler()
        self._tasks.append(asyncio.create_task(self._watch_scheduler()))
        self._tasks.append(asyncio.create_task(self._remove_silent()))
        self._tasks.append(asyncio.create_task(self.callers.run()))

    async def close(self) -> None:
        """Ends everything."""
        for task in self._late_writes:
            task.cancel()
        for machine in self.machines:
            await machine.close()
        await super().close()

    def publish_configuration(self) -> None:
        """Writes the configuration with a queue for each kind of jobs."""
        routes = [
            {
                "name": kind.queue,
                "host": processes.HOST,
                "path_prefix": kind.prefix,
                "service": processes.SERVICE,
                "max_attempts": kind.max_attempts,
                "priority": kind.priority,
            }
            for kind in _traffic.KINDS
        ]
        service = {"name": processes.SERVICE, "enforces_capacity": True}
        document = {"version": 1, "routes": routes, "services": [service]}
        value = base64.b64encode(orjson.dumps(document)).decode()
        self.fleet.store.put("op", "config", value)

    def check_processes(self) -> None:
        """Reports processes that ended by themselves."""
        super().check_processes()
        for machine in self.machines:
            code = machine.exit_code
            if code is not None:
                detail = f"its process ended with code {code}"
                self.checks.report("HARNESS", machine.identifier, detail)

    def pause(self, name: str, is_stopped: bool) -> None:
        """Stops an instance, or continues it unless it is stopped twice."""
        change = 1 if is_stopped else -1
        self._pauses[name] = self._pauses.get(name, 0) + change
        if is_stopped or not self._pauses[name]:
            number = signal.SIGSTOP if is_stopped else signal.SIGCONT
            self._send_signal(name, number)

    def _send_signal(self, name: str, number: signal.Signals) -> None:
        process = self.fleet.processes.get(name)
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def end_instance(self, name: str, number: signal.Signals) -> None:
        """Ends an instance; a stopped one is continued first."""
        self._send_signal(name, signal.SIGCONT)
        await super().end_instance(name, number)

    def forget(self, identifier: str) -> None:
        """Removes the entry of a runner that has left."""
        self._last_registrations.pop(identifier, None)
        self.fleet.store.remove("servers", identifier)

    async def _start_instance(self, name: str) -> None:
        if name in self.fleet.processes or name in self._starting:
            return
        index = int(name.split("-")[1])
        place, remaining = 0, index
        for count in _schedule.INSTANCES_BY_DATA_CENTRE:
            if remaining < count:
                break
            place, remaining = place + 1, remaining - count
        self._starting.add(name)
        try:
            await self.fleet.start_instance(
                name,
                *self._arguments,
                store_address=self._store_addresses[name],
                has_internal_address=True,
                bounds={
                    "max_lease_ms": round(1000 * self._bounds.longest_lease_s),
                    "stop_timeout_ms": round(
                        1000 * self._bounds.longest_kill_s
                    ),
                    "restore_ms": _RESTORE_MS,
                },
                data_centre=_machines.DATA_CENTRES[place],
                program=self._program,
            )
        except TimeoutError:
            # It cannot be ready while the store does not answer.
            pass
        else:
            if name in self.fleet.processes:
                self._ready.add(self.fleet.processes[name].pid)
        finally:
            self._starting.discard(name)

    async def _answer_instance(
        self, name: str, request: network.Request
    ) -> network.Response:
        """Answers a call of one instance to the store."""
        kind = _troubles.StoreKind
        if name in self.refused_instances:
            return network.Response(503)
        is_write = request.path == "/-/rows-tx"
        if is_write and self.store_trouble in (kind.LATE, kind.LOST):
            if self._random.random() < _LATE_WRITE_SHARE:
                delay_s = self._random.uniform(*_LATE_WRITE_DELAYS_S)
                if self.store_trouble is kind.LOST:
                    delay_s = 0.0
                late = asyncio.create_task(self._write_late(request, delay_s))
                self._late_writes.add(late)
                late.add_done_callback(self._late_writes.discard)
                raise network.NoResponseError
        return await self.fleet.store.handle(request)

    async def _write_late(
        self, request: network.Request, delay_s: float
    ) -> network.Response:
        await asyncio.sleep(delay_s)
        return await self.fleet.store.handle(request)

    async def _answer_runner(
        self, request: network.Request
    ) -> network.Response:
        """Answers a registration of a runner."""
        identifier = request.body["puts"][0]["key"]
        machines = [it for it in self.machines if it.identifier == identifier]
        if not machines or machines[0].is_cut_from_store:
            raise network.NoResponseError
        response = await self.fleet.store.handle(request)
        if response.status == 200 and machines[0].identifier == identifier:
            now = asyncio.get_running_loop().time()
            self._last_registrations[identifier] = now
        return response

    async def _remove_silent(self) -> None:
        """Removes the entries of runners that do not write."""
        while True:
            await asyncio.sleep(_POLL_S)
            now = asyncio.get_running_loop().time()
            for identifier, last in list(self._last_registrations.items()):
                if now > last + _SILENCE_S:
                    self.forget(identifier)
