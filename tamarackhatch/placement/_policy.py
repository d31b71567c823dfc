"""Weights and limits of placement and throttling."""

import datetime

import attrs

_MS = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)


@attrs.frozen
class PlacementPolicy:
    """Weights and limits of placement and throttling.

    Pressure is the share of a serving task's capacity that is in use; see
    the interference model. docs/decisions.md tells what was compared.

    Attributes:
        margin: Pressure kept free below a serving task's limit, because
            samples are rough.
        caution: Standard deviations that are added to the factor of a pair
            of images which is not known well.
        horizon: For which time a new best-effort task must not do harm; about
            as long as it works.
        relapse: Probability that a calm best-effort task gets lively within
            that time.
        pace_relapse: The same for the time until the next command.
        pace_horizon: Time until the next report and the effect of a command.
        patience: How long a best-effort task waits for a runner where it can
            work at full speed without harm to serving tasks.
        least_pace: Share of its speed that is good enough after that time.
        pace_weight: Weight of the speed that a best-effort task lacks.
        packing: Weight of a serving task's preference for full runners,
            which leaves others free for batch work.
        batch_packing: The same for other tasks with a reservation.
        company: Weight of serving tasks of other images on a runner.
        pressure_weight: Weight of pressure that a best-effort task adds below
            all limits, which later best-effort tasks cannot have.
        most_use: Share of a runner's processors that may be in use beside
            serving tasks; beyond its capacity all of them suffer.
        crowding_weight: Weight of the processor use that is expected.
        free_runner_cost: Cost of a runner without serving tasks, which is
            kept for best-effort tasks that disturb every serving image.
        failure_weight: Weight of each run that failed lately on a runner.
        far_weight: Weight of a runner away from a task's data.
        harm_patience: How long a serving task may be reported over its target
            before all best-effort tasks beside it stop, whatever the model
            says. The platform tolerates less than four seconds over the
            target; reports lag by half a second.
        lasting_patience: How long long-running tasks let batch tasks of the
            same priority go first. A batch task gives its room back in
            seconds; a long-running task keeps it.
        batch_patience: How long a batch task lets smaller jobs of the same
            priority go first, so that no stream of small jobs starves it.
        gathering: How long new long-running tasks wait for others, so that
            tasks of one image get runners of their own.
    """

    margin: float = 0.03
    caution: float = 1.0
    horizon: datetime.timedelta = 2.5 * _SECOND
    relapse: float = 0.5
    pace_relapse: float = 0.15
    pace_horizon: datetime.timedelta = 700 * _MS
    patience: datetime.timedelta = 2 * _SECOND
    least_pace: float = 0.85
    pace_weight: float = 1.0
    packing: float = 0.5
    batch_packing: float = -0.5
    company: float = 1.0
    pressure_weight: float = 1.0
    most_use: float = 1.0
    crowding_weight: float = 0.1
    free_runner_cost: float = 0.03
    failure_weight: float = 0.5
    far_weight: float = 0.5
    harm_patience: datetime.timedelta = 1 * _SECOND
    lasting_patience: datetime.timedelta = 5 * _SECOND
    batch_patience: datetime.timedelta = 60 * _SECOND
    gathering: datetime.timedelta = 100 * _MS
