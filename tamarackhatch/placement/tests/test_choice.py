"""Rules and preferences of the choice of a runner, and of paces."""

import datetime

import pytest

from tamarackhatch import model
from tamarackhatch import placement

_CAPACITY = model.Resources(64_000, 256_000)
_SMALL = model.Resources(6_000, 13_000)
_KEY = model.TaskKey("00", 0, 0, 0)


def _make_load(
    identifier: str, labels: tuple[str, ...] = ("a", "r1")
) -> placement.RunnerLoad:
    return placement.RunnerLoad(identifier, "s", _CAPACITY, labels)


def _choose(step: model.Step, *candidates: placement.Candidate) -> str | None:
    choice = placement.choose_runner(_KEY, step, candidates, _make_factors())
    return None if choice is None else choice.candidate.load.identifier


def _make_factors() -> placement.InterferenceModel:
    factors = placement.InterferenceModel()
    table = placement.FactorTable(
        (
            placement.LearnedFactor("watch", "heavy", 2.0, 0.01),
            placement.LearnedFactor("watch", "light", 0.1, 0.01),
        )
    )
    factors.import_factors(table, datetime.timedelta())
    return factors


def _make_state(own_load: float) -> placement.ServingState:
    return placement.ServingState("watch", own_load, 0.0, 0.8)


@pytest.mark.parametrize(
    ("step", "is_placed"),
    [
        (model.Step(1, _SMALL), True),
        (model.Step(1, model.Resources(64_001, 1)), False),
        (model.Step(1, model.Resources(1, 256_001)), False),
        (model.Step(1, model.Resources(1, 1, 1)), False),
        (model.Step(1, model.Resources(90_000, 1), is_filler=True), True),
        (model.Step(1, _SMALL, required_label="a"), True),
        (model.Step(1, _SMALL, required_label="b"), False),
    ],
)
def test_room_and_labels(step: model.Step, is_placed: bool) -> None:
    """Guards against committing a runner beyond its capacity."""
    chosen = _choose(step, placement.Candidate(_make_load("x")))
    assert (chosen == "x") is is_placed


def test_limit_of_tasks_on_one_runner() -> None:
    """A step's tasks do not exceed their limit on a runner."""
    step = model.Step(3, _SMALL, max_per_runner=1)
    load = _make_load("x")
    load.add(model.TaskKey("00", 0, 0, 1), step)
    assert _choose(step, placement.Candidate(load)) is None
    load.remove(model.TaskKey("00", 0, 0, 1), step)
    assert _choose(step, placement.Candidate(load)) == "x"


def test_heavy_filler_goes_where_nobody_serves() -> None:
    """A filler that would push a serving task over its target goes away."""
    step = model.Step(1, _SMALL, is_filler=True, image="heavy")
    busy = placement.Candidate(_make_load("busy"), serving=(_make_state(0.7),))
    idle_load = _make_load("idle")
    idle_load.add(_KEY, model.Step(1, model.Resources(50_000, 1)))
    assert _choose(step, busy, placement.Candidate(idle_load)) == "idle"


def test_serving_tasks_of_one_image_share_runners() -> None:
    """Guards against mixing images whose enemies differ."""
    step = model.Step(
        1,
        _SMALL,
        is_lasting=True,
        image="watch",
        tail_target=datetime.timedelta(milliseconds=50),
    )
    other = model.Step(
        1,
        _SMALL,
        is_lasting=True,
        image="other",
        tail_target=datetime.timedelta(milliseconds=50),
    )
    same_load, other_load = _make_load("same"), _make_load("other")
    same_load.add(model.TaskKey("01", 0, 0, 0), step)
    other_load.add(model.TaskKey("02", 0, 0, 0), other)
    candidates = [
        placement.Candidate(other_load),
        placement.Candidate(same_load),
    ]
    assert _choose(step, *candidates) == "same"


@pytest.mark.parametrize(
    ("own_load", "images", "expected"),
    [
        (0.3, ("heavy", "light"), {}),
        (0.7, ("light",), {}),
        (0.7, ("heavy", "light"), {"heavy": True}),
        (0.9, ("heavy", "light"), {"heavy": True, "light": True}),
    ],
)
def test_most_harmful_filler_slows_first(
    own_load: float, images: tuple[str, ...], expected: dict[str, bool]
) -> None:
    """Full pace unless a serving task would pass its target."""
    fillers = [
        placement.FillerState(
            model.TaskKey("00", 0, 0, index), image, 0.1, 100
        )
        for index, image in enumerate(images)
    ]
    paces = placement.choose_paces(
        _make_factors(), [_make_state(own_load)], fillers
    )
    slowed = {
        filler.image: paces[filler.task] < 100
        for filler in fillers
        if filler.task in paces
    }
    assert slowed == expected


def test_unknown_pace_is_always_ordered() -> None:
    """Guards against a filler that a predecessor left standing still."""
    filler = placement.FillerState(_KEY, "light", 0.1, None)
    paces = placement.choose_paces(_make_factors(), [], [filler])
    assert paces == {_KEY: 100}
