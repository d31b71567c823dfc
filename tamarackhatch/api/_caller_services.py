"""Handler of requests to services."""

import asyncio
import datetime
import http.client
import re

from absl import logging

from tamarackhatch.api import _caller_context
from tamarackhatch.api import _caller_handler
from tamarackhatch.api import _caller_headers
from tamarackhatch import errors
from tamarackhatch import model

SERVICE_PATTERN = r"/v1/services/([A-Za-z0-9._-]{1,64})/.*"
_PREFIX = re.compile(r"/v1/services/[^/]+/")
# A header with such characters would end the header block early.
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_NO_BODY_METHODS = frozenset({"GET", "HEAD"})


class ServiceHandler(_caller_handler.CallerHandler):
    """Hands requests to the router and writes its answers."""

    def initialize(self, context: _caller_context.CallerContext) -> None:
        """Takes the collaborators; the headers are read in ``prepare``."""
        super().initialize(context)
        self._headers_read: _caller_headers.CallerHeaders | None = None
        self._deadline: datetime.datetime | None = None
        self._task: asyncio.Task[model.ServiceAnswer] | None = None

    def get_max_body(self) -> int:
        """Returns the limit of the service; GET and HEAD have no body."""
        if self.request.method in _NO_BODY_METHODS:
            return 0
        return self._context.configuration.get_service_policy(
            self.path_args[0]
        ).max_body

    def is_watch(self) -> bool:
        """Tells whether the headers ask for a watch."""
        return self._headers_read is not None and self._headers_read.is_watch

    def prepare(self) -> None:
        """Reads the headers; the deadline counts from here."""
        policy = self._context.configuration.get_service_policy(
            self.path_args[0]
        )
        read = _caller_headers.read_headers(
            self.request.method or "", self.request.headers, policy
        )
        self._headers_read = read
        self._request_id = read.request_id
        self._deadline = self._context.clock.get_utc() + read.timeout
        super().prepare()
        if read.faults and not self._is_refused:
            self.refuse(
                400, errors.ErrorCode.BAD_REQUEST, "; ".join(read.faults)
            )

    async def handle(self, _service: str) -> None:
        """Serves one request with any method."""
        if not self.start_work():
            return
        self._task = asyncio.create_task(
            self._context.router.route_request(self._build_request())
        )
        # Without the shield, an end of the handler would cancel a request
        # that may not be repeated.
        await asyncio.wait([self._task])
        if self._task.cancelled():
            return
        self._write_answer(self._task.result())

    get = handle
    head = handle
    post = handle
    put = handle
    patch = handle
    delete = handle
    options = handle

    def on_connection_close(self) -> None:
        """Ends a watch; every other request goes on."""
        super().on_connection_close()
        if self.is_watch() and self._task is not None:
            self._task.cancel()

    def _build_request(self) -> model.ServiceRequest:
        read = self._headers_read
        assert read is not None and self._deadline is not None
        return model.ServiceRequest(
            read.request_id,
            self.path_args[0],
            self.request.method or "",
            _PREFIX.sub("", self.request.uri or "", count=1),
            _caller_headers.select_forwarded(self.request.headers),
            self.body,
            self._deadline,
            read.is_repeatable,
            read.is_watch,
        )

    def _write_answer(self, answer: model.ServiceAnswer) -> None:
        if answer.outcome is not model.Outcome.ANSWERED:
            self.refuse(
                answer.status,
                answer.code or errors.ErrorCode.BAD_REQUEST,
                answer.reason,
                answer.retry_after,
                answer.outcome,
            )
            return
        if any(
            _CONTROL.search(name + value) for name, value in answer.headers
        ):
            logging.error(
                "api: request=%s the answer has a malformed header",
                self._request_id,
            )
            self.refuse(
                502,
                errors.ErrorCode.BAD_PLATFORM_ANSWER,
                "the answer has a malformed header",
                outcome=model.Outcome.UNKNOWN,
            )
            return
        self.set_status(
            answer.status, http.client.responses.get(answer.status, "Unknown")
        )
        for name in ("Server", "Content-Type"):
            self.clear_header(name)
        for name, value in answer.headers:
            self.add_header(name, value)
        assert self._request_id is not None
        self.set_header(_caller_headers.REQUEST_ID, self._request_id)
        self.set_header(_caller_headers.OUTCOME, answer.outcome.value)
        if answer.body:
            self.write(answer.body)
