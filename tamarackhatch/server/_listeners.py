"""The HTTP servers of an instance, within one budget."""

from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import connections
from tamarackhatch import entry
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import settings
from tamarackhatch import where

_MEBIBYTE = 1024 * 1024
_MAX_HEADER_BYTES = 16_384
# Probes have no body.
_MAX_PROBE_BODY_BYTES = 4096
# Somewhat longer bodies than accepted ones are answered with an error.
_MAX_OPERATOR_BODY_BYTES = 4 * where.MAX_BODY_BYTES
# Other instances keep their connections; operators and probes need few.
_HEADER_TIMEOUT = datetime.timedelta(seconds=10)
_IDLE_TIMEOUT = datetime.timedelta(seconds=75)

PROBE_LIMITS = connections.ServerLimits(
    _MAX_HEADER_BYTES, _MAX_PROBE_BODY_BYTES, _HEADER_TIMEOUT, _IDLE_TIMEOUT
)
OPERATOR_LIMITS = connections.ServerLimits(
    _MAX_HEADER_BYTES, _MAX_OPERATOR_BODY_BYTES, _HEADER_TIMEOUT, _IDLE_TIMEOUT
)
PEER_LIMITS = connections.ServerLimits(
    _MAX_HEADER_BYTES, entry.MAX_BODY_BYTES, _HEADER_TIMEOUT
)


class Listeners:
    """Starts servers, and stops them together."""

    def __init__(
        self,
        limits: settings.Limits,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the listeners of an instance.

        Args:
            limits: What the clients of all servers may use together.
            time_source: Source of time.
            log: Logger of connections.
            metrics: Measurements of the process.
        """
        self._guard = connections.ConnectionGuard(
            connections.ConnectionBudget(
                limits.connections, limits.receive_buffer_mb * _MEBIBYTE
            ),
            time_source,
            log,
            metrics,
        )
        self._servers: list[connections.GuardedServer] = []

    def listen(
        self,
        name: str,
        address: settings.Address,
        handler: connections.Handler,
        get_limits: Callable[[], connections.ServerLimits],
    ) -> None:
        """Starts a server.

        Args:
            name: Its name in the log.
            address: Address to listen at.
            handler: Handles its requests.
            get_limits: Returns the limits of its requests, which may change.
        """
        self._guard.add_server(name, get_limits)
        server = connections.GuardedServer(handler, name, self._guard)
        server.listen(address.port, address.host)
        self._servers.append(server)

    async def run(self) -> None:
        """Closes connections that have used up their time."""
        await self._guard.run()

    def stop(self) -> None:
        """Accepts no more connections."""
        for server in self._servers:
            server.stop()

    async def close(self) -> None:
        """Closes all connections."""
        for server in self._servers:
            await server.close_all_connections()


def make_caller_limits(
    limits: model.RequestLimits,
) -> connections.ServerLimits:
    """Returns the limits of callers that the configuration sets."""
    return connections.ServerLimits(
        limits.max_header,
        limits.max_body,
        limits.header_timeout,
        limits.idle_timeout,
    )
