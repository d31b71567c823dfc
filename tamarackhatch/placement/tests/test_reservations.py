"""Runners that are kept free until a large task fits there."""

from collections.abc import Iterator
import datetime

import pytest

from tamarackhatch import model
from tamarackhatch import placement

_SECOND = datetime.timedelta(seconds=1)
_STEP = ("job", 0, 0)
_OTHER = ("other", 0, 0)
_LARGE = model.Step(1, model.Resources(29_000, 1_000))


def _make_load(reserved_cpu: int) -> placement.RunnerLoad:
    load = placement.RunnerLoad("r", "s", model.Resources(64_000, 256_000))
    load.add_task(
        model.TaskKey("busy", 0, 0, 0),
        model.Step(1, model.Resources(reserved_cpu, 1_000)),
    )
    return load


def _make_run(cpu: int, remaining_s: float) -> placement.TransientRun:
    return placement.TransientRun(
        model.Resources(cpu, 0), remaining_s * _SECOND
    )


@pytest.mark.parametrize(
    ("reserved_cpu", "runs", "expected_s"),
    [
        pytest.param(30_000, [], 0, id="fits now"),
        pytest.param(60_000, [], None, id="nothing there ends by itself"),
        pytest.param(60_000, [(12, 0.5)], None, id="does not fit even then"),
        pytest.param(
            60_000, [(13, 0.5), (12, 0.2), (11, 3.0)], 0.5, id="second end"
        ),
    ],
)
def test_release_time(
    reserved_cpu: int,
    runs: list[tuple[int, float]],
    expected_s: float | None,
) -> None:
    """Guards against a runner on which the task will not fit."""
    release = placement.compute_release_time(
        _make_load(reserved_cpu),
        _LARGE,
        [_make_run(cores * 1_000, end) for cores, end in runs],
    )
    expected = None if expected_s is None else expected_s * _SECOND
    assert release == expected


def _fail_if_read() -> Iterator[placement.TransientRun]:
    raise AssertionError("the runs were read")
    yield _make_run(0, 0)


@pytest.mark.parametrize(
    ("serving_cpu", "expected"),
    [
        pytest.param(35_000, datetime.timedelta(), id="fits now"),
        pytest.param(35_001, None, id="serving tasks do not end"),
    ],
)
def test_runs_are_not_read_in_vain(
    serving_cpu: int, expected: datetime.timedelta | None
) -> None:
    """Guards against a search of all runs on hundreds of full runners."""
    load = placement.RunnerLoad("r", "s", model.Resources(64_000, 256_000))
    load.add_task(
        model.TaskKey("watch", 0, 0, 0),
        model.Step(
            1,
            model.Resources(serving_cpu, 1_000),
            is_long_running=True,
            tail_latency_target=_SECOND,
        ),
    )
    release = placement.compute_release_time(load, _LARGE, _fail_if_read())
    assert release == expected


@pytest.mark.parametrize(
    ("waited_s", "runners", "is_long_running_waiting", "held", "expected"),
    [
        pytest.param(0.5, 246, False, 0, False, id="has not waited"),
        pytest.param(2, 246, False, 11, True, id="a twentieth"),
        pytest.param(2, 246, False, 12, False, id="no more than that"),
        pytest.param(2, 3, False, 0, True, id="one of few"),
        pytest.param(2, 246, True, 0, True, id="one beside long-running"),
        pytest.param(2, 246, True, 1, False, id="not two beside these"),
    ],
)
def test_number_of_reservations_is_limited(
    waited_s: float,
    runners: int,
    is_long_running_waiting: bool,
    held: int,
    expected: bool,
) -> None:
    """Guards against idle capacity that is kept from waiting work."""
    reservations = placement.Reservations()
    for number in range(held):
        reservations.reserve(
            (f"job-{number}", 0, 0), [(f"r-{number}", _SECOND)], _SECOND
        )
    assert expected == reservations.may_reserve(
        _STEP, waited_s * _SECOND, runners, is_long_running_waiting
    )


def test_reserves_where_the_task_fits_soonest() -> None:
    """Guards against two tasks that count on one runner."""
    reservations = placement.Reservations()
    options = [("a", 2 * _SECOND), ("b", _SECOND), ("c", 9 * _SECOND)]
    for step, expected in ((_STEP, "b"), (_OTHER, "a")):
        made = reservations.reserve(step, options, _SECOND)
        assert made is not None and made.runner == expected
    # On "c" the task would not fit within the longest reservation.
    assert reservations.reserve(("third", 0, 0), options, _SECOND) is None


def test_reservation_ends_before_idle_capacity_is_a_fault() -> None:
    """Guards against a runner that stays idle for a wrong forecast."""
    reservations = placement.Reservations()
    options = [("a", _SECOND)]
    reservations.reserve(_STEP, options, _SECOND)
    assert not reservations.expire({_STEP}, 3 * _SECOND)
    assert reservations.find(_STEP) is not None
    failed = reservations.expire({_STEP}, 3.5 * _SECOND)
    assert [reservation.runner for reservation in failed] == ["a"]
    # The runner rests, so that waiting work gets it meanwhile.
    assert reservations.reserve(_STEP, options, 4 * _SECOND) is None
    reservations.expire({_STEP}, 9 * _SECOND)
    assert reservations.reserve(_STEP, options, 9 * _SECOND) is not None


def test_reservation_ends_with_its_step() -> None:
    """Guards against a runner kept for a job that was cancelled."""
    reservations = placement.Reservations()
    reservations.reserve(_STEP, [("a", _SECOND)], _SECOND)
    assert not reservations.expire(set(), 2 * _SECOND)
    assert not reservations.active


def test_current_reservations_are_those_that_the_next_pass_keeps() -> None:
    """Guards against a dry run that changes reservations, or trusts old ones.

    A pass without waiting tasks ends none, so that old ones may be left.
    """
    reservations = placement.Reservations()
    for step, since_s in ((_STEP, 10.0), (("01", 0, 0), 8.0)):
        reservations.reserve(
            step, [(f"i-{since_s}", _SECOND)], since_s * _SECOND
        )
    reservations.reserve(("02", 0, 0), [("i-2", _SECOND)], 10 * _SECOND)
    waiting = {_STEP, ("01", 0, 0)}
    now = 11 * _SECOND
    current = reservations.list_current(waiting, now)
    assert len(reservations.active) == 3
    assert [item.step for item in current] == [_STEP]
    reservations.expire(waiting, now)
    assert list(reservations.active) == current
