"""Receives one request, and refuses it if it exceeds a limit."""

import asyncio
from collections.abc import Awaitable
import http
import typing

import orjson
from tornado import httputil

from tamarackhatch.connections import _guard
from tamarackhatch.connections import _stream

# The rest of a refused body is read up to this size, because a client that is
# still sending would not see the answer if the connection were closed.
_MAX_DISCARDED_BYTES = 1024 * 1024
# A larger body gives way to other connections after each part, so that a crowd
# delays nothing else for long.
_BYTES_WITHOUT_PAUSE = 16_384
# No limit has more digits.
_MAX_LENGTH_DIGITS = 15
_RETRY_AFTER_S = 1
# ": " and the end of the line.
_HEADER_LINE_BYTES = 4


class RequestReceiver(httputil.HTTPMessageDelegate):
    """Collects the body of a request, and passes on only whole requests."""

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        response: httputil.HTTPConnection,
        stream: _stream.MeteredStream,
        guard: _guard.ConnectionGuard,
    ) -> None:
        """Creates the receiver of one request.

        Args:
            inner: Handles the request once it is complete.
            response: Takes the answer.
            stream: Stream of the client's connection.
            guard: Guard of the process.
        """
        self._inner = inner
        self._response = response
        self._stream = stream
        self._guard = guard
        self._discarded = 0
        self._refusal: Awaitable[None] | None = None
        self._is_finished = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Refuses a request whose header or announced body is too large."""
        self._check_header(headers)
        if self._refusal is None:
            return self._inner.headers_received(start_line, headers)
        if "Expect" in headers:
            # The client sends no body before it is told to.
            self._finish_refusal()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keeps a part of the body, or discards it after a refusal."""
        if self._refusal is not None:
            self._discarded += len(chunk)
            if self._discarded > _MAX_DISCARDED_BYTES:
                self._finish_refusal()
            return None
        connection = self._stream.connection
        self._guard.record_body(connection, chunk)
        max_body = self._guard.get_limits(connection).max_body
        if connection.body.size > max_body:
            self._refuse_body(max_body)
        if connection.body.size > _BYTES_WITHOUT_PAUSE:
            return asyncio.sleep(0)
        return None

    def finish(self) -> None:
        """Passes the request on, or ends the connection after a refusal."""
        if self._refusal is not None:
            self._finish_refusal()
            return
        connection = self._stream.connection
        if not self._guard.is_open(connection):
            # Closed by the guard, which has forgotten parts of the request.
            self._inner.on_connection_close()
            return
        self._guard.record_request(connection)
        body = connection.body.join()
        if body:
            # Handlers here take bodies at once, and return nothing to await.
            self._inner.data_received(body)
        self._inner.finish()

    def on_connection_close(self) -> None:
        """Forgets the request; the client has gone."""
        self._guard.remove(self._stream.connection)
        if self._refusal is None:
            self._inner.on_connection_close()

    def _check_header(self, headers: httputil.HTTPHeaders) -> None:
        connection = self._stream.connection
        size = _compute_header_size(headers)
        self._guard.record_header(connection, size)
        limits = self._guard.get_limits(connection)
        if size > limits.max_header:
            self._refuse(
                http.HTTPStatus.BAD_REQUEST,
                f"the header has over {limits.max_header} bytes",
            )
            return
        announced = headers.get("Content-Length", "")
        if not (announced.isascii() and announced.isdigit()):
            return
        if len(announced) > _MAX_LENGTH_DIGITS or (
            int(announced) > limits.max_body
        ):
            self._refuse_body(limits.max_body)
        elif not self._guard.may_receive(int(announced)):
            self._refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "too many requests are being handled",
            )

    def _refuse_body(self, limit: int) -> None:
        self._refuse(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f"the body has over {limit} bytes",
        )

    def _refuse(self, status: http.HTTPStatus, reason: str) -> None:
        """Answers a request that is not passed on."""
        self._guard.record_refusal(self._stream.connection, status)
        answer = orjson.dumps({"error": reason})
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(answer)),
                "Connection": "close",
            }
        )
        if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
            headers["Retry-After"] = str(_RETRY_AFTER_S)
        line = httputil.ResponseStartLine("HTTP/1.1", status, status.phrase)
        self._refusal = self._response.write_headers(line, headers, answer)

    def _finish_refusal(self) -> None:
        """Closes the connection once the refusal is sent."""
        if self._is_finished:
            return
        self._is_finished = True
        written = typing.cast("typing.Any", self._refusal)
        self._response.finish()
        written.add_done_callback(lambda _: self._stream.close())


def _compute_header_size(headers: httputil.HTTPHeaders) -> int:
    return sum(
        len(name) + len(value) + _HEADER_LINE_BYTES
        for name, value in headers.get_all()
    )
