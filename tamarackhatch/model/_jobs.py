"""Jobs, their steps and their tasks, as submitters describe them."""

from collections.abc import Sequence
import datetime
import enum
import functools

import attrs

from tamarackhatch.model import _configuration
from tamarackhatch.model import _resources


class JobState(enum.Enum):
    """State of a job, as reported to callers.

    Attributes:
        QUEUED: Accepted; no task has started yet.
        RUNNING: A task has started.
        COMPLETED: All tasks are done.
        FAILED: A task has failed.
        CANCELLED: A caller cancelled the job.
    """

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class CrashRole(enum.IntEnum):
    """What a run on a runner that crashed may have had to do with the crash.

    The values are stored in rows.

    Attributes:
        BYSTANDER: It had run for a while, or too little is known.
        SUSPECT: It is one of several that had just started.
        SOLE_SUSPECT: It is the only one that had just started, or the only
            one under observation.
    """

    BYSTANDER = 0
    SUSPECT = 1
    SOLE_SUSPECT = 2


@attrs.frozen
class Step:
    """A set of identical tasks of a job.

    The field names are also keys of stored rows, apart from those that
    ``records`` maps to other keys.

    Attributes:
        count: Number of tasks.
        resources: Resources that each task needs.
        estimate: Rough estimate of the run time of one task.
        after: Indices of the steps that must be done before this one starts.
        is_gang: Whether the tasks make progress only while all of them run.
        is_checkpointing: Whether the tasks save their progress.
        is_rack_sensitive: Whether the tasks slow down if they are spread over
            several racks.
        is_speculative: Whether several copies of a task may run at once.
        is_long_running: Whether the tasks run until the job is cancelled.
        is_best_effort: Whether the tasks use only the processor time that
            the other tasks of the runner leave over. No processor time is
            reserved for them.
        required_label: Label that the runner must have; empty for none.
        preferred_rack: Rack that holds the tasks' data; empty for none.
        max_per_runner: Largest number of the step's tasks on one runner; 0
            for no limit.
        image: Name of the program; tasks with equal images behave alike.
        tail_latency_target: Upper bound of the tail latency of a long-running
            task; zero if the task does not serve requests.
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
        """Whether the tasks are serving tasks, with a tail latency target."""
        return (
            self.is_long_running
            and self.tail_latency_target > datetime.timedelta()
        )

    @functools.cached_property
    def reserved(self) -> _resources.Resources:
        """Resources that one task reserves of a runner's capacity."""
        if not self.is_best_effort:
            return self.resources
        return attrs.evolve(self.resources, processors=0)


def compute_longest_chain(
    steps: Sequence[Step],
) -> datetime.timedelta:
    """Returns the estimated run time of the longest chain of steps.

    Args:
        steps: The steps of a job; each depends on earlier ones only.
    """
    ends: list[datetime.timedelta] = []
    for step in steps:
        begin = max(
            (ends[before] for before in step.after),
            default=datetime.timedelta(),
        )
        ends.append(begin + step.estimate)
    return max(ends, default=datetime.timedelta())


@attrs.frozen
class Schedule:
    """Times at which a repeated job is due.

    Attributes:
        first: When occurrence 0 is due, in UTC.
        interval: Time between the starts of two successive occurrences.
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
        identifier: Unique identifier that the submitter chose.
        queue: Queue that the job was submitted to, as configured at that
            time.
        specification: Text that is passed to each task.
        steps: The steps, by index.
        accepted_at: When an instance accepted the job, in UTC.
        schedule: When the job is due, if it is repeated; None if it runs
            once.
        term: Latest scheduler term that the accepting instance knew of. A
            scheduler of an earlier term must not start the job.
    """

    identifier: str
    queue: _configuration.Queue
    specification: str
    steps: tuple[Step, ...]
    accepted_at: datetime.datetime
    schedule: Schedule | None = None
    term: int = 0

    @property
    def occurrences(self) -> int:
        """Total number of times that the steps run; 1 without a schedule."""
        return 1 if self.schedule is None else self.schedule.count

    @property
    def is_long_running(self) -> bool:
        """Whether any step has long-running tasks."""
        return any(step.is_long_running for step in self.steps)


@attrs.frozen(cache_hash=True)
class TaskKey:
    """Identifies one task of one occurrence of a job.

    Its text form is ``job.occurrence.step.index``.

    Attributes:
        job: Identifier of the job.
        occurrence: Number of the occurrence, from 0.
        step: Index of the step in the job, from 0.
        index: Index of the task in its step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"
