"""Calls, their answers and the errors that end them."""

from collections.abc import Callable
import datetime

import attrs

# Length of a text of the caller in an error message, in characters.
_MAX_QUOTED = 80


class CallNotSentError(Exception):
    """The call failed before a byte of the request was sent.

    Attributes:
        is_delayed_here: Whether no connection was tried for it, so that it
            tells nothing of the server.
    """

    def __init__(self, message: str, is_delayed_here: bool = False) -> None:
        super().__init__(message)
        self.is_delayed_here = is_delayed_here


class CallLostError(Exception):
    """The request may have been sent, but no complete answer arrived.

    Attributes:
        is_connected: Whether the server accepted a new connection for it. Its
            machine is up then, and no link to it is cut.
    """

    def __init__(self, message: str, is_connected: bool = False) -> None:
        super().__init__(message)
        self.is_connected = is_connected


@attrs.frozen
class Call:
    """One HTTP call.

    Attributes:
        method: HTTP method.
        address: ``host:port`` of the server.
        path: Path with query string, percent-encoded.
        timeout: Longest time for the whole call, including the wait for a
            connection.
        connect_timeout: Longest time for opening a connection; None for the
            client's own.
        answer_timeout: Longest time from the sending to the answer, which may
            end after ``timeout``; None for what is then left of ``timeout``.
        transfer_time: Further time for an answer whose first byte arrived
            within the timeout, while more bytes arrive at least once a second.
        body: Body of a POST or PUT, else None.
        headers: Further headers, each as ``Name: value``.
        is_permitted: Asked just before the request is sent; if it returns
            False, the call fails.
        needs_new_connection: Whether no open connection may be used, because
            the same call waits for its answer on one, which may be dead.
        is_repeatable: Whether it may be sent again over a new connection, if
            an open one ends without an answer. The server may then carry it
            out twice, and another process may have taken its place.
        opened_before: Monotonic time at which the process was up that the
            call is for; None for any process. One that is reached over a
            connection opened later may have taken its place.
        other_body: Body for such a process, padded to the length of ``body``.
        purpose: What the call is for; calls are counted by it.
    """

    method: str
    address: str
    path: str
    timeout: datetime.timedelta
    body: bytes | None = None
    headers: tuple[str, ...] = ()
    transfer_time: datetime.timedelta = datetime.timedelta()
    connect_timeout: datetime.timedelta | None = None
    answer_timeout: datetime.timedelta | None = None
    is_permitted: Callable[[], bool] = lambda: True
    needs_new_connection: bool = False
    is_repeatable: bool = True
    opened_before: datetime.timedelta | None = None
    other_body: bytes = b""
    purpose: str = "other"

    @property
    def has_other_body(self) -> bool:
        """Whether the body depends on the age of the connection."""
        return self.opened_before is not None


@attrs.frozen
class Answer:
    """A complete answer.

    Attributes:
        status: HTTP status.
        body: Body.
        receive_time: Time from its first byte to its last one.
    """

    status: int
    body: bytes
    receive_time: datetime.timedelta = attrs.field(
        default=datetime.timedelta(), eq=False
    )


def check_head(call: Call) -> None:
    """Checks that the head of a request can be written.

    Addresses and identifiers come from other systems. A line end would add a
    header, and libcurl takes ASCII only.

    Raises:
        CallNotSentError: It cannot.
    """
    for text in (call.address, call.path, *call.headers):
        if not (text.isascii() and text.isprintable()):
            raise CallNotSentError(
                f"{call.method}: {text[:_MAX_QUOTED]!a} has characters that"
                " no request can have"
            )
