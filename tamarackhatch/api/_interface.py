"""The project's own HTTP interface for jobs.

``PUT /v1/jobs/ID`` submits a job, ``GET /v1/jobs/ID`` returns its state and
``DELETE /v1/jobs/ID`` cancels it. The header ``Request-Timeout-Ms`` says how
long the caller waits for the answer.
"""

import asyncio
import datetime
import re
import typing

import orjson
from tornado import web

from tamarackhatch.api import _job_document
from tamarackhatch import clock
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import records

_DEFAULT_TIMEOUT = datetime.timedelta(seconds=3)
_MAX_TIMEOUT = datetime.timedelta(seconds=60)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_RETRY_AFTER_S = "1"
_IDENTIFIER_PATTERN = re.compile("[0-9a-f]{16}")
# Stands for the queue of a job when a request names only the identifier.
_ANY_QUEUE = model.Queue("", "", "", "")

_STATUS_BY_OUTCOME: typing.Final = {
    model.Outcome.DONE: 200,
    model.Outcome.NO_QUEUE: 404,
    model.Outcome.NO_JOB: 404,
    model.Outcome.NOT_DONE: 503,
    model.Outcome.UNKNOWN: 504,
    model.Outcome.REFUSED: 429,
    model.Outcome.CANCELLED: 409,
}


class _JobHandler(web.RequestHandler):
    """Serves the requests about one job."""

    def initialize(
        self,
        service: model.JobService,
        time_source: clock.Clock,
        reading: asyncio.Lock,
    ) -> None:
        self._service = service
        self._clock = time_source
        self._reading = reading

    async def put(self, identifier: str) -> None:
        """Submits the job; a repeated submission changes nothing."""
        if not self._validate_identifier(identifier):
            return
        try:
            # A long document takes seconds, in which the scheduler goes on.
            async with self._reading:
                document = await asyncio.to_thread(
                    _job_document.read_job, self.request.body
                )
        except errors.FindingsError as error:
            self._write_error(400, error.message)
            return
        lookup = await self._service.find_named_queue(
            document.queue, self._caller_timeout
        )
        if lookup.queue is None:
            self._write_outcome(lookup.outcome)
            return
        job = model.Job(
            identifier,
            lookup.queue,
            document.specification,
            document.steps,
            self._clock.get_utc(),
        )
        try:
            submission = await self._service.submit(job, self._caller_timeout)
        except records.JobTooLargeError as error:
            self._write_error(400, error.message)
            return
        if submission.outcome is model.Outcome.REFUSED:
            seconds = model.count_retry_seconds(submission)
            self.set_header("Retry-After", str(seconds))
        self._write_outcome(submission.outcome)

    async def get(self, identifier: str) -> None:
        """Returns the state of the job."""
        if not self._validate_identifier(identifier):
            return
        lookup = await self._service.get_state(
            identifier, _ANY_QUEUE, self._caller_timeout
        )
        state = None if lookup.state is None else lookup.state.value
        self._write_outcome(lookup.outcome, state=state)

    async def delete(self, identifier: str) -> None:
        """Cancels the job; a repeated cancellation changes nothing."""
        if not self._validate_identifier(identifier):
            return
        self._write_outcome(
            await self._service.cancel(
                identifier, _ANY_QUEUE, self._caller_timeout
            )
        )

    @property
    def _caller_timeout(self) -> datetime.timedelta:
        text = self.request.headers.get("Request-Timeout-Ms", "")
        if not (text.isascii() and text.isdigit()):
            return _DEFAULT_TIMEOUT
        return min(int(text) * _MILLISECOND, _MAX_TIMEOUT)

    def _validate_identifier(self, identifier: str) -> bool:
        """Returns whether the identifier is valid, else writes an error."""
        if _IDENTIFIER_PATTERN.fullmatch(identifier):
            return True
        self._write_error(
            400, "an identifier has 16 lower-case hexadecimal digits"
        )
        return False

    def _write_error(self, status: int, message: str) -> None:
        self.set_status(status)
        self._write_json({"error": message})

    def _write_outcome(
        self, outcome: model.Outcome, **fields: str | None
    ) -> None:
        self.set_status(_STATUS_BY_OUTCOME[outcome])
        if outcome is model.Outcome.NOT_DONE:
            self.set_header("Retry-After", _RETRY_AFTER_S)
        self._write_json({"outcome": outcome.value, **fields})

    def _write_json(self, document: dict[str, str | None]) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(document))


def make_application(
    service: model.JobService, time_source: clock.Clock
) -> web.Application:
    """Returns the Tornado application of the project's own interface."""
    handler_arguments = {
        "service": service,
        "time_source": time_source,
        "reading": asyncio.Lock(),
    }
    return web.Application(
        [(r"/v1/jobs/([^/]+)", _JobHandler, handler_arguments)],
        log_function=lambda handler: None,
    )
