"""One running instance: its servers, its election and its scheduler."""

import asyncio
import datetime
import pathlib
import secrets
import signal
import typing

from tornado import httpserver
from tornado import httputil

from tamarackhatch import clock
from tamarackhatch import errors
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch import scheduler
from tamarackhatch.server import _role
from tamarackhatch import service
from tamarackhatch import settings
from tamarackhatch import transport

# Connections to each host; calls beyond them wait for a free one. A runner
# allows 64 from all instances, and each new one is priced.
_RUNNER_CONNECTIONS = 4
_STORE_CONNECTIONS = 16
# The settings file may change without a signal.
_SETTINGS_INTERVAL = datetime.timedelta(seconds=1)
# The load balancer asks for readiness once a second and counts two misses.
_LEAVE_ROTATION = datetime.timedelta(milliseconds=2200)
# Kept free at the end of the grace period for closing the connections.
_CLOSE_MARGIN = datetime.timedelta(milliseconds=500)
_POLL = datetime.timedelta(milliseconds=50)
# An instance that lost the store leaves the rotation after this time.
_MAX_TIME_SINCE_STORE_ANSWER = datetime.timedelta(milliseconds=2500)
_MAX_HEADER_BYTES = 65536


class Instance:
    """One process of the system."""

    def __init__(
        self,
        path: str,
        configured: settings.Settings,
        time_source: clock.Clock,
        levels: observability.LevelFilter,
        sink: observability.LineSink,
    ) -> None:
        self._path = path
        self._settings = configured
        self._clock = time_source
        self._levels = levels
        self._sink = sink
        self._log = observability.Log(sink, time_source, levels, "instance")
        self._metrics = observability.Metrics()
        self._stopping = asyncio.Event()
        self._store_client = transport.HttpClient(
            time_source, _STORE_CONNECTIONS
        )
        self._runner_client = transport.HttpClient(
            time_source, _RUNNER_CONNECTIONS
        )
        self._store = platform.PlatformStore(
            self._store_client, str(configured.store_address)
        )
        self._incarnation = secrets.token_hex(8)
        self._role = _role.SchedulerRole(
            scheduler.SchedulerDependencies(
                self._store,
                platform.RunnerClient(self._runner_client),
                self._make_advice_client(),
                time_source,
                configured,
                self._log,
                self._metrics,
            ),
            self._incarnation,
        )
        self._configuration = service.ConfigurationWatcher(
            self._store,
            time_source,
            self._log.for_component("configuration"),
        )
        self._jobs = service.JobService(
            records.JobStore(
                self._store, time_source, lambda: self._role.term
            ),
            self._configuration,
            self._role,
            time_source,
            self._log.for_component("service"),
            self._metrics,
        )
        self._ingress = platform.Ingress(self._jobs, time_source.get_utc)
        self._servers: list[httpserver.HTTPServer] = []

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        return (
            not self._stopping.is_set()
            and self._configuration.configuration is not None
            and self._configuration.time_since_answer
            < _MAX_TIME_SINCE_STORE_ANSWER
        )

    async def run(self) -> None:
        """Serves until SIGTERM, then stops gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._log.info(
            "started",
            instance=self._settings.instance,
            incarnation=self._incarnation,
            data_centre=self._settings.data_centre,
        )
        self._listen()
        tasks = [
            asyncio.create_task(self._configuration.run()),
            asyncio.create_task(self._role.run()),
            asyncio.create_task(self._watch_settings()),
        ]
        for task in tasks:
            task.add_done_callback(self._record_crash)
        await self._stopping.wait()
        await self._stop(tasks)

    def _make_advice_client(self) -> platform.AdviceClient | None:
        address = self._settings.advice_address
        if address is None:
            return None
        return platform.AdviceClient(self._store_client, str(address))

    def _listen(self) -> None:
        configured = self._settings
        bindings: list[tuple[settings.Address, typing.Any]] = [
            (configured.caller_address, self._ingress.handle_request),
            (configured.readiness_address, self._answer_readiness),
        ]
        if configured.metrics_address is not None:
            bindings.append((configured.metrics_address, self._answer_metrics))
        if configured.interface_address is not None:
            # Loaded only where it is served: memory is priced.
            from tamarackhatch import api

            application = api.make_application(self._jobs, self._clock)
            bindings.append((configured.interface_address, application))
        for address, handle in bindings:
            server = httpserver.HTTPServer(
                handle, max_header_size=_MAX_HEADER_BYTES
            )
            server.listen(address.port, address.host)
            self._servers.append(server)

    async def _stop(self, tasks: list[asyncio.Task[None]]) -> None:
        self._log.info("stopping", in_flight=self._ingress.in_flight)
        began = self._clock.get_monotonic()
        deadline = began + self._settings.bounds.grace - _CLOSE_MARGIN
        self._role.stop()
        self._ingress.disable_keep_alive()
        while self._clock.get_monotonic() < deadline:
            elapsed = self._clock.get_monotonic() - began
            if (
                elapsed >= _LEAVE_ROTATION
                and not self._ingress.in_flight
                and not self._role.is_active
            ):
                break
            await self._clock.sleep(_POLL)
        for server in self._servers:
            server.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in self._servers:
            await server.close_all_connections()
        self._store_client.close()
        self._runner_client.close()
        self._log.info("stopped", in_flight=self._ingress.in_flight)

    def _record_crash(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        self._log.error("task_crashed", reason=repr(task.exception()))
        self._stopping.set()

    async def _watch_settings(self) -> None:
        changed = _get_change_time(self._path)
        while True:
            await self._clock.sleep(_SETTINGS_INTERVAL)
            latest = _get_change_time(self._path)
            if latest != changed:
                changed = latest
                self._reload()

    def _reload(self) -> None:
        """Takes over what may change while the process runs."""
        try:
            latest = settings.load_settings(self._path)
        except errors.FindingsError as error:
            self._log.error("settings_refused", reason=str(error))
            return
        self._levels.set_level(latest.logging.level)
        self._sink.set_rate(latest.logging.lines_per_s)
        self._log.info("settings_reloaded", level=latest.logging.level)

    def _answer_readiness(self, request: httputil.HTTPServerRequest) -> None:
        if self.is_ready:
            _answer(request, 200, "OK", b"ready\n")
        else:
            _answer(request, 503, "Service Unavailable", b"not ready\n")

    def _answer_metrics(self, request: httputil.HTTPServerRequest) -> None:
        _answer(request, 200, "OK", self._metrics.render())


def _answer(
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


def _get_change_time(path: str) -> int:
    try:
        return pathlib.Path(path).stat().st_mtime_ns
    except OSError:
        # The platform replaces the file; the next look finds it.
        return 0
