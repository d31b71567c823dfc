"""Tests when refused callers are asked to return, for a long overload."""

import datetime

import pytest

from tamarackhatch import admission

_S = datetime.timedelta(seconds=1)
_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


def _add(
    plan: admission.ReturnPlan,
    job: str,
    now_s: float,
    wait_s: float = 5.0,
    first_s: float | None = None,
    service: str = "office",
) -> float:
    first = now_s if first_s is None else first_s
    return (
        plan.add(
            job, service, _START + first * _S, wait_s * _S, 2 * _S, now_s * _S
        )
        / _S
    )


@pytest.mark.parametrize(
    ("wait_s", "expected_s"),
    [(0, 1), (0.2, 1), (1.0, 1), (1.01, 2), (7.5, 8), (500, 30)],
)
def test_time_is_in_whole_seconds(wait_s: float, expected_s: float) -> None:
    """Guards against callers that return too early, at once, or never."""
    assert _add(admission.ReturnPlan(), "a", 0, wait_s) == expected_s


def test_callers_are_spread_in_their_order() -> None:
    """Guards against all refused callers returning at the same moment."""
    plan = admission.ReturnPlan()
    assert [_add(plan, str(number), number / 10) for number in range(4)] == [
        5,
        7,
        9,
        11,
    ]


def test_returning_caller_goes_before_new_ones() -> None:
    """Guards against a caller that each return puts at the end."""
    plan = admission.ReturnPlan()
    _add(plan, "a", 0)
    for number in range(5):
        _add(plan, f"new {number}", 1)
    assert _add(plan, "a", 5, first_s=0) == 5
    assert _add(plan, "another", 5) == 5 + 6 * 2


def test_other_services_do_not_count() -> None:
    """Guards against one full service delaying the callers of another."""
    plan = admission.ReturnPlan()
    _add(plan, "a", 0)
    assert _add(plan, "b", 1, service="other") == 5


def test_callers_are_forgotten() -> None:
    """Guards against memory that grows with callers that do not return."""
    plan = admission.ReturnPlan()
    _add(plan, "a", 0)
    plan.discard("a")
    assert _add(plan, "b", 1) == 5
    assert _add(plan, "c", 17) == 5
    for number in range(3_000):
        _add(plan, f"d{number}", 18)
    assert len(plan) <= 1_024
