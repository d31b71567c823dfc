"""The checker of histories finds each broken rule."""

import asyncio

import pytest

from standins import history
from standins import repetitions
from standins import virtual_time
from tamarackhatch import model


def _make_run(
    run: int,
    started: float,
    exited: float | None,
    exit_reason: str = "",
    acknowledged: float | None = None,
    is_expired: bool = False,
    is_late: bool = False,
) -> history.RunRecord:
    return history.RunRecord(
        f"i-{run}",
        1,
        "00.0.0.0",
        run,
        7,
        started,
        exited,
        exit_reason,
        1,
        acknowledged,
        is_expired,
        is_late,
    )


@pytest.mark.parametrize(
    ("runs", "rules"),
    [
        ([_make_run(1, 0, 1, "done")], set()),
        ([_make_run(1, 0, 1, "lapsed"), _make_run(2, 1, 2)], set()),
        ([_make_run(1, 0, 2, "done"), _make_run(2, 1, 3)], {"TWICE"}),
        ([_make_run(1, 0, None), _make_run(2, 1, 3)], {"TWICE"}),
        ([_make_run(1, 0, 1, "done", 1.1), _make_run(2, 2, 3)], {"TWICE"}),
        (
            [
                _make_run(1, 0, 1, "done", 5, is_expired=True),
                _make_run(2, 2, 3),
            ],
            set(),
        ),
        (
            [
                _make_run(1, 0, 3, "done", 5, is_expired=True),
                _make_run(2, 2, 4),
            ],
            {"TWICE"},
        ),
        ([_make_run(2, 0, 1, "failed"), _make_run(1, 2, 3)], {"NUMBER"}),
        (
            [_make_run(2, 0, 1, "failed"), _make_run(1, 2, 3, is_late=True)],
            set(),
        ),
        (
            [
                _make_run(1, 0, 1, "failed", 1.1),
                _make_run(2, 2, 3, "failed", 3.1),
                _make_run(3, 4, 5),
            ],
            {"BUDGET"},
        ),
    ],
)
def test_checker_finds_broken_rules_only(
    runs: list[history.RunRecord], rules: set[str]
) -> None:
    """Guards against broken rules that are missed, and false findings."""
    record = history.History()
    record.accepted.add("00")
    record.runs = runs
    assert {item.rule for item in record.check(2)} == rules


_AT_ONCE = repetitions.Form.AT_ONCE
_AFTER_DONE = repetitions.Form.AFTER_DONE
_AFTER_NOTICE = repetitions.Form.AFTER_NOTICE


@pytest.mark.parametrize(
    ("runs", "completed", "forms"),
    [
        (
            [_make_run(1, 0, 2, "done", 2.1), _make_run(2, 1, 3)],
            None,
            [_AT_ONCE],
        ),
        ([_make_run(1, 0, 1, "lapsed", 1.1), _make_run(2, 3, 4)], None, []),
        (
            [_make_run(1, 0, 1, "done", 1.5), _make_run(2, 2.4, 3)],
            None,
            [_AFTER_DONE],
        ),
        (
            [_make_run(1, 0, 1, "done", 5.0), _make_run(2, 2.4, 3)],
            None,
            [_AFTER_DONE],
        ),
        (
            [_make_run(1, 0, 1, "done", 1.5), _make_run(2, 2.6, 3)],
            None,
            [_AFTER_DONE, _AFTER_NOTICE],
        ),
        (
            [_make_run(1, 0, 1, "done", 5, True), _make_run(2, 2.4, 3)],
            1.5,
            [],
        ),
        (
            [_make_run(1, 0, 1, "done", 5, True), _make_run(2, 2.6, 3)],
            1.5,
            [_AFTER_NOTICE],
        ),
        # Only the form with a time bound excuses starts carried out late.
        (
            [
                _make_run(1, 0, 1, "done", 5, True),
                _make_run(2, 2.6, 3, is_late=True),
            ],
            1.5,
            [],
        ),
        (
            [
                _make_run(1, 0, 1, "done", 1.5),
                _make_run(2, 2.6, 3, is_late=True),
            ],
            1.5,
            [_AFTER_DONE],
        ),
        (
            [_make_run(1, 0, 2, "done"), _make_run(2, 1, 3, is_late=True)],
            None,
            [_AT_ONCE],
        ),
    ],
)
def test_forms_of_repetition_are_told_apart(
    runs: list[history.RunRecord],
    completed: float | None,
    forms: list[repetitions.Form],
) -> None:
    """Guards against a finding that does not say which form was broken."""
    found = repetitions.find_repetitions(runs, completed)
    assert [form for form, _ in found] == forms


