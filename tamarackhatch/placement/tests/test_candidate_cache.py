"""Tests candidates that are kept for later placement passes.

Load: many passes a second over runners of which few change between them.
"""

import datetime

import pytest

from tamarackhatch import model
from tamarackhatch import placement

_MS = datetime.timedelta(milliseconds=1)
_POLICY = placement.PlacementPolicy()
_SERVING = model.Step(
    1,
    model.Resources(3_000, 1_000),
    is_long_running=True,
    image="watch",
    tail_latency_target=50 * _MS,
)
_BEST_EFFORT = model.Step(
    1, model.Resources(2_000, 1_000), is_best_effort=True, image="report"
)
_BATCH = model.Step(1, model.Resources(2_000, 1_000))


def _make_load(identifier: str = "i-1") -> placement.RunnerLoad:
    load = placement.RunnerLoad(
        identifier, "desk", model.Resources(16_000, 64_000), ("a", "r1")
    )
    load.add_task(model.TaskKey("w", 0, 0, 0), _SERVING)
    return load


@pytest.mark.parametrize(
    "step, age, is_kept",
    [
        (None, 99, True),
        (None, 249, True),
        (None, 250, False),
        (_BATCH, 10, True),
        (_BEST_EFFORT, 10, True),
        (_SERVING, 10, False),
    ],
)
def test_candidates_are_kept_while_up_to_date(
    step: model.Step | None, age: int, is_kept: bool
) -> None:
    """Guards against old forecasts, and against computing them in vain."""
    load = _make_load()
    interference = placement.InterferenceModel()
    cache = placement.CandidateCache(interference, _POLICY)
    first = cache.get_candidate(load, 0 * _MS)
    if step is not None:
        load.add_task(model.TaskKey("x", 0, 0, 0), step)
    second = cache.get_candidate(load, age * _MS)
    assert (second is first) is is_kept
    fresh = placement.CandidateRunner(load, interference, _POLICY, age * _MS)
    assert second.get_best_effort_limit("report") == pytest.approx(
        fresh.get_best_effort_limit("report")
    )


class _CountingModel(placement.InterferenceModel):
    """Counts the forecasts of own loads.

    Attributes:
        forecasts: Their number.
    """

    def __init__(self) -> None:
        super().__init__()
        self.forecasts = 0

    def forecast_own_load(
        self,
        job: str,
        image: str,
        limit: float,
        now: datetime.timedelta,
        horizon: datetime.timedelta,
    ) -> float:
        self.forecasts += 1
        return super().forecast_own_load(job, image, limit, now, horizon)


def test_candidates_of_one_pass_share_forecasts() -> None:
    """Guards against forecasts for each runner, and against outdated ones."""
    interference = _CountingModel()
    cache = placement.CandidateCache(interference, _POLICY)
    loads = [_make_load(f"i-{number}") for number in range(3)]
    for number, time in enumerate((0 * _MS, 250 * _MS, 700 * _MS), 1):
        interference.forecasts = 0
        kept = [cache.get_candidate(load, time) for load in loads]
        assert interference.forecasts == 1
        for candidate, load in zip(kept, loads):
            fresh = placement.CandidateRunner(
                load, interference, _POLICY, time
            )
            assert candidate.headrooms == fresh.headrooms
        interference.add_samples(
            "i-0",
            [placement.JobSample("w", "watch", 20.0 * number, 1, 50.0)],
            {},
            time,
        )


def test_runners_that_left_are_removed() -> None:
    """Guards against a cache that grows with each runner that ever joined."""
    cache = placement.CandidateCache(placement.InterferenceModel(), _POLICY)
    load = _make_load()
    kept = cache.get_candidate(load, 0 * _MS)
    cache.retain(["i-1"])
    assert cache.get_candidate(load, 1 * _MS) is kept
    cache.retain([])
    assert cache.get_candidate(load, 2 * _MS) is not kept


@pytest.mark.parametrize(
    "asked, min_speed, expected",
    [
        (_BEST_EFFORT, 0.85, True),
        (_BEST_EFFORT, 1.0, True),
        (_BEST_EFFORT, 0.5, False),
        (_BATCH, 0.85, False),
        (
            model.Step(
                1,
                model.Resources(2_500, 1_000),
                is_best_effort=True,
                image="report",
            ),
            0.85,
            True,
        ),
        (
            model.Step(
                1,
                model.Resources(2_500, 900),
                is_best_effort=True,
                image="report",
            ),
            0.85,
            False,
        ),
        (
            model.Step(
                1,
                model.Resources(2_000, 1_000),
                is_best_effort=True,
                image="other",
            ),
            0.85,
            False,
        ),
    ],
)
def test_infeasible_demands(
    asked: model.Step, min_speed: float, expected: bool
) -> None:
    """Guards against leaving out tasks that a runner could take."""
    demands = placement.InfeasibleDemands()
    demands.add("desk", _BEST_EFFORT, 0.85)
    assert demands.covers("desk", asked, min_speed) is expected
    assert not demands.covers("lab", asked, min_speed)
    demands.clear()
    assert not demands.covers("desk", asked, min_speed)
