"""A store, runners and instances in one virtual event loop."""

import asyncio
import base64
from collections.abc import Callable
from collections.abc import Sequence
import datetime
import os

import orjson

from standins import history
from standins import network
from standins import runner
from standins import store
from standins import virtual_instance
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import settings

STORE_ADDRESS = virtual_instance.STORE_ADDRESS
ADVICE_ADDRESS = virtual_instance.ADVICE_ADDRESS
SERVICE = "office"
QUEUE = model.Queue(
    name="renewals",
    host="office.example",
    path_prefix="/renewals/",
    service=SERVICE,
    max_attempts=3,
)
_REGISTRATION_INTERVAL_S = 1.0
# Heartbeats of silence after which a registry entry expires.
_EXPIRY_HEARTBEATS = 3
_EXPIRY_CHECK_INTERVAL_S = 0.05
_SUBMIT_TIMEOUT = datetime.timedelta(seconds=3)


def plan_success(task: str, run: int) -> tuple[float, str]:
    """Plans half a second for every run, and success."""
    return 0.5, "done"


class VirtualFleet:
    """A whole deployment without sockets, in virtual time.

    Attributes:
        policy: Placement policy of all instances.
        clock: Clock of the virtual loop.
        network: Network between instances, runners and the store.
        store: Stand-in of the metadata store.
        history: Runs and callers' answers so far.
        runners: Stand-ins of the runners.
        instances: Instances by name.
        incarnations: Number of instances started.
        log_descriptor: File descriptor to which instances write their logs.
        apply_time: Time within which instances apply a configuration.
        enforces_capacity: Whether runners reject tasks that do not fit, as the
            configuration says.
        services: Names of the services that are configured.
        bounds: Time bounds of the instances that are started from now on.
        heartbeat_s: Seconds between two registrations of a runner whose entry
            expires after three heartbeats of silence; None for entries that
            stay until they are removed.
    """

    def __init__(
        self,
        runners: int = 3,
        plan: runner.Plan = plan_success,
        seed: int = 0,
        log_path: str = os.devnull,
        policy: placement.PlacementPolicy = placement.PlacementPolicy(),
        data_centres: Sequence[str] = ("here",),
        fleet_network: network.Network | None = None,
    ) -> None:
        """Creates the deployment, without instances.

        Args:
            runners: Number of runners.
            plan: Plan of all runs.
            seed: Seed of the network's faults.
            log_path: File to which instances append their logs.
            policy: Placement policy of all instances.
            data_centres: Data centres of the runners, in turn.
            fleet_network: Network to use; None for a new one.
        """
        self.policy = policy
        loop = asyncio.get_running_loop()
        self.clock = virtual_time.VirtualClock(loop)
        self.network = fleet_network or network.Network(seed)
        self.store = store.StoreStandIn()
        self.history = history.History()
        self.runners: list[runner.RunnerStandIn] = []
        self.instances: dict[str, virtual_instance.VirtualInstance] = {}
        self.incarnations = 0
        self.apply_time = datetime.timedelta(milliseconds=2500)
        self.enforces_capacity = True
        self.services = {SERVICE}
        self.bounds = settings.Bounds(max_lease=runner.MAX_LEASE)
        self.heartbeat_s: float | None = None
        self.log_descriptor = os.open(
            log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND
        )
        self.network.serve(STORE_ADDRESS, self.store.handle)
        self.publish_configuration(1)
        self._registrations: list[asyncio.Task[None]] = []
        for index in range(runners):
            data_centre = data_centres[index % len(data_centres)]
            self.add_runner(plan, index, data_centre)

    def add_runner(
        self, plan: runner.Plan, index: int, data_centre: str = "here"
    ) -> None:
        """Makes a runner, connects it and starts its registration."""
        address = f"10.1.0.{index + 1}:8000"
        added = runner.RunnerStandIn(
            f"i-{index}", address, SERVICE, plan, self.history
        )
        added.data_centre = data_centre
        self.adopt_runner(added)

    def adopt_runner(self, added: runner.RunnerStandIn) -> None:
        """Connects a runner to the network and starts its registration."""
        self.runners.append(added)
        self.network.serve(added.address, added.handle)
        added.on_restart = lambda: self.network.reset_connections(
            added.address
        )
        self._registrations.append(
            asyncio.create_task(self._register_periodically(added))
        )

    def evacuate(self, data_centre: str) -> None:
        """Orders the evacuation of a data centre, as the operator does."""
        value = base64.b64encode(b"{}").decode()
        self.store.put("op", f"evacuate/{data_centre}", value)
        self.history.record_evacuation(data_centre)

    def end_evacuation(self, data_centre: str) -> None:
        """Returns a data centre to service, as the operator does."""
        self.store.remove("op", f"evacuate/{data_centre}")
        self.history.record_return(data_centre)

    def start_instance(
        self,
        name: str,
        has_configuration: bool = False,
        processor: float = 1.0,
    ) -> virtual_instance.VirtualInstance:
        """Starts an instance and returns it.

        Args:
            name: Name of the instance.
            has_configuration: Whether it follows the configuration.
            processor: Processor time that it may use, in cores.
        """
        instance = virtual_instance.VirtualInstance(
            self, name, has_configuration, processor
        )
        self.instances[name] = instance
        return instance

    def get_leader(self) -> virtual_instance.VirtualInstance | None:
        """Returns an instance whose scheduler role is active, or None."""
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
        timeout: datetime.timedelta = _SUBMIT_TIMEOUT,
    ) -> model.Outcome:
        """Submits a job that is never refused, and returns DONE or UNKNOWN.

        The job counts as accepted either way, since it may be stored.
        """
        names = list(self.instances)
        target = self.instances[instance or names[0]]
        job = model.Job(identifier, queue, "work", steps, self.clock.get_utc())
        deadline = self.clock.get_monotonic() + timeout
        self.history.accepted.add(identifier)
        self.history.record_steps(identifier, steps)
        try:
            await target.jobs.submit(job, deadline)
        except model.StoreOutcomeUnknownError:
            return model.Outcome.UNKNOWN
        return model.Outcome.DONE

    async def ask_service(
        self,
        identifier: str,
        *steps: model.Step,
        instance: str | None = None,
        queue: model.Queue = QUEUE,
        timeout: datetime.timedelta = _SUBMIT_TIMEOUT,
    ) -> model.JobLookup:
        """Submits a job as a caller does, and returns the answer.

        The job counts as accepted unless it is refused.
        """
        names = list(self.instances)
        target = self.instances[instance or names[0]]
        job = model.Job(identifier, queue, "work", steps, self.clock.get_utc())
        self.history.record_steps(identifier, steps)
        lookup = await target.service.submit(job, timeout)
        if lookup.outcome is not model.Outcome.REFUSED:
            self.history.accepted.add(identifier)
        return lookup

    async def read_state(
        self, identifier: str, instance: str | None = None
    ) -> model.JobState | None:
        """Returns the state that an instance shows to callers."""
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
        for stand_in in self.runners:
            # Reading the property records the exits of runs that are over.
            _ = stand_in.running
        return self.history.check(QUEUE.max_attempts)

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float = 60.0
    ) -> None:
        """Waits for a condition, for at most ``timeout_s`` seconds.

        Raises:
            TimeoutError: The condition is still false after that time.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_for_state(
        self,
        identifier: str,
        state: model.JobState,
        timeout_s: float = 60.0,
    ) -> None:
        """Waits until the first instance shows a state.

        Failures of the store in the meantime are ignored.

        Raises:
            TimeoutError: The state is not shown within ``timeout_s`` seconds.
        """
        async with asyncio.timeout(timeout_s):
            while await self._try_read_state(identifier) is not state:
                await asyncio.sleep(0.05)

    async def wait_for_state_of(
        self,
        instance: str,
        identifier: str,
        state: model.JobState,
        timeout_s: float = 60.0,
    ) -> None:
        """Waits until a given instance shows a state.

        Raises:
            TimeoutError: The state is not shown within ``timeout_s`` seconds.
            StoreUnavailableError: The store did not answer the instance.
        """
        async with asyncio.timeout(timeout_s):
            while await self.read_state(identifier, instance) is not state:
                await asyncio.sleep(0.05)

    async def _try_read_state(self, identifier: str) -> model.JobState | None:
        try:
            return await self.read_state(identifier)
        except model.StoreUnavailableError:
            return None

    def publish_configuration(self, version: int, extra: int = 0) -> int:
        """Writes a version of the configuration, as the operator does.

        Args:
            version: Number of the version.
            extra: Number of queues beside `QUEUE`, each under its number.

        Returns:
            Size of the row's value in bytes.
        """
        routes = [
            {
                "name": f"{QUEUE.name}-{number}",
                "host": f"host-{number}.example",
                "path_prefix": f"/queue-{number:06}/",
                "service": SERVICE,
                "priority": number % 3,
                "max_attempts": QUEUE.max_attempts,
                "stretch": 1.5,
                "target_latency_ms": 400,
                "timeout_ms": 3000,
                "health_path": f"/health-{number:06}",
                "method": "POST",
            }
            for number in range(extra)
        ]
        document = {
            "version": version,
            "routes": routes
            + [
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
        return len(value)

    async def _register_periodically(
        self, registered: runner.RunnerStandIn
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            is_store_up = not (
                self.store.is_down or self.store.is_unresponsive
            )
            interval_s = self.heartbeat_s or 0.0
            silent_s = loop.time() - registered.registered_at
            if silent_s >= interval_s:
                if is_store_up and registered.is_registering:
                    registered.register(self.store)
            if self.heartbeat_s is None:
                await asyncio.sleep(_REGISTRATION_INTERVAL_S)
                continue
            if silent_s >= _EXPIRY_HEARTBEATS * interval_s:
                self._expire_entry(registered)
            await asyncio.sleep(_EXPIRY_CHECK_INTERVAL_S)

    def _expire_entry(self, registered: runner.RunnerStandIn) -> None:
        now = asyncio.get_running_loop().time()
        is_silent = registered.registered_at < now
        if is_silent and self.store.get("servers", registered.identifier):
            self.store.remove("servers", registered.identifier)
