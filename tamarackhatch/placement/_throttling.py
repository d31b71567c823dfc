"""Speed limits of best-effort tasks beside serving tasks."""

from collections.abc import Sequence

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _interference

_FULL = 100
# A smaller rise is not worth a command; a target that would be passed is.
_MIN_RISE = 20
_MIN_FALL = 5
# A best-effort task at full speed uses 0.67 of what it wants in its low-usage
# phase.
_LEAST_FULL_USE = 0.6


@attrs.frozen
class BestEffortState:
    """A best-effort task on a runner.

    Attributes:
        task: The task.
        image: Its image.
        share: Share of the runner's processors that it wants.
        intensity: How much it interferes at full speed, as a share of the
            most.
        speed_limit_percent: Speed limit that it was last told, in per cent;
            None if not known.
    """

    task: model.TaskKey
    image: str
    share: float
    speed_limit_percent: int | None
    intensity: float = 1.0

    @property
    def interfering_share(self) -> float:
        """Share of the processors that counts as interfering."""
        return self.share * self.intensity


@attrs.frozen
class ServingState:
    """A serving job on a runner.

    Attributes:
        image: Its image.
        own_load: Own load to expect until the next command takes effect.
        limit: Utilisation that is allowed.
    """

    image: str
    own_load: float
    limit: float


def choose_speed_limits(
    interference: _interference.InterferenceModel,
    serving: Sequence[ServingState],
    best_effort_tasks: Sequence[BestEffortState],
    uncertainty_weight: float,
) -> dict[model.TaskKey, int]:
    """Returns the speed limits to change, in per cent by task.

    Every best-effort task works at full speed unless a serving task would pass
    its limit; then the best-effort tasks that interfere with it most slow down
    first.

    Args:
        interference: The interference model.
        serving: Serving jobs on the runner.
        best_effort_tasks: Best-effort tasks on the runner.
        uncertainty_weight: Standard deviations that are added to factors.
    """
    speed_limits = {best_effort.task: 1.0 for best_effort in best_effort_tasks}
    for state in serving:
        _relieve(
            interference,
            state,
            best_effort_tasks,
            speed_limits,
            uncertainty_weight,
        )
    changes: dict[model.TaskKey, int] = {}
    for best_effort in best_effort_tasks:
        percent = round(speed_limits[best_effort.task] * _FULL)
        if _is_worth_a_command(best_effort.speed_limit_percent, percent):
            changes[best_effort.task] = percent
    return changes


def infer_speed_limit(wanted: int, used: int) -> int:
    """Returns the speed limit, in per cent, that a task's CPU use suggests.

    Args:
        wanted: Processors that it wants.
        used: Processors that it uses.
    """
    ratio = used / max(1, wanted)
    return _FULL if ratio >= _LEAST_FULL_USE else round(ratio * _FULL)


def _is_worth_a_command(current: int | None, wanted: int) -> bool:
    if current is None:
        return True
    if wanted in (0, _FULL):
        return wanted != current
    return wanted >= current + _MIN_RISE or wanted <= current - _MIN_FALL


def _relieve(
    interference: _interference.InterferenceModel,
    state: ServingState,
    best_effort_tasks: Sequence[BestEffortState],
    speed_limits: dict[model.TaskKey, float],
    uncertainty_weight: float,
) -> None:
    terms = [
        (
            interference.estimate_factor(
                state.image, best_effort.image, uncertainty_weight
            ),
            best_effort,
        )
        for best_effort in best_effort_tasks
    ]
    utilisation = sum(
        factor * best_effort.interfering_share * speed_limits[best_effort.task]
        for factor, best_effort in terms
    )
    excess = state.own_load + utilisation - state.limit
    if excess <= 0:
        return
    for factor, best_effort in sorted(
        terms, key=lambda term: term[0], reverse=True
    ):
        part = (
            factor
            * best_effort.interfering_share
            * speed_limits[best_effort.task]
        )
        if part <= 0:
            continue
        kept = max(0.0, part - excess)
        excess -= part - kept
        speed_limits[best_effort.task] *= kept / part
        if excess <= 0:
            return
