"""Where the tasks of a job would be placed now, and why."""

import datetime
import enum

import attrs


class Exclusion(enum.Enum):
    """Why a runner cannot get a task of a step now.

    Attributes:
        EVACUATED: The operator evacuates its data centre.
        EVACUATIONS_UNKNOWN: It is not known which data centres are evacuated.
        DRAINING: It is about to leave.
        UNREGISTERED: The registry does not list it any more.
        NOT_ANSWERING: It does not answer the scheduler, or not yet.
        AVOIDED: It has just refused a start, and gets none for a moment.
        UNSETTLED: What runs there, or its present capacity, is not known.
        REGISTRY_OUTDATED: Its capacity may have shrunk since the registry was
            read, and it does not reject tasks that do not fit.
        EJECTED: It fails or hangs, so that only probes start there.
        ISOLATED: A task that may crash its runner is observed there, or is to
            start there.
        RESERVED: It is kept free for a large task that goes first.
        LABEL: It lacks the label that the step requires.
        NO_CAPACITY: A task does not fit into the capacity left.
        RUNNER_LIMIT: It has as many tasks of the step as one may have.
        NO_TICKET: The placement policy has not allowed it.
        START_LIMIT: It may have failed, so that few runs may start at once.
        NOT_PROVEN: No run has succeeded there, and a failure would fail the
            job.
        SPEED: The task would run too slowly there, because of the serving
            tasks.
        OTHER: Another reason.
    """

    EVACUATED = "evacuated"
    EVACUATIONS_UNKNOWN = "evacuations not known"
    DRAINING = "draining"
    UNREGISTERED = "not registered"
    NOT_ANSWERING = "not answering"
    AVOIDED = "refused a start just now"
    UNSETTLED = "runs or capacity not known"
    REGISTRY_OUTDATED = "registry not read for too long"
    EJECTED = "ejected"
    ISOLATED = "isolated"
    RESERVED = "reserved for a large task"
    LABEL = "label"
    NO_CAPACITY = "no capacity"
    RUNNER_LIMIT = "limit per runner"
    NO_TICKET = "no ticket"
    START_LIMIT = "limit of starts"
    NOT_PROVEN = "not proven"
    SPEED = "speed"
    OTHER = "other"


class StepState(enum.Enum):
    """What would happen to a step now.

    Attributes:
        STARTS: All tasks start.
        STARTS_PARTLY: Some tasks start, the others wait.
        WAITS: All tasks wait.
    """

    STARTS = "starts"
    STARTS_PARTLY = "starts partly"
    WAITS = "waits"


@attrs.frozen
class Remark:
    """A further reason for the answer, in words for operators.

    Attributes:
        kind: Fixed name for scripts.
        text: The sentence.
    """

    kind: str
    text: str


@attrs.frozen
class RatedRunner:
    """A runner that could get a task.

    Attributes:
        runner: Identifier of the runner.
        rack: Its rack; empty if it has none.
        data_centre: Its data centre.
        score: Its score; higher is better.
        speed_limit_percent: Speed limit of a task there, in per cent.
    """

    runner: str
    rack: str
    data_centre: str
    score: float
    speed_limit_percent: int


@attrs.frozen
class ChosenRunner:
    """A runner that gets tasks.

    Attributes:
        rated: The runner, as it was rated for its first task.
        tasks: Indices of the tasks.
    """

    rated: RatedRunner
    tasks: tuple[int, ...]


@attrs.frozen
class ExcludedRunners:
    """Runners that are excluded for one reason.

    Attributes:
        reason: The reason.
        count: Number of runners.
        examples: Identifiers of some of them.
    """

    reason: Exclusion
    count: int
    examples: tuple[str, ...]


@attrs.frozen
class StepAnswer:
    """Where the tasks of a step would be placed now.

    Attributes:
        step: Index of the step.
        state: What would happen to it.
        tasks: Number of its tasks.
        placed: Number of tasks that would start now.
        expected_wait: Expected time until all placed tasks start or, if tasks
            have to wait, until the first of these fits; None if not known.
        chosen: Runners that get tasks, in the order of the first task.
        next_best: Best of the other runners that could get a task.
        possible: Number of other runners that could get a task.
        excluded: Runners that cannot get a task, by reason.
        remarks: Further reasons.
    """

    step: int
    state: StepState
    tasks: int
    placed: int
    expected_wait: datetime.timedelta | None
    chosen: tuple[ChosenRunner, ...]
    next_best: tuple[RatedRunner, ...]
    possible: int
    excluded: tuple[ExcludedRunners, ...]
    remarks: tuple[Remark, ...] = ()


@attrs.frozen
class WaitingStep:
    """Waiting tasks of another job's step that go first.

    Attributes:
        job: Identifier of the job.
        step: Index of the step.
        tasks: Number of its waiting tasks.
        placed: Number of them that would start before.
        reason: Why they go first.
    """

    job: str
    step: int
    tasks: int
    placed: int
    reason: str


@attrs.frozen
class EarlierWork:
    """All waiting work of the service that goes before the job.

    Attributes:
        steps: Number of steps with waiting tasks.
        tasks: Number of tasks.
        placed: Number of tasks that would start before.
        first: The first of the steps.
    """

    steps: int
    tasks: int
    placed: int
    first: tuple[WaitingStep, ...]


@attrs.frozen
class Objective:
    """Latency objective of a job.

    Attributes:
        latency: Time from its acceptance by which it has to be done, with the
            estimated run times as given.
        order_latency: The objective that decides its order; it allows for
            estimates that are too short.
        prospect: How well the job can be served now.
    """

    latency: datetime.timedelta
    order_latency: datetime.timedelta
    prospect: str


@attrs.frozen
class Answer:
    """Where a job would be placed now, and why.

    Attributes:
        scheduler: Name of the instance that answers.
        term: Term of its scheduler.
        configuration: Version of the configuration.
        queue: Name of the queue.
        service: Service whose runners run the queue's tasks.
        priority: Priority of the queue.
        runners: Number of known runners of the service.
        objective: The objective; None for a queue without one.
        earlier_work: What would be placed before the job.
        steps: The steps that could start now.
        later_steps: Indices of the steps that depend on others.
        refusal: Why the job would be refused; None if it would be accepted.
        remarks: Further reasons.
    """

    scheduler: str
    term: int
    configuration: int
    queue: str
    service: str
    priority: int
    runners: int
    objective: Objective | None
    earlier_work: EarlierWork
    steps: tuple[StepAnswer, ...]
    later_steps: tuple[int, ...]
    refusal: str | None = None
    remarks: tuple[Remark, ...] = ()
