"""HTTP client on libcurl's multi interface, driven by the event loop.

Tornado's curl client cannot limit the connections per host and needs twice
the processor time per call, so this module drives the multi handle itself.
"""

import asyncio
import contextlib
import datetime
import functools
import ipaddress
import itertools
import select
import typing

import pycurl

from tamarackhatch import clock
from tamarackhatch.transport import _calls
from tamarackhatch.transport import _traffic
from tamarackhatch.transport import _transfer

# For this time after a call that timed out, connections that were opened
# before it are not used again.
_NO_REUSE_PERIOD = datetime.timedelta(seconds=60)
# The loop may call a timer early by its clock's resolution.
_TIMER_TOLERANCE = datetime.timedelta(milliseconds=1)
# libcurl ends calls that are this late, if this process does not do it.
_MAX_LATENESS = datetime.timedelta(seconds=30)
# Longest time without another byte of an answer that has begun to arrive.
_MAX_TRANSFER_PAUSE = datetime.timedelta(seconds=1)
# A scheduler renews the leases of several hundred runners in turn, and most of
# the handles are idle between two renewals. With 64 places for them, half of
# the calls to 446 runners made and closed one.
_MAX_IDLE_HANDLES = 1024
_DNS_CACHE_TIMEOUT_S = 60
# libcurl checks the age of all cached addresses for each call, if they age.
_NO_DNS_CACHE_TIMEOUT = -1
_MAX_CACHED_ADDRESSES = 4096
# Four connections to each of 446 runners are 1,784. An instance may have 4,100
# file descriptors, of which 200 are reserved for files; 1,400 remain for its
# callers, the store and other instances, whose clients have few hosts.
_MAX_CACHED_CONNECTIONS = 2500
_EPOLL_MASKS = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}
_MILLISECOND = datetime.timedelta(milliseconds=1)


