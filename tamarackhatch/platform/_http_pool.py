"""The bounded pool of HTTP calls to the platform."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import enum
import functools

import attrs
import pycurl
from tornado import curl_httpclient
from tornado import httpclient
from tornado import httputil

from tamarackhatch import clock

# A scan of 2,000 worker rows with 15 commitments each is about 9 MiB.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# Calls that may wait for a place, as a multiple of those in progress. One
# instance reads a few hundred rows at once after a takeover.
_WAITING_PER_CALL = 16
# libcurl does not reuse a connection that was idle for longer than this.
_MAX_IDLE = datetime.timedelta(seconds=60)


class Lane(enum.Enum):
    """Groups of calls that do not take each other's places.

    With one shared limit, calls to silent workers or a scan of a slow store
    would hold back the session's renewal, which must succeed within seconds.
    """

    SESSION = "session"
    STORE_READ = "store read"
    STORE_WRITE = "store write"
    OBJECT = "object"
    INSTANCE_LIST = "instance list"
    WORKER_LEASE = "worker lease"
    WORKER_ORDER = "worker order"
    WORKER_READ = "worker read"


# Calls in progress at once, by lane. The store handles several hundred writes
# and 2,000 reads a second for all instances; at 20 ms a call, these limits
# allow one instance more than its share of both.
DEFAULT_LIMITS: Mapping[Lane, int] = {
    Lane.SESSION: 4,
    Lane.STORE_READ: 24,
    Lane.STORE_WRITE: 24,
    Lane.OBJECT: 8,
    Lane.INSTANCE_LIST: 1,
    Lane.WORKER_LEASE: 32,
    Lane.WORKER_ORDER: 48,
    Lane.WORKER_READ: 16,
}


class CallNotSentError(Exception):
    """No byte of the request was sent."""


class CallLostError(Exception):
    """The request may have been sent, but no whole answer came."""


@attrs.frozen
class HttpCall:
    """One call.

    Attributes:
        lane: Group whose limit applies.
        method: HTTP method.
        address: ``host:port`` of the server.
        path: Path with query string, already percent-encoded.
        timeout: Longest time for waiting, sending and receiving together.
        body: Body of a POST or PUT, else None.
        content_type: Type of the body.
    """

    lane: Lane
    method: str
    address: str
    path: str
    timeout: datetime.timedelta
    body: bytes | None = None
    content_type: str = "application/json"


@attrs.frozen
class HttpAnswer:
    """A whole answer.

    Attributes:
        status: HTTP status.
        body: Whole body.
        has_length: Whether the server declared where the body ends. Without
            that, a body that was cut off looks like a complete one.
    """

    status: int
    body: bytes
    has_length: bool


class _Gate:
    """Limits the calls of one lane that are in progress or waiting."""

    def __init__(self, source: clock.Clock, limit: int) -> None:
        self._clock = source
        self._free = limit
        self._max_waiting = limit * _WAITING_PER_CALL
        self._waiting: collections.deque[
            tuple[datetime.timedelta, asyncio.Future[bool]]
        ] = collections.deque()

    async def enter(self, deadline: datetime.timedelta) -> None:
        """Takes a place.

        Raises:
            CallNotSentError: Too many calls wait, or the deadline passed.
        """
        if self._free > 0:
            self._free -= 1
            return
        if len(self._waiting) >= self._max_waiting:
            raise CallNotSentError(f"{len(self._waiting)} calls are waiting")
        place: asyncio.Future[bool]
        place = asyncio.get_running_loop().create_future()
        self._waiting.append((deadline, place))
        try:
            is_granted = await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled() and place.result():
                self.leave()
            raise
        if not is_granted:
            raise CallNotSentError("no place became free in time")

    def leave(self) -> None:
        """Gives a place back; fails the waiting calls that are too late."""
        now = self._clock.get_monotonic()
        while self._waiting:
            deadline, place = self._waiting.popleft()
            if place.done():
                continue
            place.set_result(deadline > now)
            if deadline > now:
                return
        self._free += 1


class _Transfer:
    """Watches one transfer, and stops libcurl from sending it twice."""

    def __init__(
        self, is_read: bool, lifetime: datetime.timedelta | None
    ) -> None:
        self._is_read = is_read
        self._lifetime = lifetime
        self._is_sent = False

    @property
    def is_sent(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return self._is_sent

    def prepare(self, curl: pycurl.Curl) -> None:
        """Sets the options that tornado has no argument for."""
        # Without these two, libcurl would obey proxies of the environment
        # and would rewrite keys such as "..".
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.PREREQFUNCTION, self._note_request)
        curl.setopt(pycurl.MAXAGE_CONN, int(_MAX_IDLE.total_seconds()))
        if self._lifetime is not None:
            seconds = int(self._lifetime.total_seconds())
            curl.setopt(pycurl.FRESH_CONNECT, int(seconds == 0))
            curl.setopt(pycurl.MAXLIFETIME_CONN, seconds)

    def _note_request(self, *_: object) -> int:
        # When a reused connection closes before the first byte of an answer,
        # libcurl sends the request again on a new one. The server may have
        # done the first, so a transaction would then fail on its own write.
        if self._is_sent and not self._is_read:
            return int(pycurl.PREREQFUNC_ABORT)
        self._is_sent = True
        return int(pycurl.PREREQFUNC_OK)


class HttpPool:
    """Sends calls with limits by lane; one curl client serves them all.

    It must be used from one event loop. A call whose caller is cancelled
    keeps its place until its transfer has ended.
    """

    def __init__(
        self,
        source: clock.Clock,
        limits: Mapping[Lane, int] | None = None,
        connect_timeout: datetime.timedelta = datetime.timedelta(seconds=1),
    ) -> None:
        self._clock = source
        self._limits = dict(DEFAULT_LIMITS)
        self._limits.update(limits or {})
        self._connect_timeout = connect_timeout
        self._gates = {
            lane: _Gate(source, limit) for lane, limit in self._limits.items()
        }
        self._client: curl_httpclient.CurlAsyncHTTPClient | None = None
        self._transfers: set[asyncio.Future[httpclient.HTTPResponse]] = set()
        self._silent_at: dict[str, datetime.timedelta] = {}

    @property
    def in_progress(self) -> int:
        """Number of transfers that have not ended."""
        return len(self._transfers)

    async def send(self, call: HttpCall) -> HttpAnswer:
        """Sends one call, at most once if it is a write.

        Raises:
            CallNotSentError: No byte of the request was sent.
            CallLostError: The request may have been sent.
        """
        deadline = self._clock.get_monotonic() + call.timeout
        gate = self._gates[call.lane]
        await gate.enter(deadline)
        remaining = deadline - self._clock.get_monotonic()
        if remaining < datetime.timedelta(milliseconds=1):
            gate.leave()
            raise CallNotSentError("no place became free in time")
        transfer = _Transfer(
            call.method == "GET", self._compute_lifetime(call.address)
        )
        future = self._start(call, remaining, transfer, gate.leave)
        try:
            response = await asyncio.shield(future)
        except curl_httpclient.CurlError as error:
            self._note_failure(call.address, error.errno)
            text = f"{call.method} {call.address}: {error.message}"
            if transfer.is_sent:
                raise CallLostError(text) from error
            raise CallNotSentError(text) from error
        return HttpAnswer(
            response.code,
            response.body,
            _declares_length(response.headers),
        )

    async def close(self) -> None:
        """Ends all transfers; their callers get CallLostError."""
        for future in self._transfers:
            if not future.done():
                future.set_exception(
                    curl_httpclient.CurlError(
                        pycurl.E_ABORTED_BY_CALLBACK, "the pool was closed"
                    )
                )
        if self._client is not None:
            self._client.close()
            self._client = None

    def _start(
        self,
        call: HttpCall,
        timeout: datetime.timedelta,
        transfer: _Transfer,
        leave: Callable[[], None],
    ) -> asyncio.Future[httpclient.HTTPResponse]:
        if self._client is None:
            self._client = curl_httpclient.CurlAsyncHTTPClient(
                force_instance=True,
                max_clients=sum(self._limits.values()),
                max_body_size=MAX_ANSWER_BYTES,
            )
        request = httpclient.HTTPRequest(
            f"http://{call.address}{call.path}",
            method=call.method,
            body=call.body,
            headers=(
                {"Content-Type": call.content_type}
                if call.body is not None
                else None
            ),
            connect_timeout=min(
                timeout, self._connect_timeout
            ).total_seconds(),
            request_timeout=timeout.total_seconds(),
            follow_redirects=False,
            decompress_response=False,
            user_agent="tamarackhatch",
            prepare_curl_callback=transfer.prepare,
        )
        try:
            future = self._client.fetch(request, raise_error=False)
        except BaseException:
            leave()
            raise
        self._transfers.add(future)
        future.add_done_callback(functools.partial(self._end, leave))
        return future

    def _end(
        self,
        leave: Callable[[], None],
        future: asyncio.Future[httpclient.HTTPResponse],
    ) -> None:
        self._transfers.discard(future)
        leave()

    def _note_failure(self, address: str, errno: int) -> None:
        if errno == pycurl.E_OPERATION_TIMEDOUT:
            self._silent_at[address] = self._clock.get_monotonic()

    def _compute_lifetime(self, address: str) -> datetime.timedelta | None:
        """Returns the age above which connections are not used again.

        After a timeout, every older connection to the address may be silent
        for good, and each would cost one more timeout.
        """
        silent_at = self._silent_at.get(address)
        if silent_at is None:
            return None
        age = self._clock.get_monotonic() - silent_at
        if age > _MAX_IDLE:
            del self._silent_at[address]
            return None
        return age


def _declares_length(headers: httputil.HTTPHeaders) -> bool:
    return (
        "Content-Length" in headers
        or headers.get("Transfer-Encoding", "").lower() == "chunked"
    )
