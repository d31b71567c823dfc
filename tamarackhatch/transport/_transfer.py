"""A call in progress, and what is known of the connection that it gets."""

import asyncio
import datetime
import io
import select

import attrs
import pycurl

from tamarackhatch import clock
from tamarackhatch.transport import _calls

# Twice the connections that the client keeps open.
_MAX_KNOWN_CONNECTIONS = 5000


@attrs.frozen
class _Connection:
    """An open connection.

    Attributes:
        descriptor: Its file descriptor.
        opened: Monotonic time at which it was opened.
    """

    descriptor: int
    opened: datetime.timedelta

    @property
    def is_closed(self) -> bool:
        """Whether the server has closed it, before a call is sent."""
        poller = select.poll()
        poller.register(self.descriptor, select.POLLIN)
        return bool(poller.poll(0))


class Connections:
    """The open connections, by addresses and ports."""

    def __init__(self, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._connections: dict[tuple[object, ...], _Connection] = {}

    def make_connection(self, descriptor: int) -> _Connection:
        """Returns a connection that is opened now."""
        return _Connection(descriptor, self._clock.get_monotonic())

    def add(self, name: tuple[object, ...], added: _Connection) -> None:
        """Adds a connection under its addresses and ports."""
        self._connections.pop(name, None)
        self._connections[name] = added
        if len(self._connections) > _MAX_KNOWN_CONNECTIONS:
            del self._connections[next(iter(self._connections))]

    def find(self, name: tuple[object, ...]) -> _Connection | None:
        """Returns a connection, or None if it is not known."""
        return self._connections.get(name)


class Transfer:
    """A call in progress on one easy handle."""

    def __init__(
        self,
        call: _calls.Call,
        answer: asyncio.Future[_calls.Answer],
        connections: Connections,
    ) -> None:
        self.call = call
        self.answer = answer
        self.body_buffer = io.BytesIO()
        self.is_sent = False
        self.timer: asyncio.TimerHandle | None = None
        self._connections = connections
        self._opened: _Connection | None = None
        self._may_repeat = True
        self._body = io.BytesIO()

    def record_socket(self, descriptor: int, _purpose: int) -> int:
        """Records that a connection is opened for the call."""
        self._opened = self._connections.make_connection(descriptor)
        return int(pycurl.SOCKOPT_OK)

    def prepare_sending(self, *name: object) -> int:
        """Decides whether to send; libcurl calls this just before.

        libcurl sends a request again by itself if an open connection ends
        before a byte of the answer has arrived. It looks for connections that
        the server has closed only once a second; a request on one of these
        was not received.
        """
        if not self._may_repeat or not self.call.is_permitted():
            return int(pycurl.PREREQFUNC_ABORT)
        if self._opened is not None:
            self._connections.add(name, self._opened)
            self._opened = None
        if not self.call.is_repeatable:
            self._choose_body(self._connections.find(name))
        self.is_sent = True
        return int(pycurl.PREREQFUNC_OK)

    def read_body(self, size: int) -> bytes:
        """Returns the next part of the body."""
        return self._body.read(size)

    def rewind_body(self, offset: int, origin: int) -> int:
        """Continues at another position of the body."""
        self._body.seek(offset, origin)
        return int(pycurl.SEEKFUNC_OK)

    def _choose_body(self, connection: _Connection | None) -> None:
        call = self.call
        self._may_repeat = connection is not None and connection.is_closed
        body = call.body or b""
        if call.opened_before is not None and (
            connection is None or connection.opened >= call.opened_before
        ):
            body = call.other_body
        self._body = io.BytesIO(body)
