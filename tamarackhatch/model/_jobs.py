"""Jobs as their submitters describe them."""

import datetime
import enum
import functools

import attrs

from tamarackhatch.model import _configuration
from tamarackhatch.model import _resources


class JobState(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@attrs.frozen
class Step:
    """A set of equal tasks of a job.

    Attributes:
        count: Number of tasks.
        resources: What each task needs.
        estimate: Rough estimate of a task's run time.
        after: Indices of the steps that must be done first.
        is_gang: The tasks work only while all of them are present.
        is_checkpointing: Tasks save their progress.
        is_rack_sensitive: Tasks slow down when they are on several racks.
        is_speculative: Several copies of a task may run at once.
        is_long_running: Tasks run until the job is cancelled.
        is_best_effort: Processor time is not reserved; the tasks use what the
            other tasks of the runner leave over.
        required_label: Label that the runner must have; empty for none.
        preferred_rack: Rack that holds the data; empty for none.
        max_per_runner: Most tasks of the step on one runner; 0 for no limit.
        image: Name of the program; tasks with equal images behave alike.
        tail_latency_target: Bound of the tail latency of a long-running task;
            zero if the task serves nobody.
        max_unavailable: How many long-running tasks the scheduler may take
            away at once.
    """

    count: int
    resources: _resources.Resources
    estimate: datetime.timedelta = datetime.timedelta()
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_checkpointing: bool = False
    is_rack_sensitive: bool = False
    is_speculative: bool = False
    is_long_running: bool = False
    is_best_effort: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_runner: int = 0
    image: str = ""
    tail_latency_target: datetime.timedelta = datetime.timedelta()
    max_unavailable: int = 0

    @property
    def is_serving(self) -> bool:
        """Whether the tasks have a bound on their response times."""
        return (
            self.is_long_running
            and self.tail_latency_target > datetime.timedelta()
        )

    @functools.cached_property
    def reserved(self) -> _resources.Resources:
        """What a task takes from a runner's capacity."""
        if not self.is_best_effort:
            return self.resources
        return attrs.evolve(self.resources, processors=0)


@attrs.frozen
class Schedule:
    """Times of a job that repeats.

    Attributes:
        first: When occurrence 0 is due, in UTC.
        interval: Between two occurrences.
        count: Number of occurrences.
    """

    first: datetime.datetime
    interval: datetime.timedelta
    count: int

    def get_due(self, occurrence: int) -> datetime.datetime:
        """Returns when an occurrence is due, in UTC."""
        return self.first + occurrence * self.interval


@attrs.frozen
class Job:
    """A job as it was accepted.

    Attributes:
        identifier: Chosen by the submitter, unique.
        queue: Queue it was submitted to, as configured at that time.
        specification: Text that is handed to each task.
        steps: The steps, by index.
        schedule: Times of a job that repeats, else None.
        accepted: When an instance accepted it, in UTC.
        term: Latest term of a scheduler that this instance knew of; a
            scheduler of an earlier term must not start it.
    """

    identifier: str
    queue: _configuration.Queue
    specification: str
    steps: tuple[Step, ...]
    accepted: datetime.datetime
    schedule: Schedule | None = None
    term: int = 0

    @property
    def occurrences(self) -> int:
        """How often the steps run in all."""
        return 1 if self.schedule is None else self.schedule.count

    @property
    def is_long_running(self) -> bool:
        """Whether any task runs until the job is cancelled."""
        return any(step.is_long_running for step in self.steps)


@attrs.frozen(cache_hash=True)
class TaskKey:
    """Names one task.

    Attributes:
        job: Identifier of the job.
        occurrence: Number of the occurrence, from 0.
        step: Index of the step.
        index: Index of the task in its step.
    """

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"
