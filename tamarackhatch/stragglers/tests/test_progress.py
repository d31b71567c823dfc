"""Tests of the progress rates of runs."""

import datetime

import pytest

from tamarackhatch import model
from tamarackhatch import stragglers

_SECOND = datetime.timedelta(seconds=1)
_STEP = ("00", 0, 0)
_KEY = model.TaskKey(*_STEP, 0)


def _record(
    monitor: stragglers.ProgressMonitor,
    samples: list[tuple[float, int, float]],
    run: int = 1,
    key: model.TaskKey = _KEY,
) -> stragglers.RunProgress:
    """Records samples: seconds, per cent, speed limit."""
    progress = stragglers.RunProgress()
    for seconds, percent, speed_limit in samples:
        progress = monitor.record_progress(
            key,
            run,
            stragglers.ProgressSample(seconds * _SECOND, percent, speed_limit),
        )
    return progress


@pytest.mark.parametrize(
    ("load", "samples", "rate", "unlimited_rate"),
    [
        ("one report", [(0, 0, 1)], None, None),
        ("less than a second", [(0, 0, 1), (0.9, 30, 1)], None, None),
        ("full speed", [(0, 0, 1), (1, 37, 1)], 38, 36),
        (
            "only the last window counts",
            [(0, 0, 1), (1, 37, 1), (2, 40, 1)],
            4,
            2,
        ),
        (
            "reports each 0.4 s",
            [(t * 0.4, t * 10, 1) for t in range(6)],
            # The window has 1.2 s and 30 per cent.
            31 / 1.2,
            29 / 1.2,
        ),
        ("half speed limit", [(0, 0, 0.5), (1, 19, 0.5)], 20, 36),
        (
            "limit too low to tell the speed without it",
            [(0, 0, 0.1), (1, 4, 0.1)],
            5,
            None,
        ),
        (
            "limit lowered in between: the higher one counts",
            [(0, 0, 1), (1, 19, 0.5)],
            20,
            18,
        ),
        ("stopped", [(0, 40, 0), (1, 40, 0)], 1, None),
        (
            "repeated report",
            [(0, 0, 1), (1, 37, 1), (1, 37, 1)],
            38,
            36,
        ),
        ("no progress", [(0, 10, 1), (2, 10, 1)], 0.5, 0),
    ],
)
def test_rates_follow_from_reports(
    load: str,
    samples: list[tuple[float, int, float]],
    rate: float | None,
    unlimited_rate: float | None,
) -> None:
    """Guards against rates from too little, old or rounded progress."""
    progress = _record(stragglers.ProgressMonitor(), samples)
    assert progress.rate == pytest.approx(rate), load
    assert progress.unlimited_rate == pytest.approx(unlimited_rate), load


def test_time_without_speed_is_measured_from_its_begin() -> None:
    """Guards against moves of runs that are stopped for a moment."""
    monitor = stragglers.ProgressMonitor()
    samples = [(0.0, 10, 0.0), (0.4, 10, 1.0), (0.8, 20, 0.0), (1.2, 20, 0.0)]
    assert _record(monitor, samples).stopped_since == 0.8 * _SECOND
    assert _record(monitor, [(1.6, 20, 0.5)]).stopped_since is None


def test_next_run_keeps_the_best_rate_of_the_task() -> None:
    """Guards against a jump from 0 to the checkpoint that counts as work."""
    monitor = stragglers.ProgressMonitor()
    _record(monitor, [(0, 0, 1), (1, 37, 1)])
    progress = _record(monitor, [(1.5, 20, 1), (2.4, 22, 1)], run=2)
    assert progress.rate is None
    assert progress.best_rate == 36
    progress = _record(monitor, [(2.5, 24, 1)], run=2)
    assert progress.rate == 5
    assert progress.best_rate == 36


def test_peers_are_measured_by_the_median_of_at_least_three() -> None:
    """Guards against one fast or slow task that stands for its step."""
    monitor = stragglers.ProgressMonitor()
    for index, gained in enumerate((4, 37, 41)):
        assert monitor.compute_peer_rate(_STEP) is None
        key = model.TaskKey(*_STEP, index)
        _record(monitor, [(0, 0, 1), (1, gained, 1)], key=key)
    assert monitor.compute_peer_rate(_STEP) == 36
    monitor.retain_steps(lambda step: False)
    assert monitor.compute_peer_rate(_STEP) is None


@pytest.mark.parametrize(
    ("load", "samples", "run", "expected"),
    [
        ("reported once", [(0.5, 20, 1.0)], 1, 40),
        ("throttled", [(0.5, 20, 0.5)], 1, None),
        ("another run", [(0.5, 20, 1.0)], 2, None),
        ("progress is not reported", [(0.5, 100, 1.0)], 1, None),
        ("reported only just before", [(2.4, 90, 1.0)], 1, None),
    ],
)
def test_short_runs_are_measured_by_their_end(
    load: str,
    samples: list[tuple[float, int, float]],
    run: int,
    expected: float | None,
) -> None:
    """Guards against steps without rates where reports come each 1.5 s."""
    monitor = stragglers.ProgressMonitor()
    for index in range(3):
        key = model.TaskKey(*_STEP, index)
        _record(monitor, samples, key=key)
        monitor.record_done(key, run, 2.5 * _SECOND)
    assert monitor.compute_peer_rate(_STEP) == expected, load
