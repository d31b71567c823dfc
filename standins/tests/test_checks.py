"""Tests of the checker: it must fail on each kind of broken history."""

import pytest

from standins import checks
from standins import records

_K = records.EventKind
_ONE = records.Amounts(1000, 100, 0)
_DIGEST = "d1"


def _event(
    at: float,
    kind: records.EventKind,
    attempt: int = 1,
    epoch: int = 1,
    task: str = "j/0",
    amounts: records.Amounts = _ONE,
) -> records.WorkerEvent:
    return records.WorkerEvent(at, kind, task, attempt, epoch, amounts)


def _worker(
    name: str, *events: records.WorkerEvent, violations: tuple[str, ...] = ()
) -> records.WorkerRecords:
    capacity = records.Amounts(2000, 1000, 0)
    return records.WorkerRecords(name, capacity, events, violations)


def _run(
    start: float,
    end: float | None,
    name: str = "r1",
    digest: str | None = _DIGEST,
) -> records.RunnerRequest:
    return records.RunnerRequest(
        name, records.RequestKind.RENEWAL, start, end, 200, digest
    )


def _runner(
    *runs: records.RunnerRequest, slots: int = 0, connections: int = 0
) -> records.RunnerRecords:
    return records.RunnerRecords("runner", runs, slots, connections)


def _caller(
    outcome: records.CallerOutcome,
    digest: str = _DIGEST,
    is_matching: bool = True,
    is_repeatable: bool = False,
    kind: records.RequestKind = records.RequestKind.RENEWAL,
    status: int = 200,
) -> records.CallerRequest:
    return records.CallerRequest(
        "r1", kind, is_repeatable, 0, 5, outcome, status, digest, is_matching
    )


_ANSWERED = records.CallerOutcome.ANSWERED
_EVICTED = (_event(1, _K.START), _event(2, _K.STOP))
_RESUMED = (_event(3, _K.START, 2), _event(4, _K.FINISH, 2))

_GOOD = {
    "one run": checks.History((_worker("a", *_EVICTED[:1]),)),
    "move": checks.History((_worker("a", *_EVICTED), _worker("b", *_RESUMED))),
    "full worker": checks.History(
        (_worker("a", *_EVICTED[:1], _event(1, _K.START, task="j/1")),)
    ),
    "retry after a failure": checks.History(
        (
            _worker("a", _event(1, _K.START), _event(2, _K.FAIL)),
            _worker("b", *_RESUMED),
        )
    ),
    "cancelled": checks.History(
        (_worker("a", *_EVICTED),), cancelled_jobs=frozenset({"j"})
    ),
    "not settled": checks.History(
        (_worker("a", *_EVICTED),), is_settled=False
    ),
    "answered": checks.History(
        runners=(_runner(_run(1, 2), slots=8, connections=64),),
        callers=(_caller(_ANSWERED),),
    ),
    "repeatable ran twice": checks.History(
        runners=(_runner(_run(1, 2)), _runner(_run(3, 4))),
        callers=(_caller(_ANSWERED, is_repeatable=True),),
    ),
    "unknown that ran": checks.History(
        runners=(_runner(_run(1, None)),),
        callers=(_caller(records.CallerOutcome.UNKNOWN),),
    ),
    "not run": checks.History(
        callers=(_caller(records.CallerOutcome.NOT_RUN),)
    ),
    "lost at a kill": checks.History(
        callers=(_caller(records.CallerOutcome.LOST),), killed_at=(0.5,)
    ),
    "watch ended early": checks.History(
        callers=(
            _caller(_ANSWERED, kind=records.RequestKind.WATCH, status=204),
        )
    ),
}


@pytest.mark.parametrize("history", _GOOD.values(), ids=_GOOD.keys())
def test_accepts_good_history(history: checks.History) -> None:
    """Guards against alarms about behaviour that is allowed."""
    assert checks.check_history(history) == ()


