"""The model learns from runners that behave as it assumes."""

import datetime
import math
import random

import pytest

from tamarackhatch import placement

_BASE = 10.0
_TARGET = 50.0
_LIMIT = 0.8
_PERIOD_S = 14
_TRUE_FACTORS = {"heavy": 2.5, "light": 0.1}
_NOISE = 0.04


def _get_own_load(time_s: float) -> float:
    return 0.45 + 0.2 * math.sin(2 * math.pi * time_s / _PERIOD_S)


def _compute_tail_latency(
    time_s: float, shares: dict[str, float], noise: random.Random
) -> float:
    utilisation = _get_own_load(time_s) + sum(
        _TRUE_FACTORS[image] * share for image, share in shares.items()
    )
    tail_latency = _BASE / (1 - min(utilisation, 0.98))
    return tail_latency * noise.gauss(1.0, _NOISE)


def _list_shares(runner: int, tick: int) -> dict[str, float]:
    """Lets best-effort tasks come and go, differently on each runner."""
    shares = {}
    if (tick + 3 * runner) // 5 % 3 == 1:
        shares["heavy"] = 0.08
    if (tick + 2 * runner) // 4 % 2:
        shares["light"] = 0.2
    return shares


def _teach(interference: placement.InterferenceModel, seconds: int) -> None:
    """Shows a job on three runners, once in half a second each."""
    noise = random.Random(1)
    for tick in range(seconds * 2):
        for runner in range(3):
            time_s = tick / 2 + runner * 0.1
            shares = _list_shares(runner, tick)
            tail_latency = _compute_tail_latency(time_s, shares, noise)
            interference.observe(
                f"i-{runner}",
                [placement.JobSample("00", "watch", tail_latency, 2, _TARGET)],
                shares,
                datetime.timedelta(seconds=time_s),
            )


@pytest.mark.parametrize(("seconds", "error"), [(8, 0.8), (30, 0.5)])
def test_heavy_best_effort_tasks_are_told_from_light_ones(
    seconds: int, error: float
) -> None:
    """Guards against blaming a best-effort task for the task's own load."""
    interference = placement.InterferenceModel()
    _teach(interference, seconds)
    for image, truth in _TRUE_FACTORS.items():
        learned = interference.get_factor("watch", image)
        assert learned == pytest.approx(truth, abs=error), image
        assert interference.get_deviation("watch", image) < 0.4


def test_repeated_samples_feign_no_certainty() -> None:
    """A mix that never changes says nothing about its best-effort tasks."""
    interference = placement.InterferenceModel()
    for tick in range(200):
        interference.observe(
            "i-0",
            [placement.JobSample("00", "watch", 25.0, 4, _TARGET)],
            {"steady": 0.1},
            datetime.timedelta(seconds=tick / 2),
        )
    assert interference.get_deviation("watch", "steady") > 0.9


def test_saturated_samples_tell_heavy_best_effort_tasks() -> None:
    """Guards against ignoring tasks whose interference goes off the scale."""
    interference = placement.InterferenceModel()
    for tick in range(40):
        shares = {"crushing": 0.3} if tick // 4 % 2 else {}
        tail_latency = 5000.0 if shares else 20.0
        interference.observe(
            "i-0",
            [placement.JobSample("00", "watch", tail_latency, 1, _TARGET)],
            shares,
            datetime.timedelta(seconds=tick / 2),
        )
    assert interference.get_factor("watch", "crushing") > 1.2


def test_own_load_is_forecast() -> None:
    """Guards against placing tasks just before the own load rises."""
    interference = placement.InterferenceModel()
    _teach(interference, 29)
    now = datetime.timedelta(seconds=29)
    for seconds in (0.5, 1.5):
        forecast = interference.forecast_own_load(
            "00", "watch", _LIMIT, now, datetime.timedelta(seconds=seconds)
        )
        truth = max(_get_own_load(29), _get_own_load(29 + seconds))
        assert forecast == pytest.approx(truth, abs=0.08)


def test_unknown_job_is_taken_to_be_at_its_peak() -> None:
    """Guards against target violations right after a takeover."""
    interference = placement.InterferenceModel()
    _teach(interference, 30)
    forecast = interference.forecast_own_load(
        "new",
        "watch",
        _LIMIT,
        datetime.timedelta(seconds=30),
        datetime.timedelta(seconds=1),
    )
    assert forecast == pytest.approx(0.65, abs=0.08)


def test_learned_factors_are_handed_over() -> None:
    """A successor starts with what its predecessor knew."""
    teacher, pupil = (
        placement.InterferenceModel(),
        placement.InterferenceModel(),
    )
    _teach(teacher, 30)
    pupil.import_interference(
        teacher.export_interference(), datetime.timedelta()
    )
    for image in _TRUE_FACTORS:
        assert pupil.get_factor("watch", image) == pytest.approx(
            teacher.get_factor("watch", image), abs=0.05
        )
        assert pupil.get_deviation("watch", image) == pytest.approx(
            teacher.get_deviation("watch", image), abs=0.05
        )
