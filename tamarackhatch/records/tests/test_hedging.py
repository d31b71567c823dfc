"""Tests of the decision when a call to the store is repeated or given up."""

import datetime

import pytest

from tamarackhatch.records import _hedging

_MS = datetime.timedelta(milliseconds=1)
_REFUSED = _hedging.Failure.REFUSED
_BUSY = _hedging.Failure.BUSY
_LOST = _hedging.Failure.LOST
_SEND = "send"


def _make_call(
    pending: tuple[int, ...] = (),
    failure: _hedging.Failure | None = None,
    failed_ms: int = 0,
    retry_ms: int = 0,
    deadline_ms: int = 3000,
) -> _hedging.CallProgress:
    """Returns a call that began at 0, after at least one attempt."""
    return _hedging.CallProgress(
        0 * _MS,
        deadline_ms * _MS,
        tuple(sent_ms * _MS for sent_ms in pending),
        attempts=len(pending) + (failure is not None),
        failures=int(failure is not None),
        last_failure=failure,
        failed_at=failed_ms * _MS,
        retry_at=retry_ms * _MS,
    )


def _decide(
    call: _hedging.CallProgress,
    now_ms: int,
    answer_ms: int | None = None,
    expected_ms: int = 0,
    repeat_ms: int = 0,
) -> object:
    """Returns `_SEND`, the end of a wait in ms, or why a call is given up."""
    outlook = _hedging.StoreOutlook(
        None if answer_ms is None else answer_ms * _MS,
        expected_ms * _MS,
        repeat_ms * _MS,
    )
    decision = _hedging.decide(call, outlook, now_ms * _MS)
    if isinstance(decision, _hedging.SendAttempt):
        return _SEND
    if isinstance(decision, _hedging.Wait):
        return decision.until / _MS
    return decision.reason.value


def test_first_attempt_is_sent_whatever_the_budget_says() -> None:
    """Guards against callers refused because of what others repeat."""
    call = _hedging.CallProgress(0 * _MS, 3000 * _MS)
    assert _decide(call, 0, repeat_ms=900) is _SEND


def test_nothing_is_sent_after_the_deadline() -> None:
    """Guards against work for a caller that has gone."""
    call = _hedging.CallProgress(0 * _MS, 0 * _MS)
    assert _decide(call, 0) == "deadline"


@pytest.mark.parametrize(
    ("now_ms", "expected_ms", "repeat_ms", "decision"),
    [
        (149, 0, 0, 150),
        (150, 0, 0, _SEND),
        (150, 0, 190, 190),
        (190, 0, 190, _SEND),
        (150, 400, 0, 400),
        (400, 400, 0, _SEND),
        (400, 2600, 0, 1500),
        (1500, 2600, 0, _SEND),
    ],
)
def test_second_attempt_is_sent_when_an_answer_is_overdue(
    now_ms: int, expected_ms: int, repeat_ms: int, decision: object
) -> None:
    """Guards against long waits for lost answers.

    Guards also against a second attempt for each call of a store that is slow
    for all, and against one that comes too late to be answered.
    """
    call = _make_call(pending=(0,))
    found = _decide(call, now_ms, now_ms, expected_ms, repeat_ms)
    assert found == decision


@pytest.mark.parametrize(
    ("now_ms", "answer_ms", "expected_ms", "decision"),
    [
        (799, None, 0, 800),
        (800, None, 0, "silent"),
        (800, -50, 0, "silent"),
        (800, 300, 0, 1100),
        (1100, 300, 0, "silent"),
        (800, -50, 700, 1400),
        (1400, -50, 700, "silent"),
        (1400, -50, 900, 1500),
        (1500, -50, 900, "silent"),
        (2900, 2800, 0, 3000),
        (3000, 2800, 0, "deadline"),
    ],
)
def test_call_goes_on_while_the_store_shows_signs_of_life(
    now_ms: int, answer_ms: int | None, expected_ms: int, decision: object
) -> None:
    """Guards against taking a slow store for an absent one.

    Guards also against holding callers of an instance that is cut off, and
    against a third attempt beside two that are pending.
    """
    call = _make_call(pending=(0, 150))
    assert _decide(call, now_ms, answer_ms, expected_ms) == decision


