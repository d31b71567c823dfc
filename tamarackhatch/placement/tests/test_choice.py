"""Tests of the choice of runners and of speed limits."""

import datetime

import pytest

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.placement import _choice

_CAPACITY = model.Resources(64_000, 256_000)
_SMALL_REQUEST = model.Resources(6_400, 13_000)
_KEY = model.TaskKey("00", 0, 0, 0)
_NOW = datetime.timedelta(seconds=100)
_POLICY = placement.PlacementPolicy()
_SERVING_STEP = model.Step(
    1,
    _SMALL_REQUEST,
    is_long_running=True,
    image="watch",
    tail_latency_target=datetime.timedelta(milliseconds=50),
)


def _make_load(
    identifier: str, labels: tuple[str, ...] = ("a", "r1")
) -> placement.RunnerLoad:
    return placement.RunnerLoad(identifier, "s", _CAPACITY, labels)


def _make_interference(own_load: float = 0.3) -> placement.InterferenceModel:
    """Returns a model with factors of two pairs and the own load of job 01."""
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
        interference.add_samples("x", [sample], {}, _NOW - tick * _NOW / 200)
    return interference


def _make_candidate(
    load: placement.RunnerLoad,
    interference: placement.InterferenceModel | None = None,
) -> placement.CandidateRunner:
    return placement.CandidateRunner(
        load, interference or _make_interference(), _POLICY, _NOW
    )


def _choose_identifiers(
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
        (model.Step(1, _SMALL_REQUEST), ["x"]),
        (model.Step(2, model.Resources(40_000, 1)), ["x"]),
        (model.Step(1, model.Resources(64_001, 1)), []),
        (model.Step(1, model.Resources(1, 256_001)), []),
        (model.Step(1, model.Resources(1, 1, 1)), []),
        (
            model.Step(1, model.Resources(90_000, 1), is_best_effort=True),
            ["x"],
        ),
        (model.Step(1, _SMALL_REQUEST, required_label="a"), ["x"]),
        (model.Step(1, _SMALL_REQUEST, required_label="b"), []),
        (model.Step(3, _SMALL_REQUEST, max_per_runner=2), ["x", "x"]),
    ],
)
def test_capacity_and_labels(step: model.Step, chosen: list[str]) -> None:
    """Guards against overcommitted runners and tasks on forbidden runners."""
    assert (
        _choose_identifiers(step, _make_candidate(_make_load("x"))) == chosen
    )


def test_running_tasks_count_for_the_limit_per_runner() -> None:
    """Guards against a limit that counts only new tasks."""
    step = model.Step(1, _SMALL_REQUEST, max_per_runner=1)
    load = _make_load("x")
    load.add_task(model.TaskKey("00", 0, 0, 1), step)
    assert _choose_identifiers(step, _make_candidate(load)) == []
    load.remove_task(model.TaskKey("00", 0, 0, 1), step)
    assert _choose_identifiers(step, _make_candidate(load)) == ["x"]


def _make_serving_load(tasks: int = 4) -> placement.RunnerLoad:
    load = _make_load("busy")
    for number in range(tasks):
        load.add_task(model.TaskKey("01", 0, 0, number), _SERVING_STEP)
    return load


@pytest.mark.parametrize("image", ["heavy", "light", "unknown"])
@pytest.mark.parametrize("processors", [0, 1, 64_000])
# With 0.78 to 0.9 there is no headroom; 0.95 is taken for a faulty sample.
@pytest.mark.parametrize("own_load", [0.3, 0.78, 0.9, 0.95])
@pytest.mark.parametrize("requested", [0, 1, 90_000])
def test_best_effort_task_is_rated_on_any_runner(
    image: str, processors: int, own_load: float, requested: int
) -> None:
    """Guards against a division by zero, which would end the scheduler."""
    load = _make_serving_load(12)
    load.capacity = model.Resources(processors, 256_000)
    candidate = _make_candidate(load, _make_interference(own_load))
    step = model.Step(
        1, model.Resources(requested, 1), is_best_effort=True, image=image
    )
    rating = _choice.rate_runner(step, candidate, _POLICY)
    assert 0 <= rating.speed_limit <= 1


@pytest.mark.parametrize("image", ["heavy", "light", "unknown"])
@pytest.mark.parametrize("own_load", [0.3, 0.78, 0.9])
def test_task_without_processors_needs_no_headroom(
    own_load: float, image: str
) -> None:
    """Guards against a task that one rule would start, and another not."""
    step = model.Step(
        1, model.Resources(0, 1), is_best_effort=True, image=image
    )
    candidate = _make_candidate(
        _make_serving_load(), _make_interference(own_load)
    )
    assert _choice.can_start(_KEY, step, candidate, _POLICY)
    assert _choose_identifiers(step, candidate) == ["busy"]


