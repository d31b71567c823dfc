"""Instances that forward requests, without sockets, in virtual time."""

import asyncio
import base64
import datetime
import os
import typing

import attrs
import orjson

from standins import network
from standins import store
from standins import virtual_time
from tamarackhatch import admission
from tamarackhatch import entry
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch import service
from tamarackhatch import transport

STORE_ADDRESS = "10.0.0.1:7000"
QUEUE = model.Queue("renewals", "office.example", "/renewals/", "office")
CONFIGURATION = model.Configuration(1, (QUEUE,))
STEP = model.Step(1, model.Resources(processors=100, memory_mb=10))
TIMEOUT = datetime.timedelta(seconds=3)
# The leader heartbeat reaches an instance this often.
_HEARTBEAT_INTERVAL_S = 0.7


class _FixedConfiguration:
    """Configuration of an instance that never changes by itself."""

    def __init__(self) -> None:
        self.configuration: model.Configuration | None = CONFIGURATION
        self.time_since_answer = datetime.timedelta()


class EntryInstance:
    """An instance with a store client, a service and its entry node.

    Attributes:
        name: Its name.
        service: Its service for callers.
        node: Its entry node; None without an internal address.
        configuration: Its configuration.
        figures: Waits that it was told; none at first.
        metrics: Its metrics.
        is_stopping: Whether it has got SIGTERM.
    """

    def __init__(
        self, fleet: "EntryFleet", name: str, data_centre: str, index: int
    ) -> None:
        self.name = name
        self.address = f"10.2.0.{index + 1}:7800"
        self.is_stopping = False
        self.metrics = observability.Metrics()
        log = observability.Log(
            observability.LineSink(fleet.log_descriptor, fleet.clock, 10**9),
            fleet.clock,
            observability.LevelFilter(),
            name,
        )
        client = typing.cast(
            transport.HttpClient, fleet.network.make_client(name)
        )
        liveness = records.StoreLiveness(fleet.clock)
        calls = entry.CallCounter()

        def record_answer() -> None:
            calls.record_answer()
            liveness.record_answer()

        table_store = platform.PlatformStore(
            client,
            STORE_ADDRESS,
            lambda kind, table, size: calls.record_call(),
            record_answer,
        )
        self.configuration = _FixedConfiguration()
        self.node: entry.EntryNode | None = None
        if fleet.has_internal_addresses:
            self.node = entry.EntryNode(
                records.InstanceRecord(name, data_centre, self.address, True),
                table_store,
                client,
                liveness,
                calls,
                self.configuration,
                lambda: self.is_stopping,
                fleet.clock,
                log,
                self.metrics,
            )
        self.figures = admission.WaitFigures(
            datetime.timedelta(seconds=_HEARTBEAT_INTERVAL_S)
        )
        self.service = service.JobService(
            records.JobStore(table_store, fleet.clock, lambda: 1, liveness),
            typing.cast(typing.Any, self.configuration),
            typing.cast(typing.Any, None),
            fleet.clock,
            log,
            self.metrics,
            None if self.node is None else self.node.forwarder,
            self.figures,
            lambda: table_store.latest_version,
        )
        self._tasks = [
            asyncio.create_task(self._follow_heartbeat(table_store))
        ]
        if self.node is not None:
            self.receiver = self.node.make_receiver(self.service)
            fleet.network.serve(self.address, self._handle)
            self._tasks.append(asyncio.create_task(self.node.run()))

    async def _handle(self, request: network.Request) -> network.Response:
        reply = await self.receiver.answer(
            request.method, request.path, orjson.dumps(request.body)
        )
        return network.Response(reply.status, orjson.loads(reply.body))

    async def _follow_heartbeat(self, table_store: model.TableStore) -> None:
        """Makes the calls of an idle instance."""
        while True:
            try:
                await table_store.read(
                    "beat-0", "", datetime.timedelta(seconds=1)
                )
            except model.StoreUnavailableError:
                await asyncio.sleep(0.15)
                continue
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    def kill(self) -> None:
        """Ends the instance at once."""
        for task in self._tasks:
            task.cancel()


