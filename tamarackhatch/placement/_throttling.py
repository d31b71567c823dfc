"""Speed limits of best-effort tasks on runners with serving tasks."""

from collections.abc import Sequence
import math

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _interference

_FULL_SPEED_PERCENT = 100
# A command is sent only for changes of at least this much, or to 0 or full
# speed. Cuts have the lower threshold, because they prevent target violations.
_MIN_RAISE_PERCENT = 20
_MIN_CUT_PERCENT = 5
# A task that uses at least this share of the CPU that it requests may run at
# full speed: in its low-usage phase it uses 0.67 of it.
_MIN_FULL_SPEED_CPU_RATIO = 0.6


@attrs.frozen
class BestEffortState:
    """A best-effort task on a runner.

    Attributes:
        task: The task.
        image: Its image.
        requested_share: Share of the runner's processors that it requests.
        speed_limit_percent: Speed limit that was last set, in per cent; None
            if unknown.
        intensity: Interference intensity at full speed, from 0 to 1.
        unfinished: Number of tasks of its step that are not done. Of tasks
            with equal factors, those whose step has more are throttled first.
    """

    task: model.TaskKey
    image: str
    requested_share: float
    speed_limit_percent: int | None
    intensity: float = 1.0
    unfinished: int = 0

    @property
    def interfering_share(self) -> float:
        """Share of the processors with which it interferes at full speed."""
        return self.requested_share * self.intensity


@attrs.frozen
class ServingState:
    """A serving job on a runner.

    Attributes:
        image: Its image.
        own_load: Highest expected own load until the next command takes
            effect.
        limit: Highest utilisation that is allowed.
        processors: CPU that its tasks on the runner request, in thousandths of
            a core.
    """

    image: str
    own_load: float
    limit: float
    processors: int = 0


def choose_speed_limits(
    interference: _interference.InterferenceModel,
    serving: Sequence[ServingState],
    best_effort_tasks: Sequence[BestEffortState],
    uncertainty_weight: float,
    available_share: float = math.inf,
) -> dict[model.TaskKey, int]:
    """Returns the speed limits to change, in per cent by task.

    Every best-effort task runs at full speed unless a serving task would
    exceed its limit; then the best-effort tasks with the largest factors are
    throttled first, and of tasks with equal factors those that hold back
    their step last. If they still ask for more processors than the other
    tasks leave over, all are slowed down alike.

    Args:
        interference: The interference model.
        serving: Serving jobs on the runner.
        best_effort_tasks: Best-effort tasks on the runner.
        uncertainty_weight: Number of standard deviations that are added to
            factors.
        available_share: Share of the runner's processors that the best-effort
            tasks may use together.
    """
    speed_limits = {best_effort.task: 1.0 for best_effort in best_effort_tasks}
    for state in serving:
        _throttle_for_target(
            interference,
            state,
            best_effort_tasks,
            speed_limits,
            uncertainty_weight,
        )
    used_share = sum(
        best_effort.requested_share * speed_limits[best_effort.task]
        for best_effort in best_effort_tasks
    )
    if used_share > available_share:
        for task in speed_limits:
            speed_limits[task] *= available_share / used_share
    changes: dict[model.TaskKey, int] = {}
    for best_effort in best_effort_tasks:
        percent = round(speed_limits[best_effort.task] * _FULL_SPEED_PERCENT)
        if _needs_command(best_effort.speed_limit_percent, percent):
            changes[best_effort.task] = percent
    return changes


def infer_speed_limit(requested_cpu: int, used_cpu: int) -> int:
    """Returns the probable speed limit of a best-effort task, in per cent.

    Args:
        requested_cpu: CPU that it requests, in thousandths of a core.
        used_cpu: CPU that it uses, in thousandths of a core.
    """
    ratio = used_cpu / max(1, requested_cpu)
    return (
        _FULL_SPEED_PERCENT
        if ratio >= _MIN_FULL_SPEED_CPU_RATIO
        else round(ratio * _FULL_SPEED_PERCENT)
    )


def _needs_command(current_percent: int | None, new_percent: int) -> bool:
    if current_percent is None:
        return True
    if new_percent in (0, _FULL_SPEED_PERCENT):
        return new_percent != current_percent
    return (
        new_percent >= current_percent + _MIN_RAISE_PERCENT
        or new_percent <= current_percent - _MIN_CUT_PERCENT
    )


def _throttle_for_target(
    interference: _interference.InterferenceModel,
    state: ServingState,
    best_effort_tasks: Sequence[BestEffortState],
    speed_limits: dict[model.TaskKey, float],
    uncertainty_weight: float,
) -> None:
    """Lowers speed limits until a serving job is within its limit."""
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
        terms, key=lambda term: (term[0], term[1].unfinished), reverse=True
    ):
        added_utilisation = (
            factor
            * best_effort.interfering_share
            * speed_limits[best_effort.task]
        )
        if added_utilisation <= 0:
            continue
        kept_utilisation = max(0.0, added_utilisation - excess)
        excess -= added_utilisation - kept_utilisation
        speed_limits[best_effort.task] *= kept_utilisation / added_utilisation
        if excess <= 0:
            return