@pytest.mark.parametrize(
    ("failure", "failed_ms", "retry_ms", "now_ms", "repeat_ms", "decision"),
    [
        (_REFUSED, 10, 60, 59, 0, 60),
        (_REFUSED, 10, 60, 60, 0, _SEND),
        (_REFUSED, 10, 60, 60, 130, 130),
        (_REFUSED, 400, 700, 450, 0, 500),
        (_REFUSED, 400, 700, 500, 0, _SEND),
        (_REFUSED, 400, 700, 500, 600, "refused"),
        (_REFUSED, 510, 700, 510, 0, "refused"),
        (_BUSY, 510, 700, 510, 0, 700),
        (_BUSY, 810, 900, 810, 0, "refused"),
        (_LOST, 510, 700, 700, 0, _SEND),
        (_LOST, 810, 900, 810, 0, "silent"),
    ],
)
def test_failed_attempts_are_repeated_until_the_store_counts_as_absent(
    failure: _hedging.Failure,
    failed_ms: int,
    retry_ms: int,
    now_ms: int,
    repeat_ms: int,
    decision: object,
) -> None:
    """Guards against giving up in a short outage, and against a long wait.

    Guards also against repeats that the budget does not permit.
    """
    call = _make_call((), failure, failed_ms, retry_ms)
    assert _decide(call, now_ms, repeat_ms=repeat_ms) == decision


def test_busy_store_that_serves_others_is_asked_until_the_deadline() -> None:
    """Guards against giving up a call that a busy store would soon accept."""
    call = _make_call((), _BUSY, failed_ms=2000, retry_ms=2300)
    assert _decide(call, 2000, answer_ms=1500) == 2300
    assert _decide(call, 2300, answer_ms=2200) is _SEND
    late = _make_call((), _BUSY, failed_ms=2310, retry_ms=2600)
    assert _decide(late, 2310, answer_ms=1500) == "refused"
    assert _decide(late, 2310, answer_ms=2200) == 2600


@pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
def test_pauses_after_failures_rise_up_to_a_limit(draw: float) -> None:
    """Guards against hitting a store that refuses at a constant rate."""
    call = _hedging.CallProgress(0 * _MS, 3000 * _MS)
    pauses = []
    for _ in range(20):
        call = call.add_attempt(0 * _MS)
        call = call.add_failure(0 * _MS, _REFUSED, 0 * _MS, draw)
        pauses.append(call.retry_at / _MS / (1 + draw))
    assert pauses[:5] == pytest.approx([25, 50, 100, 200, 200], abs=0.01)
    assert max(pauses) == pytest.approx(200, abs=0.01)


@pytest.mark.parametrize(
    ("deadline_ms", "expected_ms", "timeout_ms"),
    [
        (3000, 0, 1500),
        (3000, 2000, 2000),
        (60_000, 0, 2500),
        (1200, 0, 1000),
        (400, 0, 400),
    ],
)
def test_attempt_without_an_answer_is_replaced_in_time(
    deadline_ms: int, expected_ms: int, timeout_ms: int
) -> None:
    """Guards against two lost attempts that block a call to its deadline.

    Guards also against ending attempts that a slow store would answer.
    """
    call = _hedging.CallProgress(0 * _MS, deadline_ms * _MS)
    outlook = _hedging.StoreOutlook(expected_latency=expected_ms * _MS)
    decision = _hedging.decide(call, outlook, 0 * _MS)
    assert decision == _hedging.SendAttempt(timeout_ms * _MS)


def test_expected_latency_follows_a_slow_store_at_once() -> None:
    """Guards against second attempts for each call of a slow store.

    Guards also against an estimate that stays high for long afterwards, and
    against one that is used when it is old.
    """
    estimate = _hedging.LatencyEstimate()
    assert estimate.get_expected(0 * _MS) == 0 * _MS
    for index in range(20):
        estimate.record(4 * _MS, index * _MS)
    assert estimate.get_expected(20 * _MS) < 10 * _MS
    estimate.record(500 * _MS, 600 * _MS)
    assert 500 * _MS < estimate.get_expected(600 * _MS) < 800 * _MS
    for index in range(25):
        estimate.record(4 * _MS, (601 + index) * _MS)
    assert estimate.get_expected(700 * _MS) < 150 * _MS
    assert estimate.get_expected(11_000 * _MS) == 0 * _MS


def test_budget_permits_a_burst_and_then_a_rate() -> None:
    """Guards against a store that is hit by all retries when it recovers."""
    budget = _hedging.RetryBudget()
    now, sent = 5000 * _MS, 0
    end = now + 1000 * _MS
    while (now := budget.get_next_time(now)) < end:
        budget.record_repeat(now)
        sent += 1
    assert 18 <= sent <= 20
    now += 3000 * _MS
    assert budget.get_next_time(now) == now


def test_success_permits_further_repeats() -> None:
    """Guards against callers that wait although the store answers again."""
    budget = _hedging.RetryBudget()
    for _ in range(10):
        budget.record_repeat(0 * _MS)
    assert budget.get_next_time(0 * _MS) > 0 * _MS
    budget.record_success(0 * _MS)
    budget.record_success(0 * _MS)
    assert budget.get_next_time(0 * _MS) == 0 * _MS
