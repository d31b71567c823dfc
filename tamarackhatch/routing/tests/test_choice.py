"""Tests of the choice of runners and of the directory."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from tamarackhatch import model
from tamarackhatch import routing
from tamarackhatch.routing.tests import harness

_FULL = 4
_CANDIDATES = strategies.lists(
    strategies.builds(
        routing.Candidate,
        worker=strategies.text("abcdef", min_size=1, max_size=3),
        instance=strategies.sampled_from("xyz"),
        distance=strategies.integers(0, 2),
        load=strategies.integers(0, 6),
    ),
    max_size=5,
    unique_by=lambda item: item.worker,
)


def _list_allowed(candidates: list[routing.Candidate]) -> set[str]:
    """Naive rule: all results that some pair of draws may have."""
    for limit in (_FULL, 1000):
        for distance in range(3):
            tier = [
                item
                for item in candidates
                if item.distance == distance and item.load < limit
            ]
            if len(tier) == 1:
                return {tier[0].worker}
            if tier:
                return {
                    a.worker
                    for a in tier
                    for b in tier
                    if a.worker != b.worker and a.load <= b.load
                }
    return set()


@hypothesis.settings(deadline=None)
@hypothesis.given(_CANDIDATES, strategies.integers(0, 1000))
def test_choice_agrees_with_the_naive_rule(
    candidates: list[routing.Candidate], seed: int
) -> None:
    """Guards against faults in tiers, spill-over and comparison of loads."""
    generator = random.Random(seed)
    draws = [
        routing.choose_runner(candidates, _FULL, generator) for _ in range(400)
    ]
    found = {item.worker for item in draws if item is not None}
    # Of at most 10 pairs, 400 draws miss one with a probability of 1e-18.
    assert found == _list_allowed(candidates)


def _load(
    worker: str, busy: int = 0, is_usable: bool = True
) -> model.RunnerLoad:
    return model.RunnerLoad(worker, "s", busy, 0, is_usable)


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        ([], [("w1", "a", 0, 0)]),
        (
            [("b", [_load("w2", 3)], ()), ("c", [_load("w3")], ())],
            [("w1", "a", 0, 0), ("w2", "b", 1, 3), ("w3", "c", 2, 0)],
        ),
        ([("b", [_load("w2", 0, False)], ())], [("w1", "a", 0, 0)]),
        (
            [("b", [_load("w2")], ()), ("b", [], ("w2",))],
            [("w1", "a", 0, 0)],
        ),
        # The worker moved from b to c; b's last report is out of date.
        (
            [("b", [_load("w2", 7)], ()), ("c", [_load("w2", 1)], ())],
            [("w1", "a", 0, 0), ("w2", "c", 2, 1)],
        ),
        # An old owner may still report a worker that this instance owns.
        ([("b", [_load("w1", 7)], ())], [("w1", "a", 0, 0)]),
        # A peer that is not in the roster cannot be reached.
        ([("z", [_load("w9")], ())], [("w1", "a", 0, 0)]),
    ],
)
def test_directory(
    reports: list[tuple[str, list[model.RunnerLoad], tuple[str, ...]]],
    expected: list[tuple[str, str, int, int]],
) -> None:
    """Guards against candidates that are gone, moved or misplaced."""
    places = {"a": ("d1", "r1"), "b": ("d2", "r1"), "c": ("d3", "r2")}
    fleet = harness.Fleet({"a": ("w1",), "b": (), "c": ()}, places=places)
    directory = fleet.instances["a"].directory
    for instance, loads, dropped in reports:
        directory.update_loads(instance, tuple(loads), dropped)
    found = [
        (item.worker, item.instance, item.distance, item.load)
        for item in directory.list_candidates("s")
    ]
    assert found == expected
    assert directory.list_candidates("other") == ()
