"""Tests which start commands may still be carried out."""

import asyncio
import datetime

import pytest

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch.scheduler import _command_fence
from tamarackhatch.scheduler import _start_attempts

_TASK = model.TaskKey("00", 0, 0, 1)
_OTHER = model.TaskKey("00", 0, 0, 2)
_SECOND = datetime.timedelta(seconds=1)


@pytest.mark.parametrize(
    ("answers", "listed_run", "after", "runners"),
    [
        pytest.param(["200"], 0, 0, [], id="answered"),
        pytest.param([""], 0, 0, ["i-0"], id="awaits-its-answer"),
        pytest.param(["none"], 0, 0, ["i-0"], id="unanswered"),
        pytest.param(["none"], 0, 12, ["i-0"], id="may-come-after-12-s"),
        pytest.param(["none"], 0, 13, ["i-0"], id="its-run-may-exist"),
        pytest.param(["none"], 0, 18, [], id="its-run-has-ended"),
        pytest.param([""], 1, 0, [], id="listed-before-its-answer"),
        pytest.param(["none"], 1, 0, [], id="listed"),
        pytest.param(["none"], 2, 0, ["i-0"], id="other-run-is-listed"),
        pytest.param(["none", "200"], 0, 0, ["i-0"], id="repeated"),
        # Either one may have started the run.
        pytest.param(["none", "200"], 1, 0, ["i-0"], id="repeated-and-listed"),
        pytest.param(["none", "none"], 1, 0, ["i-0"] * 2, id="one-is-left"),
        pytest.param(["not sent", "none"], 1, 0, [], id="first-was-not-sent"),
    ],
)
def test_attempts_are_open_until_they_cannot_be_carried_out(
    answers: list[str], listed_run: int, after: float, runners: list[str]
) -> None:
    """Guards against an attempt that is forgotten while it may arrive.

    Nor must one be kept that has arrived, since it withholds its task.
    """
    time_source = clock.ManualClock()
    attempts = _start_attempts.StartAttempts(time_source, 5 * _SECOND)
    for answer in answers:
        attempt = attempts.begin(_TASK, 1, "i-0")
        if answer in ("200", "not sent"):
            attempts.record_answer(attempt)
        elif answer == "none":
            attempts.record_unanswered(attempt, 7)
    if listed_run:
        attempts.record_listed_run(_TASK, listed_run, "i-1")
        attempts.record_listed_run(_OTHER, listed_run, "i-0")
        attempts.record_listed_run(_TASK, listed_run, "i-0")
    asyncio.run(time_source.advance(after * _SECOND))
    assert [it.runner for it in attempts.list_open(_TASK)] == runners
    assert attempts.may_start(_TASK) is (bool(runners) and after < 12.5)
    assert attempts.count == bool(runners)
    assert not attempts.may_start(_OTHER)


def test_late_answer_to_an_attempt_that_was_listed_is_ignored() -> None:
    """Guards against an attempt that is opened again by its timeout."""
    attempts = _start_attempts.StartAttempts(clock.ManualClock(), 5 * _SECOND)
    attempt = attempts.begin(_TASK, 1, "i-0")
    attempts.record_listed_run(_TASK, 1, "i-0")
    attempts.record_unanswered(attempt, 7)
    attempts.record_answer(attempt)
    assert not attempts.may_start(_TASK)


def test_runner_that_carries_out_nothing_has_no_attempts() -> None:
    """Guards against tasks that wait for a runner which was replaced."""
    attempts = _start_attempts.StartAttempts(clock.ManualClock(), 5 * _SECOND)
    for runner in ("i-0", "i-1"):
        attempts.record_unanswered(attempts.begin(_TASK, 1, runner), 7)
    attempts.record_stray_runs("i-0", [_TASK])
    attempts.discard_runner("i-0")
    assert [it.runner for it in attempts.list_open(_TASK)] == ["i-1"]
    assert not attempts.has_stray_run(_TASK)


@pytest.mark.parametrize(
    ("reports", "has_stray_run"),
    [
        ([], False),
        ([("i-0", [_TASK])], True),
        ([("i-0", [_TASK]), ("i-0", [_OTHER])], False),
        ([("i-0", [_TASK]), ("i-1", [_TASK]), ("i-0", [])], True),
        (
            [("i-0", [_TASK]), ("i-1", [_TASK]), ("i-0", []), ("i-1", [])],
            False,
        ),
    ],
)
def test_stray_runs_are_those_of_the_last_reports(
    reports: list[tuple[str, list[model.TaskKey]]], has_stray_run: bool
) -> None:
    """Guards against a start beside a run that is still to be stopped."""
    attempts = _start_attempts.StartAttempts(clock.ManualClock(), 5 * _SECOND)
    for runner, tasks in reports:
        attempts.record_stray_runs(runner, tasks)
    assert attempts.has_stray_run(_TASK) is has_stray_run


