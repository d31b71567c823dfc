"""An instance: its HTTP servers, its watchers and its scheduler role."""

import asyncio
import datetime
import pathlib
import secrets
import signal

from tornado import httputil

from tamarackhatch import admission
from tamarackhatch import clock
from tamarackhatch import connections
from tamarackhatch import entry
from tamarackhatch import errors
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch import scheduler
from tamarackhatch.server import _listeners
from tamarackhatch.server import _role
from tamarackhatch.server import _supervision
from tamarackhatch.server import _where
from tamarackhatch import service
from tamarackhatch import settings
from tamarackhatch import transport
from tamarackhatch import where

# Connections to each host; calls beyond them wait for a free connection. A
# runner accepts 64 from all instances together, and each new one has a price.
_MAX_RUNNER_CONNECTIONS = 4
_MAX_STORE_CONNECTIONS = 16
_MAX_PEER_CONNECTIONS = 4
# The settings file may change without a SIGHUP.
_SETTINGS_POLL_INTERVAL = datetime.timedelta(seconds=1)
# The load balancer checks readiness once a second, and stops sending new
# connections after two failed checks.
_MIN_NOT_READY_TIME = datetime.timedelta(milliseconds=2200)
# Part of the grace period that is left for closing the connections.
_CONNECTION_CLOSE_TIME = datetime.timedelta(milliseconds=500)
_STOP_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
# An instance without an answer from the store for this time is not ready.
_MAX_TIME_SINCE_STORE_ANSWER = datetime.timedelta(milliseconds=2500)


