"""Weights and limits of placement and throttling."""

import datetime

import attrs

_MS = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class PlacementPolicy:
    """Weights and limits of placement and throttling.

    Utilisation is the share of a serving task's capacity that is in use; see
    the interference model. docs/decisions.md compares alternatives.

    Attributes:
        margin: Utilisation kept free below a serving task's limit, because
            samples are inexact.
        uncertainty_weight: Number of standard deviations that are added to the
            factor of a pair of images.
        horizon: Time within which a new best-effort task must not cause a
            target violation; about its run time.
        full_usage_probability: Probability that a low-usage best-effort task
            changes to full usage within that time.
        throttling_full_usage_probability: The same for the time until the next
            command.
        throttling_horizon: Time until the next report and the effect of a
            command.
        full_speed_wait: Time that a best-effort task waits for a runner where
            it can run at full speed without a target violation.
        min_speed: Share of its full speed that suffices after that time.
        speed_weight: Weight of the share of its full speed that a best-effort
            task lacks.
        packing: Weight of the reserved share of the processors in the rating
            of a runner for a serving task. Serving tasks prefer full runners,
            which leaves others free for batch work.
        batch_packing: The same for other tasks with a reservation, while
            there is room.
        scarce_batch_packing: The same when room is scarce.
        ample_free_share: Share of a service's processors that is not reserved
            from which on there is room.
        scarce_free_share: The same share below which room is scarce.
        ample_remaining_share: Share of a service's processors that new serving
            tasks will leave from which on only tasks of one image fill a
            runner together.
        min_combined_runners: Number of runners that the new serving tasks of
            an image have to need before they are combined to fill runners. A
            combination saves about a twentieth of a runner, and half of one
            is left over for each image.
        image_mixing_weight: Weight of serving tasks of other images on a
            runner.
        utilisation_weight: Weight of the utilisation that a best-effort task
            adds and that is no longer available to later best-effort tasks.
        max_cpu_usage: Share of a runner's processors that may be in use on a
            runner with serving tasks; beyond its capacity all of them suffer.
        contention_weight: Weight of the share of a runner's processors that is
            expected to be in use.
        empty_runner_cost: Cost of a runner without serving tasks, which is
            kept for best-effort tasks that interfere with every serving image.
        failure_weight: Weight of the penalty for failed runs on a runner.
        locality_weight: Weight of a runner outside the rack of a task's data.
        prefers_sound_near: Whether that weight counts for runners outside the
            rack alike and for those inside it that throttle the task or fail.
        violation_timeout: Time that a serving task may be reported over its
            target before all best-effort tasks on its runner are stopped,
            whatever the model predicts. The platform tolerates less than four
            seconds over the target; reports lag by half a second.
        starvation_wait: Time after which best-effort tasks leave a runner that
            has shrunk below its reservations and on which all of them are at a
            speed limit of 0. They lose the work since their checkpoints,
            and the capacity may return.
        long_running_wait: Time for which all batch tasks of the same priority
            precede a long-running task. A batch task releases its capacity
            within seconds; a long-running task keeps it. After that, only
            those of jobs that can still meet their objective do, and none if
            the long-running task has run before: users expect it back 6 s
            after its last run.
        max_long_running_wait: Time after which any long-running task precedes
            all batch tasks of the same priority. Without this bound a stream
            of urgent jobs would starve it.
        batch_wait: Time for which smaller jobs of the same priority precede a
            batch task. Without this bound a stream of small jobs would starve
            it.
        grouping_delay: Time that new long-running tasks wait for others, so
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
    scarce_batch_packing: float = 0.5
    ample_free_share: float = 0.1
    scarce_free_share: float = 0.06
    ample_remaining_share: float = 0.15
    min_combined_runners: float = 10.0
    image_mixing_weight: float = 1.0
    utilisation_weight: float = 1.0
    max_cpu_usage: float = 1.0
    contention_weight: float = 0.1
    empty_runner_cost: float = 0.03
    failure_weight: float = 0.5
    locality_weight: float = 0.5
    prefers_sound_near: bool = False
    violation_timeout: datetime.timedelta = 1 * _SECOND
    starvation_wait: datetime.timedelta = 5 * _SECOND
    long_running_wait: datetime.timedelta = 5 * _SECOND
    max_long_running_wait: datetime.timedelta = 30 * _SECOND
    batch_wait: datetime.timedelta = 60 * _SECOND
    grouping_delay: datetime.timedelta = 100 * _MS
