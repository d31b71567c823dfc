"""Tests estimates of how often runners crash."""

import datetime
import types
import typing

import pytest

from tamarackhatch import model
from tamarackhatch.scheduler import _crash_rates

_OWN = model.TaskKey("00", 0, 0, 0)
_OTHER = model.TaskKey("01", 0, 0, 0)


class _Clock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now = datetime.timedelta()

    def get_monotonic(self) -> datetime.timedelta:
        """Returns the time that was set."""
        return self.now


@pytest.mark.parametrize(
    ("crashes", "cause", "lowest", "highest"),
    [
        pytest.param([], None, 0.0, 0.002, id="none"),
        pytest.param([(95, _OTHER)] * 8, None, 0.03, 0.05, id="burst"),
        pytest.param([(30, _OTHER)] * 8, None, 0.0, 0.002, id="long-ago"),
        pytest.param([(60, _OTHER)] * 8, None, 0.005, 0.01, id="a-while-ago"),
        pytest.param([(95, _OWN)] * 8, None, 0.0, 0.002, id="its-own"),
        pytest.param([(95, _OTHER)] * 8, _OTHER, 0.0, 0.002, id="explained"),
    ],
)
def test_rate_counts_what_others_did_not_cause(
    crashes: list[tuple[float, model.TaskKey]],
    cause: model.TaskKey | None,
    lowest: float,
    highest: float,
) -> None:
    """Guards against blame where runners crash in bursts."""
    clock = _Clock()
    busy = types.SimpleNamespace(
        record=types.SimpleNamespace(service="a"), tasks={_OWN: None}
    )
    idle = types.SimpleNamespace(
        record=types.SimpleNamespace(service="a"), tasks={}
    )
    fleet = {f"r{n}": busy if n < 20 else idle for n in range(30)}
    rates = _crash_rates.CrashRates(
        typing.cast(typing.Any, clock), typing.cast(typing.Any, fleet)
    )
    for time, task in crashes:
        clock.now = datetime.timedelta(seconds=time)
        rates.record_crash("a", [task], cause)
        rates.record_crash("b", [task], None)
    clock.now = datetime.timedelta(seconds=100)
    assert lowest <= rates.estimate_rate("a", _OWN) <= highest
