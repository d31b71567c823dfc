"""HTTP client on libcurl's multi interface, driven by the event loop.

Tornado's curl client has no limit of connections for each host and costs
twice the processor time of a call, so the multi handle is driven here.
"""

import asyncio
import datetime
import io
import typing

import attrs
import pycurl

from tamarackhatch import clock

# One connection request may be dropped by a full accept queue; a second try
# within the usual call timeout needs a bound well below that.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=700)
# After this time without a timeout, older connections are trusted again.
_SILENCE_MEMORY = datetime.timedelta(seconds=60)
_MAX_IDLE_HANDLES = 64
# Four connections to each of 250 runners; an instance has 4,100 descriptors.
_MAX_KEPT_CONNECTIONS = 1000
_MILLISECOND = datetime.timedelta(milliseconds=1)


class CallNotSentError(Exception):
    """No byte of the request was sent."""


class CallLostError(Exception):
    """The request may have been sent, but no whole answer came."""


@attrs.frozen
class Call:
    """One HTTP call.

    Attributes:
        method: HTTP method.
        address: ``host:port`` of the server.
        path: Path with query string, percent-encoded.
        timeout: Longest time for waiting, sending and receiving together.
        body: Body of a POST or PUT, else None.
        headers: Further headers, each as ``Name: value``.
    """

    method: str
    address: str
    path: str
    timeout: datetime.timedelta
    body: bytes | None = None
    headers: tuple[str, ...] = ()


@attrs.frozen
class Answer:
    """A whole answer: its HTTP status and body."""

    status: int
    body: bytes


class _Transfer:
    """A call in progress on one easy handle."""

    def __init__(self, call: Call, answer: asyncio.Future[Answer]) -> None:
        self.call = call
        self.answer = answer
        self.buffer = io.BytesIO()
        self.is_sent = False

    def record_request(self, *_: object) -> int:
        self.is_sent = True
        return int(pycurl.PREREQFUNC_OK)


