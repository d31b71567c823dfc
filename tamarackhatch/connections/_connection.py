"""A client's connection, and the limits of the server that accepted it."""

import datetime
import enum

import attrs

from tamarackhatch.connections import _body

_NO_TIME = datetime.timedelta()
# Bytes that a chunked body may have beyond its content, before parsing its
# chunks costs more than keeping it. What a read has left in buffers counts as
# such for a moment.
_FREE_FRAMING_BYTES = 65_536
# Parsing a byte of framing costs as much as keeping so many bytes.
_FRAMING_WEIGHT = 8


@attrs.frozen
class ServerLimits:
    """Limits of the requests to one server.

    Attributes:
        max_header: Largest header of a request, in bytes.
        max_body: Largest body of a request, in bytes.
        header_timeout: Longest time in which a header has to arrive.
        idle_timeout: Longest time for which a connection may be idle, or a
            body may make no progress; None for no limit.
    """

    max_header: int
    max_body: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta | None = None


class Phase(enum.Enum):
    """Phase of a connection.

    Attributes:
        IDLE: No part of a request has arrived since the last answer.
        HEADER: A part of a header has arrived.
        BODY: The header has arrived, and the body has not.
        DISCARDING: The request was refused, or the connection is closed, and
            the rest of its body is discarded.
        HANDLING: The request is handled, or its answer is not read yet.
    """

    IDLE = "idle"
    HEADER = "header"
    BODY = "body"
    DISCARDING = "discarding"
    HANDLING = "handling"


@attrs.define(eq=False)
class Connection:
    """A connection, and what it has sent of its present request.

    Attributes:
        server: Name of the server that accepted it.
        phase: Phase of the connection.
        since: Monotonic time at which the phase began.
        last_read: Monotonic time at which something last arrived.
        received: Bytes of the request that have arrived, in any form.
        header: Bytes of its header, once that is complete.
        body: Its body, as far as that has arrived.
    """

    server: str
    phase: Phase = Phase.IDLE
    since: datetime.timedelta = _NO_TIME
    last_read: datetime.timedelta = _NO_TIME
    received: int = 0
    header: int = 0
    body: _body.Body = attrs.field(factory=_body.Body)

    @property
    def charge(self) -> int:
        """What the request counts for in the budget, in bytes."""
        if self.phase is Phase.DISCARDING:
            return 0
        framing = self.received - self.header - self.body.size
        return self.received + _FRAMING_WEIGHT * max(
            0, framing - _FREE_FRAMING_BYTES
        )

    @property
    def is_droppable(self) -> bool:
        """Whether it can be closed without ending a request in progress."""
        return self.phase is not Phase.HANDLING

    def enter_phase(self, phase: Phase, now: datetime.timedelta) -> None:
        """Records that a phase begins at a monotonic time."""
        self.phase = phase
        self.since = now

    def begin_request(self, now: datetime.timedelta) -> None:
        """Records that the next request may arrive."""
        self.enter_phase(Phase.IDLE, now)
        self.last_read = now
        self.received = self.header = 0
        self.body.clear()

    def is_overdue(
        self,
        limits: ServerLimits,
        max_body_time: datetime.timedelta,
        max_handling_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether the connection has used up its time.

        Args:
            limits: Limits of its server.
            max_body_time: Longest time in which a body has to arrive.
            max_handling_time: Longest time until a request is answered and
                the answer is read.
            now: Monotonic time.
        """
        is_still = (
            limits.idle_timeout is not None
            and now - self.last_read >= limits.idle_timeout
        )
        in_phase = now - self.since
        if self.phase is Phase.IDLE:
            return is_still
        if self.phase is Phase.HANDLING:
            return in_phase >= max_handling_time
        if self.phase is Phase.BODY:
            return is_still or in_phase >= max_body_time
        # The header, or the rest of a refused body.
        return in_phase >= limits.header_timeout
