"""Forms of an answer."""

import datetime
import typing

import attrs
import pytest

from tamarackhatch import where

_SECOND = datetime.timedelta(seconds=1)
_RATED = where.RatedRunner("i-1", "r1", "east", -0.0314, 100)
_STEP = where.StepAnswer(
    0,
    where.StepState.STARTS,
    2,
    2,
    datetime.timedelta(),
    (where.ChosenRunner(_RATED, (0, 1)),),
    (where.RatedRunner("i-2", "", "east", -0.25, 90),),
    4,
    (
        where.ExcludedRunners(
            where.Exclusion.DRAINING, 5, ("i-3", "i-4", "i-5")
        ),
    ),
)
_ANSWER = where.Answer(
    "entry-1",
    4,
    7,
    "renewals",
    "office",
    0,
    10,
    where.Objective(2.5 * _SECOND, 3 * _SECOND, "in time"),
    where.EarlierWork(
        2, 9, 3, (where.WaitingStep("00aa", 1, 8, 3, "it is smaller"),)
    ),
    (_STEP,),
    (1,),
)


def test_text_of_an_answer() -> None:
    """Guards against an answer that needs other pages to be understood."""
    text = where.format_answer(where.write_answer(_ANSWER))
    assert text.splitlines() == [
        "Dry run at scheduler entry-1 (term 4, configuration 7); nothing was "
        "submitted.",
        "Queue renewals: service office with 10 runners, priority 0 (0 is the "
        "most urgent).",
        "Objective: done within 2.5 s; for its order 3.0 s count, since "
        "estimates may be short. Prospect now: in time.",
        "Before it: 9 waiting tasks of 2 steps, of which 3 would start now:",
        "  job 00aa step 1: 3 of 8 tasks would start; goes first because it "
        "is smaller",
        "  and 1 more step",
        "",
        "Step 0: 2 tasks, all would start at once.",
        "  chosen (score: higher is better):",
        "    i-1 (rack r1 in east) score -0.031  tasks 0, 1",
        "  next best of 4 other runners that could get a task:",
        "    i-2 (in east) score -0.250, speed limit 90 %",
        "  excluded:",
        "    5 draining (about to leave): i-3, i-4, i-5, ...",
        "",
        "Not considered, because they follow other steps: 1.",
    ]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        (
            {"expected_wait": 0.1 * _SECOND},
            "Step 0: 2 tasks, all would start in 100 ms.",
        ),
        (
            {"placed": 1, "expected_wait": 2.25 * _SECOND},
            "Step 0: 1 of 2 tasks would start now. The next one fits after "
            "2.2 s at the earliest, by the estimated run times.",
        ),
        (
            {"placed": 0, "expected_wait": None},
            "Step 0: 0 of 2 tasks would start now. When the others fit is "
            "not known.",
        ),
    ],
)
def test_text_of_waits(changes: dict[str, typing.Any], expected: str) -> None:
    """Guards against a wait that reads as a promise, or as none."""
    step = attrs.evolve(_STEP, **changes)
    answer = attrs.evolve(_ANSWER, steps=(step,))
    text = where.format_answer(where.write_answer(answer))
    assert expected in text.splitlines()


def test_refusal_and_remarks_are_shown() -> None:
    """Guards against a job that seems to start while it would be refused."""
    remark = where.Remark("kind", "a reason")
    answer = attrs.evolve(
        _ANSWER,
        refusal="it would miss three times its objective",
        remarks=(remark,),
        steps=(attrs.evolve(_STEP, remarks=(remark,)),),
    )
    lines = where.format_answer(where.write_answer(answer)).splitlines()
    assert (
        "The job would be refused: it would miss three times its objective"
        in lines
    )
    assert "Note: a reason" in lines and "  Note: a reason" in lines


def test_every_exclusion_is_explained() -> None:
    """Guards against a reason that operators have to look up."""
    for reason in where.Exclusion:
        if reason is where.Exclusion.OTHER:
            continue
        excluded = where.ExcludedRunners(reason, 1, ("i-9",))
        step = attrs.evolve(_STEP, excluded=(excluded,))
        answer = attrs.evolve(_ANSWER, steps=(step,))
        text = where.format_answer(where.write_answer(answer))
        assert f"    1 {reason.value} (" in text


def test_times_are_in_milliseconds() -> None:
    """Guards against scripts that have to guess units."""
    document = where.write_answer(_ANSWER)
    assert document["objective"]["latency_ms"] == 2500
    assert document["steps"][0]["expected_wait_ms"] == 0
    assert document["steps"][0]["state"] == "starts"
    assert document["steps"][0]["chosen"][0]["rated"]["score"] == -0.0314
    assert document["refusal"] is None
