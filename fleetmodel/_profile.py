"""Deployments that the model can simulate: their fleet and their load."""

import attrs


@attrs.frozen
class Amount:
    """A random amount.

    Attributes:
        mean: Its mean.
        spread: Its standard deviation, as a share of the mean.
        most: Its upper limit.
    """

    mean: float
    spread: float
    most: float


@attrs.frozen
class BatchClass:
    """Jobs that end.

    Attributes:
        name: Name of the class and of its queue.
        rate: Submissions a second.
        initial: Jobs that are there from the start.
        steps: Steps of a job, one after the other.
        width: Tasks of a step.
        seconds: Run time of a task at full speed.
        processors: Of a task, in thousandths of a core.
        memory: Of a task, in megabytes.
        stretch: Factor of the latency objective on a job's longest chain.
        target_s: Fixed part of the latency objective, in seconds.
        worth: Credit of a job of mean size in time.
        late_worth: Credit if it is late.
        priority: 0 is the most urgent.
        fail_share: Share of the runs that fail.
        apart_share: Share of the jobs with at most two tasks of a step on
            one runner.
        images: Number of images; 0 if the tasks are no best-effort tasks.
    """

    name: str
    rate: float
    initial: int
    steps: Amount
    width: Amount
    seconds: Amount
    processors: Amount
    memory: Amount
    stretch: float
    target_s: float
    worth: float
    late_worth: float
    priority: int
    fail_share: float
    apart_share: float
    images: int


@attrs.frozen
class ServingClass:
    """Jobs whose tasks serve their own users until they are cancelled.

    Attributes:
        name: Name of the class and of its queue.
        rate: Submissions a second.
        initial: Jobs that are there from the start.
        width: Tasks of a job.
        processors: Of a task, in thousandths of a core.
        memory: Of a task, in megabytes.
        stay_s: Time until a job is cancelled, in seconds.
        apart_share: Share of the jobs with at most two tasks on one runner.
        images: Number of images.
        base_ms: Tail latency without load, in milliseconds.
        load: Mean of the own load.
        swing: Amplitude of the own load.
        period_s: Period of the own load, in seconds.
        worth: Credit of a job for each window of 2 s.
        startup_s: Time from the start until a task serves.
    """

    name: str
    rate: float
    initial: int
    width: Amount
    processors: Amount
    memory: Amount
    stay_s: Amount
    apart_share: float
    images: int
    base_ms: float
    load: float
    swing: float
    period_s: float
    worth: float
    startup_s: float = 0.5


@attrs.frozen
class Profile:
    """A deployment.

    Attributes:
        name: Its name.
        runners: Number of runners.
        rack: Runners of a rack.
        processors: Of a runner, in thousandths of a core; every third runner
            has half as much again.
        memory: Of a runner, in megabytes.
        batch: Classes of jobs that end.
        serving: The class of jobs that serve.
        heavy_share: Share of the pairs of images that interfere much.
        lead_s: Time before the traffic, with the initial jobs only.
        traffic_s: Duration of the traffic.
        finish_s: Time after the traffic.
        burst: Factor on the rate of the last batch class for 6 s in the
            middle of the traffic.
    """

    name: str
    runners: int
    rack: int
    processors: int
    memory: int
    batch: tuple[BatchClass, ...]
    serving: ServingClass
    heavy_share: float = 0.45
    lead_s: float = 12.0
    traffic_s: float = 34.0
    finish_s: float = 14.0
    burst: float = 1.4


# Figures of the users' sheets; see docs/fleet-model.md for what they say of
# the images.
TRADERS = Profile(
    name="traders",
    runners=33,
    rack=8,
    processors=64_000,
    memory=256_000,
    batch=(
        BatchClass(
            name="checks",
            rate=3.18,
            initial=0,
            steps=Amount(1.6, 0.4, 4),
            width=Amount(6, 0.8, 36),
            seconds=Amount(0.64, 0.5, 1.6),
            processors=Amount(6300, 0.45, 19_000),
            memory=Amount(13_000, 0.3, 25_000),
            stretch=1.5,
            target_s=0.4,
            worth=0.368,
            late_worth=0.0552,
            priority=0,
            fail_share=0.005,
            apart_share=0.15,
            images=0,
        ),
        BatchClass(
            name="renewals",
            rate=3.4,
            initial=8,
            steps=Amount(2, 0.4, 5),
            width=Amount(8, 0.6, 32),
            seconds=Amount(2.2, 0.5, 5.4),
            processors=Amount(7000, 0.3, 14_000),
            memory=Amount(13_000, 0.3, 26_000),
            stretch=2.0,
            target_s=1.0,
            worth=1.72,
            late_worth=0.258,
            priority=2,
            fail_share=0.05,
            apart_share=0.0,
            images=9,
        ),
    ),
    serving=ServingClass(
        name="watches",
        rate=0.12,
        initial=24,
        width=Amount(6, 0.4, 12),
        processors=Amount(13_000, 0.25, 20_000),
        memory=Amount(26_000, 0.3, 51_000),
        stay_s=Amount(70, 0.5, 210),
        apart_share=0.5,
        images=5,
        base_ms=10,
        load=0.46,
        swing=0.225,
        period_s=14,
        worth=0.061,
    ),
)
BOTTLERS = attrs.evolve(
    TRADERS,
    name="bottlers",
    runners=24,
    processors=32_000,
    memory=128_000,
    batch=(
        attrs.evolve(
            TRADERS.batch[0],
            name="swaps",
            rate=3.17,
            processors=Amount(2300, 0.45, 7000),
            memory=Amount(4600, 0.3, 9200),
            worth=0.367,
        ),
        attrs.evolve(
            TRADERS.batch[1],
            name="rosters",
            rate=2.02,
            initial=6,
            seconds=Amount(2.7, 0.5, 6.7),
            processors=Amount(3500, 0.3, 7000),
            memory=Amount(6500, 0.3, 13_000),
            worth=2.89,
            late_worth=0.433,
        ),
    ),
    serving=attrs.evolve(
        TRADERS.serving,
        rate=0.103,
        initial=19,
        processors=Amount(6400, 0.25, 10_000),
        memory=Amount(13_000, 0.3, 26_000),
        base_ms=25,
        period_s=20,
        worth=0.084,
    ),
)
PROFILES = {profile.name: profile for profile in (TRADERS, BOTTLERS)}
