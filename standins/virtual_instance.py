"""An instance in a virtual event loop."""

import asyncio
import typing

from tamarackhatch import admission
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch import scheduler
from tamarackhatch import server
from tamarackhatch import service
from tamarackhatch import settings

if typing.TYPE_CHECKING:
    from standins import fleet as standin_fleet

STORE_ADDRESS = "10.0.0.1:7000"
ADVICE_ADDRESS = "10.0.0.2:7001"


class VirtualInstance:
    """Job store and scheduler role of an instance, without sockets.

    Attributes:
        name: Name of the instance.
        jobs: Its job store.
        figures: Waits that the heartbeats have reported to it.
        service: Its service for callers, which refuses jobs.
        role: Its scheduler role.
        metrics: Its metrics.
        configuration: Its watcher of the configuration; None without one.
    """

    def __init__(
        self,
        fleet: "standin_fleet.VirtualFleet",
        name: str,
        has_configuration: bool,
        processor: float,
    ) -> None:
        self.name = name
        client = fleet.network.make_client(name)
        self._client = client
        self.metrics = observability.Metrics()
        sink = observability.LineSink(fleet.log_descriptor, fleet.clock, 10**9)
        log = observability.Log(
            sink, fleet.clock, observability.LevelFilter(), name
        )
        liveness = records.StoreLiveness(fleet.clock)
        store_clock = records.StoreClock(fleet.clock)
        table_store = platform.PlatformStore(
            typing.cast(typing.Any, client),
            STORE_ADDRESS,
            on_answer=liveness.record_answer,
            on_time=store_clock.record_reading,
        )
        self.jobs = records.JobStore(
            table_store,
            fleet.clock,
            lambda: self.role.term,
            liveness,
            records.CallReporter(log, self.metrics).record,
        )
        self.figures = admission.WaitFigures(
            settings.Scheduling().leader_heartbeat_interval
        )
        address = settings.Address("127.0.0.1", 1)
        configured = settings.Settings(
            instance=name,
            data_centre="here",
            caller_address=address,
            readiness_address=address,
            store_address=address,
            processor_share=processor,
            bounds=fleet.bounds,
        )
        self.configuration: service.ConfigurationWatcher | None = None
        if has_configuration:
            self.configuration = service.ConfigurationWatcher(
                table_store,
                fleet.clock,
                log,
                fleet.apply_time,
                fleet.incarnations * 0.618 % 1,
            )
        fleet.incarnations += 1
        dependencies = scheduler.SchedulerDependencies(
            table_store,
            platform.RunnerClient(typing.cast(typing.Any, client)),
            platform.AdviceClient(
                typing.cast(typing.Any, client), ADVICE_ADDRESS
            ),
            fleet.clock,
            configured,
            log,
            self.metrics,
            fleet.policy,
            self.configuration,
            lambda service: fleet.enforces_capacity,
            lambda service: service in fleet.services,
            lambda heartbeat: self.figures.record_heartbeat(
                heartbeat.term,
                heartbeat.waits,
                fleet.clock.get_monotonic(),
            ),
        )
        watcher = self.configuration
        self.role = server.SchedulerRole(
            dependencies,
            f"{name}-{fleet.incarnations}",
            (
                (lambda row: None)
                if watcher is None
                else watcher.apply_change_row
            ),
        )
        self.service = service.JobService(
            self.jobs,
            watcher
            or service.ConfigurationWatcher(
                table_store, fleet.clock, log, fleet.apply_time, 0.0
            ),
            service.PendingCounter(
                self.role,
                records.PendingReader(table_store, fleet.clock, log),
                store_clock,
                fleet.clock,
                log,
                self.metrics,
            ),
            fleet.clock,
            log,
            self.metrics,
            None,
            self.figures,
            lambda: table_store.latest_version,
        )
        self._tasks = [asyncio.create_task(self.role.run())]
        if watcher is not None:
            watcher.set_publications(self.role, self.role.request_publication)
            self._tasks.append(asyncio.create_task(watcher.run()))

    def kill(self) -> None:
        """Ends the instance immediately, as SIGKILL does."""
        self._client.close()
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Stops the instance gracefully, as SIGTERM does."""
        self.role.stop()
        while self.role.is_active:
            await asyncio.sleep(0.01)
        self.kill()