_BAD = [
    (
        checks.Rule.DOUBLE_RUN,
        checks.History(
            (
                _worker("a", _event(1, _K.START), _event(5, _K.FINISH)),
                _worker("b", *_RESUMED),
            )
        ),
    ),
    (
        checks.Rule.DOUBLE_RUN,
        checks.History(
            (
                _worker("a", _event(1, _K.START)),
                _worker("b", _event(9, _K.START, 2)),
            )
        ),
    ),
    (
        checks.Rule.OVER_COMMITMENT,
        checks.History(
            (
                _worker(
                    "a",
                    *(_event(1, _K.START, task=f"j/{n}") for n in range(3)),
                ),
            )
        ),
    ),
    (
        checks.Rule.OVER_COMMITMENT,
        checks.History((_worker("a", violations=("a: over-commitment",)),)),
    ),
    (
        checks.Rule.WORKER_RULE,
        checks.History(
            (_worker("a", _event(1, _K.EPOCH, 0, 5), _event(2, _K.START)),)
        ),
    ),
    (
        checks.Rule.WORKER_RULE,
        checks.History(
            (
                _worker(
                    "a",
                    _event(1, _K.START),
                    _event(2, _K.FAIL),
                    _event(3, _K.START),
                ),
            )
        ),
    ),
    (
        checks.Rule.WORKER_RULE,
        checks.History((_worker("a", _event(1, _K.FINISH)),)),
    ),
    (
        checks.Rule.RESUMED_TWICE,
        checks.History(
            (
                _worker("a", *_EVICTED),
                _worker("b", *_RESUMED),
                _worker("c", _event(5, _K.START, 2), _event(6, _K.FINISH, 2)),
            )
        ),
    ),
    (
        checks.Rule.RESUMED_TWICE,
        checks.History(
            (
                _worker("a", *_EVICTED),
                _worker("b", *_RESUMED),
                _worker("c", _event(5, _K.START, 3), _event(6, _K.FINISH, 3)),
            )
        ),
    ),
    (
        checks.Rule.NEVER_RESUMED,
        checks.History((_worker("a", *_EVICTED),)),
    ),
    (
        checks.Rule.NEVER_RESUMED,
        checks.History(
            (_worker("a", _event(1, _K.START), _event(2, _K.LAPSE)),)
        ),
    ),
    (
        checks.Rule.RAN_TWICE,
        checks.History(
            runners=(_runner(_run(1, 2)), _runner(_run(3, 4))),
            callers=(_caller(_ANSWERED),),
        ),
    ),
    (
        checks.Rule.TOO_MANY_SLOTS,
        checks.History(runners=(_runner(slots=9),)),
    ),
    (
        checks.Rule.TOO_MANY_SLOTS,
        checks.History(
            runners=(_runner(*(_run(1, 2, f"r{n}") for n in range(9))),)
        ),
    ),
    (
        checks.Rule.TOO_MANY_CONNECTIONS,
        checks.History(runners=(_runner(connections=65),)),
    ),
    (
        checks.Rule.NOT_RUN_BUT_RAN,
        checks.History(
            runners=(_runner(_run(1, None)),),
            callers=(_caller(records.CallerOutcome.NOT_RUN),),
        ),
    ),
    (
        checks.Rule.WRONG_ANSWER,
        checks.History(
            runners=(_runner(_run(1, 2)),),
            callers=(_caller(_ANSWERED, is_matching=False),),
        ),
    ),
    (
        checks.Rule.WRONG_ANSWER,
        checks.History(
            runners=(_runner(_run(1, 2)),),
            callers=(_caller(_ANSWERED, "d2"),),
        ),
    ),
    (
        checks.Rule.WRONG_ANSWER,
        checks.History(callers=(_caller(_ANSWERED),)),
    ),
    (
        checks.Rule.WRONG_ANSWER,
        checks.History(
            runners=(_runner(_run(1, 2)),),
            callers=(_caller(_ANSWERED, status=500),),
        ),
    ),
    (
        checks.Rule.LOST_WITHOUT_KILL,
        checks.History(
            callers=(_caller(records.CallerOutcome.LOST),), killed_at=(9.0,)
        ),
    ),
]


@pytest.mark.parametrize(("rule", "history"), _BAD)
def test_reports_broken_rule(
    rule: checks.Rule, history: checks.History
) -> None:
    """Guards against a checker that passes whatever happened."""
    found = {violation.rule for violation in checks.check_history(history)}
    assert rule in found


def test_every_rule_has_a_broken_history() -> None:
    """Guards against a new rule that no broken history proves."""
    assert {rule for rule, _ in _BAD} == set(checks.Rule)
