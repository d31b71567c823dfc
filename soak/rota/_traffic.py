"""Draws the jobs of the callers, and how their tasks run; pure code."""

from collections.abc import Iterator
from collections.abc import Sequence
import datetime
import math
import random
import typing

import attrs
import orjson

from tamarackhatch import model

_REPEATED_SHARE = 0.04
_REPEAT_DELAYS_S = (1.0, 6.0)
_RUN_SPREAD = 0.3
# A long-running task that fails does so within this time.
_LONGEST_UPTIME_S = 30.0
_LONG_RUN_S = 3_600.0


@attrs.frozen
class Amount:
    """A skewed (lognormal) amount.

    Attributes:
        mean: Its mean.
        spread: Standard deviation of its logarithm.
        highest: Larger values are replaced by this one.
    """

    mean: float
    spread: float
    highest: float

    def draw(self, source: random.Random) -> float:
        """Draws a value."""
        centre = math.log(self.mean) - self.spread**2 / 2
        return min(self.highest, source.lognormvariate(centre, self.spread))


@attrs.frozen
class Kind:
    """A kind of jobs.

    Attributes:
        queue: Name of its queue.
        digit: First digit of the identifiers of its jobs.
        rate: Jobs a second.
        priority: Priority of the queue; 0 comes first.
        max_attempts: Runs of a task that may fail.
        steps: Number of steps, one after the other.
        width: Number of tasks of a step.
        processors: Thousandths of a core that a task reserves.
        memory_mb: Memory that a task reserves.
        work_s: Seconds that a task takes.
        failing_share: Share of the runs that fail.
        checkpointing_share: Share of the jobs whose tasks take checkpoints.
        cancelled_share: Share of the jobs that are cancelled.
        stay_s: Seconds after which a job is cancelled.
        is_long_running: Whether its tasks run until then.
    """

    queue: str
    digit: str
    rate: float
    priority: int
    max_attempts: int
    steps: Amount
    width: Amount
    processors: Amount
    memory_mb: Amount
    work_s: Amount
    failing_share: float
    checkpointing_share: float = 0.0
    cancelled_share: float = 0.0
    stay_s: Amount = Amount(2.0, 0.8, 10.0)
    is_long_running: bool = False

    @property
    def prefix(self) -> str:
        """Path prefix of its queue."""
        return f"/{self.queue}/"


SHIFT_SWAP = Kind(
    queue="shift-swap",
    digit="a",
    rate=3.17,
    priority=0,
    max_attempts=2,
    steps=Amount(1.6, 0.4, 4),
    width=Amount(6, 0.8, 36),
    processors=Amount(2_300, 0.45, 6_900),
    memory_mb=Amount(4_600, 0.3, 9_200),
    work_s=Amount(0.64, 0.5, 1.6),
    failing_share=0.05,
)
ROSTER_BUILD = Kind(
    queue="roster-build",
    digit="b",
    rate=2.02,
    priority=2,
    max_attempts=2,
    steps=Amount(2, 0.4, 5),
    width=Amount(8, 0.6, 32),
    processors=Amount(3_500, 0.3, 7_000),
    memory_mb=Amount(6_400, 0.3, 13_000),
    work_s=Amount(2.7, 0.5, 6.8),
    failing_share=0.02,
    checkpointing_share=0.85,
    cancelled_share=0.05,
)
CREW_WATCH = Kind(
    queue="crew-watch",
    digit="c",
    rate=0.103,
    priority=0,
    max_attempts=4,
    steps=Amount(1, 0, 1),
    width=Amount(6, 0.4, 12),
    processors=Amount(6_400, 0.25, 10_000),
    memory_mb=Amount(13_000, 0.3, 26_000),
    work_s=Amount(0.5, 0.5, 1.2),
    failing_share=0.03,
    cancelled_share=1.0,
    stay_s=Amount(70, 0.5, 210),
    is_long_running=True,
)
KINDS = (SHIFT_SWAP, ROSTER_BUILD, CREW_WATCH)
# With tasks that outlast a lease. Jobs have to end within a minute.
LONG_KINDS = (
    SHIFT_SWAP,
    attrs.evolve(
        ROSTER_BUILD,
        rate=1.0,
        processors=Amount(1_500, 0.3, 3_000),
        steps=Amount(1, 0.2, 2),
        work_s=Amount(9.0, 0.4, 16.0),
    ),
    CREW_WATCH,
)


@attrs.frozen
class Burst:
    """Time in which more jobs of a kind arrive; times are in seconds."""

    kind: Kind
    start: float
    end: float
    factor: float


