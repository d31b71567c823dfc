"""Client of runners over HTTP, on tornado's curl client."""

import asyncio
import datetime
import typing

import pycurl
from tornado import curl_httpclient
from tornado import httpclient
from tornado import httputil

from tamarackhatch import clock as clock_module
from tamarackhatch import model
from tamarackhatch.platform import _errors
from tamarackhatch.platform import _runner_client

# Headers that describe one connection or one hop; they are never passed on.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-http-reason",
    }
)
# A connection inside a data centre is set up within a few milliseconds.
_CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
# A connection that was idle for longer is likely to be silent or closed.
_MAX_IDLE = datetime.timedelta(seconds=5)
_NO_BODY_STATUSES = frozenset({204, 304})


class _CurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Curl client whose connection cache is bounded."""

    def limit_connections(self, per_runner: int, idle: int) -> None:
        """Bounds open connections per runner and idle ones in total."""
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, per_runner)
        self._multi.setopt(pycurl.M_MAXCONNECTS, idle)


class _Transfer:
    """State of one transfer that curl's callbacks read and write."""

    def __init__(self, may_reuse: bool) -> None:
        self._may_reuse = may_reuse
        self._was_sent = False
        self._is_cancelled = False

    @property
    def was_sent(self) -> bool:
        """Whether sending of the request may have begun."""
        return self._was_sent

    def cancel(self) -> None:
        """Makes curl abort the transfer and close its connection."""
        self._is_cancelled = True

    def prepare_curl(self, curl: pycurl.Curl) -> None:
        """Sets the options that tornado does not offer."""
        # The environment must not send requests through a proxy.
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.PREREQFUNCTION, self._start_sending)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._report_progress)
        curl.setopt(pycurl.MAXAGE_CONN, int(_MAX_IDLE.total_seconds()))
        if not self._may_reuse:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def _start_sending(self, *_: typing.Any) -> int:
        # curl sends a request again on its own when a reused connection
        # turns out to be closed. The runner may have received the first
        # copy, so the second one is refused here.
        if self._was_sent or self._is_cancelled:
            return int(pycurl.PREREQFUNC_ABORT)
        self._was_sent = True
        return int(pycurl.PREREQFUNC_OK)

    def _report_progress(self, *_: typing.Any) -> int:
        return 1 if self._is_cancelled else 0


