"""A store, runners and instances in one virtual loop."""

import asyncio
import base64
from collections.abc import Callable
import datetime
import os
import typing

import orjson

from standins import history
from standins import network
from standins import runner
from standins import store
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch import scheduler
from tamarackhatch import server
from tamarackhatch import settings

STORE_ADDRESS = "10.0.0.1:7000"
ADVICE_ADDRESS = "10.0.0.2:7001"
SERVICE = "office"
QUEUE = model.Queue(
    name="renewals",
    host="office.example",
    path_prefix="/renewals/",
    service=SERVICE,
    max_attempts=3,
)
_HEARTBEAT_S = 1.0
_TIMEOUT = datetime.timedelta(seconds=3)


def plan_success(task: str, run: int) -> tuple[float, str]:
    """Lets every run take half a second and succeed."""
    return 0.5, "done"


class VirtualInstance:
    """The parts of an instance that use no sockets."""

    def __init__(self, fleet: "VirtualFleet", name: str) -> None:
        self.name = name
        client = fleet.network.make_client(name)
        self._client = client
        table_store = platform.PlatformStore(
            typing.cast(typing.Any, client), STORE_ADDRESS
        )
        self.jobs = records.JobStore(
            table_store, fleet.clock, lambda: self.role.term
        )
        self.metrics = observability.Metrics()
        address = settings.Address("127.0.0.1", 1)
        configured = settings.Settings(
            instance=name,
            data_centre="here",
            caller_address=address,
            readiness_address=address,
            store_address=address,
        )
        sink = observability.LineSink(fleet.log_descriptor, fleet.clock, 10**9)
        fleet.incarnations += 1
        dependencies = scheduler.SchedulerDependencies(
            table_store,
            platform.RunnerClient(typing.cast(typing.Any, client)),
            platform.AdviceClient(
                typing.cast(typing.Any, client), ADVICE_ADDRESS
            ),
            fleet.clock,
            configured,
            observability.Log(
                sink, fleet.clock, observability.LevelFilter(), name
            ),
            self.metrics,
            fleet.policy,
        )
        self.role = server.SchedulerRole(
            dependencies, f"{name}-{fleet.incarnations}"
        )
        self._task = asyncio.create_task(self.role.run())

    def kill(self) -> None:
        """Ends it at once, as SIGKILL does."""
        self._client.close()
        self._task.cancel()

    async def stop(self) -> None:
        """Stops it gracefully, as SIGTERM does."""
        self.role.stop()
        while self.role.is_active:
            await asyncio.sleep(0.01)
        self.kill()


class VirtualFleet:
    """A whole deployment without sockets, in virtual time."""

    def __init__(
        self,
        runners: int = 3,
        plan: runner.Plan = plan_success,
        seed: int = 0,
        log_path: str = os.devnull,
        policy: placement.PlacementPolicy = placement.PlacementPolicy(),
    ) -> None:
        self.policy = policy
        loop = asyncio.get_running_loop()
        self.clock = virtual_time.VirtualClock(loop)
        self.network = network.Network(seed)
        self.store = store.StoreStandIn()
        self.history = history.History()
        self.runners: list[runner.RunnerStandIn] = []
        self.instances: dict[str, VirtualInstance] = {}
        self.incarnations = 0
        self.log_descriptor = os.open(
            log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND
        )
        self.network.serve(STORE_ADDRESS, self.store.handle)
        self._publish_configuration()
        self._heartbeats: list[asyncio.Task[None]] = []
        for index in range(runners):
            self.add_runner(plan, index)

    def add_runner(self, plan: runner.Plan, index: int) -> None:
        """Adds a runner that registers itself from now on."""
        address = f"10.1.0.{index + 1}:8000"
        added = runner.RunnerStandIn(
            f"i-{index}", address, SERVICE, plan, self.history
        )
        self.adopt_runner(added)

    def adopt_runner(self, added: runner.RunnerStandIn) -> None:
        """Lets a runner take calls and register itself from now on."""
        self.runners.append(added)
        self.network.serve(added.address, added.handle)
        self._heartbeats.append(
            asyncio.create_task(self._send_heartbeats(added))
        )

    def start_instance(self, name: str) -> VirtualInstance:
        """Starts an instance."""
        instance = VirtualInstance(self, name)
        self.instances[name] = instance
        return instance

    def get_leader(self) -> VirtualInstance | None:
        """Returns the instance that takes itself for the scheduler."""
        for instance in self.instances.values():
            if instance.role.is_active:
                return instance
        return None

    async def submit(
        self,
        identifier: str,
        *steps: model.Step,
        instance: str | None = None,
        queue: model.Queue = QUEUE,
    ) -> records.Submission:
        """Submits a job and notes the answer."""
        names = list(self.instances)
        target = self.instances[instance or names[0]]
        job = model.Job(identifier, queue, "work", steps, self.clock.get_utc())
        deadline = self.clock.get_monotonic() + _TIMEOUT
        result = await target.jobs.submit(job, deadline)
        if result is records.Submission.REFUSED:
            self.history.refused.add(identifier)
        else:
            self.history.accepted.add(identifier)
        return result

    async def read_state(
        self, identifier: str, instance: str | None = None
    ) -> model.JobState | None:
        """Returns the state that a caller is shown."""
        names = list(self.instances)
        target = self.instances[instance or names[0]]
        state = await target.jobs.read_state(identifier)
        if state is model.JobState.COMPLETED:
            self.history.completed.setdefault(
                identifier, asyncio.get_running_loop().time()
            )
        return state

    def check(self) -> list[history.Violation]:
        """Returns all broken rules."""
        for checked in self.runners:
            # Brings exits by time into the history.
            _ = checked.running
        return self.history.check(QUEUE.max_attempts)

    async def wait_until(
        self, condition: Callable[[], bool], limit_s: float = 60.0
    ) -> None:
        """Waits for a condition.

        Raises:
            TimeoutError: It did not come true in time.
        """
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_for_state(
        self,
        identifier: str,
        state: model.JobState,
        limit_s: float = 60.0,
    ) -> None:
        """Waits until callers are shown a state.

        Raises:
            TimeoutError: They are not shown it in time.
        """
        async with asyncio.timeout(limit_s):
            while await self._try_read_state(identifier) is not state:
                await asyncio.sleep(0.05)

    async def wait_for_state_of(
        self,
        instance: str,
        identifier: str,
        state: model.JobState,
        limit_s: float = 60.0,
    ) -> None:
        """Waits until one instance shows a state.

        Raises:
            TimeoutError: It is not shown in time.
        """
        async with asyncio.timeout(limit_s):
            while await self.read_state(identifier, instance) is not state:
                await asyncio.sleep(0.05)

    async def _try_read_state(self, identifier: str) -> model.JobState | None:
        try:
            return await self.read_state(identifier)
        except model.StoreUnavailableError:
            return None

    def _publish_configuration(self) -> None:
        document = {
            "version": 1,
            "routes": [
                {
                    "name": QUEUE.name,
                    "host": QUEUE.host,
                    "path_prefix": QUEUE.path_prefix,
                    "service": SERVICE,
                    "max_attempts": QUEUE.max_attempts,
                }
            ],
            "services": [{"name": SERVICE, "enforces_capacity": True}],
        }
        value = base64.b64encode(orjson.dumps(document)).decode()
        self.store.put("op", "config", value)

    async def _send_heartbeats(self, registered: runner.RunnerStandIn) -> None:
        while True:
            if not self.store.is_down and not self.store.is_silent:
                registered.register(self.store)
            await asyncio.sleep(_HEARTBEAT_S)