@attrs.frozen
class Arrival:
    """A job that a caller submits; times are in seconds.

    Attributes:
        time: Time since the start of the play.
        kind: Its kind.
        job: Its identifier.
        document: What is submitted.
        cancelled_after: Time until it is cancelled; infinite if it is not.
        repeated_after: Time from the answer until the submission arrives
            again; infinite if it does not.
    """

    time: float
    kind: Kind
    job: str
    document: dict[str, typing.Any]
    cancelled_after: float
    repeated_after: float


def draw_arrivals(
    seed: int,
    duration: datetime.timedelta,
    bursts: Sequence[Burst],
    kinds: Sequence[Kind] = KINDS,
) -> tuple[Arrival, ...]:
    """Returns the jobs of a play, ordered by time."""
    arrivals = [
        arrival
        for kind in kinds
        for arrival in _draw_kind(
            kind,
            random.Random(f"{kind.queue} {seed}"),
            duration.total_seconds(),
            [it for it in bursts if it.kind.queue == kind.queue],
        )
    ]
    return tuple(sorted(arrivals, key=lambda arrival: arrival.time))


def _draw_kind(
    kind: Kind,
    source: random.Random,
    end: float,
    bursts: Sequence[Burst],
) -> Iterator[Arrival]:
    highest = max([1.0, *(burst.factor for burst in bursts)])
    time = source.expovariate(kind.rate * highest)
    while time < end:
        factors = [it.factor for it in bursts if it.start <= time < it.end]
        if source.random() < max([1.0, *factors]) / highest:
            yield _draw_arrival(kind, source, time)
        time += source.expovariate(kind.rate * highest)


def _draw_arrival(kind: Kind, source: random.Random, time: float) -> Arrival:
    steps: list[dict[str, typing.Any]] = []
    work: list[float] = []
    saves = source.random() < kind.checkpointing_share
    for index in range(max(1, round(kind.steps.draw(source)))):
        work.append(round(kind.work_s.draw(source), 3))
        step = {
            "count": max(1, round(kind.width.draw(source))),
            "cpu": round(kind.processors.draw(source)),
            "mem_mb": round(kind.memory_mb.draw(source)),
            "est_runtime_ms": round(1000 * work[-1]),
            "image": kind.queue,
        }
        if index:
            step["after"] = [index - 1]
        if saves:
            step["checkpointing"] = True
        if kind.is_long_running:
            step["long_running"] = True
            step["target_ms"] = 125
        steps.append(step)
    spec = {
        "work": work,
        "sizes": [[step["cpu"], step["mem_mb"]] for step in steps],
        "fails": kind.failing_share,
        "saves": saves,
        "lasts": kind.is_long_running,
    }
    is_cancelled = source.random() < kind.cancelled_share
    is_repeated = source.random() < _REPEATED_SHARE
    return Arrival(
        time,
        kind,
        f"{kind.digit}{source.getrandbits(60):015x}",
        {"spec": orjson.dumps(spec).decode(), "steps": steps},
        kind.stay_s.draw(source) if is_cancelled else math.inf,
        source.uniform(*_REPEAT_DELAYS_S) if is_repeated else math.inf,
    )


@attrs.frozen
class Spec:
    """What runners have to know of a job; decoded from its ``spec``.

    Attributes:
        work: Seconds that a task of each step takes on average.
        steps: Steps of the job.
        failing_share: Share of the runs that fail.
        is_checkpointing: Whether its tasks take checkpoints.
        is_long_running: Whether its tasks run until they are stopped.
    """

    work: tuple[float, ...]
    steps: tuple[model.Step, ...]
    failing_share: float
    is_checkpointing: bool
    is_long_running: bool

    def plan_run(self, task: str, run: int) -> tuple[float, str]:
        """Plans the seconds and the exit reason of a run."""
        source = random.Random(f"{task} {run}")
        is_failing = source.random() < self.failing_share
        reason = "failed" if is_failing else "done"
        if self.is_long_running:
            uptime_s = source.uniform(1, _LONGEST_UPTIME_S)
            return (uptime_s if is_failing else _LONG_RUN_S), reason
        mean_s = self.work[int(task.split(".")[2])]
        return Amount(mean_s, _RUN_SPREAD, 3 * mean_s).draw(source), reason


def decode_spec(text: str) -> Spec:
    """Decodes the ``spec`` of a job."""
    document = orjson.loads(text)
    steps = [
        model.Step(1, model.Resources(processors, memory_mb))
        for processors, memory_mb in document["sizes"]
    ]
    return Spec(
        tuple(document["work"]),
        tuple(steps),
        document["fails"],
        document["saves"],
        document["lasts"],
    )
