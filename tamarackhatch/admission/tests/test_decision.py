"""Tests which new jobs are refused, for a burst of more work than fits."""

import datetime
import typing

import attrs
import pytest

from tamarackhatch import admission
from tamarackhatch import model

_S = datetime.timedelta(seconds=1)
_TASK = model.Resources(2000, 100)
_STEP = model.Step(4, _TASK, 2 * _S)
_QUEUE = model.Queue(
    "q", "h", "/", "office", priority=2, stretch=1.5, target_latency=0.5 * _S
)
_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_JOB = model.Job("00", _QUEUE, "", (_STEP,), _NOW)
_SCHEDULE = model.Schedule(_NOW, _S, 3)
_ADVICE = model.AdviceTiming(_S, _S, _S)


def _make_waits(
    wait_s: float = 20,
    in_time_s: float | None = None,
    free: model.Resources = model.Resources(),
    blocked: model.Resources = _TASK,
    demand: int = 8000,
    is_best_effort: bool = False,
    priority: int = 2,
    image: str = "",
    service: str = "office",
) -> tuple[model.WaitSummary, ...]:
    """Returns a report in which a job of some demand waits for some time."""
    work = int(10_000 * wait_s)
    in_time = work if in_time_s is None else int(10_000 * in_time_s)
    level = model.WaitLevel(
        priority,
        0,
        work,
        (model.WorkPoint(demand, in_time),),
        (model.WorkPoint(demand, work),),
    )
    return (
        model.WaitSummary(
            service,
            is_best_effort,
            10_000,
            free,
            (model.BlockedTask(blocked, image),),
            (level,),
        ),
    )


_FULL = _make_waits()


def _with_queue(**changes: typing.Any) -> model.Job:
    return attrs.evolve(_JOB, queue=attrs.evolve(_QUEUE, **changes))


def _with_step(**changes: typing.Any) -> model.Job:
    return attrs.evolve(_JOB, steps=(attrs.evolve(_STEP, **changes),))


# The objective is 3.5 s, so that the job is worth something for 10.5 s. With
# an estimate that is twice too long it needs 1 s of them. The scheduler takes
# it for late after 6.5 s.
@pytest.mark.parametrize(
    ("job", "waits", "elapsed_s", "is_refused"),
    [
        pytest.param(_JOB, _FULL, 0, True, id="burst"),
        pytest.param(_JOB, _make_waits(9.4), 0, False, id="still in time"),
        pytest.param(_JOB, _make_waits(9.6), 0, True, id="just too late"),
        pytest.param(
            _JOB, _make_waits(60, 6), 0, False, id="before late jobs"
        ),
        pytest.param(_JOB, _make_waits(60, 7), 0, True, id="becomes late"),
        pytest.param(_JOB, _make_waits(7), 3, True, id="refused before"),
        pytest.param(_JOB, _make_waits(7), 2, False, id="returned soon"),
        pytest.param(_JOB, _FULL, 9.6, False, id="late with free capacity"),
        pytest.param(_JOB, (), 0, False, id="nothing waits"),
        pytest.param(
            _JOB, _make_waits(service="other"), 0, False, id="other service"
        ),
        pytest.param(
            _JOB, _make_waits(is_best_effort=True), 0, False, id="other kind"
        ),
        pytest.param(
            _JOB, _make_waits(priority=3), 0, False, id="less urgent waits"
        ),
        pytest.param(
            _JOB, _make_waits(priority=0), 0, True, id="more urgent waits"
        ),
        pytest.param(
            _JOB, _make_waits(demand=8001), 0, False, id="larger jobs wait"
        ),
        pytest.param(
            _with_step(resources=model.Resources(1999, 100)),
            _FULL,
            0,
            False,
            id="smaller task than those that wait",
        ),
        pytest.param(
            _JOB,
            _make_waits(free=model.Resources(2000, 100)),
            0,
            False,
            id="free capacity",
        ),
        pytest.param(
            _JOB,
            _make_waits(free=model.Resources(16_000, 99)),
            0,
            True,
            id="free processors without memory",
        ),
        pytest.param(
            _JOB,
            _make_waits(blocked=model.Resources(1000, 200)),
            0,
            False,
            id="others wait for memory",
        ),
        pytest.param(
            _with_step(is_best_effort=True, image="a"),
            _make_waits(is_best_effort=True, image="a"),
            0,
            True,
            id="best effort",
        ),
        pytest.param(
            _with_step(is_best_effort=True, image="b"),
            _make_waits(is_best_effort=True, image="a"),
            0,
            False,
            id="best effort, another image",
        ),
        pytest.param(
            attrs.evolve(_JOB, schedule=_SCHEDULE),
            _FULL,
            0,
            False,
            id="schedule",
        ),
        pytest.param(
            _with_step(is_long_running=True), _FULL, 0, False, id="long run"
        ),
        pytest.param(
            _with_queue(target_latency=0 * _S),
            _FULL,
            0,
            False,
            id="no objective",
        ),
        pytest.param(
            _with_step(estimate=0 * _S), _FULL, 0, False, id="no estimate"
        ),
        pytest.param(
            _with_step(required_label="x"), _FULL, 0, False, id="label"
        ),
        pytest.param(
            _with_queue(advice=_ADVICE), _FULL, 0, False, id="tickets"
        ),
        pytest.param(
            _with_queue(stretch=4.0), _FULL, 0, False, id="long objective"
        ),
        pytest.param(
            attrs.evolve(
                _JOB,
                steps=(_STEP, attrs.evolve(_STEP, is_best_effort=True)),
            ),
            _FULL,
            0,
            False,
            id="nothing known of the second step",
        ),
    ],
)
def test_only_hopeless_jobs_are_refused(
    job: model.Job,
    waits: tuple[model.WaitSummary, ...],
    elapsed_s: float,
    is_refused: bool,
) -> None:
    """Guards against refusing a job that could still be served in time."""
    found = admission.assess_job(job, [waits, waits], elapsed_s * _S)
    assert (found is not None) is is_refused


@pytest.mark.parametrize(
    ("reports", "is_refused"),
    [
        ([], False),
        ([_FULL, _FULL], True),
        ([_FULL, ()], False),
        ([_make_waits(5), _FULL], False),
        ([_FULL, _FULL, _make_waits(free=_TASK)], False),
    ],
)
def test_all_heartbeats_have_to_agree(
    reports: list[tuple[model.WaitSummary, ...]], is_refused: bool
) -> None:
    """Guards against a refusal by one figure of a short burst."""
    assert (admission.assess_job(_JOB, reports) is not None) is is_refused


def test_shortest_wait_of_the_reports_counts() -> None:
    """Guards against a Retry-After from the worst of several figures."""
    found = admission.assess_job(_JOB, [_FULL, _make_waits(12)])
    assert found is not None
    assert found.expected_wait == 12 * _S
    assert found.objective == 3.5 * _S
    assert found.work_time == 1.6 * _S
