"""The project's own HTTP interface for jobs.

``PUT /v1/jobs/ID`` submits, ``GET /v1/jobs/ID`` shows and
``DELETE /v1/jobs/ID`` cancels a job. The header ``Request-Timeout-Ms`` says
how long the caller waits.
"""

import datetime
import re
import typing

import orjson
from tornado import web

from tamarackhatch.api import _job_document
from tamarackhatch import clock
from tamarackhatch import errors
from tamarackhatch import model

_DEFAULT_TIMEOUT = datetime.timedelta(seconds=3)
_MAX_TIMEOUT = datetime.timedelta(seconds=60)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_RETRY_AFTER_S = "1"
_IDENTIFIER = re.compile("[0-9a-f]{16}")
# The queue of a job that is only named by its identifier.
_ANY_QUEUE = model.Queue("", "", "", "")

_STATUSES: typing.Final = {
    model.Outcome.DONE: 200,
    model.Outcome.NO_QUEUE: 404,
    model.Outcome.NO_JOB: 404,
    model.Outcome.NOT_DONE: 503,
    model.Outcome.UNKNOWN: 504,
}


class _JobHandler(web.RequestHandler):
    """Serves one job."""

    def initialize(
        self, service: model.JobService, time_source: clock.Clock
    ) -> None:
        self._service = service
        self._clock = time_source

    async def put(self, identifier: str) -> None:
        """Submits the job; a repeated submission changes nothing."""
        if not self._check_identifier(identifier):
            return
        try:
            document = _job_document.read_job(self.request.body)
        except errors.FindingsError as error:
            self._fail(400, error.message)
            return
        lookup = await self._service.find_named_queue(document.queue)
        if lookup.queue is None:
            self._answer(lookup.outcome)
            return
        job = model.Job(
            identifier,
            lookup.queue,
            document.specification,
            document.steps,
            self._clock.get_utc(),
        )
        self._answer(await self._service.submit(job, self._timeout))

    async def get(self, identifier: str) -> None:
        """Shows the state of the job."""
        if not self._check_identifier(identifier):
            return
        found = await self._service.get_state(identifier, _ANY_QUEUE)
        state = None if found.state is None else found.state.value
        self._answer(found.outcome, state=state)

    async def delete(self, identifier: str) -> None:
        """Cancels the job; a repeated cancellation changes nothing."""
        if not self._check_identifier(identifier):
            return
        self._answer(
            await self._service.cancel(identifier, _ANY_QUEUE, self._timeout)
        )

    @property
    def _timeout(self) -> datetime.timedelta:
        text = self.request.headers.get("Request-Timeout-Ms", "")
        if not (text.isascii() and text.isdigit()):
            return _DEFAULT_TIMEOUT
        return min(int(text) * _MILLISECOND, _MAX_TIMEOUT)

    def _check_identifier(self, identifier: str) -> bool:
        if _IDENTIFIER.fullmatch(identifier):
            return True
        self._fail(400, "an identifier has 16 lower-case hexadecimal digits")
        return False

    def _fail(self, status: int, message: str) -> None:
        self.set_status(status)
        self._write({"error": message})

    def _answer(self, outcome: model.Outcome, **fields: str | None) -> None:
        self.set_status(_STATUSES[outcome])
        if outcome is model.Outcome.NOT_DONE:
            self.set_header("Retry-After", _RETRY_AFTER_S)
        self._write({"outcome": outcome.value, **fields})

    def _write(self, document: dict[str, str | None]) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(document))


def make_application(
    service: model.JobService, time_source: clock.Clock
) -> web.Application:
    """Returns the application of the project's own interface."""
    arguments = {"service": service, "time_source": time_source}
    return web.Application(
        [(r"/v1/jobs/([^/]+)", _JobHandler, arguments)],
        log_function=lambda handler: None,
    )
