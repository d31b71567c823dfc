"""Deployments that can be simulated: their fleet and their load."""

import attrs


@attrs.frozen
class Amount:
    """Log-normal distribution of an amount.

    Attributes:
        mean: Its mean.
        relative_deviation: Its standard deviation, as a share of the mean.
        maximum: Upper limit of the amounts.
    """

    mean: float
    relative_deviation: float
    maximum: float


@attrs.frozen
class BatchClass:
    """A class of batch jobs.

    Attributes:
        name: Name of the class and of its queue.
        submissions_per_s: Mean rate of submissions.
        initial_jobs: Number of jobs that are submitted before the traffic.
        step_count: Number of steps of a job, which run one after the other.
        task_count: Number of tasks of a step.
        run_time_s: Run time of a task at full speed, in seconds.
        processors: CPU request of a task, in thousandths of a core.
        memory_mb: Memory request of a task, in megabytes.
        objective_factor: Latency objective as a multiple of the run time of a
            job's longest chain of tasks.
        objective_extra_s: Constant that is added to the objective, in seconds.
        credit: Credit of a job of mean size that meets its objective.
        late_credit: Credit of such a job that is late.
        priority: 0 is the most urgent.
        failing_share: Share of the tasks whose first run fails.
        limited_share: Share of the jobs with at most two tasks of a step on
            one runner.
        image_count: Number of images; 0 if the tasks are no best-effort tasks.
    """

    name: str
    submissions_per_s: float
    initial_jobs: int
    step_count: Amount
    task_count: Amount
    run_time_s: Amount
    processors: Amount
    memory_mb: Amount
    objective_factor: float
    objective_extra_s: float
    credit: float
    late_credit: float
    priority: int
    failing_share: float
    limited_share: float
    image_count: int


@attrs.frozen
class ServingClass:
    """A class of jobs whose tasks serve users until the job is cancelled.

    Attributes:
        name: Name of the class and of its queue.
        submissions_per_s: Mean rate of submissions.
        initial_jobs: Number of jobs that are submitted before the traffic.
        task_count: Number of tasks of a job.
        processors: CPU request of a task, in thousandths of a core.
        memory_mb: Memory request of a task, in megabytes.
        lifetime_s: Time until a job is cancelled, in seconds.
        limited_share: Share of the jobs with at most two tasks on one runner.
        image_count: Number of images.
        base_latency_ms: Tail latency without load, in milliseconds.
        mean_load: Mean of the own load, as a share of a task's capacity.
        load_amplitude: Amplitude of the own load.
        load_period_s: Period of the own load, in seconds.
        credit: Credit of a job for each window of 2 s.
        startup_s: Time from the start of a task until it is ready, in seconds.
    """

    name: str
    submissions_per_s: float
    initial_jobs: int
    task_count: Amount
    processors: Amount
    memory_mb: Amount
    lifetime_s: Amount
    limited_share: float
    image_count: int
    base_latency_ms: float
    mean_load: float
    load_amplitude: float
    load_period_s: float
    credit: float
    startup_s: float = 0.5


@attrs.frozen
class Profile:
    """A deployment.

    Attributes:
        name: Its name.
        runner_count: Number of runners.
        runners_per_rack: Number of runners in a rack.
        processors: CPU of a runner, in thousandths of a core; every third
            runner has 1.5 times as much.
        memory_mb: Memory of a runner, in megabytes; as for processors.
        batch: Classes of batch jobs.
        serving: The class of serving jobs.
        heavy_share: Probability that a pair of images interferes heavily.
        warmup_s: Time before the traffic, with the initial jobs only, in
            seconds.
        traffic_s: Duration of the traffic, in seconds.
        wind_down_s: Time after the traffic, in seconds.
        burst_factor: Factor on the submission rate of the last batch class for
            6 s in the middle of the traffic.
    """

    name: str
    runner_count: int
    runners_per_rack: int
    processors: int
    memory_mb: int
    batch: tuple[BatchClass, ...]
    serving: ServingClass
    heavy_share: float = 0.45
    warmup_s: float = 12.0
    traffic_s: float = 34.0
    wind_down_s: float = 14.0
    burst_factor: float = 1.4


# The figures come from the users' data sheets; docs/fleet-model.md
# explains what these say about the images.
TRADERS = Profile(
    name="traders",
    runner_count=33,
    runners_per_rack=8,
    processors=64_000,
    memory_mb=256_000,
    batch=(
        BatchClass(
            name="checks",
            submissions_per_s=3.18,
            initial_jobs=0,
            step_count=Amount(1.6, 0.4, 4),
            task_count=Amount(6, 0.8, 36),
            run_time_s=Amount(0.64, 0.5, 1.6),
            processors=Amount(6300, 0.45, 19_000),
            memory_mb=Amount(13_000, 0.3, 25_000),
            objective_factor=1.5,
            objective_extra_s=0.4,
            credit=0.368,
            late_credit=0.0552,
            priority=0,
            failing_share=0.005,
            limited_share=0.15,
            image_count=0,
        ),
        BatchClass(
            name="renewals",
            submissions_per_s=3.4,
            initial_jobs=8,
            step_count=Amount(2, 0.4, 5),
            task_count=Amount(8, 0.6, 32),
            run_time_s=Amount(2.2, 0.5, 5.4),
            processors=Amount(7000, 0.3, 14_000),
            memory_mb=Amount(13_000, 0.3, 26_000),
            objective_factor=2.0,
            objective_extra_s=1.0,
            credit=1.72,
            late_credit=0.258,
            priority=2,
            failing_share=0.05,
            limited_share=0.0,
            image_count=9,
        ),
    ),
    serving=ServingClass(
        name="watches",
        submissions_per_s=0.12,
        initial_jobs=24,
        task_count=Amount(6, 0.4, 12),
        processors=Amount(13_000, 0.25, 20_000),
        memory_mb=Amount(26_000, 0.3, 51_000),
        lifetime_s=Amount(70, 0.5, 210),
        limited_share=0.5,
        image_count=5,
        base_latency_ms=10,
        mean_load=0.46,
        load_amplitude=0.225,
        load_period_s=14,
        credit=0.061,
    ),
)
BOTTLERS = attrs.evolve(
    TRADERS,
    name="bottlers",
    runner_count=24,
    processors=32_000,
    memory_mb=128_000,
    batch=(
        attrs.evolve(
            TRADERS.batch[0],
            name="swaps",
            submissions_per_s=3.17,
            processors=Amount(2300, 0.45, 7000),
            memory_mb=Amount(4600, 0.3, 9200),
            credit=0.367,
        ),
        attrs.evolve(
            TRADERS.batch[1],
            name="rosters",
            submissions_per_s=2.02,
            initial_jobs=6,
            run_time_s=Amount(2.7, 0.5, 6.7),
            processors=Amount(3500, 0.3, 7000),
            memory_mb=Amount(6500, 0.3, 13_000),
            credit=2.89,
            late_credit=0.433,
        ),
    ),
    serving=attrs.evolve(
        TRADERS.serving,
        submissions_per_s=0.103,
        initial_jobs=19,
        processors=Amount(6400, 0.25, 10_000),
        memory_mb=Amount(13_000, 0.3, 26_000),
        base_latency_ms=25,
        load_period_s=20,
        credit=0.084,
    ),
)
PROFILES = {profile.name: profile for profile in (TRADERS, BOTTLERS)}
