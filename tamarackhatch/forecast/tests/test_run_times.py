"""Run times that are learned, and the remaining time of runs."""

import datetime
import random

import pytest

from tamarackhatch import forecast

_SECOND = datetime.timedelta(seconds=1)
_KIND = ("renewals", "urgent", 0)
_WORK = forecast.StepWork(("job", 0, 0), _KIND, 10 * _SECOND)
_OTHER = forecast.StepWork(("other", 0, 0), _KIND, 10 * _SECOND)
_UNKNOWN = forecast.StepWork(("job", 0, 1), ("renewals", "other", 1))


def _record(
    model: forecast.RunTimeModel,
    work: forecast.StepWork,
    run_times: list[float],
    now: datetime.timedelta = datetime.timedelta(),
) -> None:
    for run_time in run_times:
        model.record_run(work, run_time * _SECOND, now)


@pytest.mark.parametrize(
    ("siblings", "others", "projected", "now_s", "expected_s", "evidence"),
    [
        pytest.param([], [], [], 0, 10, "estimate", id="estimate only"),
        pytest.param([1, 1], [], [], 0, 10, "estimate", id="too few runs"),
        pytest.param([], [2] * 5, [], 0, 2, "kind", id="same kind"),
        pytest.param([1] * 3, [9] * 50, [], 0, 1, "step", id="same step"),
        pytest.param([1], [], [1.2, 1.4], 0, 1.2, "step", id="progress"),
        pytest.param([], [2] * 5, [], 600, 10, "estimate", id="outdated"),
    ],
)
def test_best_evidence_counts(
    siblings: list[float],
    others: list[float],
    projected: list[float],
    now_s: float,
    expected_s: float,
    evidence: str,
) -> None:
    """Guards against trust in estimates that are off by a factor of ten."""
    model = forecast.RunTimeModel()
    _record(model, _OTHER, others)
    _record(model, _WORK, siblings)
    found = model.estimate_run_time(
        _WORK, now_s * _SECOND, [value * _SECOND for value in projected]
    )
    assert found is not None
    assert found.evidence is forecast.Evidence(evidence)
    assert found.median / _SECOND == pytest.approx(expected_s, rel=0.08)
    assert found.low <= found.median <= found.high
    assert model.estimate_run_time(_UNKNOWN, now_s * _SECOND) is None


def test_later_runs_weigh_more() -> None:
    """Guards against quantiles of a load that is over.

    Load: run times change within minutes, for hours.
    """
    sketch = forecast.RunTimeSketch(datetime.timedelta())
    for minute in range(300):
        for _ in range(10):
            sketch.record(1.0 if minute < 297 else 7.0, minute * 60 * _SECOND)
    distribution = sketch.get_distribution()
    assert distribution.compute_quantile(0.5) == pytest.approx(7.0, rel=0.08)
    weight = sketch.compute_weight(299 * 60 * _SECOND)
    assert weight == pytest.approx(20, rel=0.01)


def test_quantiles_of_long_tailed_runs() -> None:
    """Guards against buckets that are too coarse.

    Load: 3 of 100 tasks take seven times as long.
    """
    numbers = random.Random(1)
    run_times = [
        numbers.lognormvariate(0, 0.3) * (7 if index % 33 == 0 else 1)
        for index in range(1_000)
    ]
    sketch = forecast.RunTimeSketch(datetime.timedelta())
    for run_time in run_times:
        sketch.record(run_time, datetime.timedelta())
    ordered = sorted(run_times)
    for share in (0.25, 0.5, 0.9):
        assert sketch.get_distribution().compute_quantile(
            share
        ) == pytest.approx(ordered[int(share * 1_000)], rel=0.08)


@pytest.mark.parametrize(
    ("run_times", "run", "now_s", "expected_s"),
    [
        pytest.param([1.0] * 5, {}, 0.4, 0.6, id="by age"),
        pytest.param([1.0] * 5, {"slowdown": 1.5}, 0.4, 1.1, id="remote"),
        pytest.param([1.0] * 5 + [7.0], {}, 2.0, 5.0, id="long tail"),
        pytest.param([1.0] * 5, {}, 4.0, 2.0, id="outlasts all known runs"),
        pytest.param(
            [1.0] * 5,
            {"percent": 50, "reported_at": 2 * _SECOND},
            2.0,
            2.0,
            id="by progress",
        ),
        pytest.param(
            [1.0] * 5,
            {"percent": 50, "reported_at": 2 * _SECOND, "is_partial": True},
            0.4,
            0.6,
            id="resumed",
        ),
        pytest.param(
            [1.0] * 5,
            {"percent": 50, "reported_at": 2 * _SECOND, "rate": 10.0},
            3.0,
            4.0,
            id="by rate",
        ),
        pytest.param(
            [1.0] * 5,
            {"percent": 50, "reported_at": 2 * _SECOND, "rate": 0.0},
            3.0,
            None,
            id="stopped",
        ),
        pytest.param([], {}, 4.0, 6.0, id="estimate"),
    ],
)
def test_remaining_time(
    run_times: list[float],
    run: dict[str, float],
    now_s: float,
    expected_s: float | None,
) -> None:
    """Guards against room that is forecast too early or never."""
    model = forecast.RunTimeModel()
    _record(model, _WORK, run_times)
    remaining = model.estimate_remaining(
        forecast.RunInProgress(
            _WORK, datetime.timedelta(), **run  # type: ignore[arg-type]
        ),
        now_s * _SECOND,
    )
    if expected_s is None:
        assert remaining is None
    else:
        assert remaining is not None
        assert remaining / _SECOND == pytest.approx(expected_s, rel=0.01)