class HttpClient:
    """Sends HTTP/1.1 calls over a bounded number of connections a host.

    Calls beyond the bound wait inside libcurl, within their timeout.
    """

    def __init__(self, time_source: clock.Clock, max_connections: int) -> None:
        self._clock = time_source
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_connections)
        # The default keeps four connections for each call in progress, and
        # so closes most of those to a fleet after a calm second.
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MAX_KEPT_CONNECTIONS)
        self._multi.setopt(pycurl.M_PIPELINING, 0)
        self._timer: asyncio.TimerHandle | None = None
        self._watched: set[int] = set()
        self._idle_handles: list[pycurl.Curl] = []
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._silent_at: dict[str, datetime.timedelta] = {}
        self._is_closed = False

    async def send(self, call: Call) -> Answer:
        """Sends a call and returns its whole answer.

        Raises:
            CallNotSentError: No byte of the request was sent.
            CallLostError: The request may have been sent.
        """
        if self._is_closed:
            raise CallNotSentError("the client is closed")
        handle = self._idle_handles.pop() if self._idle_handles else None
        if handle is None:
            handle = _make_handle()
        transfer = _Transfer(call, self._loop.create_future())
        self._prepare(handle, transfer)
        self._transfers[handle] = transfer
        self._multi.add_handle(handle)
        try:
            return await transfer.answer
        except asyncio.CancelledError:
            if self._transfers.pop(handle, None) is not None:
                self._multi.remove_handle(handle)
                handle.close()
            raise

    def close(self) -> None:
        """Ends all transfers; their callers get CallLostError."""
        self._is_closed = True
        for handle, transfer in list(self._transfers.items()):
            self._multi.remove_handle(handle)
            handle.close()
            if not transfer.answer.done():
                transfer.answer.set_exception(CallLostError("client closed"))
        self._transfers.clear()
        if self._timer is not None:
            self._timer.cancel()
        for descriptor in self._watched:
            self._loop.remove_reader(descriptor)
            self._loop.remove_writer(descriptor)
        self._watched.clear()
        for handle in self._idle_handles:
            handle.close()
        self._multi.close()

    def _prepare(self, handle: pycurl.Curl, transfer: _Transfer) -> None:
        call = transfer.call
        handle.setopt(pycurl.URL, f"http://{call.address}{call.path}")
        timeout = max(1, call.timeout // _MILLISECOND)
        handle.setopt(pycurl.TIMEOUT_MS, timeout)
        handle.setopt(
            pycurl.CONNECTTIMEOUT_MS,
            min(timeout, CONNECT_TIMEOUT // _MILLISECOND),
        )
        if call.body is None:
            handle.setopt(pycurl.HTTPGET, 1)
        else:
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDS, call.body)
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        handle.setopt(
            pycurl.HTTPHEADER,
            ["Content-Type: application/json", "Expect:", *call.headers],
        )
        handle.setopt(pycurl.WRITEDATA, transfer.buffer)
        handle.setopt(pycurl.PREREQFUNCTION, transfer.record_request)
        self._limit_connection_age(handle, call.address)

    def _limit_connection_age(self, handle: pycurl.Curl, address: str) -> None:
        # After a timeout, every older connection to the address may be
        # silent for good, and each would cost one more timeout.
        silent_at = self._silent_at.get(address)
        fresh, lifetime = 0, 0
        if silent_at is not None:
            age = self._clock.get_monotonic() - silent_at
            if age > _SILENCE_MEMORY:
                del self._silent_at[address]
            else:
                lifetime = int(age.total_seconds())
                fresh = int(lifetime == 0)
        handle.setopt(pycurl.FRESH_CONNECT, fresh)
        handle.setopt(pycurl.MAXLIFETIME_CONN, lifetime)

    def _watch_socket(
        self, event: int, descriptor: int, _multi: object, _data: object
    ) -> None:
        if descriptor in self._watched:
            self._loop.remove_reader(descriptor)
            self._loop.remove_writer(descriptor)
            self._watched.discard(descriptor)
        if event == pycurl.POLL_REMOVE:
            return
        self._watched.add(descriptor)
        if event & pycurl.POLL_IN:
            self._loop.add_reader(
                descriptor, self._act, descriptor, pycurl.CSELECT_IN
            )
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(
                descriptor, self._act, descriptor, pycurl.CSELECT_OUT
            )

    def _set_timer(self, milliseconds: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if milliseconds >= 0:
            self._timer = self._loop.call_later(
                milliseconds / 1000, self._act, pycurl.SOCKET_TIMEOUT, 0
            )

    def _act(self, descriptor: int, action: int) -> None:
        while not self._is_closed:
            status, _ = self._multi.socket_action(descriptor, action)
            if status != pycurl.E_CALL_MULTI_PERFORM:
                break
        self._finish_transfers()

    def _finish_transfers(self) -> None:
        while not self._is_closed:
            waiting, done, failed = self._multi.info_read()
            for handle in done:
                self._finish(handle, None)
            for handle, code, message in failed:
                self._finish(handle, (code, message))
            if waiting == 0:
                return

    def _finish(
        self, handle: pycurl.Curl, failure: tuple[int, str] | None
    ) -> None:
        transfer = self._transfers.pop(handle, None)
        self._multi.remove_handle(handle)
        if transfer is None:
            handle.close()
            return
        result: Answer | Exception
        if failure is None:
            status = handle.getinfo(pycurl.RESPONSE_CODE)
            result = Answer(status, transfer.buffer.getvalue())
        else:
            result = self._describe_failure(transfer, *failure)
        if len(self._idle_handles) < _MAX_IDLE_HANDLES:
            self._idle_handles.append(handle)
        else:
            handle.close()
        if transfer.answer.done():
            return
        if isinstance(result, Exception):
            transfer.answer.set_exception(result)
        else:
            transfer.answer.set_result(result)

    def _describe_failure(
        self, transfer: _Transfer, code: int, message: str
    ) -> Exception:
        call = transfer.call
        if code == pycurl.E_OPERATION_TIMEDOUT:
            self._silent_at[call.address] = self._clock.get_monotonic()
        text = f"{call.method} {call.address}: {message}"
        if transfer.is_sent:
            return CallLostError(text)
        return CallNotSentError(text)


def _make_handle() -> pycurl.Curl:
    handle = pycurl.Curl()
    options: tuple[tuple[int, typing.Any], ...] = (
        (pycurl.NOSIGNAL, 1),
        # Without this, libcurl would obey proxies of the environment.
        (pycurl.NOPROXY, "*"),
        (pycurl.PATH_AS_IS, 1),
        (pycurl.USERAGENT, "tamarackhatch"),
        (pycurl.TCP_NODELAY, 1),
        (pycurl.IPRESOLVE, pycurl.IPRESOLVE_V4),
        (pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1),
    )
    for option, value in options:
        handle.setopt(option, value)
    return handle
