"""Base of the handlers of the callers' interface."""

import datetime
import http.client
import json
import math
import typing

from tornado import web

from tamarackhatch.api import _caller_context
from tamarackhatch.api import _caller_headers
from tamarackhatch import errors
from tamarackhatch import model

# Bytes of a refused body that are read and dropped. A client that sends its
# whole body before it reads would otherwise lose the refusal when the
# connection is closed with unread bytes.
_MAX_DROPPED = 1_048_576
_BUSY_RETRY = datetime.timedelta(seconds=1)
_HEADER_LINE_OVERHEAD = len(": \r\n")


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Checks limits while the request arrives, and writes outcomes."""

    def initialize(self, context: _caller_context.CallerContext) -> None:
        self._context = context
        self._chunks: list[bytes] = []
        self._received = 0
        self._dropped = 0
        self._counted: typing.Literal["requests", "watches"] | None = None
        self._request_id: str | None = None
        self._is_refused = False
        self._is_started = False

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self._chunks)

    def get_max_body(self) -> int:
        """Returns the largest body allowed, in bytes."""
        return 0

    def is_watch(self) -> bool:
        """Tells whether the request is counted as a watch."""
        return False

    def prepare(self) -> None:
        """Checks what the headers tell before the body is read."""
        connection = self.request.connection
        assert connection is not None
        # The limit is enforced in data_received, with an answer.
        connection.set_max_body_size(2**63)  # type: ignore[attr-defined]
        self._check_headers()
        if not self._is_refused:
            self._check_length()
        if not self._is_refused:
            self._admit()

    def data_received(self, chunk: bytes) -> None:
        """Takes a chunk of the body; stops early beyond the limits."""
        if self._is_refused:
            self._dropped += len(chunk)
            if self._dropped > _MAX_DROPPED and not self._finished:
                self.finish()
            return
        self._received += len(chunk)
        self._context.counts.buffered += len(chunk)
        self._chunks.append(chunk)
        if self._received > self.get_max_body():
            self._refuse_body()
        elif self._context.counts.buffered > self._context.limits.max_buffered:
            self.refuse(
                503,
                errors.ErrorCode.QUEUE_FULL,
                "request bodies use too much memory",
                _BUSY_RETRY,
            )

    def on_finish(self) -> None:
        """Gives back what the request held."""
        counts = self._context.counts
        counts.buffered -= self._received
        self._received = 0
        self._chunks.clear()
        if self._counted == "requests":
            counts.requests -= 1
        elif self._counted == "watches":
            counts.watches -= 1
        self._counted = None

    def on_connection_close(self) -> None:
        """Gives back what a request held whose body never arrived.

        Once work on a request has begun, it goes on and ``on_finish`` is
        called at its end.
        """
        super().on_connection_close()
        if not self._is_started:
            self.on_finish()

    def start_work(self) -> bool:
        """Notes that the whole body is there; returns False if refused."""
        self._is_started = True
        return not self._is_refused

    def compute_etag(self) -> str | None:
        """Returns no tag; tornado would turn answers into 304 by it."""
        return None

    def refuse(
        self,
        status: int,
        code: errors.ErrorCode,
        reason: str,
        retry_after: datetime.timedelta | None = None,
        outcome: model.Outcome = model.Outcome.NOT_RUN,
        findings: tuple[dict[str, str], ...] = (),
    ) -> None:
        """Writes a refusal; the request ends once its body was read."""
        self._is_refused = True
        self.set_status(status)
        self.set_header(_caller_headers.OUTCOME, outcome.value)
        self.set_header("Content-Type", "application/json")
        if self._request_id is not None:
            self.set_header(_caller_headers.REQUEST_ID, self._request_id)
        content: dict[str, object] = {
            "outcome": outcome.value,
            "code": code.value,
            "reason": reason,
        }
        if self._request_id is not None:
            content["request_id"] = self._request_id
        if findings:
            content["findings"] = findings
        if retry_after is not None:
            seconds = retry_after.total_seconds()
            self.set_header("Retry-After", str(max(1, math.ceil(seconds))))
            content["retry_after_ms"] = int(seconds * 1000)
        body = json.dumps(content).encode() + b"\n"
        self.set_header("Content-Length", str(len(body)))
        self.write(body)
        if "Expect" in self.request.headers and not self._is_started:
            # The client waits for a decision before it sends its body.
            self.finish()
        else:
            self.flush()

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Writes an error in the common form."""
        if status_code >= 500:
            # An exception after the work began tells nothing of its outcome.
            self.refuse(
                status_code,
                errors.ErrorCode.BAD_REQUEST,
                "internal error",
                outcome=(
                    model.Outcome.UNKNOWN
                    if self._is_started
                    else model.Outcome.NOT_RUN
                ),
            )
        else:
            self.refuse(
                status_code,
                errors.ErrorCode.BAD_REQUEST,
                http.client.responses.get(status_code, "refused"),
            )
        if not self._finished:
            self.finish()

    def _check_headers(self) -> None:
        size = sum(
            len(name) + len(value) + _HEADER_LINE_OVERHEAD
            for name, value in self.request.headers.get_all()
        )
        limit = self._context.limits.max_header
        if size > limit:
            self.refuse(
                431,
                errors.ErrorCode.BAD_REQUEST,
                f"the headers have {size} bytes, allowed are {limit}",
            )

    def _check_length(self) -> None:
        # tornado refuses a length that is not a number.
        length = self.request.headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > self.get_max_body():
            self._refuse_body()

    def _refuse_body(self) -> None:
        self.refuse(
            413,
            errors.ErrorCode.BODY_TOO_LARGE,
            f"the body has more than {self.get_max_body()} bytes",
        )

    def _admit(self) -> None:
        counts = self._context.counts
        limits = self._context.limits
        if self.is_watch():
            if counts.watches < limits.max_watches:
                counts.watches += 1
                self._counted = "watches"
                return
        elif counts.requests < limits.max_requests:
            counts.requests += 1
            self._counted = "requests"
            return
        self.refuse(
            503,
            errors.ErrorCode.QUEUE_FULL,
            "too many requests are in progress",
            _BUSY_RETRY,
        )
