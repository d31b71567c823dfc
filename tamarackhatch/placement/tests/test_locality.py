"""Decisions between a near start, a wait and a remote start."""

import datetime

import pytest

from tamarackhatch import model
from tamarackhatch import placement

_SECOND = datetime.timedelta(seconds=1)
_NOW = 100 * _SECOND
_WAIT, _NEAR = "wait", "near"
_POLICY = placement.PlacementPolicy(prefers_sound_near=True)


@pytest.mark.parametrize(
    ("run_time_s", "wait_s", "waited_s", "slack_s", "expected"),
    [
        pytest.param(1, 0, 0, None, _NEAR, id="room now"),
        pytest.param(1, 0, 9, -1, _NEAR, id="room now, after all waits"),
        pytest.param(1, 0.2, 0, None, _WAIT, id="gains more than it costs"),
        pytest.param(1, 0.6, 0, None, "no gain", id="costs more"),
        pytest.param(1, 0.4, 0, None, "no gain", id="too close to say"),
        pytest.param(1, None, 0, None, "no place", id="nothing forecast"),
        pytest.param(1, None, 0.5, None, "time is up", id="waited in vain"),
        pytest.param(1, 0.2, 0.3, None, "time is up", id="too long in total"),
        pytest.param(1, 0.2, 0, 0.1, "time is up", id="misses objective"),
        pytest.param(1, 0.2, 0, -5, "time is up", id="is late already"),
        pytest.param(30, 2.0, 0, None, "time is up", id="long run"),
        pytest.param(30, 1.0, 0, None, _WAIT, id="long run, short wait"),
        pytest.param(30, 0.1, 2.5, None, "time is up", id="longest wait"),
        pytest.param(0, 0.1, 0, None, "time is up", id="no run time"),
    ],
)
def test_decision(
    run_time_s: float,
    wait_s: float | None,
    waited_s: float,
    slack_s: float | None,
    expected: str,
) -> None:
    """Guards against waits that cost more than they gain, or are too long.

    Load: urgent tasks of 1 s whose rack is full; long tasks beside them.
    """
    decision = placement.decide_place(
        placement.NearOption(
            run_time_s * _SECOND,
            1.5,
            None if wait_s is None else wait_s * _SECOND,
            waited_s * _SECOND,
            None if slack_s is None else slack_s * _SECOND,
        ),
        _NOW,
    )
    if isinstance(decision, placement.AwaitNear):
        assert expected == _WAIT
        since = _NOW - waited_s * _SECOND
        assert decision.until <= since + placement.MAX_NEAR_WAIT
        assert decision.until <= since + decision.gain
    elif isinstance(decision, placement.StartRemote):
        assert expected == decision.reason.value
    else:
        assert expected == _NEAR


def _make_candidate(
    name: str, rack: str, penalty: float = 0.0, cpu_in_use: int = 0
) -> placement.CandidateRunner:
    load = placement.RunnerLoad(
        name, "s", model.Resources(16_000, 64_000), ("a", rack)
    )
    if cpu_in_use:
        load.add_task(
            model.TaskKey("serving", 0, 0, 0),
            model.Step(
                1,
                model.Resources(cpu_in_use, 100),
                is_long_running=True,
                tail_latency_target=_SECOND,
                image="serving",
            ),
        )
    candidate = placement.CandidateRunner(
        load, placement.InterferenceModel(), _POLICY, _NOW
    )
    candidate.penalty = penalty
    candidate.serving_cpu_share = cpu_in_use / 16_000
    return candidate


@pytest.mark.parametrize(
    ("near", "is_best_effort", "expected"),
    [
        pytest.param({}, False, "near", id="sound"),
        pytest.param({"penalty": 0.4}, False, "near", id="one failed run"),
        pytest.param({"penalty": 1.2}, False, "far", id="failing"),
        pytest.param({}, True, "near", id="full speed"),
        pytest.param({"cpu_in_use": 14_500}, True, "far", id="throttling"),
    ],
)
def test_near_runner_is_preferred_if_it_is_as_good(
    near: dict[str, float], is_best_effort: bool, expected: str
) -> None:
    """Guards against a failing or full runner that attracts near tasks.

    Load: runners that fail some of what they start, or are crowded.
    """
    step = model.Step(
        1,
        model.Resources(2_000, 100),
        preferred_rack="r1",
        is_best_effort=is_best_effort,
        image="best-effort",
    )
    candidates = [
        _make_candidate("near", "r1", **near),  # type: ignore[arg-type]
        _make_candidate("far", "r2"),
    ]
    # Those that are not sound are not tried before all others.
    assert placement.is_sound(candidates[0], _POLICY) == (
        near.get("penalty", 0.0) < 1.0
    )
    (choice,) = placement.choose_runners(
        [model.TaskKey("job", 0, 0, 0)],
        step,
        candidates,
        _POLICY,
        min_speed=0.0,
    )
    assert choice.candidate.load.identifier == expected
