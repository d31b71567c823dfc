"""What callers can ask of the system, whatever interface they use."""

import datetime
import enum
import typing

import attrs

from tamarackhatch.model import _configuration
from tamarackhatch.model import _jobs


class Outcome(enum.Enum):
    """Outcome of a caller's request.

    Attributes:
        DONE: It is done, or the answer is known.
        NO_QUEUE: No queue has that name.
        NO_JOB: No job has that identifier.
        NOT_DONE: Nothing was done; another try may succeed.
        UNKNOWN: It may be done, now or later.
    """

    DONE = "done"
    NO_QUEUE = "no queue"
    NO_JOB = "no job"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@attrs.frozen
class QueueLookup:
    """Result of a search for a queue; the queue is set on DONE only."""

    outcome: Outcome
    queue: _configuration.Queue | None = None


@attrs.frozen
class JobLookup:
    """State of a job; the state is set on DONE only."""

    outcome: Outcome
    state: _jobs.JobState | None = None


class JobService(typing.Protocol):
    """Submits and cancels jobs, and tells their state."""

    @property
    def limits(self) -> _configuration.RequestLimits:
        """Limits of requests."""
        ...

    async def find_queue(self, host: str, path: str) -> QueueLookup:
        """Finds the queue that a host and a path select."""
        ...

    async def find_named_queue(self, name: str) -> QueueLookup:
        """Finds the queue of a name."""
        ...

    async def submit(
        self, job: _jobs.Job, timeout: datetime.timedelta
    ) -> Outcome:
        """Submits a job; a repeated submission changes nothing.

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
        """Cancels a job; a repeated cancellation changes nothing."""
        ...

    async def get_state(
        self, identifier: str, queue: _configuration.Queue
    ) -> JobLookup:
        """Returns the state of a job."""
        ...

    async def count_pending(self, queue: _configuration.Queue) -> int | None:
        """Returns the queue's jobs of which no task has started yet.

        None means that the number is not known at present.
        """
        ...
