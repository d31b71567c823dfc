"""The scheduler's in-memory state of jobs and tasks."""

import datetime
import enum
import functools
import typing

import attrs

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import records
from tamarackhatch.scheduler import _command_fence

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)


class TaskPhase(enum.Enum):
    """Phase of a task.

    Attributes:
        BLOCKED: Steps that it depends on are not done.
        WAITING: It waits for a runner.
        STARTING: A start command was sent and is not confirmed.
        RUNNING: A runner has confirmed or reported its run.
        STOPPING: Its run is to be stopped, and the exit is not reported yet.
        DONE: It will not run again.
    """

    BLOCKED = "blocked"
    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


@attrs.frozen
class Departure:
    """A move of a task away from a runner, until its next run is confirmed.

    Attributes:
        runner: Identifier of the runner that the run leaves.
        until: Monotonic time until which the task is not placed there.
        slow_runners: Runners that proceed slowly, which are avoided if others
            have capacity.
    """

    runner: str
    until: datetime.timedelta
    slow_runners: frozenset[str] = frozenset()


@attrs.frozen
class NearWait:
    """A wait of a task for a runner on its rack.

    Attributes:
        rack: The rack.
        since: Monotonic time since which the task could have started on some
            runner.
        until: Monotonic time at which the wait ends.
        forecast: Number of the forecast in which the task holds its place.
        is_active: Whether it waits beside capacity that it could use.
        is_over: Whether the wait was given up; a run has at most one.
    """

    rack: str
    since: datetime.timedelta
    until: datetime.timedelta
    forecast: int = 0
    is_active: bool = True
    is_over: bool = False


@attrs.frozen
class PendingAck:
    """An exit that is not durable yet.

    Attributes:
        task: The task.
        generation: The writer's generation that makes it durable; None for an
            exit of a job that is not read yet.
    """

    task: model.TaskKey
    generation: int | None


class TaskRunner(typing.Protocol):
    """What a task knows of the runner that it is placed on.

    Attributes:
        record: The runner's latest row in the registry.
        load: Tasks placed on the runner and their resources.
        fence: Chooses the fencing tokens of the commands sent to it.
    """

    record: model.Runner
    load: placement.RunnerLoad
    fence: _command_fence.CommandFence

    @property
    def identifier(self) -> str:
        """Identifier of the runner."""
        ...

    def release_task(self, task: "TaskEntry", now: datetime.timedelta) -> None:
        """Releases the capacity of a task that can no longer run here."""
        ...


