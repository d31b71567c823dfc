"""Order of groups of waiting tasks, and the prospects of their jobs."""

import datetime

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from tamarackhatch import placement

_SECOND = datetime.timedelta(seconds=1)
_POLICY = placement.PlacementPolicy()
_BATCH = placement.WaitingGroup(0, 100.0, _SECOND, demand=20_000)
_LONG = placement.WaitingGroup(0, 90.0, 6 * _SECOND, is_long_running=True)


@pytest.mark.parametrize(
    ("elapsed_s", "remaining_s", "expected"),
    [
        (0, 1, placement.Prospect.IN_TIME),
        (1, 1, placement.Prospect.IN_TIME),
        (1.5, 1, placement.Prospect.LATE),
        (5, 1, placement.Prospect.LATE),
        (5.5, 1, placement.Prospect.OVERDUE),
    ],
)
def test_prospect(
    elapsed_s: float, remaining_s: float, expected: placement.Prospect
) -> None:
    """Guards against a wrong bound: in time up to 1, late up to 3 times."""
    assert (
        placement.assess_prospect(
            elapsed_s * _SECOND, remaining_s * _SECOND, 2 * _SECOND
        )
        is expected
    )


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param(
            attrs.evolve(_BATCH, demand=400_000),
            attrs.evolve(_BATCH, priority=2, demand=1_000),
            id="urgent queue first, however large the job",
        ),
        pytest.param(
            attrs.evolve(_BATCH, demand=400_000),
            attrs.evolve(_BATCH, prospect=placement.Prospect.LATE),
            id="job in time before a smaller one that is late",
        ),
        pytest.param(
            attrs.evolve(_BATCH, prospect=placement.Prospect.LATE),
            attrs.evolve(
                _BATCH, demand=1_000, prospect=placement.Prospect.OVERDUE
            ),
            id="late job before one that nobody waits for",
        ),
        pytest.param(
            _BATCH,
            _LONG,
            id="jobs in time before long-running tasks that waited",
        ),
        pytest.param(
            _LONG,
            attrs.evolve(_BATCH, prospect=placement.Prospect.LATE),
            id="long-running tasks that waited before late jobs",
        ),
        pytest.param(
            attrs.evolve(_BATCH, prospect=placement.Prospect.LATE),
            attrs.evolve(_LONG, waited=_SECOND),
            id="late jobs before new long-running tasks",
        ),
        pytest.param(
            attrs.evolve(_LONG, waited=_POLICY.max_long_running_wait),
            _BATCH,
            id="bound of the wait of long-running tasks",
        ),
        pytest.param(
            attrs.evolve(
                _BATCH,
                waited=_POLICY.batch_wait,
                demand=400_000,
                prospect=placement.Prospect.OVERDUE,
            ),
            attrs.evolve(_BATCH, demand=1_000),
            id="bound of the wait of overdue jobs",
        ),
    ],
)
def test_order(
    first: placement.WaitingGroup, second: placement.WaitingGroup
) -> None:
    """Guards against capacity that goes to callers who lose less."""
    assert placement.make_order_key(first, _POLICY) < placement.make_order_key(
        second, _POLICY
    )


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (
            _BATCH,
            attrs.evolve(_BATCH, priority=2),
            "its priority 0 is more urgent than 2",
        ),
        (
            _BATCH,
            attrs.evolve(_BATCH, prospect=placement.Prospect.LATE),
            "batch tasks that can meet their objective precede batch tasks "
            "that are late or have no objective",
        ),
        (
            _BATCH,
            attrs.evolve(_BATCH, demand=24_500),
            "its job asks for less: 20 cores, not 24.5",
        ),
        (
            _BATCH,
            attrs.evolve(_BATCH, accepted=101.0),
            "its job was accepted earlier",
        ),
    ],
)
def test_precedence_in_words(
    first: placement.WaitingGroup,
    second: placement.WaitingGroup,
    expected: str,
) -> None:
    """Guards against a stated reason that is not the one that decided."""
    keys = [
        placement.make_order_key(item, _POLICY) for item in (first, second)
    ]
    assert keys[0] < keys[1]
    assert placement.describe_precedence(keys[0], keys[1]) == expected


_KEYS = strategies.builds(
    placement.OrderKey,
    priority=strategies.sampled_from([0.0, 1.0]),
    rank=strategies.sampled_from(placement.Rank),
    demand=strategies.integers(0, 2),
    is_unlimited=strategies.booleans(),
    image=strategies.sampled_from(["", "one", "two"]),
    accepted=strategies.sampled_from([1.0, 2.0]),
)


@hypothesis.given(_KEYS, _KEYS)
def test_sort_key_has_the_order_of_the_keys(
    first: placement.OrderKey, second: placement.OrderKey
) -> None:
    """Guards against groups that are sorted by other fields than compared."""
    assert (first < second) == (first.sort_key < second.sort_key)
    assert (first == second) == (first.sort_key == second.sort_key)
