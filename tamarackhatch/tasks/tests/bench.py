"""Instances with dispatchers and managers over fakes, for tests."""

import asyncio
import datetime
import typing

import attrs

from tamarackhatch import clock
from tamarackhatch import declarations
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch import tasks
from tamarackhatch.tasks.tests import fleet
from tamarackhatch import testing

MACHINE = model.Resources(8000, 8192, 0)
SMALL = model.Resources(1000, 512, 0)


class FixedRoster:
    """Implements membership.RosterView."""

    def __init__(self, instance: str, members: tuple[str, ...]) -> None:
        self.instance = instance
        self.data_centre = "dc"
        self.members = members

    def list_members(self) -> tuple[model.SessionRecord, ...]:
        return tuple(
            model.SessionRecord(name, "i", 1, "dc", "region", "")
            for name in self.members
        )


class FixedLatency:
    """Implements tasks.LatencySource."""

    def __init__(self) -> None:
        self.p99: datetime.timedelta | None = None
        self.service: str | None = None

    def get_p99(self, worker: str) -> datetime.timedelta | None:
        return self.p99

    def get_service(self, worker: str) -> str | None:
        return self.service


class Gate:
    """Holds up every call of a paused process, as SIGSTOP would."""

    def __init__(self, target: object) -> None:
        self._target = target
        self.is_open = asyncio.Event()
        self.is_open.set()

    def __getattr__(self, name: str) -> typing.Any:
        method = getattr(self._target, name)

        async def call(*arguments: typing.Any) -> typing.Any:
            await self.is_open.wait()
            return await method(*arguments)

        return call


class Instance:
    """One entry instance's dispatcher and worker manager."""

    def __init__(
        self, bench: "Bench", name: str, members: tuple[str, ...]
    ) -> None:
        self.ownership = testing.FixedOwnership(name, {})
        self.roster = FixedRoster(name, members)
        self.interference = placement.InterferenceModel(bench.clock)
        self.latency = FixedLatency()
        self.store = Gate(bench.tables)
        self.client = Gate(bench.fleet)
        self.manager = tasks.WorkerManager(
            self.store,
            self.client,
            bench.instances,
            self.ownership,
            bench.configuration,
            bench.clock,
            self.latency,
            self.interference,
        )
        self.dispatcher = placement.Dispatcher(
            self.store,
            bench.instances,
            self.roster,
            bench.owners,
            bench.configuration,
            placement.PlacementPolicy(self.interference),
            bench.clock,
            bench.notify,
        )
        self.running: list[asyncio.Task[None]] = []

    def set_paused(self, is_paused: bool) -> None:
        """Pauses or wakes the process."""
        for gate in (self.store, self.client):
            if is_paused:
                gate.is_open.clear()
            else:
                gate.is_open.set()

    def start(self) -> None:
        """Starts both parts."""
        self.running = [
            asyncio.create_task(self.manager.run()),
            asyncio.create_task(self.dispatcher.run()),
        ]

    async def stop(self) -> None:
        """Kills both parts."""
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)


