"""The model estimates the factors of simulated runners."""

import datetime
import math
import random
import typing

import pytest

from tamarackhatch import placement
from tamarackhatch.placement import _factors

_BASE_MS = 10.0
_TARGET_MS = 50.0
_MAX_UTILISATION = 0.8
_PERIOD_S = 14
_TRUE_FACTORS = {"heavy": 2.5, "light": 0.1}
_RELATIVE_NOISE = 0.04


def _get_own_load(time_s: float) -> float:
    return 0.45 + 0.2 * math.sin(2 * math.pi * time_s / _PERIOD_S)


def _compute_tail_latency(
    time_s: float, shares: dict[str, float], noise: random.Random
) -> float:
    utilisation = _get_own_load(time_s) + sum(
        _TRUE_FACTORS[image] * share for image, share in shares.items()
    )
    tail_latency = _BASE_MS / (1 - min(utilisation, 0.98))
    return tail_latency * noise.gauss(1.0, _RELATIVE_NOISE)


def _get_shares(runner: int, tick: int) -> dict[str, float]:
    """Returns shares that change over time, differently on each runner."""
    shares = {}
    if (tick + 3 * runner) // 5 % 3 == 1:
        shares["heavy"] = 0.08
    if (tick + 2 * runner) // 4 % 2:
        shares["light"] = 0.2
    return shares


def _observe_job(
    interference: placement.InterferenceModel, seconds: int
) -> None:
    """Adds samples of one job on three runners, each every half second."""
    noise = random.Random(1)
    for tick in range(seconds * 2):
        for runner in range(3):
            time_s = tick / 2 + runner * 0.1
            shares = _get_shares(runner, tick)
            tail_latency = _compute_tail_latency(time_s, shares, noise)
            interference.add_samples(
                f"i-{runner}",
                [
                    placement.JobSample(
                        "00", "watch", tail_latency, 2, _TARGET_MS
                    )
                ],
                shares,
                datetime.timedelta(seconds=time_s),
            )


@pytest.mark.parametrize(("seconds", "error"), [(8, 0.8), (30, 0.5)])
def test_factors_of_heavy_and_light_images_are_estimated(
    seconds: int, error: float
) -> None:
    """Guards against factors that include changes of the own load."""
    interference = placement.InterferenceModel()
    _observe_job(interference, seconds)
    for image, true_value in _TRUE_FACTORS.items():
        estimate = interference.get_factor("watch", image)
        assert estimate == pytest.approx(true_value, abs=error), image
        assert interference.get_deviation("watch", image) < 0.4


def test_repeated_samples_do_not_reduce_deviation() -> None:
    """Guards against certainty from samples with constant shares."""
    interference = placement.InterferenceModel()
    for tick in range(200):
        interference.add_samples(
            "i-0",
            [placement.JobSample("00", "watch", 25.0, 4, _TARGET_MS)],
            {"steady": 0.1},
            datetime.timedelta(seconds=tick / 2),
        )
    assert interference.get_deviation("watch", "steady") > 0.9


def test_saturated_samples_raise_the_factor() -> None:
    """Guards against ignoring tasks that saturate the tail latency."""
    interference = placement.InterferenceModel()
    for tick in range(40):
        shares = {"crushing": 0.3} if tick // 4 % 2 else {}
        tail_latency = 5000.0 if shares else 20.0
        interference.add_samples(
            "i-0",
            [placement.JobSample("00", "watch", tail_latency, 1, _TARGET_MS)],
            shares,
            datetime.timedelta(seconds=tick / 2),
        )
    assert interference.get_factor("watch", "crushing") > 1.2


def test_own_load_is_forecast() -> None:
    """Guards against placing best-effort tasks just before the load rises."""
    interference = placement.InterferenceModel()
    _observe_job(interference, 29)
    now = datetime.timedelta(seconds=29)
    for seconds in (0.5, 1.5):
        forecast = interference.forecast_own_load(
            "00",
            "watch",
            _MAX_UTILISATION,
            now,
            datetime.timedelta(seconds=seconds),
        )
        true_value = max(_get_own_load(29), _get_own_load(29 + seconds))
        assert forecast == pytest.approx(true_value, abs=0.08)


def test_unknown_job_is_expected_at_its_peak() -> None:
    """Guards against target violations right after a takeover."""
    interference = placement.InterferenceModel()
    _observe_job(interference, 30)
    forecast = interference.forecast_own_load(
        "new",
        "watch",
        _MAX_UTILISATION,
        datetime.timedelta(seconds=30),
        datetime.timedelta(seconds=1),
    )
    assert forecast == pytest.approx(0.65, abs=0.08)


def test_factors_are_exported_and_imported() -> None:
    """Guards against a loss of the estimates in a takeover."""
    predecessor, successor = (
        placement.InterferenceModel(),
        placement.InterferenceModel(),
    )
    _observe_job(predecessor, 30)
    successor.import_interference(
        predecessor.export_interference(), datetime.timedelta()
    )
    for image in _TRUE_FACTORS:
        assert successor.get_factor("watch", image) == pytest.approx(
            predecessor.get_factor("watch", image), abs=0.05
        )
        assert successor.get_deviation("watch", image) == pytest.approx(
            predecessor.get_deviation("watch", image), abs=0.05
        )


def test_upper_estimates_follow_samples_and_imports() -> None:
    """Guards against estimates that are kept beyond the next sample.

    Candidates refer to the tables of estimates for some time.
    """
    interference = placement.InterferenceModel()
    tables = {
        weight: interference.get_estimates("watch", weight)
        for weight in (0.0, 1.0)
    }

    def check_estimates() -> float:
        for weight in (0.0, 1.0):
            expected = interference.get_factor("watch", "heavy") + weight * (
                interference.get_deviation("watch", "heavy")
            )
            estimate = interference.estimate_factor("watch", "heavy", weight)
            assert estimate == tables[weight]["heavy"] == expected
        return expected

    first = check_estimates()
    _observe_job(interference, 8)
    second = check_estimates()
    interference.import_interference(
        placement.InterferenceTable(
            (placement.InterferenceFactor("watch", "heavy", 9.0, 0.1),)
        ),
        datetime.timedelta(seconds=9),
    )
    assert len({first, second, check_estimates()}) == 3


@pytest.mark.parametrize("runners", [1, 6, 7, 24, 100])
def test_samples_of_many_runners_cost_no_more_than_those_of_few(
    monkeypatch: pytest.MonkeyPatch, runners: int
) -> None:
    """Guards against a limit per runner that many runners displace."""
    observations = 0
    add = _factors.FactorRegression.add_observation

    def count(*arguments: typing.Any) -> bool:
        nonlocal observations
        observations += 1
        return add(*arguments)

    monkeypatch.setattr(_factors.FactorRegression, "add_observation", count)
    interference = placement.InterferenceModel()
    noise = random.Random(1)
    for tick in range(30):
        for runner in range(runners):
            time_s = tick / 10 + runner * 0.1 / runners
            shares = {"heavy": noise.random() / 10}
            tail_latency = _compute_tail_latency(time_s, shares, noise)
            sample = placement.JobSample(
                "00", "watch", tail_latency, 2, _TARGET_MS
            )
            interference.add_samples(
                f"i-{runner}",
                [sample],
                shares,
                datetime.timedelta(seconds=time_s),
            )
    # In 3 s: the first sample of each runner, one of each in 0.3 s and one of
    # all in 60 ms after it; each is compared with up to six others.
    assert 0 < observations <= 6 * (runners + min(10 * runners, 50))