@pytest.mark.parametrize(
    ("reports", "shut_out"),
    [
        ([], [False, False]),
        ([(7, True)], [False, False]),
        ([(7, True), (9, False)], [True, False]),
        ([(7, True), (9, False), (7, False)], [True, False]),
        ([(9, True), (7, True)], [False, False]),
    ],
)
def test_fence_knows_which_tokens_the_present_incarnation_refuses(
    reports: list[tuple[int, bool]], shut_out: list[bool]
) -> None:
    """Guards against the memory of an incarnation that has ended."""
    fence = _command_fence.CommandFence()
    for token, is_new in reports:
        fence.record_report(token, is_new)
    assert [fence.shuts_out(token) for token in (7, 9)] == shut_out


@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize(
    ("after", "remaining"),
    [(0.0, [12.5]), (0.1, [12.4]), (0.2, [12.3]), (12.0, [0.5]), (13.0, [])],
)
def test_attempt_without_an_answer_is_handed_on(
    after: float, remaining: list[float], count: int
) -> None:
    """Guards against a successor that takes an attempt for carried out."""
    time_source = clock.ManualClock()
    attempts = _start_attempts.StartAttempts(time_source, 5 * _SECOND)
    for _ in range(count):
        attempts.begin(_TASK, 3, "i-0")
    asyncio.run(time_source.advance(after * _SECOND))
    handed_on = attempts.list_open_starts()
    assert [it.remaining / _SECOND for it in handed_on] == remaining
    successor = _start_attempts.StartAttempts(time_source, 5 * _SECOND)
    successor.restore(handed_on)
    assert successor.may_start(_TASK) is bool(remaining)
    # If there is another attempt, it may be the one that the report shows.
    successor.record_listed_run(_TASK, 3, "i-0")
    assert successor.may_start(_TASK) is (bool(remaining) and count > 1)


@pytest.mark.parametrize(
    ("before", "repeated_before", "after", "repeated_after"),
    [
        pytest.param(0, False, 0, False, id="not-sent-yet"),
        pytest.param(1, False, 0, False, id="sent-once"),
        pytest.param(1, True, 0, True, id="to-be-repeated"),
        pytest.param(2, True, 11, True, id="still-repeated"),
    ],
)
def test_delivery_is_handed_on_before_its_commands_are_sent(
    before: int, repeated_before: bool, after: float, repeated_after: bool
) -> None:
    """Guards against a start that only a killed scheduler knew.

    Commands may be sent after the row was written, so that it must name the
    longest time.
    """
    time_source = clock.ManualClock()
    attempts = _start_attempts.StartAttempts(time_source, 5 * _SECOND)
    delivery = attempts.begin_delivery(_TASK, 3, "i-0")
    for _ in range(before):
        attempts.begin(_TASK, 3, "i-0")
    delivery.is_repeated = repeated_before
    asyncio.run(time_source.advance(after * _SECOND))
    (start,) = attempts.list_open_starts()
    assert start.is_repeated is repeated_after
    assert start.remaining == _command_fence.MAX_DELAY
    attempts.end_delivery(delivery)
    assert len(attempts.list_open_starts()) == min(before, 1)


@pytest.mark.parametrize(
    ("answer", "after", "pause"),
    [
        pytest.param("200", 0.0, 0.25, id="answered"),
        pytest.param("", 0.0, 0.25, id="awaits-its-answer"),
        pytest.param("none", 0.0, 0.25, id="may-come-for-long"),
        pytest.param("none", 12.4, 0.1, id="may-come-for-a-moment"),
        pytest.param("none", 12.5, 0.25, id="cannot-come"),
    ],
)
def test_placement_pass_follows_the_end_of_an_attempt(
    answer: str, after: float, pause: float
) -> None:
    """Guards against a task that waits for the next pass without a reason."""
    time_source = clock.ManualClock()
    attempts = _start_attempts.StartAttempts(time_source, 5 * _SECOND)
    attempt = attempts.begin(_TASK, 1, "i-0")
    if answer == "200":
        attempts.record_answer(attempt)
    elif answer == "none":
        attempts.record_unanswered(attempt, 7)
    asyncio.run(time_source.advance(after * _SECOND))
    assert attempts.limit_pause(0.25 * _SECOND) == pause * _SECOND
