"""Which runners of a serving job samples are taken from."""

import datetime

import pytest

from tamarackhatch.placement import _job_history

_MS = datetime.timedelta(milliseconds=1)


def _take(
    history: _job_history.JobHistory, runner: str, now: datetime.timedelta
) -> bool:
    if not history.is_due(runner, now):
        return False
    history.add(_job_history.Observation(runner, 0.5, 0.01, {}, now))
    return True


@pytest.mark.parametrize(
    ("runners", "period_ms", "spread_ms"),
    [
        pytest.param(2, 300, 20, id="two in step"),
        pytest.param(2, 800, 20, id="two in step, rarely"),
        pytest.param(20, 100, 100, id="20 spread out"),
        pytest.param(100, 100, 100, id="100 spread out"),
        pytest.param(100, 800, 800, id="100 spread out, rarely"),
        pytest.param(100, 400, 10, id="100 in step"),
    ],
)
def test_each_runner_is_sampled(
    runners: int, period_ms: int, spread_ms: int
) -> None:
    """Guards against a limit that always drops the same runners' samples."""
    history = _job_history.JobHistory()
    counts = dict.fromkeys(range(runners), 0)
    for start_ms in range(0, 240_000, period_ms):
        for runner in range(runners):
            now = (start_ms + runner * spread_ms / runners) * _MS
            counts[runner] += _take(history, str(runner), now)
    assert min(counts.values()) >= 2
    assert sum(counts.values()) <= 4010


def test_runners_that_have_left_are_forgotten() -> None:
    """Guards against memory that grows with each runner of a job's life."""
    history = _job_history.JobHistory()
    for number in range(3000):
        _take(history, str(number), number * 100 * _MS)
    assert len(history.by_runner) <= 300