@attrs.frozen
class Answer:
    """Answer to a caller, and the time until it came, in seconds."""

    outcome: model.Outcome
    duration_s: float


class EntryFleet:
    """Instances by name; the names say in which data centre they are.

    Attributes:
        clock: Clock of the virtual loop.
        network: Network between the instances and the store.
        store: Stand-in of the metadata store.
        instances: Instances by name.
    """

    def __init__(
        self,
        *names: str,
        has_internal_addresses: bool = True,
        log_path: str = os.devnull,
    ) -> None:
        """Starts instances.

        Args:
            *names: ``DATA_CENTRE/NAME`` of each instance.
            has_internal_addresses: Whether they know each other.
            log_path: File to which they append their logs.
        """
        self.clock = virtual_time.VirtualClock(asyncio.get_running_loop())
        self.network = network.Network()
        self.store = store.StoreStandIn()
        self.has_internal_addresses = has_internal_addresses
        self.log_descriptor = os.open(
            log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND
        )
        self.network.serve(STORE_ADDRESS, self.store.handle)
        self.store_faults.executes_abandoned_calls = True
        self.instances: dict[str, EntryInstance] = {}
        for index, full_name in enumerate(names):
            data_centre, _, name = full_name.partition("/")
            self.instances[name] = EntryInstance(
                self, name, data_centre, index
            )

    @property
    def store_faults(self) -> network.Faults:
        """Faults between the instances and the store."""
        return self.network.get_faults(STORE_ADDRESS)

    def get_faults(self, name: str) -> network.Faults:
        """Returns the faults of the internal interface of an instance."""
        return self.network.get_faults(self.instances[name].address)

    async def discover(self) -> None:
        """Waits until all instances know each other."""
        await asyncio.sleep(12)

    async def submit(
        self,
        name: str,
        identifier: str,
        timeout: datetime.timedelta = TIMEOUT,
        size: int = 4,
    ) -> Answer:
        """Submits a job, with a specification of ``size`` characters."""
        began = asyncio.get_running_loop().time()
        job = model.Job(
            identifier, QUEUE, "w" * size, (STEP,), self.clock.get_utc()
        )
        lookup = await self.instances[name].service.submit(job, timeout)
        return Answer(
            lookup.outcome, asyncio.get_running_loop().time() - began
        )

    async def cancel(self, name: str, identifier: str) -> Answer:
        """Cancels a job at an instance."""
        began = asyncio.get_running_loop().time()
        outcome = await self.instances[name].service.cancel(
            identifier, QUEUE, TIMEOUT
        )
        return Answer(outcome, asyncio.get_running_loop().time() - began)

    async def read_state(self, name: str, identifier: str) -> model.JobLookup:
        """Reads the state of a job at an instance."""
        return await self.instances[name].service.get_state(
            identifier, QUEUE, TIMEOUT
        )

    def read_job(self, identifier: str) -> bytes | None:
        """Returns the stored row of a job, or None."""
        return self.read_row(records.get_job_ref(identifier))

    def read_row(self, ref: model.RowRef) -> bytes | None:
        """Returns the value of a row, or None."""
        value = self.store.get(ref.table, ref.key, ref.partition)
        return None if value is None else base64.b64decode(value)

    def is_cancelled(self, identifier: str) -> bool:
        """Returns whether a job is marked as cancelled in the store."""
        ref = records.get_job_ref(identifier)
        key = f"{identifier}.cancel"
        return self.store.get(ref.table, key, ref.partition) is not None

    def cut_off(self, fault: str, *names: str) -> None:
        """Lets the store refuse instances in one of four ways."""
        faults = self.store_faults
        for name in names:
            if fault == "silence":
                faults.unreachable_from.add(name)
            elif fault == "reset":
                faults.reset_clients.add(name)
            else:
                faults.refused_clients[name] = int(fault)

    def reconnect(self) -> None:
        """Lets the store serve all instances again."""
        faults = self.store_faults
        faults.unreachable_from.clear()
        faults.reset_clients.clear()
        faults.refused_clients.clear()
        faults.late_clients.clear()