@pytest.mark.parametrize(
    ("own_load", "image", "min_speed", "chosen"),
    [
        # A heavy best-effort task adds at least 0.2; the limit is 0.8.
        (0.3, "heavy", 1.0, ["busy"]),
        (0.65, "heavy", 1.0, []),
        (0.65, "heavy", 0.4, ["busy"]),
        (0.75, "heavy", 0.4, []),
        (0.65, "light", 1.0, ["busy"]),
        # The estimate for an unknown pair is high.
        (0.3, "unknown", 1.0, ["busy"]),
        (0.65, "unknown", 1.0, []),
    ],
)
def test_best_effort_tasks_fit_into_headroom(
    own_load: float, image: str, min_speed: float, chosen: list[str]
) -> None:
    """Guards against placing tasks that cause target violations."""
    step = model.Step(1, _SMALL_REQUEST, is_best_effort=True, image=image)
    candidate = _make_candidate(
        _make_serving_load(), _make_interference(own_load)
    )
    assert _choose_identifiers(step, candidate, min_speed=min_speed) == chosen


def test_heavy_best_effort_task_prefers_runner_without_serving_tasks() -> None:
    """Guards against needless interference with serving tasks."""
    step = model.Step(1, _SMALL_REQUEST, is_best_effort=True, image="heavy")
    busy = _make_candidate(_make_serving_load())
    idle_load = _make_load("idle")
    idle_load.add_task(_KEY, model.Step(1, model.Resources(50_000, 1)))
    assert _choose_identifiers(step, busy, _make_candidate(idle_load)) == [
        "idle"
    ]


def test_light_best_effort_tasks_do_not_overload_processors() -> None:
    """Guards against target violations by too many light best-effort tasks."""
    step = model.Step(12, _SMALL_REQUEST, is_best_effort=True, image="light")
    candidate = _make_candidate(_make_serving_load(8), _make_interference(0.5))
    # Eight serving tasks use 0.4 of the runner, each best-effort task 0.1.
    assert len(_choose_identifiers(step, candidate)) in (5, 6)


def test_serving_tasks_of_one_image_share_runners() -> None:
    """Guards against mixing images with different interference factors."""
    other = model.Step(
        1,
        _SMALL_REQUEST,
        is_long_running=True,
        image="other",
        tail_latency_target=datetime.timedelta(milliseconds=50),
    )
    same_load, other_load = _make_load("same"), _make_load("other")
    same_load.add_task(model.TaskKey("01", 0, 0, 0), _SERVING_STEP)
    other_load.add_task(model.TaskKey("02", 0, 0, 0), other)
    chosen = _choose_identifiers(
        _SERVING_STEP,
        _make_candidate(other_load),
        _make_candidate(_make_load("empty")),
        _make_candidate(same_load),
    )
    assert chosen == ["same"]


def test_each_choice_counts_the_earlier_choices() -> None:
    """Guards against choices that ignore the choices before them."""
    step = model.Step(4, model.Resources(32_000, 1))
    candidates = [_make_candidate(_make_load(name)) for name in "xy"]
    assert sorted(_choose_identifiers(step, *candidates)) == [
        "x",
        "x",
        "y",
        "y",
    ]


def _make_serving_state(own_load: float) -> placement.ServingState:
    return placement.ServingState("watch", own_load, 0.77)


@pytest.mark.parametrize(
    ("own_load", "images", "throttled"),
    [
        (0.3, ("heavy", "light"), set()),
        (0.7, ("light",), set()),
        (0.7, ("heavy", "light"), {"heavy"}),
        (0.9, ("heavy", "light"), {"heavy", "light"}),
    ],
)
def test_most_interfering_best_effort_task_is_throttled_first(
    own_load: float, images: tuple[str, ...], throttled: set[str]
) -> None:
    """Guards against throttling more tasks than the target requires."""
    best_effort_tasks = [
        placement.BestEffortState(
            model.TaskKey("00", 0, 0, index), image, 0.1, 100
        )
        for index, image in enumerate(images)
    ]
    speed_limit_percents = placement.choose_speed_limits(
        _make_interference(),
        [_make_serving_state(own_load)],
        best_effort_tasks,
        _POLICY.uncertainty_weight,
    )
    assert {
        best_effort.image
        for best_effort in best_effort_tasks
        if speed_limit_percents.get(best_effort.task, 100) < 100
    } == throttled


@pytest.mark.parametrize(
    ("unfinished", "throttled"),
    [((0, 0), 0), ((1, 12), 1), ((12, 1), 0), ((3, 3), 0)],
)
def test_task_that_holds_back_its_step_is_throttled_last(
    unfinished: tuple[int, int], throttled: int
) -> None:
    """Guards against slowing the last task of a step beside others."""
    best_effort_tasks = [
        placement.BestEffortState(
            model.TaskKey("00", 0, 0, index),
            "heavy",
            0.05,
            100,
            unfinished=count,
        )
        for index, count in enumerate(unfinished)
    ]
    speed_limit_percents = placement.choose_speed_limits(
        _make_interference(),
        [_make_serving_state(0.6)],
        best_effort_tasks,
        _POLICY.uncertainty_weight,
    )
    assert list(speed_limit_percents) == [best_effort_tasks[throttled].task]


def test_unknown_speed_limit_is_always_sent() -> None:
    """Guards against a task that stays stopped after a takeover."""
    best_effort = placement.BestEffortState(_KEY, "light", 0.1, None)
    speed_limit_percents = placement.choose_speed_limits(
        _make_interference(), [], [best_effort], 1.0
    )
    assert speed_limit_percents == {_KEY: 100}
