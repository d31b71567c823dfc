"""Real processes, stand-ins and the proxies between them."""

import asyncio
import pathlib
import signal

from soak import _callers
from soak import _checks
from soak import _faults
from soak import _proxy
from soak import _schedule
from soak import _timeline
from standins import network
from standins import processes
from standins import runner
from standins import servers
from tamarackhatch import records

_BOUNDS = {"evacuation_ms": 5000, "stop_timeout_ms": 400, "restore_ms": 250}
_GRACE_S = 6.0
_POLL_S = 0.05
# The loop is taken to be on time if a timer is late by less than this.
_USUAL_LATENESS_S = 0.02
# Two heartbeat intervals and a slow answer of the store.
_HEARTBEAT_S = 1.6
# Time that a successor has to read the store and to reach the runners.
_TAKEOVER_S = 2.5
_FAILURE_S = 0.1


class StoreFront:
    """The store as one instance sees it.

    Attributes:
        status: Status with which all calls are refused; 0 for none.
        loses_answers: Whether transactions get no answer.
    """

    def __init__(self, handle: network.Handler) -> None:
        self.status = 0
        self.loses_answers = False
        self._handle = handle

    async def handle(self, request: network.Request) -> network.Response:
        """Answers one call."""
        if self.status:
            return network.Response(self.status)
        response = await self._handle(request)
        if self.loses_answers and request.path == "/-/rows-tx":
            raise network.NoResponseError
        return response


