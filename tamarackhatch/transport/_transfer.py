"""A call in progress, and what is known of the connection that it gets."""

import asyncio
import collections
import datetime
import io
import select

import attrs
import pycurl

from tamarackhatch import clock
from tamarackhatch.transport import _calls
from tamarackhatch.transport import _traffic

# A full accept queue may drop a connection request. The timeout is well below
# the usual call timeout, so that a second attempt fits into the call.
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=700)
# Twice the connections that the client keeps open.
_MAX_KNOWN_CONNECTIONS = 5000


@attrs.frozen
class _Connection:
    """An open connection.

    Attributes:
        descriptor: Its file descriptor.
        opened: Monotonic time at which it was known to be established.
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
        # Those used last are at the end.
        self._connections: collections.OrderedDict[
            tuple[object, ...], _Connection
        ] = collections.OrderedDict()

    def get_now(self) -> datetime.timedelta:
        """Returns monotonic time."""
        return self._clock.get_monotonic()

    def add(self, name: tuple[object, ...], descriptor: int) -> None:
        """Adds a connection, which is established, by addresses and ports."""
        self._connections[name] = _Connection(
            descriptor, self._clock.get_monotonic()
        )
        self._connections.move_to_end(name)
        if len(self._connections) > _MAX_KNOWN_CONNECTIONS:
            self._connections.popitem(last=False)

    def find(self, name: tuple[object, ...]) -> _Connection | None:
        """Returns a connection that is used, or None if it is not known."""
        found = self._connections.get(name)
        if found is not None:
            self._connections.move_to_end(name)
        return found


class Transfer:
    """A call in progress on one easy handle."""

    def __init__(
        self,
        call: _calls.Call,
        answer: asyncio.Future[_calls.Answer],
        connections: Connections,
        traffic: _traffic.Traffic,
    ) -> None:
        self.requested_at = connections.get_now()
        self.call = call
        self.answer = answer
        self.body_buffer = io.BytesIO()
        self.is_sent = False
        self.sent_at: datetime.timedelta | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._connections = connections
        self._traffic = traffic
        self._opened_descriptor: int | None = None
        self._opened_at: datetime.timedelta | None = None
        self._may_repeat = True
        self._body = io.BytesIO()

    @property
    def has_tried_server(self) -> bool:
        """Whether it was sent, or a connection was opened for it."""
        return self.is_sent or self._opened_at is not None

    @property
    def connect_timeout(self) -> datetime.timedelta:
        """Longest time for opening a connection."""
        return self.call.connect_timeout or _CONNECT_TIMEOUT

    @property
    def deadline(self) -> datetime.timedelta:
        """Monotonic time at which it fails, in its present state."""
        call = self.call
        deadline = self.requested_at + call.timeout
        if self.sent_at is not None:
            if call.answer_timeout is not None:
                deadline = self.sent_at + call.answer_timeout
        elif self._opened_at is not None:
            deadline = min(deadline, self._opened_at + self.connect_timeout)
        return deadline

    @property
    def timeout_reason(self) -> str:
        """What it has waited for in vain, once its deadline has passed."""
        if self.is_sent:
            return "no answer in time"
        if self.has_tried_server:
            return "no connection in time"
        return "no free connection in time"

    def record_socket(self, descriptor: int, _purpose: int) -> int:
        """Records that a connection is opened for the call."""
        self._opened_descriptor = descriptor
        self._opened_at = self._connections.get_now()
        self._traffic.opened_connections += 1
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
        if self._opened_descriptor is not None:
            self._connections.add(name, self._opened_descriptor)
            self._opened_descriptor = None
        if not self.call.is_repeatable:
            self._choose_body(self._connections.find(name))
        self.is_sent = True
        self.sent_at = self._connections.get_now()
        return int(pycurl.PREREQFUNC_OK)

    def record_end(self) -> None:
        """Counts the call, which has ended, without its answer."""
        counters = self._traffic.get(self.call.purpose)
        counters.calls += 1
        counters.request_bytes += len(self.call.body or b"")
        counters.answer_bytes += self.body_buffer.tell()
        sent_at = self.sent_at or self._connections.get_now()
        counters.longest_unsent = max(
            counters.longest_unsent, sent_at - self.requested_at
        )

    def record_failure(self) -> None:
        """Counts that the call got no complete answer."""
        counters = self._traffic.get(self.call.purpose)
        if self.is_sent:
            counters.unanswered += 1
        else:
            counters.unsent += 1

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
