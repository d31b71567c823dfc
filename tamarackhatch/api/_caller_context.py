"""What the handlers of the callers' interface share."""

from collections.abc import Callable
import typing

import attrs

from tamarackhatch.api import _caller_limits
from tamarackhatch import clock as clock_module
from tamarackhatch import declarations
from tamarackhatch import model


class ServiceRouter(typing.Protocol):
    """Routes requests to services."""

    async def route_request(
        self, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        """Returns the outcome; goes on when the call is cancelled."""
        ...


class JobService(typing.Protocol):
    """Accepts batch jobs.

    All methods raise CodedError: StoreUnavailableError when nothing was done,
    StoreOutcomeUnknownError when it may have been done, and errors with codes
    of the 400 group for refusals.
    """

    async def submit_job(self, spec: model.JobSpec) -> None:
        """Returns once the job is written to the store.

        Submitting an equal job again is no error.
        """
        ...

    async def get_job(self, job: str) -> model.Job | None:
        """Returns a job, or None if there is none."""
        ...

    async def cancel_job(self, job: str) -> None:
        """Cancels a job; a job that has ended is left as it is."""
        ...


@attrs.define(eq=False)
class CallerCounts:
    """What is in progress at one moment."""

    requests: int = 0
    watches: int = 0
    buffered: int = 0


@attrs.frozen(eq=False)
class CallerContext:
    """Collaborators and counts of the handlers."""

    clock: clock_module.Clock
    configuration: declarations.ConfigurationView
    router: ServiceRouter
    jobs: JobService
    is_leaving: Callable[[], bool]
    limits: _caller_limits.CallerLimits
    counts: CallerCounts = attrs.field(factory=CallerCounts)
