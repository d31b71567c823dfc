"""Weights and limits of placement and throttling."""

import datetime

import attrs

_MS = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class PlacementPolicy:
    """Weights and limits of placement and throttling.

    Utilisation is the share of a serving task's capacity that is in use; see
    the interference model. docs/decisions.md tells what was compared.

    Attributes:
        margin: Utilisation kept free below a serving task's limit, because
            samples are rough.
        uncertainty_weight: Standard deviations that are added to the factor of
            a pair of images which is not known well.
        horizon: For which time a new best-effort task must not cause a target
            violation; about as long as it works.
        full_usage_probability: Probability that a low-usage best-effort task
            gets to full usage within that time.
        throttling_full_usage_probability: The same for the time until the next
            command.
        throttling_horizon: Time until the next report and the effect of a
            command.
        full_speed_wait: How long a best-effort task waits for a runner where
            it can work at full speed without a target violation.
        min_speed: Share of its speed that is good enough after that time.
        speed_weight: Weight of the speed that a best-effort task lacks.
        packing: Weight of a serving task's preference for full runners,
            which leaves others free for batch work.
        batch_packing: The same for other tasks with a reservation.
        image_mixing_weight: Weight of serving tasks of other images on a
            runner.
        utilisation_weight: Weight of utilisation that a best-effort task adds
            below all limits, which later best-effort tasks cannot have.
        max_cpu_usage: Share of a runner's processors that may be in use beside
            serving tasks; beyond its capacity all of them suffer.
        contention_weight: Weight of the processor use that is expected.
        empty_runner_cost: Cost of a runner without serving tasks, which is
            kept for best-effort tasks that interfere with every serving image.
        failure_weight: Weight of each run that failed lately on a runner.
        locality_weight: Weight of a runner away from a task's data.
        violation_timeout: How long a serving task may be reported over its
            target before all best-effort tasks beside it stop, whatever the
            model says. The platform tolerates less than four seconds over the
            target; reports lag by half a second.
        long_running_wait: How long long-running tasks let batch tasks of the
            same priority go first. A batch task gives its capacity back in
            seconds; a long-running task keeps it.
        batch_wait: How long a batch task lets smaller jobs of the same
            priority go first, so that no stream of small jobs starves it.
        grouping_delay: How long new long-running tasks wait for others, so
            that tasks of one image get runners of their own.
    """

    margin: float = 0.03
    uncertainty_weight: float = 1.0
    horizon: datetime.timedelta = 2.5 * _SECOND
    full_usage_probability: float = 0.5
    throttling_full_usage_probability: float = 0.15
    throttling_horizon: datetime.timedelta = 700 * _MS
    full_speed_wait: datetime.timedelta = 2 * _SECOND
    min_speed: float = 0.85
    speed_weight: float = 1.0
    packing: float = 0.5
    batch_packing: float = -0.5
    image_mixing_weight: float = 1.0
    utilisation_weight: float = 1.0
    max_cpu_usage: float = 1.0
    contention_weight: float = 0.1
    empty_runner_cost: float = 0.03
    failure_weight: float = 0.5
    locality_weight: float = 0.5
    violation_timeout: datetime.timedelta = 1 * _SECOND
    long_running_wait: datetime.timedelta = 5 * _SECOND
    batch_wait: datetime.timedelta = 60 * _SECOND
    grouping_delay: datetime.timedelta = 100 * _MS
