"""Compares the decision to wait for a near place with simpler ones."""

from collections.abc import Callable
import datetime
import pathlib
import statistics

import pytest

from standins import virtual_time
from tamarackhatch import placement
from tamarackhatch.scheduler.tests import near_trial

_SECOND = datetime.timedelta(seconds=1)
_FAR = "r2"


def _decide_with_delay(
    delay: datetime.timedelta,
) -> Callable[[placement.NearOption, datetime.timedelta], object]:
    """Returns a decision that waits for a fixed time, whatever is forecast."""

    def decide(
        option: placement.NearOption, now: datetime.timedelta
    ) -> placement.PlaceDecision:
        if option.waited >= delay:
            return placement.StartRemote(placement.RemoteReason.TIME_IS_UP)
        until = now + delay - option.waited
        return placement.AwaitNear(until, delay, option.gain)

    return decide


def _use_delay(monkeypatch: pytest.MonkeyPatch, delay_s: float | None) -> None:
    if delay_s is not None:
        monkeypatch.setattr(
            placement, "decide_place", _decide_with_delay(delay_s * _SECOND)
        )


@pytest.mark.parametrize(
    ("elapsed_s", "delay_s", "gain_s"),
    [
        pytest.param(0.8, 0.0, 0.25, id="room in time, no wait"),
        pytest.param(0.1, 0.25, 0.2, id="room too late, short delay"),
        pytest.param(0.1, 0.5, 0.4, id="room too late, long delay"),
    ],
)
def test_decision_beats_no_wait_and_fixed_delay(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    elapsed_s: float,
    delay_s: float,
    gain_s: float,
) -> None:
    """Guards against a decision that is worse than a simple rule.

    Load: the rack of an urgent job is full for 0.2 or for 0.9 s more.
    """

    async def simulate(log: pathlib.Path) -> float:
        trial = near_trial.Trial(log)
        await trial.start()
        await near_trial.block_rack(trial, 1.0, elapsed_s)
        submitted = near_trial.get_time()
        await near_trial.run_job(trial)
        return (
            max(run.exited or 0 for run in trial.list_runs("r1-job"))
            - submitted
        )

    decided = virtual_time.run_virtually(simulate(tmp_path / "decided"))
    _use_delay(monkeypatch, delay_s)
    simple = virtual_time.run_virtually(simulate(tmp_path / "simple"))
    assert simple - decided > gain_s


@pytest.mark.parametrize("rate", [2.0, 3.0])
def test_decision_on_a_hot_rack(
    tmp_path: pathlib.Path, rate: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against waits that cost more than the nearer place gains.

    Load: 60 % of the urgent jobs name one rack of four, which they fill to
    0.8 and 1.2 times its capacity. Jobs of ten tasks are done with their
    slowest one, so that the decision saves work rather than latency.
    The means of two seeds differ by more than 1 % by chance, so that four are
    played.
    """

    def measure(delay_s: float | None) -> near_trial.LoadResult:
        async def simulate(seed: int) -> near_trial.LoadResult:
            trial = near_trial.Trial(tmp_path / f"{delay_s}-{seed}", 4, 3)
            await trial.start()
            return await trial.run_load(rate, seed, 20.0)

        _use_delay(monkeypatch, delay_s)
        results = [
            virtual_time.run_virtually(simulate(seed)) for seed in range(1, 5)
        ]
        return near_trial.LoadResult(
            statistics.mean(result.mean_latency for result in results),
            max(result.longest_wait for result in results),
            sum(result.work for result in results),
        )

    decided, none, short, long = map(measure, (None, 0.0, 0.25, 0.5))
    assert decided.longest_wait < 2.5 + near_trial.LATENCY_S
    assert decided.work < none.work
    assert decided.mean_latency < 1.01 * none.mean_latency
    assert decided.mean_latency < 0.98 * short.mean_latency
    assert decided.mean_latency < 0.98 * long.mean_latency
