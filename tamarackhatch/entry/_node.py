"""This instance among the others: discovery, forwarding and fitness."""

import asyncio
from collections.abc import Callable
import datetime
import typing

from tamarackhatch import clock
from tamarackhatch.entry import _discovery
from tamarackhatch.entry import _fitness
from tamarackhatch.entry import _forwarder
from tamarackhatch.entry import _peers
from tamarackhatch.entry import _receiver
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch import transport

_MILLISECOND = datetime.timedelta(milliseconds=1)
_READING_INTERVAL = 500 * _MILLISECOND


class ConfigurationSource(typing.Protocol):
    """Source of the configuration in force."""

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration; None until the first one is read."""
        ...

    @property
    def time_since_answer(self) -> datetime.timedelta:
        """Time since the store last answered a read of the configuration."""
        ...


class CallCounter:
    """Counts the calls to the store, and those that it has answered."""

    def __init__(self) -> None:
        self._calls = 0
        self._answers = 0

    def record_call(self) -> None:
        """Records that a call has ended."""
        self._calls += 1

    def record_answer(self) -> None:
        """Records that the store has answered a call and not refused it."""
        self._answers += 1

    def take(self) -> tuple[int, int]:
        """Returns the calls and how many of them failed, and starts anew."""
        result = (self._calls, max(0, self._calls - self._answers))
        self._calls = self._answers = 0
        return result


class EntryNode:
    """Connects an instance that has an internal address with the others."""

    def __init__(
        self,
        record: records.InstanceRecord,
        store: model.TableStore,
        client: transport.HttpClient,
        liveness: records.StoreLiveness,
        calls: CallCounter,
        configuration: ConfigurationSource,
        is_stopping: Callable[[], bool],
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the node.

        Args:
            record: Name, data centre and internal address of the instance.
            store: The table store.
            client: HTTP client for calls to other instances.
            liveness: Signs of life of the store.
            calls: Counts the calls to the store.
            configuration: Source of the configuration.
            is_stopping: Returns whether the instance is about to end.
            time_source: Source of time.
            log: Logger of the node.
            metrics: Metrics of the instance.
        """
        self._liveness = liveness
        self._calls = calls
        self._configuration = configuration
        self._is_stopping = is_stopping
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._started_at = time_source.get_monotonic()
        self._monitor = _fitness.FitnessMonitor()
        self._directory = _peers.PeerDirectory(record.name, record.data_centre)
        self._forwarder = _forwarder.Forwarder(
            client, self._directory, liveness, time_source, log, metrics
        )
        self._discovery = _discovery.Discovery(
            store,
            self._directory,
            lambda: records.InstanceRecord(
                record.name,
                record.data_centre,
                record.address,
                self._is_available,
            ),
            time_source,
            log,
            metrics,
        )
        metrics.is_fit.set(1)

    @property
    def forwarder(self) -> _forwarder.Forwarder:
        """Carries out requests here or at other instances."""
        return self._forwarder

    @property
    def is_in_rotation(self) -> bool:
        """Whether the load balancer may send new callers."""
        return self._monitor.is_in_rotation

    def make_receiver(
        self, service: _receiver.DirectService
    ) -> _receiver.Receiver:
        """Returns what serves the internal interface.

        Args:
            service: Carries out the requests of other instances.
        """
        return _receiver.Receiver(
            service,
            lambda: self._configuration.configuration,
            lambda: (
                self._is_available and not self._forwarder.is_store_failing
            ),
            self._clock,
            self._log,
        )

    async def run(self) -> None:
        """Discovers other instances and monitors this one until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._discovery.run())
            group.create_task(self._monitor_fitness())

    @property
    def _is_available(self) -> bool:
        """Whether the instance can carry out requests of others."""
        return (
            self._monitor.is_fit
            and self._configuration.configuration is not None
            and not self._is_stopping()
        )

    async def _monitor_fitness(self) -> None:
        while True:
            due = self._clock.get_monotonic() + _READING_INTERVAL
            await self._clock.sleep(_READING_INTERVAL)
            if self._configuration.configuration is None:
                # An instance that starts is not ready anyway, and must not
                # wait for 3 s of good readings after that.
                self._calls.take()
                continue
            now = self._clock.get_monotonic()
            last_answer = self._liveness.last_answer or self._started_at
            reading = _fitness.Reading(
                now - last_answer,
                *self._calls.take(),
                now - due,
                self._configuration.time_since_answer,
            )
            was_fit = self._monitor.is_fit
            self._monitor.record_reading(
                reading, self._directory.has_fit_neighbour, now
            )
            if self._monitor.is_fit != was_fit:
                self._record_change(reading)

    def _record_change(self, reading: _fitness.Reading) -> None:
        is_fit = self._monitor.is_fit
        self._metrics.is_fit.set(int(is_fit))
        self._log.info(
            "instance_fit" if is_fit else "instance_unfit",
            cause=self._monitor.cause.value,
            silence_ms=reading.silence // _MILLISECOND,
            calls=reading.calls,
            refused_calls=reading.refused_calls,
            lag_ms=reading.lag // _MILLISECOND,
            configuration_age_ms=reading.configuration_age // _MILLISECOND,
            is_in_rotation=self._monitor.is_in_rotation,
        )
