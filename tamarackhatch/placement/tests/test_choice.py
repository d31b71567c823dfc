"""Rules and preferences of the choice of runners, and of speed limits."""

import datetime

import pytest

from tamarackhatch import model
from tamarackhatch import placement

_CAPACITY = model.Resources(64_000, 256_000)
_SMALL = model.Resources(6_400, 13_000)
_KEY = model.TaskKey("00", 0, 0, 0)
_NOW = datetime.timedelta(seconds=100)
_POLICY = placement.PlacementPolicy()
_WATCH = model.Step(
    1,
    _SMALL,
    is_long_running=True,
    image="watch",
    tail_latency_target=datetime.timedelta(milliseconds=50),
)


def _make_load(
    identifier: str, labels: tuple[str, ...] = ("a", "r1")
) -> placement.RunnerLoad:
    return placement.RunnerLoad(identifier, "s", _CAPACITY, labels)


def _make_interference(own_load: float = 0.3) -> placement.InterferenceModel:
    """Returns a model that knows two pairs and the load of job 01."""
    interference = placement.InterferenceModel()
    table = placement.InterferenceTable(
        (
            placement.InterferenceFactor("watch", "heavy", 2.0, 0.1),
            placement.InterferenceFactor("watch", "light", 0.1, 0.03),
        ),
        peaks={"watch": 0.7},
    )
    interference.import_interference(table, _NOW)
    for tick in range(10, 0, -1):
        sample = placement.JobSample(
            "01", "watch", 10 / (1 - own_load), 4, 50.0
        )
        interference.observe("x", [sample], {}, _NOW - tick * _NOW / 200)
    return interference


def _make_candidate(
    load: placement.RunnerLoad,
    interference: placement.InterferenceModel | None = None,
) -> placement.CandidateRunner:
    return placement.CandidateRunner(
        load, interference or _make_interference(), _POLICY, _NOW
    )


def _choose(
    step: model.Step,
    *candidates: placement.CandidateRunner,
    min_speed: float = 1.0,
) -> list[str]:
    keys = [model.TaskKey("00", 0, 0, n) for n in range(step.count)]
    choices = placement.choose_runners(
        keys, step, candidates, _POLICY, min_speed
    )
    return [choice.candidate.load.identifier for choice in choices]


@pytest.mark.parametrize(
    ("step", "chosen"),
    [
        (model.Step(1, _SMALL), ["x"]),
        (model.Step(2, model.Resources(40_000, 1)), ["x"]),
        (model.Step(1, model.Resources(64_001, 1)), []),
        (model.Step(1, model.Resources(1, 256_001)), []),
        (model.Step(1, model.Resources(1, 1, 1)), []),
        (
            model.Step(1, model.Resources(90_000, 1), is_best_effort=True),
            ["x"],
        ),
        (model.Step(1, _SMALL, required_label="a"), ["x"]),
        (model.Step(1, _SMALL, required_label="b"), []),
        (model.Step(3, _SMALL, max_per_runner=2), ["x", "x"]),
    ],
)
def test_capacity_and_labels(step: model.Step, chosen: list[str]) -> None:
    """Guards against committing a runner beyond its capacity."""
    assert _choose(step, _make_candidate(_make_load("x"))) == chosen


def test_limit_of_tasks_on_one_runner() -> None:
    """Tasks that run already count for a step's limit."""
    step = model.Step(1, _SMALL, max_per_runner=1)
    load = _make_load("x")
    load.add(model.TaskKey("00", 0, 0, 1), step)
    assert _choose(step, _make_candidate(load)) == []
    load.remove(model.TaskKey("00", 0, 0, 1), step)
    assert _choose(step, _make_candidate(load)) == ["x"]


def _make_busy_load(tasks: int = 4) -> placement.RunnerLoad:
    load = _make_load("busy")
    for number in range(tasks):
        load.add(model.TaskKey("01", 0, 0, number), _WATCH)
    return load


