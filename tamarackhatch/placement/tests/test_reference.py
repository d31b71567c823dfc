"""Compares the choice of runners with a reference version on random fleets.

The reference version rates every runner again for every task.
"""

from collections.abc import Sequence
import datetime

import attrs
import hypothesis
from hypothesis import strategies

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.placement import _choice

_NOW = datetime.timedelta(seconds=100)
_POLICY = placement.PlacementPolicy()
_IMAGES = strategies.sampled_from(["one", "two"])
_RESOURCES = strategies.builds(
    model.Resources,
    processors=strategies.sampled_from([500, 3000, 8000]),
    memory_mb=strategies.sampled_from([100, 9000, 30_000]),
    accelerators=strategies.sampled_from([0, 0, 1]),
)
_BATCH = strategies.builds(
    model.Step,
    count=strategies.integers(1, 9),
    resources=_RESOURCES,
    max_per_runner=strategies.integers(0, 2),
    preferred_rack=strategies.sampled_from(["", "r1"]),
    required_label=strategies.sampled_from(["", "", "big"]),
)
_BEST_EFFORT = strategies.builds(
    model.Step,
    count=strategies.integers(1, 9),
    resources=_RESOURCES,
    is_best_effort=strategies.just(True),
    image=_IMAGES,
)
_SERVING = strategies.builds(
    model.Step,
    count=strategies.integers(1, 4),
    resources=_RESOURCES,
    is_long_running=strategies.just(True),
    image=_IMAGES,
    tail_latency_target=strategies.just(datetime.timedelta(milliseconds=50)),
)
_STEPS = strategies.one_of(_BATCH, _BEST_EFFORT, _SERVING)


@attrs.frozen
class _RunnerSetup:
    """Capacity, labels and tasks of a runner before the choice."""

    capacity: model.Resources
    labels: tuple[str, ...]
    steps: tuple[model.Step, ...]


_RUNNERS = strategies.lists(
    strategies.builds(
        _RunnerSetup,
        capacity=strategies.builds(
            model.Resources,
            processors=strategies.sampled_from([16_000, 32_000]),
            memory_mb=strategies.sampled_from([32_000, 64_000]),
            accelerators=strategies.integers(0, 2),
        ),
        labels=strategies.sampled_from([("small", "r1"), ("big", "r2")]),
        steps=strategies.lists(_STEPS, max_size=4).map(tuple),
    ),
    min_size=1,
    max_size=6,
)


def _make_candidates(
    runners: Sequence[_RunnerSetup],
) -> list[placement.CandidateRunner]:
    interference = placement.InterferenceModel()
    candidates = []
    for index, runner in enumerate(runners):
        load = placement.RunnerLoad(
            f"i-{index}", "s", runner.capacity, runner.labels
        )
        for number, step in enumerate(runner.steps):
            if load.has_capacity(step):
                load.add_task(model.TaskKey(f"0{number}", 0, 0, index), step)
        candidates.append(
            placement.CandidateRunner(load, interference, _POLICY, _NOW)
        )
    return candidates


def _choose_by_full_search(
    keys: Sequence[model.TaskKey],
    step: model.Step,
    candidates: Sequence[placement.CandidateRunner],
    min_speed: float,
) -> list[tuple[model.TaskKey, str, float]]:
    chosen = []
    for key in keys:
        best: placement.CandidateRunner | None = None
        best_rating = _choice.RunnerRating(0.0)
        for candidate in candidates:
            load = candidate.load
            if not load.has_capacity(step):
                continue
            if not placement.is_allowed(load, key, step):
                continue
            rating = _choice.rate_runner(step, candidate, _POLICY)
            if rating.speed_limit < min_speed:
                continue
            if best is None or rating.score > best_rating.score:
                best, best_rating = candidate, rating
        if best is None:
            break
        best.load.add_task(key, step)
        best.update_headrooms()
        chosen.append((key, best.load.identifier, best_rating.speed_limit))
    return chosen


@hypothesis.given(
    runners=_RUNNERS, step=_STEPS, min_speed=strategies.sampled_from([0.4, 1])
)
def test_choice_equals_full_search(
    runners: list[_RunnerSetup], step: model.Step, min_speed: float
) -> None:
    """Guards against outdated ratings and against overcommitted runners."""
    keys = [model.TaskKey("new", 0, 0, index) for index in range(step.count)]
    candidates = _make_candidates(runners)
    choices = placement.choose_runners(
        keys, step, candidates, _POLICY, min_speed
    )
    reference = _choose_by_full_search(
        keys, step, _make_candidates(runners), min_speed
    )
    assert [
        (choice.key, choice.candidate.load.identifier, choice.speed_limit)
        for choice in choices
    ] == reference
    for candidate in candidates:
        load = candidate.load
        assert load.reserved_cpu <= load.capacity.processors
        assert load.reserved_memory_mb <= load.capacity.memory_mb
        assert load.reserved_accelerators <= load.capacity.accelerators


@hypothesis.given(runners=_RUNNERS, steps=strategies.lists(_STEPS, max_size=6))
def test_infeasible_demands_equal_full_search(
    runners: list[_RunnerSetup], steps: list[model.Step]
) -> None:
    """Guards against leaving out steps that a runner could take."""
    candidates = _make_candidates(runners)
    demands = placement.InfeasibleDemands()
    for number, step in enumerate(steps):
        keys = [
            model.TaskKey(f"new{number}", 0, 0, index)
            for index in range(step.count)
        ]
        is_covered = demands.covers("s", step, 0.85)
        choices = placement.choose_runners(
            keys, step, candidates, _POLICY, min_speed=0.85
        )
        assert not (is_covered and choices)
        if len(choices) < len(keys) and not step.max_per_runner:
            demands.add("s", step, 0.85)
