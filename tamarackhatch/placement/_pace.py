"""Pace of filler tasks beside serving tasks."""

from collections.abc import Sequence

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _interference

# Fillers are slowed to keep the forecast this far below the limit.
_MARGIN = 0.04
# The own load of a serving task is forecast this far, until the next sample
# and the effect of an order.
_HORIZON_S = 0.8
_FULL = 100
# Smaller changes are not worth an order.
_MIN_CHANGE = 20


@attrs.frozen
class FillerState:
    """A filler task on a runner.

    Attributes:
        task: The task.
        image: Its image.
        share: Share of the runner's processors that it uses at full pace.
        pace: Pace that it was last told, in per cent; None if not known.
    """

    task: model.TaskKey
    image: str
    share: float
    pace: int | None


def forecast_own_load(state: _interference.ServingState) -> float:
    """Returns the own load to expect until the next sample."""
    return state.own_load + max(0.0, state.trend) * _HORIZON_S


def choose_paces(
    factors: _interference.InterferenceModel,
    serving: Sequence[_interference.ServingState],
    fillers: Sequence[FillerState],
) -> dict[model.TaskKey, int]:
    """Returns the paces to change, in per cent by task.

    Every filler works at full pace unless a serving task would pass its
    target; then the fillers that disturb it most slow down first.
    """
    paces = {filler.task: 1.0 for filler in fillers}
    for state in serving:
        _relieve(factors, state, fillers, paces)
    changes: dict[model.TaskKey, int] = {}
    for filler in fillers:
        percent = round(paces[filler.task] * _FULL)
        if _is_worth_an_order(filler.pace, percent):
            changes[filler.task] = percent
    return changes


def _is_worth_an_order(current: int | None, wanted: int) -> bool:
    if current is None:
        return True
    if wanted in (0, _FULL):
        return wanted != current
    return abs(wanted - current) >= _MIN_CHANGE


def _relieve(
    factors: _interference.InterferenceModel,
    state: _interference.ServingState,
    fillers: Sequence[FillerState],
    paces: dict[model.TaskKey, float],
) -> None:
    terms = [
        (factors.get_factor(state.image, filler.image), filler)
        for filler in fillers
    ]
    pressure = sum(
        factor * filler.share * paces[filler.task] for factor, filler in terms
    )
    excess = forecast_own_load(state) + pressure - (state.limit - _MARGIN)
    if excess <= 0:
        return
    for factor, filler in sorted(
        terms, key=lambda term: term[0], reverse=True
    ):
        part = factor * filler.share * paces[filler.task]
        if part <= 0:
            continue
        kept = max(0.0, part - excess)
        excess -= part - kept
        paces[filler.task] *= kept / part
        if excess <= 0:
            return