@attrs.define(eq=False)
class TaskEntry:
    """A task.

    Attributes:
        key: Key of the task.
        step: Step that the task belongs to.
        job: Job that the task belongs to.
        phase: Phase of the task.
        runner: Runner on which a run may exist; None while no run can exist.
        run: Number of the latest run.
        last_exited_run: Number of the highest run that is known to have
            exited.
        failed_runs: Numbers of the runs that failed.
        crashes: For each run whose runner crashed, by number, what the run
            may have had to do with it.
        crash_addresses: Addresses of these runners, by run; those of earlier
            terms are not known.
        crash_ages: Times from the start of these runs to the crash, by run;
            those of earlier terms are not known.
        expected_crashes: How many crashes of their runners were to be
            expected while these runs lasted, by run, in millionths; not known
            of runs that an earlier release recorded.
        checkpoint: Latest checkpoint; empty for none.
        progress_percent: Progress in the runner's last report, in per cent.
        progress_reported_at: Monotonic time of that report; None if the
            latest run was not reported yet.
        speed_limit_percent: Latest speed limit sent, in per cent of full
            speed; None if the limit in force is not known.
        ticket: Ticket of the placement policy for the latest run; empty
            where none is needed.
        phase_since: Monotonic time at which the phase began.
        waiting_since: Monotonic time since which the task has waited to run;
            refused starts do not change it. None while it cannot start or
            runs.
        placed_at: Monotonic time at which the latest run was placed or
            adopted.
        confirmed: Monotonic time; reports to renewals sent later list the run
            if it exists. None while the outcome of a command is unknown.
        failed_on: Runners on which a run failed.
        departure: The move that stopped the latest run, until the next run is
            confirmed; None for most tasks.
        near_wait: Its wait for a runner on its rack; None before that, and
            once a run is confirmed.
        is_adopted: Whether an earlier scheduler started the latest run.
        ready_since: Monotonic time at which the latest run was first reported
            ready, for a serving task; None before.
        is_unblocked_in_term: Whether the task waits because of an exit that
            no earlier scheduler has received, so that none of them can have
            started the task again.
        siblings: All tasks of its step, with itself. The job forgets a
            finished occurrence while runners still list members of its gangs.
    """

    key: model.TaskKey
    step: model.Step
    job: "JobEntry"
    phase: TaskPhase = TaskPhase.BLOCKED
    runner: TaskRunner | None = None
    run: int = 0
    last_exited_run: int = 0
    failed_runs: frozenset[int] = frozenset()
    crashes: dict[int, model.CrashRole] = attrs.field(factory=dict)
    crash_addresses: dict[int, str] = attrs.field(factory=dict)
    crash_ages: dict[int, datetime.timedelta] = attrs.field(factory=dict)
    expected_crashes: dict[int, int] = attrs.field(factory=dict)
    checkpoint: str = ""
    progress_percent: int = 0
    progress_reported_at: datetime.timedelta | None = None
    speed_limit_percent: int | None = 100
    ticket: str = ""
    phase_since: datetime.timedelta = datetime.timedelta()
    waiting_since: datetime.timedelta | None = None
    placed_at: datetime.timedelta = datetime.timedelta()
    confirmed: datetime.timedelta | None = None
    failed_on: frozenset[str] = frozenset()
    departure: Departure | None = None
    near_wait: NearWait | None = None
    is_adopted: bool = False
    ready_since: datetime.timedelta | None = None
    is_unblocked_in_term: bool = False
    siblings: list["TaskEntry"] = attrs.field(factory=list, repr=False)

    @property
    def failures(self) -> int:
        """Number of runs that failed."""
        return len(self.failed_runs)

    @property
    def is_placed(self) -> bool:
        """Whether a run of the task may exist."""
        return self.runner is not None

    @property
    def is_awaiting_near_place(self) -> bool:
        """Whether it waits by choice, beside capacity that it could use."""
        return self.near_wait is not None and self.near_wait.is_active

    def list_exclusions(self, now: datetime.timedelta) -> list[frozenset[str]]:
        """Returns the sets of runners to exclude, the first to try first.

        Empty if the task has neither failed nor been moved.
        """
        departure = self.departure
        if departure is None:
            return [self.failed_on, frozenset()] if self.failed_on else []
        is_recent = now < departure.until
        left = frozenset({departure.runner} if is_recent else ())
        return [left | self.failed_on | departure.slow_runners, left]

    def compute_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long the task has waited to run, at a monotonic time."""
        if self.waiting_since is None:
            return datetime.timedelta()
        return now - self.waiting_since


@attrs.define(eq=False)
class OccurrenceEntry:
    """One occurrence of a job.

    Attributes:
        number: Number of the occurrence, from 0.
        steps: Tasks by step.
        remaining: Number of unfinished tasks by step.
        is_unblocked_in_term: Whether this term's scheduler was the first to
            see the exit that unblocked the latest steps; see `TaskEntry`.
        is_held: Whether it is known before its turn, because an earlier
            scheduler opened it. Its exits and runs count, and no task starts.
    """

    number: int
    steps: list[list[TaskEntry]]
    remaining: list[int]
    is_unblocked_in_term: bool = False
    is_held: bool = False

    @property
    def is_finished(self) -> bool:
        """Whether all tasks of the occurrence are done."""
        return not any(self.remaining)


@attrs.define(eq=False, slots=False)
class JobEntry:
    """A job.

    Attributes:
        job: The job as submitted.
        version: Version of the job's row.
        state: State that callers see once it is written.
        is_cancelled: Whether a caller has cancelled it.
        has_started: Whether any task has started.
        occurrences: Occurrences that are known and not finished. All but the
            held ones are due.
        finished_occurrences: Number of occurrences, from the first on, that
            are finished.
        next_occurrence: Number of the next occurrence whose turn comes; only
            held ones have higher numbers.
        order: Priority of the queue, and time of acceptance in seconds since
            the epoch; lower values go first.
        progress_parts: Number of rows among which its progress is divided; 0
            if it fits into one.
        changed_units: Units of tasks whose progress has changed since it was
            last written.
        is_all_changed: Whether all units count as changed.
    """

    job: model.Job
    version: int
    state: model.JobState = model.JobState.QUEUED
    is_cancelled: bool = False
    has_started: bool = False
    occurrences: dict[int, OccurrenceEntry] = attrs.field(factory=dict)
    finished_occurrences: int = 0
    next_occurrence: int = 0
    order: tuple[float, ...] = ()
    progress_parts: int = 0
    changed_units: set[records.UnitName] = attrs.field(factory=set)
    is_all_changed: bool = False

    @property
    def identifier(self) -> str:
        """Identifier of the job."""
        return self.job.identifier

    @functools.cached_property
    def longest_chain(self) -> datetime.timedelta:
        """Estimated run time of the longest chain of dependent steps."""
        return model.compute_longest_chain(self.job.steps)

    def compute_following(self, step: int) -> datetime.timedelta:
        """Returns the estimated time of the longest chain after a step."""
        return self._following[step]

    @functools.cached_property
    def _following(self) -> list[datetime.timedelta]:
        steps = self.job.steps
        following = [datetime.timedelta()] * len(steps)
        # Each step depends on earlier ones only.
        for index in reversed(range(len(steps))):
            for before in steps[index].after:
                following[before] = max(
                    following[before], steps[index].estimate + following[index]
                )
        return following

    def iterate_tasks(self) -> typing.Iterator[TaskEntry]:
        """Yields the tasks of all known occurrences."""
        for occurrence in self.occurrences.values():
            for tasks in occurrence.steps:
                yield from tasks

    def compute_demand(self) -> int:
        """Returns the millicores that all unfinished tasks ask for."""
        return sum(
            count * step.resources.processors
            for occurrence in self.occurrences.values()
            for count, step in zip(occurrence.remaining, self.job.steps)
        )

    @functools.cached_property
    def part_map(self) -> records.PartMap:
        """Assigns its tasks to parts, if its progress is divided."""
        return records.PartMap(self.job.steps)

    def record_change(self, task: TaskEntry) -> None:
        """Records that the progress of a task has changed."""
        if task.step.is_gang:
            # One exit completes all members.
            self.is_all_changed = True
        else:
            self.changed_units.add(records.get_unit(task.key))

    def summarise_unit(self, name: records.UnitName) -> records.UnitProgress:
        """Returns the progress of a unit of tasks."""
        tasks = self.occurrences[name.occurrence].steps[name.step]
        first = name.block * records.UNIT_TASKS
        done = 0
        histories = {}
        for position, task in enumerate(
            tasks[first : first + records.UNIT_TASKS]
        ):
            if task.phase is TaskPhase.DONE:
                done |= 1 << position
            elif (history := _summarise_task(task)) is not None:
                histories[position] = history
        return records.UnitProgress(name, done, histories)

    def summarise_progress(self) -> records.JobProgress:
        """Returns the progress to be written to the store."""
        if self.state.is_final:
            return records.JobProgress(self.state)
        return records.JobProgress(
            self.state,
            self.finished_occurrences,
            {
                number: progress
                for number, occurrence in self.occurrences.items()
                if (progress := _summarise_occurrence(occurrence))
                != _NO_PROGRESS
                or not occurrence.is_held
            },
        )

    def summarise_state(self) -> records.JobProgress:
        """Returns the progress without that of tasks, of which others tell."""
        return records.JobProgress(
            self.state,
            self.finished_occurrences,
            {
                number: _NO_PROGRESS
                for number, occurrence in self.occurrences.items()
                if not occurrence.is_held
            },
        )


_NO_PROGRESS = records.OccurrenceProgress()


def compute_order(job: model.Job) -> tuple[float, ...]:
    """Returns the order of a job; see `JobEntry`."""
    accepted = (job.accepted_at - _EPOCH).total_seconds()
    return (job.queue.priority, accepted)


def _summarise_occurrence(
    occurrence: OccurrenceEntry,
) -> records.OccurrenceProgress:
    done: dict[int, int] = {}
    histories: dict[tuple[int, int], records.TaskHistory] = {}
    for step_index, tasks in enumerate(occurrence.steps):
        bits = 0
        for task in tasks:
            if task.phase is TaskPhase.DONE:
                bits |= 1 << task.key.index
            elif (history := _summarise_task(task)) is not None:
                histories[(step_index, task.key.index)] = history
        if bits:
            done[step_index] = bits
    return records.OccurrenceProgress(done, histories)


def _summarise_task(task: TaskEntry) -> records.TaskHistory | None:
    """Returns the history of an unfinished task; None if there is none."""
    checkpoint = task.checkpoint
    if len(checkpoint) > records.MAX_CHECKPOINT_LENGTH:
        checkpoint = ""
    if not (task.failed_runs or checkpoint or task.crashes):
        return None
    return records.TaskHistory(
        task.last_exited_run,
        tuple(sorted(task.failed_runs)),
        checkpoint,
        dict(task.crashes),
        {
            run: count
            for run, count in task.expected_crashes.items()
            if run in task.crashes
        },
    )