class HttpClient:
    """Sends HTTP/1.1 calls over a limited number of connections per host.

    Calls beyond the limit wait inside libcurl, within their timeout.

    Args:
        time_source: Clock that measures the age of connections.
        max_connections: Most connections to one host.

    Attributes:
        traffic: Counts the calls.
    """

    def __init__(self, time_source: clock.Clock, max_connections: int) -> None:
        self.traffic = _traffic.Traffic()
        self._clock = time_source
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, max_connections)
        # By default, libcurl keeps four connections for each call in
        # progress, and so closes most connections to the runners after a
        # second with few calls.
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MAX_CACHED_CONNECTIONS)
        self._multi.setopt(pycurl.M_PIPELINING, 0)
        self._timer: asyncio.TimerHandle | None = None
        # The loop watches this epoll object only: a change in the loop's own
        # selector costs several times as much, and each call makes two.
        self._poller = select.epoll()
        self._loop.add_reader(self._poller.fileno(), self._process_sockets)
        self._watched_descriptors: set[int] = set()
        # A handle that was given a body cannot read one later, so that there
        # are two kinds.
        self._idle_handles: dict[bool, list[pycurl.Curl]] = {
            True: [],
            False: [],
        }
        self._transfers: dict[pycurl.Curl, _transfer.Transfer] = {}
        self._connections = _transfer.Connections(time_source)
        self._last_timeout_by_address: dict[str, datetime.timedelta] = {}
        self._is_closed = False

    async def send(self, call: _calls.Call) -> _calls.Answer:
        """Sends a call and returns its complete answer.

        Raises:
            CallNotSentError: No byte of the request was sent.
            CallLostError: The request may have been sent.
        """
        if self._is_closed:
            raise _calls.CallNotSentError("HTTP client is closed")
        _calls.check_head(call)
        idle_handles = self._idle_handles[call.has_other_body]
        handle = idle_handles.pop() if idle_handles else _make_handle()
        transfer = _transfer.Transfer(
            call,
            self._loop.create_future(),
            self._connections,
            self.traffic,
        )
        try:
            self._configure_handle(handle, transfer)
        except pycurl.error as error:
            handle.close()
            raise _calls.CallNotSentError(
                f"libcurl refused: {error}"
            ) from error
        self._transfers[handle] = transfer
        self._multi.add_handle(handle)
        # Unlike libcurl's own timeouts, this timer cannot end a call whose
        # connection or answer has come while this process was late: the event
        # loop handles sockets before timers.
        self._set_deadline(handle, transfer, transfer.requested_at)
        try:
            return await transfer.answer
        except asyncio.CancelledError:
            if transfer.timer is not None:
                transfer.timer.cancel()
            if self._transfers.pop(handle, None) is not None:
                self._multi.remove_handle(handle)
                handle.close()
            raise

    def close(self) -> None:
        """Aborts all calls in progress; their callers get CallLostError."""
        if self._is_closed:
            return
        self._is_closed = True
        for handle, transfer in list(self._transfers.items()):
            self._multi.remove_handle(handle)
            handle.close()
            if transfer.timer is not None:
                transfer.timer.cancel()
            if not transfer.answer.done():
                transfer.answer.set_exception(
                    _calls.CallLostError(
                        "HTTP client was closed during the call"
                    )
                )
        self._transfers.clear()
        if self._timer is not None:
            self._timer.cancel()
        for handle in itertools.chain(*self._idle_handles.values()):
            handle.close()
        self._multi.close()
        self._loop.remove_reader(self._poller.fileno())
        self._poller.close()

    def _configure_handle(
        self, handle: pycurl.Curl, transfer: _transfer.Transfer
    ) -> None:
        call = transfer.call
        handle.setopt(pycurl.URL, f"http://{call.address}{call.path}")
        answer_timeout = call.answer_timeout or datetime.timedelta()
        longest = call.timeout + answer_timeout + call.transfer_time
        timeout_ms = (longest + _MAX_LATENESS) // _MILLISECOND
        handle.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        # libcurl would end calls that wait for a free connection as well.
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, timeout_ms)
        handle.setopt(
            pycurl.DNS_CACHE_TIMEOUT,
            (
                _NO_DNS_CACHE_TIMEOUT
                if _is_numeric(call.address)
                else _DNS_CACHE_TIMEOUT_S
            ),
        )
        if call.body is None:
            handle.setopt(pycurl.HTTPGET, 1)
        else:
            handle.setopt(pycurl.POST, 1)
            if call.has_other_body:
                # The body depends on the connection that the call gets.
                handle.setopt(pycurl.POSTFIELDSIZE, len(call.body))
                handle.setopt(pycurl.READFUNCTION, transfer.read_body)
                handle.setopt(pycurl.SEEKFUNCTION, transfer.rewind_body)
            else:
                handle.setopt(pycurl.POSTFIELDS, call.body)
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        handle.setopt(
            pycurl.HTTPHEADER,
            ["Content-Type: application/json", "Expect:", *call.headers],
        )
        handle.setopt(pycurl.WRITEDATA, transfer.body_buffer)
        handle.setopt(pycurl.PREREQFUNCTION, transfer.prepare_sending)
        handle.setopt(pycurl.SOCKOPTFUNCTION, transfer.record_socket)
        self._limit_connection_age(handle, call)

    def _set_deadline(
        self,
        handle: pycurl.Curl,
        transfer: _transfer.Transfer,
        now: datetime.timedelta,
    ) -> None:
        # A call that is opening a connection is looked at again before the
        # deadline of the whole call.
        remaining = transfer.deadline - now
        if not transfer.is_sent:
            remaining = min(remaining, transfer.connect_timeout)
        transfer.timer = self._loop.call_later(
            remaining.total_seconds(), self._end_if_late, handle, transfer
        )

    def _end_if_late(
        self, handle: pycurl.Curl, transfer: _transfer.Transfer
    ) -> None:
        now = self._clock.get_monotonic()
        if now < transfer.deadline - _TIMER_TOLERANCE:
            self._set_deadline(handle, transfer, now)
        else:
            self._end_if_stalled(handle, transfer, 0)

    def _end_if_stalled(
        self, handle: pycurl.Curl, transfer: _transfer.Transfer, received: int
    ) -> None:
        """Ends a call unless its answer still arrives.

        Args:
            handle: The handle of the call.
            transfer: The call.
            received: Size of the answer's part that had arrived when the timer
                was set, in bytes.
        """
        total = transfer.body_buffer.tell()
        if transfer.call.transfer_time and total > received:
            transfer.timer = self._loop.call_later(
                _MAX_TRANSFER_PAUSE.total_seconds(),
                self._end_if_stalled,
                handle,
                transfer,
                total,
            )
            return
        self._finish_transfer(
            handle, (pycurl.E_OPERATION_TIMEDOUT, transfer.timeout_reason)
        )

    def _limit_connection_age(
        self, handle: pycurl.Curl, call: _calls.Call
    ) -> None:
        # After a call has timed out, every older connection to the address may
        # be dead, and each use of one would cost one more timeout.
        last_timeout = self._last_timeout_by_address.get(call.address)
        fresh_connect, max_age_s = int(call.needs_new_connection), 0
        if last_timeout is not None:
            age = self._clock.get_monotonic() - last_timeout
            if age > _NO_REUSE_PERIOD:
                del self._last_timeout_by_address[call.address]
            else:
                max_age_s = int(age.total_seconds())
                fresh_connect |= int(max_age_s == 0)
        handle.setopt(pycurl.FRESH_CONNECT, fresh_connect)
        handle.setopt(pycurl.MAXLIFETIME_CONN, max_age_s)

    def _watch_socket(
        self, event: int, descriptor: int, _multi: object, _data: object
    ) -> None:
        if event == pycurl.POLL_REMOVE:
            if descriptor in self._watched_descriptors:
                self._watched_descriptors.discard(descriptor)
                # A descriptor that is closed already has left the epoll set.
                with contextlib.suppress(OSError):
                    self._poller.unregister(descriptor)
            return
        mask = _EPOLL_MASKS[event]
        if descriptor in self._watched_descriptors:
            try:
                self._poller.modify(descriptor, mask)
                return
            except FileNotFoundError:
                # Another socket has got the number of a closed one.
                pass
        self._watched_descriptors.add(descriptor)
        self._poller.register(descriptor, mask)

    def _set_timer(self, milliseconds: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if milliseconds >= 0:
            self._timer = self._loop.call_later(
                milliseconds / 1000,
                self._process_timeouts,
            )

    def _process_timeouts(self) -> None:
        self._timer = None
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_transfers()

    def _process_sockets(self) -> None:
        if not self._watched_descriptors:
            return
        ready = self._poller.poll(0, len(self._watched_descriptors))
        for descriptor, events in ready:
            # An earlier event may have made libcurl close this descriptor.
            if descriptor in self._watched_descriptors:
                self._multi.socket_action(descriptor, _convert_events(events))
        self._finish_transfers()

    def _finish_transfers(self) -> None:
        while not self._is_closed:
            message_count, done, failed = self._multi.info_read()
            for handle in done:
                self._finish_transfer(handle, None)
            for handle, code, message in failed:
                self._finish_transfer(handle, (code, message))
            if message_count == 0:
                return

    def _finish_transfer(
        self, handle: pycurl.Curl, failure: tuple[int, str] | None
    ) -> None:
        transfer = self._transfers.pop(handle, None)
        self._multi.remove_handle(handle)
        if transfer is None:
            handle.close()
            return
        if transfer.timer is not None:
            transfer.timer.cancel()
        transfer.record_end()
        result: _calls.Answer | Exception
        if failure is None:
            status = handle.getinfo(pycurl.RESPONSE_CODE)
            receive_s = handle.getinfo(pycurl.TOTAL_TIME) - handle.getinfo(
                pycurl.STARTTRANSFER_TIME
            )
            result = _calls.Answer(
                status,
                transfer.body_buffer.getvalue(),
                datetime.timedelta(seconds=max(0.0, receive_s)),
            )
        else:
            result = self._process_failure(handle, transfer, *failure)
        idle_handles = self._idle_handles[transfer.call.has_other_body]
        if len(idle_handles) < _MAX_IDLE_HANDLES:
            idle_handles.append(handle)
        else:
            handle.close()
        if transfer.answer.done():
            return
        if isinstance(result, Exception):
            transfer.answer.set_exception(result)
        else:
            transfer.answer.set_result(result)

    def _process_failure(
        self,
        handle: pycurl.Curl,
        transfer: _transfer.Transfer,
        code: int,
        message: str,
    ) -> Exception:
        """Records a timeout, and returns the exception for the caller."""
        transfer.record_failure()
        call = transfer.call
        is_timeout = code == pycurl.E_OPERATION_TIMEDOUT
        if is_timeout and transfer.has_tried_server:
            self._last_timeout_by_address[call.address] = (
                self._clock.get_monotonic()
            )
        text = f"{call.method} {call.address}: {message}"
        if transfer.is_sent:
            is_new = handle.getinfo(pycurl.NUM_CONNECTS) > 0
            return _calls.CallLostError(text, is_timeout and is_new)
        return _calls.CallNotSentError(
            text, is_timeout and not transfer.has_tried_server
        )


@functools.lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _is_numeric(address: str) -> bool:
    """Returns whether the host of an address is an IP address, not a name."""
    try:
        ipaddress.IPv4Address(address.rpartition(":")[0])
    except ValueError:
        return False
    return True


def _convert_events(events: int) -> int:
    """Returns the events of epoll as libcurl names them."""
    if events == select.EPOLLIN:
        return int(pycurl.CSELECT_IN)
    result = 0
    # Errors and hang-ups show themselves to the next read or write.
    if events & ~select.EPOLLOUT:
        result |= pycurl.CSELECT_IN
    if events & ~select.EPOLLIN:
        result |= pycurl.CSELECT_OUT
    return result


def _make_handle() -> pycurl.Curl:
    handle = pycurl.Curl()
    options: tuple[tuple[int, typing.Any], ...] = (
        (pycurl.NOSIGNAL, 1),
        # Ignores proxies that environment variables set.
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