def test_runs_of_refused_or_unsubmitted_jobs_are_found() -> None:
    """Guards against a missed run of a refused or never submitted job."""
    record = history.History()
    record.runs = [_make_run(1, 0, 1, "done")]
    assert {item.rule for item in record.check(2)} == {"UNASKED"}
    record.refused.add("00")
    assert {item.rule for item in record.check(2)} == {"REFUSED"}


def test_completion_before_all_tasks_are_done_is_found() -> None:
    """Guards against a missed completion that is shown while a task runs."""
    record = history.History()
    record.accepted.add("00")
    record.runs = [_make_run(1, 0, None)]
    record.completed["00"] = 1.0
    assert "MIXED" in {item.rule for item in record.check(2)}


@pytest.mark.parametrize(("expiry", "rules"), [(0.5, {"TWICE"}), (1.5, set())])
def test_only_an_expiry_after_the_exit_allows_another_run(
    expiry: float, rules: set[str]
) -> None:
    """Guards against an earlier expiry that excuses a second run."""
    record = history.History()
    record.accepted.add("00")
    record.runs = [_make_run(1, 0, 1, "done"), _make_run(2, 2, 3)]
    record.record_expiry("i-1", 1, expiry)
    record.runs[0].acknowledged = 4.0
    assert {item.rule for item in record.check(2)} == rules


@pytest.mark.parametrize(
    ("second_started", "exited", "rules"),
    [
        (5.5, None, set()),
        (6.5, None, {"LIMIT"}),
        (6.5, 6.0, set()),
    ],
)
def test_start_over_a_shrunk_capacity_is_found(
    second_started: float, exited: float | None, rules: set[str]
) -> None:
    """Guards against a missed start over a capacity that shrank long ago."""
    record = history.History()
    record.accepted.add("00")
    step = model.Step(2, model.Resources(1_000, 100))
    record.record_steps("00", [step])

    async def record_capacities() -> None:
        record.record_capacity("i-0", model.Resources(2_000, 200))
        await asyncio.sleep(1)
        record.record_capacity("i-0", model.Resources(1_000, 200))

    virtual_time.run_virtually(record_capacities())
    record.runs = [
        history.RunRecord("i-0", 1, "00.0.0.0", 1, 7, 0.5, exited, "done"),
        history.RunRecord("i-0", 1, "00.0.0.1", 1, 7, second_started),
    ]
    assert {item.rule for item in record.check(2)} == rules


@pytest.mark.parametrize(
    ("started", "rules"),
    [
        (0.5, set()),
        (5.9, set()),
        (6.1, {"EVACUATED"}),
        (9.9, {"EVACUATED"}),
        (10.1, set()),
    ],
)
@pytest.mark.parametrize("data_centre", ["east", "west"])
def test_start_in_an_evacuated_data_centre_is_found(
    started: float, rules: set[str], data_centre: str
) -> None:
    """Guards against missed starts after the bound, and false findings."""
    record = history.History()
    record.accepted.add("00")
    record.record_data_centre("i-1", data_centre)

    async def record_evacuation() -> None:
        await asyncio.sleep(1)
        record.record_evacuation("east")
        await asyncio.sleep(9)
        record.record_return("east")

    virtual_time.run_virtually(record_evacuation())
    record.runs = [_make_run(1, started, None)]
    found = {item.rule for item in record.check(2)}
    assert found == (rules if data_centre == "east" else set())
