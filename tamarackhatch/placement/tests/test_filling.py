"""Combinations of serving tasks that fill runners."""

import collections
import datetime
import random

import attrs
import pytest

from tamarackhatch import model
from tamarackhatch import placement

_POLICY = placement.PlacementPolicy()
_CAPACITY = model.Resources(64_000, 256_000)


def _make_candidate(index: int) -> placement.CandidateRunner:
    return placement.CandidateRunner(
        placement.RunnerLoad(f"r-{index}", "s", _CAPACITY),
        placement.InterferenceModel(),
        _POLICY,
        datetime.timedelta(),
    )


def _make_step(
    name: str,
    count: int,
    processors: int,
    image: str = "a",
    memory_mb: int = 1_000,
    max_per_runner: int = 0,
) -> placement.FillingStep:
    step = model.Step(
        count,
        model.Resources(processors, memory_mb),
        is_long_running=True,
        max_per_runner=max_per_runner,
        image=image,
        tail_latency_target=datetime.timedelta(milliseconds=50),
    )
    keys = [model.TaskKey(name, 0, 0, index) for index in range(count)]
    return placement.FillingStep(step, keys)


def _count_places(
    choices: list[placement.Choice],
) -> dict[str, dict[str, int]]:
    """Returns the number of tasks by runner and job."""
    places: dict[str, collections.Counter[str]] = {}
    for choice in choices:
        runner = choice.candidate.load.identifier
        places.setdefault(runner, collections.Counter())[choice.key.job] += 1
    return {runner: dict(jobs) for runner, jobs in places.items()}


@pytest.mark.parametrize(
    ("steps", "may_mix_images", "expected"),
    [
        pytest.param(
            [_make_step("x", 4, 20_000), _make_step("y", 4, 12_000)],
            False,
            {"r-0": {"x": 2, "y": 2}, "r-1": {"x": 2, "y": 2}},
            id="two sizes of one image",
        ),
        pytest.param(
            [_make_step("x", 2, 20_000), _make_step("y", 2, 12_000, "b")],
            False,
            {},
            id="images are kept apart while there is room",
        ),
        pytest.param(
            [_make_step("x", 2, 20_000), _make_step("y", 2, 12_000, "b")],
            True,
            {"r-0": {"x": 2, "y": 2}},
            id="images are mixed when room is scarce",
        ),
        pytest.param(
            [
                _make_step("x", 4, 16_000),
                _make_step("y", 4, 16_000, "b"),
            ],
            True,
            {"r-0": {"x": 4}, "r-1": {"y": 4}},
            id="one image where it fills a runner",
        ),
        pytest.param(
            [_make_step("x", 4, 16_000, max_per_runner=2)],
            False,
            {},
            id="limit of a step on one runner",
        ),
        pytest.param(
            [
                _make_step("x", 2, 32_000, memory_mb=200_000),
                _make_step("y", 2, 31_900, memory_mb=50_000),
            ],
            False,
            {"r-0": {"x": 1, "y": 1}, "r-1": {"x": 1, "y": 1}},
            id="memory of the best combination does not suffice",
        ),
        pytest.param(
            [_make_step("x", 5, 19_000)], False, {}, id="a large rest is left"
        ),
    ],
)
def test_combinations(
    steps: list[placement.FillingStep],
    may_mix_images: bool,
    expected: dict[str, dict[str, int]],
) -> None:
    """Guards against pieces of a few processors on each runner."""
    steps = [attrs.evolve(item, keys=list(item.keys)) for item in steps]
    waiting = {key for item in steps for key in item.keys}
    candidates = [_make_candidate(index) for index in range(3)]
    choices = placement.fill_runners(steps, candidates, may_mix_images, 0)
    assert _count_places(choices) == expected
    left = {key for item in steps for key in item.keys}
    assert left == waiting - {choice.key for choice in choices}
    for candidate in candidates:
        assert not candidate.load.is_over_capacity()


def test_runner_with_other_tasks_is_filled_up_by_its_image() -> None:
    """Guards against a new runner while a piece of the same size is free."""
    candidates = [_make_candidate(index) for index in range(2)]
    present = _make_step("present", 1, 24_000)
    candidates[1].load.add_task(present.keys[0], present.step)
    steps = [_make_step("x", 2, 20_000)]
    choices = placement.fill_runners(steps, candidates, False, 0)
    assert _count_places(choices) == {"r-1": {"x": 2}}
    assert candidates[1].load.compute_free().processors == 0


def test_large_batch_tasks_fit_beside_serving_tasks() -> None:
    """Guards against free processors that no batch task can use.

    Load: 400 serving tasks of 8 to 18 cores come together and reserve nine
    tenths of 90 runners. At least half of what is left has to be in pieces of
    24 cores, which leaves it to an urgent batch task.
    """
    source = random.Random(1)
    steps = [
        _make_step(
            f"job-{number:02}",
            20,
            source.randrange(8_000, 18_000, 50),
            f"image-{number % 5}",
            max_per_runner=2 * (number % 2),
        )
        for number in range(20)
    ]
    candidates = [_make_candidate(index) for index in range(90)]
    placement.fill_runners(steps, candidates, True, 0)
    for item in steps:
        placed = placement.choose_runners(
            item.keys, item.step, candidates, _POLICY
        )
        assert len(placed) == len(item.keys)
    free = [
        candidate.load.compute_free().processors for candidate in candidates
    ]
    usable = sum(piece for piece in free if piece >= 24_000)
    assert usable >= sum(free) / 2


@pytest.mark.parametrize(
    ("min_runners", "expected"), [(2, 8), (2.1, 0)], ids=["enough", "too few"]
)
def test_image_needs_enough_runners(min_runners: float, expected: int) -> None:
    """Guards against runners left half full for images with few tasks."""
    candidates = [_make_candidate(index) for index in range(9)]
    steps = [_make_step("x", 8, 16_000)]
    choices = placement.fill_runners(steps, candidates, True, min_runners)
    assert len(choices) == expected


def test_runner_that_fails_is_not_filled() -> None:
    """Guards against serving tasks on a runner whose runs fail."""
    candidate = _make_candidate(0)
    candidate.penalty = 0.5
    steps = [_make_step("x", 4, 16_000)]
    assert not placement.fill_runners(steps, [candidate], True, 0)
