"""History check: authority over a worker is exclusive, whatever fails."""

import datetime

from absl import logging
import hypothesis
from hypothesis import strategies
import pytest

from tamarackhatch import membership
from tamarackhatch.membership.tests import _simulation as simulation

_INDEX = strategies.integers(0, 3)
_SECONDS = strategies.floats(0.5, 60.0)
_FAULTS = strategies.one_of(
    strategies.builds(simulation.Pause, _INDEX, _SECONDS),
    strategies.builds(simulation.Cut, _INDEX, _INDEX, _SECONDS),
    strategies.builds(
        simulation.StoreCut, strategies.none() | _INDEX, _SECONDS
    ),
    strategies.builds(
        simulation.Kill,
        _INDEX,
        strategies.sampled_from([None, 0.1, 3.0, 12.0]),
        strategies.booleans(),
        strategies.booleans(),
    ),
    strategies.builds(simulation.Join),
    strategies.builds(
        simulation.Lose,
        _INDEX,
        strategies.integers(1, 4),
        strategies.sampled_from([None, 0.0, 2.0, 12.0]),
    ),
)
_STEPS = strategies.lists(
    strategies.builds(
        simulation.Step,
        _FAULTS,
        strategies.sampled_from([0.0, 0.5, 3.0, 8.0, 12.0]),
    ),
    min_size=1,
    max_size=10,
)


@pytest.fixture(autouse=True)
def _quiet_logs() -> None:
    logging.set_verbosity(logging.FATAL)


@hypothesis.settings(
    max_examples=60, deadline=None, database=None, derandomize=True
)
@hypothesis.given(
    _STEPS, strategies.integers(0, 1000), strategies.integers(1, 4)
)
def test_authority_is_exclusive(
    steps: list[simulation.Step], seed: int, size: int
) -> None:
    """Guards against two owners of one worker at one moment (G10)."""
    world = simulation.run_history(steps, seed, size=size)
    assert world.violations == []


@hypothesis.settings(
    max_examples=15, deadline=None, database=None, derandomize=True
)
@hypothesis.given(
    strategies.lists(
        strategies.builds(
            simulation.Step,
            strategies.builds(
                simulation.StoreCut, strategies.none(), _SECONDS
            ),
            strategies.floats(0.0, 60.0),
        ),
        min_size=1,
        max_size=4,
    ),
    strategies.integers(1, 4),
)
def test_store_outage_takes_no_authority(
    steps: list[simulation.Step], size: int
) -> None:
    """Guards against a data centre that stops serving without the store."""
    doubts: list[str] = []

    def watch(world: simulation.World) -> None:
        for process in world.list_alive():
            doubt = process.authority.find_doubt()
            if doubt is not None:
                doubts.append(f"{world.now:.1f}: {process.name}: {doubt}")

    world = simulation.run_history(
        steps, size=size, watch=watch, has_slow_transit=False
    )
    assert (doubts, world.violations) == ([], [])


class _PageAuthority(membership.Authority):
    """Counts a process as down however late its end was seen."""

    def note_down(self, incarnation: str) -> None:
        super().note_down(incarnation)
        if incarnation in self._members:
            self._members[incarnation].down_at = datetime.timedelta()


class _PromiseBreaker(membership.FencingRule):
    """Fences in spite of its promises."""

    def may_fence(self, row: membership.SessionRow, is_down: bool) -> bool:
        self._promised_until.clear()
        return super().may_fence(row, is_down)


class _EagerPromiser(membership.FencingRule):
    """Promises even while its fencing write is on its way."""

    def give_promise(self, incarnation: str) -> bool:
        super().give_promise(incarnation)
        return True


class _HastyJoiner(membership.FencingRule):
    """Fences sessions that have not accepted its hello."""

    def may_fence(self, row: membership.SessionRow, is_down: bool) -> bool:
        return super().may_fence(row, True)


_CUT_OFF = [
    simulation.Step(simulation.StoreCut(0, 100.0), 0.0),
    simulation.Step(simulation.Cut(0, 1, 25.0), 0.0),
]
_LONG_HOLD = membership.Timing(hold_for=datetime.timedelta(seconds=20))
# Each entry: the broken rules, a history, its seed and size.
_BROKEN = {
    "hold above fence": (
        simulation.Rules(timing=_LONG_HOLD),
        _CUT_OFF,
        3,
    ),
    "down seen too late": (
        simulation.Rules(authority=_PageAuthority),
        [
            *_CUT_OFF,
            simulation.Step(simulation.Pause(5, 0.0), 15.0),
            simulation.Step(simulation.Kill(1, 20.0), 30.0),
        ],
        2,
    ),
    "promise broken": (
        simulation.Rules(fencing=_PromiseBreaker),
        _CUT_OFF[:1],
        3,
    ),
    "promise while fencing": (
        simulation.Rules(fencing=_EagerPromiser),
        _CUT_OFF,
        3,
    ),
    "joiner without hello": (
        simulation.Rules(fencing=_HastyJoiner),
        [
            _CUT_OFF[0],
            simulation.Step(simulation.Join(), 0.0),
            simulation.Step(simulation.Cut(3, 0, 100.0), 30.0),
        ],
        3,
    ),
}


@pytest.mark.parametrize("name", _BROKEN)
def test_broken_rule_is_found(name: str) -> None:
    """Guards against a history check that cannot fail."""
    rules, steps, size = _BROKEN[name]
    broken = simulation.run_history(steps, 1, rules, size)
    assert broken.violations
    assert simulation.run_history(steps, 1, size=size).violations == []
