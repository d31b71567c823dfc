"""Requests of callers, independent of the interface that they use."""

import datetime
import enum
import math
import typing

import attrs

from tamarackhatch.model import _configuration
from tamarackhatch.model import _jobs

_SECOND = datetime.timedelta(seconds=1)


class Outcome(enum.Enum):
    """Outcome of a caller's request.

    Attributes:
        DONE: The request was carried out, or its answer is known.
        NO_QUEUE: No queue matches the request.
        NO_JOB: No job has the identifier.
        NOT_DONE: Nothing was done; another attempt may succeed.
        UNKNOWN: The request may be carried out, now or later.
        REFUSED: The job is not stored, and no earlier attempt will store it;
            the caller may return later.
        CANCELLED: The job was cancelled before it was stored, and no attempt
            will store it.
    """

    DONE = "done"
    NO_QUEUE = "no queue"
    NO_JOB = "no job"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    CANCELLED = "cancelled"


@attrs.frozen
class QueueLookup:
    """Result of a search for a queue.

    Attributes:
        outcome: DONE, NO_QUEUE or NOT_DONE.
        queue: The queue; None unless the outcome is DONE.
    """

    outcome: Outcome
    queue: _configuration.Queue | None = None


@attrs.frozen
class JobLookup:
    """Result of a request about a job.

    Attributes:
        outcome: The outcome.
        state: State of the job; None unless the request was for it and the
            outcome is DONE.
        retry_after: Time after which the caller may return, in whole seconds;
            None unless the outcome is REFUSED.
    """

    outcome: Outcome
    state: _jobs.JobState | None = None
    retry_after: datetime.timedelta | None = None


def count_retry_seconds(lookup: JobLookup) -> int:
    """Returns after how many whole seconds a refused caller may return.

    At least 1, because some clients repeat a request at once for 0.
    """
    if lookup.retry_after is None:
        return 1
    return max(1, math.ceil(lookup.retry_after / _SECOND))


class JobService(typing.Protocol):
    """Submits and cancels jobs, and returns their state."""

    @property
    def limits(self) -> _configuration.RequestLimits:
        """Limits of requests from callers."""
        ...

    async def find_queue(
        self, host: str, path: str, timeout: datetime.timedelta
    ) -> QueueLookup:
        """Finds the queue that a request's host and path select.

        Args:
            host: Host that the request names.
            path: Path of the request.
            timeout: How long the caller waits for the answer.
        """
        ...

    async def find_named_queue(
        self, name: str, timeout: datetime.timedelta
    ) -> QueueLookup:
        """Finds the queue with the given name.

        Args:
            name: Name of the queue.
            timeout: How long the caller waits for the answer.
        """
        ...

    async def submit(
        self, job: _jobs.Job, timeout: datetime.timedelta
    ) -> JobLookup:
        """Submits a job; a repeated submission changes nothing.

        Its outcome is DONE, UNKNOWN or REFUSED.

        Args:
            job: The job.
            timeout: How long the caller waits for the answer.
        """
        ...

    async def cancel(
        self,
        identifier: str,
        queue: _configuration.Queue,
        timeout: datetime.timedelta,
    ) -> Outcome:
        """Cancels a job; a repeated cancellation changes nothing.

        Args:
            identifier: Identifier of the job.
            queue: Queue of the request.
            timeout: How long the caller waits for the answer.
        """
        ...

    async def get_state(
        self,
        identifier: str,
        queue: _configuration.Queue,
        timeout: datetime.timedelta,
    ) -> JobLookup:
        """Returns the state of a job.

        Args:
            identifier: Identifier of the job.
            queue: Queue of the request.
            timeout: How long the caller waits for the answer.
        """
        ...

    async def count_pending(self, queue: _configuration.Queue) -> int | None:
        """Returns how many jobs of a queue have no started task yet.

        Returns None while the number is not known.
        """
        ...
