"""Real processes, stand-ins and the proxies between them."""

import asyncio
import functools
import pathlib
import signal

from soak import _callers
from soak import _checks
from soak import _faults
from soak import _proxy
from soak import _runner_link
from soak import _schedule
from soak import _timeline
from standins import network
from standins import processes
from standins import runner
from standins import servers
from tamarackhatch import clock
from tamarackhatch import records

_BOUNDS = {"evacuation_ms": 5000, "stop_timeout_ms": 400, "restore_ms": 250}
# The longest time that a runner may take to kill a run.
_KILL_S = _BOUNDS["stop_timeout_ms"] / 1000
# After SIGTERM, the platform ends a process after 6 s; a busy machine and a
# pause by another fault may add to that.
_GRACE_S = 15.0
_STATUSES = {
    _faults.InstanceKind.REFUSED: 503,
    _faults.InstanceKind.BUSY: 429,
}
_POLL_S = 0.05
# The loop is taken to be on time if a timer is late by less than this.
_USUAL_LATENESS_S = 0.02
# Two heartbeat intervals and a slow answer of the store.
_HEARTBEAT_S = 1.6
# Time that a successor has to read the store and to reach the runners.
_TAKEOVER_S = 2.5


class Deployment:
    """A deployment whose parts `soak._injection` disturbs.

    Attributes:
        fleet: Processes, store and runners.
        timeline: Disturbances so far.
        checks: Observations so far.
        callers: The callers.
        store_faults: What the store does to single instances, by name.
        store_links: Proxies from each instance to the store, by name.
        runner_links: Proxies to each runner, by index.
        runner_processes: Runners that are processes, by index.
        failing_runners: Indices of the runners on which all tasks fail.
    """

    def __init__(
        self, folder: pathlib.Path, seed: int, deliberate: str | None
    ) -> None:
        """Creates a deployment that is not started yet.

        Args:
            folder: Folder of settings and logs.
            seed: Seed of the callers.
            deliberate: Name of a deliberate fault of the schedulers.
        """
        self.fleet = processes.ProcessFleet(folder, _checks.MAX_ATTEMPTS)
        self.timeline = _timeline.Timeline(clock.SystemClock())
        self.checks = _checks.Checks(self.fleet.history, self.timeline)
        self.callers = _callers.Callers(self.fleet, self.checks, seed)
        self.store_faults: dict[str, _faults.InstanceKind] = {}
        self.store_links: dict[str, _proxy.Proxy] = {}
        self.runner_links: list[_proxy.Proxy] = []
        self.runner_processes: dict[int, _runner_link.RunnerProcess] = {}
        self.failing_runners: set[int] = set()
        self._version = 0
        self._arguments = ["tamarackhatch"]
        if deliberate is not None:
            self._arguments = ["soak.tests.faulty", deliberate]
        self._servers: list[servers.StandInServer] = []
        self._starting: set[str] = set()
        self._ended: set[int] = set()
        self._ready: set[int] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Starts everything, and waits until the instances are ready."""
        self.publish_configuration()
        for index in range(_schedule.RUNNERS):
            await self._add_runner(index)
        for index in range(_schedule.INSTANCES):
            name = f"entry-{index}"
            handler = functools.partial(self._answer_instance, name)
            server = servers.StandInServer(handler)
            self._servers.append(server)
            self.store_links[name] = _proxy.Proxy(server.address)
            await self.store_links[name].open()
            await self._start_instance(name)
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
            await self.end_instance(name, signal.SIGKILL)
        for runner_process in self.runner_processes.values():
            await runner_process.close()
        await self.fleet.close()
        for link in [*self.store_links.values(), *self.runner_links]:
            await link.close()
        for server in self._servers:
            await server.close()

    def publish_configuration(self) -> None:
        """Adds a queue, except in the first version."""
        if self._version:
            self.callers.prefixes.append(f"/checks-{self._version}/")
        self._version += 1
        self.fleet.publish_configuration(self._version, self.callers.prefixes)

    def find_instance(self, index: int | None) -> str | None:
        """Returns the name of an instance, "" for None.

        Returns None if the instance has no process.
        """
        if index is None:
            return ""
        name = f"entry-{index}"
        if index == _faults.ACTIVE_SCHEDULER:
            name = self.fleet.read_leader()
        process = self.fleet.processes.get(name)
        is_running = process is not None and process.returncode is None
        return name if is_running else None

    def restart_instance(self, name: str) -> None:
        """Starts an instance in the background, unless it runs."""
        self._tasks.append(asyncio.create_task(self._start_instance(name)))

    async def _answer_instance(
        self, name: str, request: network.Request
    ) -> network.Response:
        """Answers a call of one instance to the store."""
        fault = self.store_faults.get(name)
        if fault in _STATUSES:
            return network.Response(_STATUSES[fault])
        response = await self.fleet.store.handle(request)
        if fault is not None and request.path == "/-/rows-tx":
            raise network.NoResponseError
        return response

    async def _start_instance(self, name: str) -> None:
        if name in self.fleet.processes or name in self._starting:
            return
        self._starting.add(name)
        try:
            await self.fleet.start_instance(
                name,
                *self._arguments,
                store_address=self.store_links[name].address,
                has_internal_address=True,
                bounds=_BOUNDS,
            )
        except TimeoutError:
            # It cannot be ready while the store does not answer.
            pass
        else:
            if name in self.fleet.processes:
                self._ready.add(self.fleet.processes[name].pid)
        finally:
            self._starting.discard(name)

    def check_processes(self) -> None:
        """Reports processes and tasks of the soak test that ended wrongly."""
        for task in self._tasks:
            if task.done() and task.exception() is not None:
                detail = f"{task.get_name()}: {task.exception()!r}"
                self.checks.report("HARNESS", "deployment", detail)
        for name, process in list(self.fleet.processes.items()):
            code = process.returncode
            if code is not None and process.pid not in self._ended:
                self.checks.report("EXITED", name, f"ended with code {code}")
                self.fleet.remove_instance(name)

    async def end_instance(self, name: str, number: signal.Signals) -> None:
        """Ends an instance; callers use it until its process has ended."""
        process = self.fleet.processes[name]
        # A second SIGTERM while the process ends would kill it.
        is_repeated = process.pid in self._ended and number != signal.SIGKILL
        self._ended.add(process.pid)
        if process.returncode is None and not is_repeated:
            process.send_signal(number)
        try:
            async with asyncio.timeout(_GRACE_S):
                await process.wait()
        except TimeoutError:
            self.checks.report("STOP", name, f"still runs after {number}")
            process.kill()
            await process.wait()
        code = process.returncode
        if code not in (0, -signal.SIGKILL) and process.pid in self._ready:
            self.checks.report("STOP", name, f"ended with code {code}")
        if self.fleet.processes.get(name) is process:
            self.fleet.remove_instance(name)

    async def _add_runner(self, index: int) -> None:
        def plan(task: str, run: int) -> tuple[float, str]:
            if index in self.failing_runners:
                return 0.1, "failed"
            return _callers.plan_run(task, run)

        added = runner.RunnerStandIn(
            f"i-{index}", "", processes.SERVICE, plan, self.fleet.history
        )
        number = index % len(_schedule.DATA_CENTRES)
        added.data_centre = _schedule.DATA_CENTRES[number]
        added.kill_s = _KILL_S
        if index in _schedule.PROCESS_RUNNERS:
            # The stand-in here only registers.
            process = _runner_link.RunnerProcess(self.fleet.history)
            self.runner_processes[index] = process
            added.address = await process.open(added.identifier, str(_KILL_S))
            self.fleet.runners.append(added)
        else:
            self.fleet.add_runner(added)
        link = _proxy.Proxy(added.address)
        await link.open()
        added.address = link.address
        self.runner_links.append(link)

    async def _watch_scheduler(self) -> None:
        """Records when the machine is late and no scheduler is active."""
        time, row = asyncio.get_running_loop().time, records.LEADER_HEARTBEAT
        beat, leader, beat_time = None, self.fleet.read_leader(), time()
        gap: _timeline.Interval | None = None
        while True:
            expected = time() + _POLL_S
            await asyncio.sleep(_POLL_S)
            now = time()
            if now > expected + _USUAL_LATENESS_S:
                self.timeline.begin(_timeline.MACHINE, expected).end = now
            latest = self.fleet.store.get(row.table, row.key, row.partition)
            if latest == beat:
                if gap is None and now > beat_time + _HEARTBEAT_S:
                    gap = self.timeline.begin(_timeline.CONTROL, beat_time)
                continue
            if self.fleet.read_leader() != leader:
                leader = self.fleet.read_leader()
                gap = gap or self.timeline.begin(_timeline.CONTROL, beat_time)
                gap.end = now + _TAKEOVER_S
            elif gap is not None:
                gap.end = now
            beat, beat_time, gap = latest, now, None