class Deployment:
    """A deployment whose parts `soak._injection` disturbs.

    Attributes:
        fleet: Processes, store and runners.
        timeline: Disturbances so far.
        checks: Observations so far.
        callers: The callers.
        fronts: The store as each instance sees it, by the instance's name.
        store_links: Proxies from each instance to the store, by name.
        runner_links: Proxies to each runner, by index.
        failing_runners: Indices of the runners on which all tasks fail.
        version: Version of the configuration.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        timeline: _timeline.Timeline,
        arguments: tuple[str, ...] = ("tamarackhatch",),
    ) -> None:
        """Creates a deployment that is not started yet.

        Args:
            folder: Folder of settings and logs.
            seed: Seed of the callers.
            timeline: Where disturbances are recorded.
            arguments: Python module of the instances, and its arguments
                behind those of ``serve``.
        """
        self.fleet = processes.ProcessFleet(folder, _checks.MAX_ATTEMPTS)
        self.timeline = timeline
        self.checks = _checks.Checks(self.fleet.history, timeline)
        self.callers = _callers.Callers(self.fleet, self.checks, seed)
        self.fronts: dict[str, StoreFront] = {}
        self.store_links: dict[str, _proxy.Proxy] = {}
        self.runner_links: list[_proxy.Proxy] = []
        self.failing_runners: set[int] = set()
        self.version = 0
        self._arguments = arguments
        self._servers: list[servers.StandInServer] = []
        self._ended: set[int] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Starts everything, and waits until the instances are ready."""
        self.publish_configuration()
        for index in range(_schedule.RUNNERS):
            await self._add_runner(index)
        for index in range(_schedule.INSTANCES):
            name = get_instance_name(index)
            front = StoreFront(self.fleet.store.handle)
            server = servers.StandInServer(front.handle)
            link = _proxy.Proxy(server.address)
            await link.open()
            self.fronts[name], self.store_links[name] = front, link
            self._servers.append(server)
            await self.start_instance(name)
        await self.fleet.find_scheduler()
        self._tasks.append(asyncio.create_task(self._watch_scheduler()))
        self._tasks.append(asyncio.create_task(self.callers.run()))

    async def close(self) -> None:
        """Ends everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.callers.close()
        for name in list(self.fleet.processes):
            await self.kill_instance(name)
        await self.fleet.close()
        for link in [*self.store_links.values(), *self.runner_links]:
            await link.close()
        for server in self._servers:
            await server.close()

    def publish_configuration(self) -> None:
        """Adds a queue, except in the first version."""
        if self.version:
            self.callers.prefixes.append(f"/checks-{self.version}/")
        self.version += 1
        self.fleet.publish_configuration(self.version, self.callers.prefixes)

    def find_instance(self, index: int) -> str | None:
        """Returns the name of an instance whose process exists, or None."""
        name = get_instance_name(index)
        if index == _faults.ACTIVE_SCHEDULER:
            name = self.fleet.read_leader()
        return name if name in self.fleet.processes else None

    async def start_instance(self, name: str) -> None:
        """Starts an instance, and waits some time until it is ready."""
        module, *arguments = self._arguments
        try:
            await self.fleet.start_instance(
                name,
                module,
                *arguments,
                store_address=self.store_links[name].address,
                has_internal_address=True,
                bounds=_BOUNDS,
            )
        except TimeoutError:
            # It cannot be ready while the store does not answer.
            pass
        if name in self.fleet.processes:
            self._tasks.append(asyncio.create_task(self._watch_process(name)))

    async def stop_instance(self, name: str) -> None:
        """Stops an instance gracefully, and checks the time that it takes."""
        process = self.fleet.processes[name]
        self._ended.add(process.pid)
        since = asyncio.get_running_loop().time()
        process.terminate()
        while process.returncode is None:
            await asyncio.sleep(_POLL_S)
            now = asyncio.get_running_loop().time()
            scopes = {_timeline.MACHINE, name}
            if self.timeline.measure_quiet(scopes, since, now) > _GRACE_S:
                self.checks.report("STOP", name, "did not end in time")
                process.kill()
                await process.wait()
        if process.returncode not in (0, -signal.SIGKILL):
            self.checks.report(
                "STOP", name, f"ended with code {process.returncode}"
            )
        self._forget(name, process)

    async def kill_instance(self, name: str) -> None:
        """Kills an instance; callers know it until its process has ended."""
        process = self.fleet.processes[name]
        self._ended.add(process.pid)
        if process.returncode is None:
            process.kill()
            await process.wait()
        self._forget(name, process)

    def _forget(self, name: str, process: asyncio.subprocess.Process) -> None:
        if self.fleet.processes.get(name) is process:
            self.fleet.remove_instance(name)

    async def _add_runner(self, index: int) -> None:
        def plan(task: str, run: int) -> tuple[float, str]:
            if index in self.failing_runners:
                return _FAILURE_S, "failed"
            return _callers.plan_run(task, run)

        added = runner.RunnerStandIn(
            f"i-{index}", "", processes.SERVICE, plan, self.fleet.history
        )
        centres = _schedule.DATA_CENTRES
        added.data_centre = centres[index % len(centres)]
        self.fleet.add_runner(added)
        link = _proxy.Proxy(added.address)
        await link.open()
        added.address = link.address
        self.runner_links.append(link)

    async def _watch_process(self, name: str) -> None:
        """Reports a process that ends without having been told to."""
        process = self.fleet.processes[name]
        code = await process.wait()
        if process.pid not in self._ended:
            self.checks.report("EXITED", name, f"ended with code {code}")
            self._forget(name, process)

    async def _watch_scheduler(self) -> None:
        """Records when the machine is late and no scheduler is active."""
        time = asyncio.get_running_loop().time
        beat, leader = self._read_heartbeat(), self.fleet.read_leader()
        beat_time = time()
        gap: _timeline.Interval | None = None
        while True:
            expected = time() + _POLL_S
            await asyncio.sleep(_POLL_S)
            now = time()
            if now > expected + _USUAL_LATENESS_S:
                late = self.timeline.begin(_timeline.MACHINE, expected)
                late.end = now
            if self._read_heartbeat() == beat:
                if gap is None and now > beat_time + _HEARTBEAT_S:
                    gap = self.timeline.begin(_timeline.CONTROL, beat_time)
                continue
            if self.fleet.read_leader() != leader:
                leader = self.fleet.read_leader()
                gap = gap or self.timeline.begin(_timeline.CONTROL, beat_time)
                gap.end, gap = now + _TAKEOVER_S, None
            if gap is not None:
                gap.end, gap = now, None
            beat, beat_time = self._read_heartbeat(), now

    def _read_heartbeat(self) -> str | None:
        row = records.LEADER_HEARTBEAT
        return self.fleet.store.get(row.table, row.key, row.partition)


def get_instance_name(index: int) -> str:
    """Returns the name of an instance."""
    return f"entry-{index}"