@pytest.mark.parametrize(
    ("own_load", "image", "min_speed", "chosen"),
    [
        # A heavy best-effort task adds 0.2 and more; the limit is 0.8.
        (0.3, "heavy", 1.0, ["busy"]),
        (0.65, "heavy", 1.0, []),
        (0.65, "heavy", 0.4, ["busy"]),
        (0.75, "heavy", 0.4, []),
        (0.65, "light", 1.0, ["busy"]),
        # An unknown pair is taken to be heavier than it probably is.
        (0.3, "unknown", 1.0, ["busy"]),
        (0.65, "unknown", 1.0, []),
    ],
)
def test_best_effort_tasks_spare_serving_tasks(
    own_load: float, image: str, min_speed: float, chosen: list[str]
) -> None:
    """Guards against pushing a serving task over its target."""
    step = model.Step(1, _SMALL, is_best_effort=True, image=image)
    candidate = _make_candidate(
        _make_busy_load(), _make_interference(own_load)
    )
    assert _choose(step, candidate, min_speed=min_speed) == chosen


def test_heavy_best_effort_task_goes_where_nobody_serves() -> None:
    """A runner without serving tasks suits a heavy best-effort task better."""
    step = model.Step(1, _SMALL, is_best_effort=True, image="heavy")
    busy = _make_candidate(_make_busy_load())
    idle_load = _make_load("idle")
    idle_load.add(_KEY, model.Step(1, model.Resources(50_000, 1)))
    assert _choose(step, busy, _make_candidate(idle_load)) == ["idle"]


def test_processors_in_use_are_not_exceeded_beside_serving_tasks() -> None:
    """Guards against target violations by too many light best-effort tasks."""
    step = model.Step(12, _SMALL, is_best_effort=True, image="light")
    candidate = _make_candidate(_make_busy_load(8), _make_interference(0.5))
    # Eight serving tasks use 0.4 of the runner, each best-effort task uses
    # 0.1.
    assert len(_choose(step, candidate)) in (5, 6)


def test_serving_tasks_of_one_image_share_runners() -> None:
    """Guards against mixing images whose enemies differ."""
    other = model.Step(
        1,
        _SMALL,
        is_long_running=True,
        image="other",
        tail_latency_target=datetime.timedelta(milliseconds=50),
    )
    same_load, other_load = _make_load("same"), _make_load("other")
    same_load.add(model.TaskKey("01", 0, 0, 0), _WATCH)
    other_load.add(model.TaskKey("02", 0, 0, 0), other)
    chosen = _choose(
        _WATCH,
        _make_candidate(other_load),
        _make_candidate(_make_load("empty")),
        _make_candidate(same_load),
    )
    assert chosen == ["same"]


def test_tasks_of_a_step_are_placed_together() -> None:
    """Each choice sees the choices before it."""
    step = model.Step(4, model.Resources(32_000, 1))
    candidates = [_make_candidate(_make_load(name)) for name in "xy"]
    assert sorted(_choose(step, *candidates)) == ["x", "x", "y", "y"]


def _make_state(own_load: float) -> placement.ServingState:
    return placement.ServingState("watch", own_load, 0.77)


@pytest.mark.parametrize(
    ("own_load", "images", "slowed"),
    [
        (0.3, ("heavy", "light"), set()),
        (0.7, ("light",), set()),
        (0.7, ("heavy", "light"), {"heavy"}),
        (0.9, ("heavy", "light"), {"heavy", "light"}),
    ],
)
def test_most_interfering_best_effort_task_slows_first(
    own_load: float, images: tuple[str, ...], slowed: set[str]
) -> None:
    """Full speed unless a serving task would pass its target."""
    best_effort_tasks = [
        placement.BestEffortState(
            model.TaskKey("00", 0, 0, index), image, 0.1, 100
        )
        for index, image in enumerate(images)
    ]
    speed_limit_percents = placement.choose_speed_limits(
        _make_interference(),
        [_make_state(own_load)],
        best_effort_tasks,
        _POLICY.uncertainty_weight,
    )
    assert {
        best_effort.image
        for best_effort in best_effort_tasks
        if speed_limit_percents.get(best_effort.task, 100) < 100
    } == slowed


def test_unknown_speed_limit_is_always_sent() -> None:
    """Guards against a task that a predecessor left standing still."""
    best_effort = placement.BestEffortState(_KEY, "light", 0.1, None)
    speed_limit_percents = placement.choose_speed_limits(
        _make_interference(), [], [best_effort], 1.0
    )
    assert speed_limit_percents == {_KEY: 100}
