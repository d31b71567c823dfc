"""Handlers of batch jobs."""

from collections.abc import Awaitable
import datetime
import json
import typing

from absl import logging

from tamarackhatch.api import _caller_handler
from tamarackhatch.api import _caller_headers
from tamarackhatch.api import _caller_job_body
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import platform

JOB_PATTERN = r"/v1/jobs/([A-Za-z0-9._-]{1,64})"
_RETRY_AFTER = datetime.timedelta(seconds=5)
_STATUSES = {
    errors.ErrorCode.BAD_JOB: 400,
    errors.ErrorCode.INFEASIBLE_JOB: 422,
    errors.ErrorCode.QUOTA_EXCEEDED: 422,
    errors.ErrorCode.UNKNOWN_JOB: 404,
    errors.ErrorCode.DUPLICATE: 409,
    errors.ErrorCode.DUPLICATE_REQUEST: 409,
}
_T = typing.TypeVar("_T")


class _JobsBase(_caller_handler.CallerHandler):
    """Common to the handlers of jobs."""

    def get_max_body(self) -> int:
        return self._context.limits.max_job_body

    def write_json(self, status: int, content: object) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header(_caller_headers.OUTCOME, model.Outcome.ANSWERED.value)
        self.write(json.dumps(content).encode() + b"\n")

    async def call(self, operation: Awaitable[_T]) -> tuple[_T] | None:
        """Awaits an operation; writes its refusal and returns None."""
        try:
            return (await operation,)
        except platform.StoreOutcomeUnknownError as error:
            self.refuse(
                502,
                error.code,
                error.message,
                _RETRY_AFTER,
                model.Outcome.UNKNOWN,
            )
        except platform.StoreUnavailableError as error:
            self.refuse(503, error.code, error.message, _RETRY_AFTER)
        except errors.CodedError as error:
            self.refuse(
                _STATUSES.get(error.code, 503), error.code, error.message
            )
        return None


class JobsHandler(_JobsBase):
    """Takes new jobs."""

    async def post(self) -> None:
        """Submits a job; answers 201 once it is in the store."""
        if not self.start_work():
            return
        if self._context.is_leaving():
            self.refuse(
                503,
                errors.ErrorCode.LEAVING,
                "this entry instance is leaving",
                _RETRY_AFTER,
            )
            return
        try:
            spec = _caller_job_body.read_job_body(
                self.body, self._context.clock.get_utc()
            )
        except _caller_job_body.JobBodyError as error:
            self.refuse(
                400,
                error.code,
                "the job has faults",
                findings=tuple(
                    {
                        "field": item.field,
                        "code": item.code.value,
                        "message": item.message,
                    }
                    for item in error.findings
                ),
            )
            return
        submitted = await self.call(self._context.jobs.submit_job(spec))
        if submitted is None:
            return
        logging.info(
            "api: job=%s team=%s tasks=%d accepted",
            spec.job,
            spec.team,
            spec.task_count,
        )
        self.set_header("Location", f"/v1/jobs/{spec.job}")
        self.write_json(201, {"job": spec.job})


class JobHandler(_JobsBase):
    """Shows and cancels one job."""

    async def get(self, job: str) -> None:
        """Returns the job's row."""
        if not self.start_work():
            return
        found = await self.call(self._context.jobs.get_job(job))
        if found is None:
            return
        if found[0] is None:
            self.refuse(
                404, errors.ErrorCode.UNKNOWN_JOB, f"there is no job {job}"
            )
            return
        self.write_json(200, platform.encode_value(found[0]))

    async def delete(self, job: str) -> None:
        """Cancels the job."""
        if not self.start_work():
            return
        if await self.call(self._context.jobs.cancel_job(job)) is not None:
            self.write_json(200, {"job": job})