class HttpRunnerClient:
    """Sends each request at most once and checks the whole answer.

    Connections are reused only between repeatable requests that are no
    watches: a request on a connection that the runner has just closed has an
    unknown outcome.

    Args:
        clock: Source of the time left until a request's deadline.
        max_answer: Largest answer body, in bytes.
        max_requests: Requests in flight at once, over all runners.
        max_connections: Open connections per runner.
        max_idle: Idle connections kept, over all runners.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        max_answer: int = 8 * 1_048_576,
        max_requests: int = 1024,
        max_connections: int = 64,
        max_idle: int = 128,
    ) -> None:
        self._clock = clock
        self._max_requests = max_requests
        self._in_flight = 0
        self._suspect_until: dict[str, datetime.timedelta] = {}
        # A client shared with others would not keep the limits.
        self._client = _CurlClient(
            force_instance=True,
            max_clients=max_requests,
            max_body_size=max_answer,
        )
        self._client.limit_connections(max_connections, max_idle)

    @property
    def in_flight(self) -> int:
        """Requests whose connection may still be in use."""
        return self._in_flight

    def close(self) -> None:
        """Closes all connections; no request may be in flight."""
        self._client.close()

    async def send_request(
        self, address: str, request: model.ServiceRequest
    ) -> _runner_client.RunnerAnswer:
        """Sends the request once and returns the whole answer.

        A cancelled call returns only after its connection was closed.

        Raises:
            RunnerUnavailableError: No byte of the request was sent.
            RunnerOutcomeUnknownError: The request may have run.
        """
        remaining = request.deadline - self._clock.get_utc()
        if remaining <= datetime.timedelta():
            raise _errors.RunnerUnavailableError("the deadline has passed")
        if self._in_flight >= self._max_requests:
            raise _errors.RunnerUnavailableError(
                f"{self._in_flight} requests are in flight already"
            )
        transfer = _Transfer(self._may_reuse(address, request))
        self._in_flight += 1
        try:
            response = await self._fetch(address, request, remaining, transfer)
        finally:
            self._in_flight -= 1
        try:
            return _check_response(request, response)
        except _errors.RunnerOutcomeUnknownError:
            # The connection may be out of step with its requests. curl has
            # it in its cache already, so nothing to this runner reuses a
            # connection until that one is too old for reuse.
            now = self._clock.get_monotonic()
            self._suspect_until[address] = now + 2 * _MAX_IDLE
            raise

    def _may_reuse(self, address: str, request: model.ServiceRequest) -> bool:
        suspect_until = self._suspect_until.get(address)
        if suspect_until is not None:
            if self._clock.get_monotonic() < suspect_until:
                return False
            del self._suspect_until[address]
        return request.is_repeatable and not request.is_watch

    async def _fetch(
        self,
        address: str,
        request: model.ServiceRequest,
        remaining: datetime.timedelta,
        transfer: _Transfer,
    ) -> httpclient.HTTPResponse:
        try:
            fetch = asyncio.ensure_future(
                self._client.fetch(
                    _build_request(address, request, remaining, transfer),
                    raise_error=False,
                )
            )
            return await asyncio.shield(fetch)
        except asyncio.CancelledError:
            transfer.cancel()
            await asyncio.wait([fetch])
            raise
        except (httpclient.HTTPError, ValueError) as error:
            # curl has closed the connection of the failed transfer.
            if transfer.was_sent:
                raise _errors.RunnerOutcomeUnknownError(str(error)) from error
            raise _errors.RunnerUnavailableError(str(error)) from error


def _build_request(
    address: str,
    request: model.ServiceRequest,
    remaining: datetime.timedelta,
    transfer: _Transfer,
) -> httpclient.HTTPRequest:
    headers = httputil.HTTPHeaders()
    for name, value in request.headers:
        if name.lower() not in HOP_HEADERS:
            headers.add(name, value)
    headers["Request-Id"] = request.request_id
    headers["Request-Deadline"] = request.deadline.isoformat()
    has_body = bool(request.body) or request.method in (
        "POST",
        "PUT",
        "PATCH",
    )
    return httpclient.HTTPRequest(
        f"http://{address}/{request.path.lstrip('/')}",
        method=request.method,
        headers=headers,
        body=request.body if has_body else None,
        connect_timeout=_CONNECT_TIMEOUT.total_seconds(),
        # Below one millisecond curl would apply no timeout at all.
        request_timeout=max(0.001, remaining.total_seconds()),
        follow_redirects=False,
        decompress_response=False,
        allow_nonstandard_methods=True,
        user_agent="tamarackhatch",
        prepare_curl_callback=transfer.prepare_curl,
    )


def _check_response(
    request: model.ServiceRequest,
    response: httpclient.HTTPResponse,
) -> _runner_client.RunnerAnswer:
    if response.headers.get("Request-Id") != request.request_id:
        raise _errors.RunnerOutcomeUnknownError(
            "the answer carries another request ID"
        )
    if not _has_checked_length(request, response):
        raise _errors.RunnerOutcomeUnknownError(
            "the answer does not tell its length"
        )
    return _runner_client.RunnerAnswer(
        response.code,
        tuple(
            (name, value)
            for name, value in response.headers.get_all()
            if name.lower() not in HOP_HEADERS
        ),
        response.body,
    )


def _has_checked_length(
    request: model.ServiceRequest, response: httpclient.HTTPResponse
) -> bool:
    """Tells whether curl could check that the body is complete.

    A body that ends with the connection may have been cut off.
    """
    if request.method == "HEAD" or response.code in _NO_BODY_STATUSES:
        return True
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return True
    return response.headers.get("Content-Length") == str(len(response.body))