class Instance:
    """One process of the system.

    Args:
        path: Path of the settings file, which is watched for changes.
        initial_settings: Settings that the process starts with.
        time_source: Clock of the process.
        level_filter: Filter of the log, whose level a reload may change.
        sink: Output of the log, whose line rate a reload may change.
    """

    def __init__(
        self,
        path: str,
        initial_settings: settings.Settings,
        time_source: clock.Clock,
        level_filter: observability.LevelFilter,
        sink: observability.LineSink,
    ) -> None:
        self._path = path
        self._initial_settings = initial_settings
        self._clock = time_source
        self._level_filter = level_filter
        self._sink = sink
        self._log = observability.Log(
            sink, time_source, level_filter, "instance"
        )
        self._metrics = observability.Metrics()
        self._incarnation = secrets.token_hex(8)
        self._stop_requested = asyncio.Event()
        self._store_client = transport.HttpClient(
            time_source, _MAX_STORE_CONNECTIONS
        )
        self._runner_client = transport.HttpClient(
            time_source, _MAX_RUNNER_CONNECTIONS
        )
        self._peer_client: transport.HttpClient | None = None
        self._store_calls = entry.CallCounter()
        self._store_traffic = observability.StoreTraffic(
            time_source, self._log.for_component("store"), self._metrics
        )
        self._store_liveness = records.StoreLiveness(time_source)
        self._store_clock = records.StoreClock(time_source)
        self._store = platform.PlatformStore(
            self._store_client,
            str(initial_settings.store_address),
            self._record_store_call,
            self._record_store_answer,
            self._store_clock.record_reading,
        )
        self._configuration_watcher = service.ConfigurationWatcher(
            self._store,
            time_source,
            self._log.for_component("configuration"),
            initial_settings.bounds.apply_configuration,
            int(self._incarnation[:2], 16) / 256,
        )
        self._wait_figures = admission.WaitFigures(
            initial_settings.scheduling.leader_heartbeat_interval
        )
        self._role = _role.SchedulerRole(
            scheduler.SchedulerDependencies(
                self._store,
                platform.RunnerClient(self._runner_client),
                self._make_advice_client(),
                time_source,
                initial_settings,
                self._log,
                self._metrics,
                configuration=self._configuration_watcher,
                enforces_capacity=self._enforces_capacity,
                is_service_known=self._is_service_known,
                on_heartbeat=self._record_heartbeat,
            ),
            self._incarnation,
            self._configuration_watcher.apply_change_row,
        )
        self._configuration_watcher.set_publications(
            self._role, self._role.request_publication
        )
        self._entry = self._make_entry()
        self._job_service = service.JobService(
            records.JobStore(
                self._store,
                time_source,
                lambda: self._role.term,
                self._store_liveness,
                records.CallReporter(
                    self._log.for_component("store"), self._metrics
                ).record,
            ),
            self._configuration_watcher,
            service.PendingCounter(
                self._role,
                records.PendingReader(
                    self._store,
                    time_source,
                    self._log.for_component("service"),
                ),
                self._store_clock,
                time_source,
                self._log.for_component("service"),
                self._metrics,
            ),
            time_source,
            self._log.for_component("service"),
            self._metrics,
            None if self._entry is None else self._entry.forwarder,
            self._wait_figures,
            lambda: self._store.latest_version,
        )
        self._receiver = (
            None
            if self._entry is None
            else self._entry.make_receiver(self._job_service)
        )
        self._where = _where.WhereHandler(
            self._role,
            self._job_service,
            self._configuration_watcher,
            time_source,
            self._log.for_component("where"),
            self._metrics,
        )
        self._ingress = platform.Ingress(
            self._job_service,
            time_source.get_utc,
            self._log.for_component("ingress"),
        )
        self._listeners = _listeners.Listeners(
            initial_settings.limits,
            time_source,
            self._log.for_component("connections"),
            self._metrics,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections here."""
        if (
            self._stop_requested.is_set()
            or self._configuration_watcher.configuration is None
        ):
            return False
        if self._entry is not None:
            return self._entry.is_in_rotation
        return (
            self._configuration_watcher.time_since_answer
            < _MAX_TIME_SINCE_STORE_ANSWER
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then stops gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        self._log.info(
            "started",
            instance=self._initial_settings.instance,
            incarnation=self._incarnation,
            data_centre=self._initial_settings.data_centre,
        )
        self._start_servers()
        tasks = [
            asyncio.create_task(
                _supervision.run_supervised(name, run, self._clock, self._log)
            )
            for name, run in (
                ("configuration", self._configuration_watcher.run),
                ("role", self._role.run),
                ("settings", self._watch_settings),
                ("connections", self._listeners.run),
                ("store traffic", self._store_traffic.run),
                *([("entry", self._entry.run)] if self._entry else []),
            )
        ]
        await self._stop_requested.wait()
        await self._shut_down(tasks)

    def _record_store_call(
        self, kind: str, table: str, answer_bytes: int | None
    ) -> None:
        self._store_calls.record_call()
        self._store_traffic.record_call(kind, table, answer_bytes)

    def _record_store_answer(self) -> None:
        self._store_calls.record_answer()
        self._store_liveness.record_answer()

    def _record_heartbeat(self, heartbeat: records.LeaderHeartbeat) -> None:
        self._wait_figures.record_heartbeat(
            heartbeat.term, heartbeat.waits, self._clock.get_monotonic()
        )

    def _make_entry(self) -> entry.EntryNode | None:
        """Returns the connection with other instances, if it is set up."""
        address = self._initial_settings.internal_address
        if address is None:
            return None
        self._peer_client = transport.HttpClient(
            self._clock, _MAX_PEER_CONNECTIONS
        )
        return entry.EntryNode(
            records.InstanceRecord(
                self._initial_settings.instance,
                self._initial_settings.data_centre,
                str(address),
                is_fit=True,
            ),
            self._store,
            self._peer_client,
            self._store_liveness,
            self._store_calls,
            self._configuration_watcher,
            self._stop_requested.is_set,
            self._clock,
            self._log.for_component("entry"),
            self._metrics,
        )

    def _make_advice_client(self) -> platform.AdviceClient | None:
        address = self._initial_settings.advice_address
        if address is None:
            return None
        return platform.AdviceClient(self._store_client, str(address))

    def _enforces_capacity(self, name: str) -> bool:
        configuration = self._configuration_watcher.configuration
        found = configuration and configuration.get_service(name)
        return bool(found and found.enforces_capacity)

    def _is_service_known(self, name: str) -> bool:
        configuration = self._configuration_watcher.configuration
        return configuration is None or configuration.names_service(name)

    def _start_servers(self) -> None:
        initial_settings, listen = (
            self._initial_settings,
            self._listeners.listen,
        )
        listen(
            "callers",
            initial_settings.caller_address,
            self._ingress.handle_request,
            self._get_caller_limits,
        )
        listen(
            "readiness",
            initial_settings.readiness_address,
            self._serve_readiness,
            lambda: _listeners.PROBE_LIMITS,
        )
        if initial_settings.metrics_address is not None:
            listen(
                "metrics",
                initial_settings.metrics_address,
                self._serve_metrics,
                lambda: _listeners.OPERATOR_LIMITS,
            )
        if self._receiver is not None:
            assert initial_settings.internal_address is not None
            listen(
                "instances",
                initial_settings.internal_address,
                self._receiver.handle_request,
                lambda: _listeners.PEER_LIMITS,
            )
        if initial_settings.interface_address is not None:
            # Imported only if it is served, since memory has a price.
            from tamarackhatch import api

            listen(
                "interface",
                initial_settings.interface_address,
                api.make_application(self._job_service, self._clock),
                self._get_caller_limits,
            )

    def _get_caller_limits(self) -> connections.ServerLimits:
        return _listeners.make_caller_limits(self._job_service.limits)

    async def _shut_down(self, tasks: list[asyncio.Task[None]]) -> None:
        self._log.info("stopping", in_flight=self._ingress.in_flight)
        stop_started_at = self._clock.get_monotonic()
        deadline = (
            stop_started_at
            + self._initial_settings.bounds.grace
            - _CONNECTION_CLOSE_TIME
        )
        self._role.stop()
        self._ingress.disable_keep_alive()
        while self._clock.get_monotonic() < deadline:
            elapsed = self._clock.get_monotonic() - stop_started_at
            if (
                elapsed >= _MIN_NOT_READY_TIME
                and not self._ingress.in_flight
                and not (self._receiver and self._receiver.in_flight)
                and not self._role.is_active
            ):
                break
            await self._clock.sleep(_STOP_POLL_INTERVAL)
        self._listeners.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._listeners.close()
        self._store_client.close()
        self._runner_client.close()
        if self._peer_client is not None:
            self._peer_client.close()
        self._log.info("stopped", in_flight=self._ingress.in_flight)

    async def _watch_settings(self) -> None:
        modified_ns = _get_modification_time_ns(self._path)
        while True:
            await self._clock.sleep(_SETTINGS_POLL_INTERVAL)
            latest_ns = _get_modification_time_ns(self._path)
            if latest_ns != modified_ns:
                modified_ns = latest_ns
                self._reload_settings()

    def _reload_settings(self) -> None:
        """Applies the settings that may change while the process runs."""
        try:
            latest = settings.load_settings(self._path)
        except errors.FindingsError as error:
            self._log.error("settings_rejected", reason=str(error))
            return
        self._level_filter.set_level(latest.logging.level)
        self._sink.set_rate(latest.logging.lines_per_s)
        self._log.info("settings_reloaded", level=latest.logging.level)

    def _serve_readiness(self, request: httputil.HTTPServerRequest) -> None:
        if self.is_ready:
            _send_answer(request, 200, "OK", b"ready\n")
        else:
            _send_answer(request, 503, "Service Unavailable", b"not ready\n")

    def _serve_metrics(self, request: httputil.HTTPServerRequest) -> None:
        if request.path == where.PATH:
            self._where.handle_request(request)
            return
        _send_answer(request, 200, "OK", self._metrics.render())


def _send_answer(
    request: httputil.HTTPServerRequest,
    status: int,
    phrase: str,
    body: bytes,
) -> None:
    connection = request.connection
    if connection is None:
        return
    headers = httputil.HTTPHeaders(
        {"Content-Type": "text/plain", "Content-Length": str(len(body))}
    )
    line = httputil.ResponseStartLine("HTTP/1.1", status, phrase)
    connection.write_headers(line, headers, body)
    connection.finish()


def _get_modification_time_ns(path: str) -> int:
    """Returns when a file was modified, in ns; 0 if it is absent."""
    try:
        return pathlib.Path(path).stat().st_mtime_ns
    except OSError:
        # The platform replaces the file; the next check finds the new one.
        return 0