class Bench:
    """A small fleet and its instances."""

    def __init__(
        self,
        workers: int = 3,
        names: tuple[str, ...] = ("a",),
        team: declarations.TeamPolicy | None = None,
        batch: declarations.BatchPolicy | None = None,
    ) -> None:
        self.clock = clock.ManualClock()
        self.tables = testing.FakeTableService()
        self.workers = tuple(f"w{index}" for index in range(workers))
        self.instances = testing.FixedInstances(
            tuple(build_backend(name) for name in self.workers)
        )
        self.fleet = fleet.FakeFleet(
            self.clock, dict.fromkeys(self.workers, MACHINE)
        )
        self.configuration = testing.FixedConfiguration(team=team, batch=batch)
        self.owners = testing.FixedOwnership("any", {})
        self.epoch = 0
        self.service = placement.JobService(
            self.tables, self.instances, self.configuration
        )
        self.nodes = {name: Instance(self, name, names) for name in names}

    def notify(self, worker: str) -> None:
        """Passes a notice to every manager; only the owner acts on it."""
        for node in self.nodes.values():
            node.manager.note_work(worker)

    async def claim(self, worker: str, name: str) -> None:
        """Makes an instance the owner, by the row in the store."""
        row = await self.tables.read_row(platform.Table.OWNERS, worker)
        self.epoch += 1
        owner = model.OwnerRecord(worker, name, "i", self.epoch)
        await self.tables.commit(
            platform.Transaction(
                (
                    platform.Condition(
                        platform.Table.OWNERS,
                        worker,
                        row.version if row else 0,
                    ),
                ),
                (
                    platform.Write(
                        platform.Table.OWNERS,
                        worker,
                        platform.encode_value(owner),
                    ),
                ),
            )
        )
        self.owners.set_epoch(worker, self.epoch)
        ownership = self.nodes[name].ownership
        ownership.set_epoch(worker, self.epoch)
        if row is not None:
            ownership.set_claimed_at(worker, self.clock.get_monotonic())

    async def start(self) -> None:
        """Gives out the workers in turn and starts all instances."""
        names = sorted(self.nodes)
        for index, worker in enumerate(self.workers):
            await self.claim(worker, names[index % len(names)])
        for node in self.nodes.values():
            node.start()

    async def stop(self) -> None:
        """Kills all instances."""
        for node in self.nodes.values():
            await node.stop()

    async def advance(self, seconds: float) -> None:
        """Lets time pass in small steps."""
        step = datetime.timedelta(milliseconds=100)
        for _ in range(round(seconds * 10)):
            await self.clock.advance(step)

    async def submit(
        self,
        job: str,
        count: int = 1,
        command: str = "5",
        resources: model.Resources = SMALL,
        urgent: bool = False,
        team: str = "t",
    ) -> None:
        """Submits a job."""
        await self.service.submit_job(
            model.JobSpec(
                job,
                team,
                "kind",
                count,
                resources,
                command,
                urgent,
                self.clock.get_utc(),
                datetime.timedelta(seconds=5),
            )
        )

    async def read_job(self, job: str) -> model.Job:
        """Returns a job that exists."""
        found = await self.service.get_job(job)
        assert found is not None
        return found

    async def read_workers(self) -> list[model.WorkerRecord]:
        """Returns the rows of all workers."""
        rows = await self.tables.scan_rows(platform.Table.WORKERS, "")
        return [
            platform.decode_row(row.value, model.WorkerRecord) for row in rows
        ]

    async def find_faults(self, is_idle: bool = False) -> list[str]:
        """Checks the rows against each other; returns what is wrong."""
        faults: list[str] = []
        while True:
            # The scans are one consistent reading if nothing was written.
            count = self.tables.commit_count
            faults = await self._compare_rows(is_idle)
            if self.tables.commit_count == count:
                return faults + self.fleet.violations

    async def _compare_rows(self, is_idle: bool) -> list[str]:
        faults: list[str] = []
        in_use: dict[str, model.Resources] = {}
        committed: set[tuple[str, model.TaskId, int]] = set()
        for record in await self.read_workers():
            if not record.compute_committed().fits_in(record.capacity):
                faults.append(f"{record.worker} is over-committed")
            for item in record.commitments:
                total = in_use.get(item.team, model.Resources())
                in_use[item.team] = total + item.resources
                committed.add((record.worker, item.task, item.attempt))
        for row in await self.tables.scan_rows(platform.Table.TEAMS, ""):
            team = platform.decode_row(row.value, model.TeamRecord)
            if team.in_use != in_use.get(team.team, model.Resources()):
                faults.append(f"team {team.team} is wrong: {team.in_use}")
        placed: set[tuple[str, model.TaskId, int]] = set()
        for row in await self.tables.scan_rows(platform.Table.JOBS, ""):
            if "/" in row.key:
                if is_idle:
                    faults.append(f"queue entry {row.key} is left over")
                continue
            job = platform.decode_row(row.value, model.Job)
            for task in job.tasks:
                if task.state is model.TaskState.PLACED:
                    placed.add(
                        (
                            task.worker or "",
                            model.TaskId(job.spec.job, task.index),
                            task.attempt,
                        )
                    )
        if placed != committed:
            faults.append(f"jobs and workers differ: {placed ^ committed}")
        if is_idle and committed:
            faults.append(f"commitments are left over: {committed}")
        return faults


def build_backend(
    name: str,
    state: model.ServerState = model.ServerState.LIVE,
    capacity: model.Resources = MACHINE,
) -> model.BackendServer:
    """Returns a backend server without a runner."""
    return model.BackendServer(
        name, state, "dc", f"rack{name[-1]}", capacity, worker_address=name
    )


def set_state(bench: Bench, worker: str, state: model.ServerState) -> None:
    """Changes what the instance list says of a worker."""
    backend = bench.instances.get_backend(worker)
    assert backend is not None
    bench.instances.set_backend(attrs.evolve(backend, state=state))
