"""Keeps the connections of all servers of a process within its budget."""

import collections
from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch.connections import _budget
from tamarackhatch.connections import _connection
from tamarackhatch.connections import _stream
from tamarackhatch import observability

# Most instances have few connections; each check wakes their processes up.
_CHECK_INTERVAL = datetime.timedelta(seconds=1)
# Callers wait up to a minute for their answers.
_MAX_BODY_TIME = datetime.timedelta(seconds=60)
_MAX_HANDLING_TIME = datetime.timedelta(seconds=90)

GetLimits = Callable[[], _connection.ServerLimits]


class ConnectionGuard:
    """Knows all connections, and closes those that use too much."""

    def __init__(
        self,
        budget: _budget.ConnectionBudget,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the guard of a process.

        Args:
            budget: What all connections may use together.
            time_source: Source of time.
            log: Logger of the guard.
            metrics: Measurements of the process.
        """
        self._budget = budget
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._streams: dict[_connection.Connection, _stream.MeteredStream] = {}
        self._limits: dict[str, GetLimits] = {}
        # What the requests count for; sums over all connections are only made
        # when this exceeds the budget.
        self._charged = 0
        self._dropped: collections.Counter[str] = collections.Counter()

    @property
    def charged(self) -> int:
        """What the requests of all connections count for, in bytes."""
        return self._charged

    def add_server(self, name: str, get_limits: GetLimits) -> None:
        """Registers a server before it accepts connections.

        Args:
            name: Its name.
            get_limits: Returns its limits, which may change.
        """
        self._limits[name] = get_limits

    def get_limits(
        self, connection: _connection.Connection
    ) -> _connection.ServerLimits:
        """Returns the limits of a connection's requests."""
        return self._limits[connection.server]()

    def may_accept(self) -> bool:
        """Makes room for one more connection, and returns whether there is."""
        if len(self._streams) < self._budget.max_connections:
            return True
        found = self._budget.choose_for_admission(self._streams.keys())
        if found is None:
            self._count_drop(_budget.DropReason.CONNECTIONS)
            return False
        self._drop(found, _budget.DropReason.CONNECTIONS)
        return True

    def add(self, stream: _stream.MeteredStream) -> None:
        """Adds an accepted connection."""
        stream.connection.begin_request(self._clock.get_monotonic())
        self._streams[stream.connection] = stream

    def is_open(self, connection: _connection.Connection) -> bool:
        """Returns whether a connection was added and not removed."""
        return connection in self._streams

    def remove(self, connection: _connection.Connection) -> None:
        """Removes a connection that is closed, and what it has sent."""
        if self._streams.pop(connection, None) is None:
            return
        self._charged -= connection.charge
        connection.enter_phase(
            _connection.Phase.DISCARDING, self._clock.get_monotonic()
        )
        connection.body.clear()

    def begin_request(self, connection: _connection.Connection) -> None:
        """Records that the last answer is sent and the next may arrive."""
        if connection not in self._streams:
            return
        self._charged -= connection.charge
        connection.begin_request(self._clock.get_monotonic())

    def record_read(self, stream: _stream.MeteredStream, size: int) -> None:
        """Records bytes that have arrived.

        Closes connections if all of them have sent too much.

        Args:
            stream: Stream of the connection.
            size: Number of bytes.
        """
        connection = stream.connection
        if connection not in self._streams:
            return
        now = self._clock.get_monotonic()
        before = connection.charge
        connection.last_read = now
        connection.received += size
        if connection.phase is _connection.Phase.IDLE:
            connection.enter_phase(_connection.Phase.HEADER, now)
        self._charged += connection.charge - before
        if self._charged > self._budget.max_bytes:
            for found in self._budget.choose_for_memory(self._streams.keys()):
                self._drop(found, _budget.DropReason.MEMORY)

    def record_header(
        self, connection: _connection.Connection, size: int
    ) -> None:
        """Records that a header is complete.

        Args:
            connection: The connection.
            size: Size of the header, in bytes.
        """
        self._update(connection, _connection.Phase.BODY, size)

    def record_body(
        self, connection: _connection.Connection, data: bytes
    ) -> None:
        """Keeps content of a body that has arrived."""
        if connection.phase is not _connection.Phase.BODY:
            return
        before = connection.charge
        connection.body.append(data)
        self._charged += connection.charge - before

    def record_request(self, connection: _connection.Connection) -> None:
        """Records that a request is complete."""
        self._update(connection, _connection.Phase.HANDLING)

    def record_refusal(
        self, connection: _connection.Connection, status: int
    ) -> None:
        """Records that a request is refused, with an HTTP status."""
        self._update(connection, _connection.Phase.DISCARDING)
        connection.body.clear()
        self._metrics.refused_requests.labels(str(status)).inc()
        self._dropped[f"refused with {status}"] += 1

    def may_receive(self, size: int) -> bool:
        """Returns whether a body of a size fits beside what is handled."""
        return self._budget.may_receive(self._streams.keys(), size)

    async def run(self) -> None:
        """Closes connections that have used up their time, until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL)
            self.close_overdue()
            self._log_drops()

    def close_overdue(self) -> None:
        """Closes the connections that have used up their time."""
        now = self._clock.get_monotonic()
        limits = {name: get() for name, get in self._limits.items()}
        overdue = [
            connection
            for connection in self._streams
            if connection.is_overdue(
                limits[connection.server],
                _MAX_BODY_TIME,
                _MAX_HANDLING_TIME,
                now,
            )
        ]
        for connection in overdue:
            self._drop(connection, _budget.DropReason.TIMEOUT)
        self._metrics.client_connections.set(len(self._streams))
        self._metrics.receive_buffer_bytes.set(self._charged)

    def _update(
        self,
        connection: _connection.Connection,
        phase: _connection.Phase,
        header: int = 0,
    ) -> None:
        if connection not in self._streams:
            return
        before = connection.charge
        connection.header += header
        connection.enter_phase(phase, self._clock.get_monotonic())
        self._charged += connection.charge - before

    def _drop(
        self,
        connection: _connection.Connection,
        reason: _budget.DropReason,
    ) -> None:
        """Closes a connection.

        What it has sent is forgotten at once: its reader learns of the end
        only when all other connections have been read from.
        """
        stream = self._streams[connection]
        self.remove(connection)
        self._count_drop(reason)
        stream.close()

    def _count_drop(self, reason: _budget.DropReason) -> None:
        self._metrics.dropped_connections.labels(reason.value).inc()
        self._dropped[reason.value] += 1

    def _log_drops(self) -> None:
        """Logs what was closed and refused; one line for any number."""
        if not self._dropped:
            return
        self._log.summary(
            "connections_dropped",
            connections=len(self._streams),
            buffered_bytes=self._charged,
            **{"reasons": dict(self._dropped)},
        )
        self._dropped.clear()
