"""Tests of simulated days and of the policies that they compare."""

import collections
import datetime
import math
import statistics
import typing

import attrs
import pytest

from fleetmodel import _experiment
from fleetmodel import _interference
from fleetmodel import _profile
from fleetmodel import _score
from fleetmodel import _simulation
from fleetmodel import _work

_SMALL_PROFILE = attrs.evolve(
    _profile.BOTTLERS,
    runner_count=6,
    batch=tuple(
        attrs.evolve(
            kind,
            submissions_per_s=kind.submissions_per_s / 2,
            initial_jobs=kind.initial_jobs // 2,
        )
        for kind in _profile.BOTTLERS.batch
    ),
    serving=attrs.evolve(
        _profile.BOTTLERS.serving, initial_jobs=3, submissions_per_s=0.02
    ),
    traffic_s=12.0,
)
_DEFAULT_POLICY = _experiment.parse_variant("").policy


def test_equal_seeds_give_equal_scores() -> None:
    """Guards against scores that differ between runs of the same day."""
    first = _simulation.simulate_day(_SMALL_PROFILE, 1, _DEFAULT_POLICY)
    assert first == _simulation.simulate_day(
        _SMALL_PROFILE, 1, _DEFAULT_POLICY
    )
    assert first.starts > 50


def test_day_without_heavy_interference_earns_credit() -> None:
    """Guards against a model that loses credit where nothing interferes."""
    profile = attrs.evolve(_SMALL_PROFILE, heavy_share=0.0)
    shares = [
        _simulation.simulate_day(profile, seed, _DEFAULT_POLICY).credit_share
        for seed in range(1, 9)
    ]
    assert statistics.mean(shares) > 0.95


@pytest.mark.parametrize(
    ("end", "completed", "credit_share"),
    [
        pytest.param(5.0, {}, 0.5, id="overdue at the end"),
        pytest.param(3.0, {}, 1.0, id="not due by the end"),
        pytest.param(3.0, {"late": 2.5}, 1.0, id="completed in time"),
    ],
)
def test_uncompleted_job_counts_after_its_objective(
    end: float, completed: dict[str, float], credit_share: float
) -> None:
    """Guards against counting jobs that the day was too short to finish."""
    kind = _SMALL_PROFILE.batch[0]
    jobs = [
        _work.GeneratedJob(name, kind, 1.0, math.inf, (), (), 3.0, 0.0, 1.0)
        for name in ("late", "early")
    ]
    scorer = _score.Scorer(_SMALL_PROFILE)
    score = scorer.compute_score(
        jobs, {"early": 1.5, **completed}, collections.Counter(), end
    )
    assert score.credit_share == credit_share


def test_policy_without_margin_violates_targets() -> None:
    """Guards against a model in which placement does not matter."""
    unsafe_policy = _experiment.parse_variant("margin=-5,most_use=9").policy
    default_score, unsafe_score = (
        _simulation.simulate_day(_SMALL_PROFILE, 2, policy)
        for policy in (_DEFAULT_POLICY, unsafe_policy)
    )
    assert unsafe_score.violation_s > 3 * default_score.violation_s + 10


def test_load_depends_on_the_seed_alone() -> None:
    """Guards against variants compared on different jobs or factors."""
    loads = [
        _work.LoadGenerator(_SMALL_PROFILE, seed).generate_jobs()
        for seed in (1, 1, 2)
    ]
    assert loads[0] == loads[1] != loads[2]
    factors = [
        _interference.Interference(_SMALL_PROFILE, seed).get_factor(
            "serving-0", "filler-0"
        )
        for seed in (1, 1, 2)
    ]
    assert factors[0] == factors[1] != factors[2]


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("patience", "patience"),
        ("unknown=1", "unknown=1"),
        ("patience=soon", "soon"),
    ],
)
def test_invalid_variant_is_rejected(text: str, names: str) -> None:
    """Guards against errors that do not name the invalid text."""
    with pytest.raises(_experiment.VariantError, match=names):
        _experiment.parse_variant(text)


_OPTIONS = [
    ("margin", "margin"),
    ("caution", "uncertainty_weight"),
    ("horizon", "horizon"),
    ("relapse", "full_usage_probability"),
    ("pace_relapse", "throttling_full_usage_probability"),
    ("pace_horizon", "throttling_horizon"),
    ("patience", "full_speed_wait"),
    ("least_pace", "min_speed"),
    ("pace_weight", "speed_weight"),
    ("packing", "packing"),
    ("batch_packing", "batch_packing"),
    ("scarce_batch_packing", "scarce_batch_packing"),
    ("ample", "ample_free_share"),
    ("scarce", "scarce_free_share"),
    ("ample_remaining", "ample_remaining_share"),
    ("min_combined", "min_combined_runners"),
    ("company", "image_mixing_weight"),
    ("pressure_weight", "utilisation_weight"),
    ("most_use", "max_cpu_usage"),
    ("crowding_weight", "contention_weight"),
    ("free_runner_cost", "empty_runner_cost"),
    ("failure_weight", "failure_weight"),
    ("far_weight", "locality_weight"),
    ("prefers_sound_near", "prefers_sound_near"),
    ("harm_patience", "violation_timeout"),
    ("starvation_wait", "starvation_wait"),
    ("lasting_patience", "long_running_wait"),
    ("max_lasting_patience", "max_long_running_wait"),
    ("batch_patience", "batch_wait"),
    ("gathering", "grouping_delay"),
]


@pytest.mark.parametrize(("option", "field"), _OPTIONS)
def test_option_sets_its_field(option: str, field: str) -> None:
    """Guards against options that set the wrong field or lose their name."""
    changed = _experiment.parse_variant(f"{option}=3").policy
    default = getattr(_DEFAULT_POLICY, field)
    value: float | datetime.timedelta = 3.0
    if isinstance(default, datetime.timedelta):
        value = datetime.timedelta(seconds=3)
    assert default != value
    changes: dict[str, typing.Any] = {field: value}
    assert changed == attrs.evolve(_DEFAULT_POLICY, **changes)


def test_every_field_has_one_option() -> None:
    """Guards against a field that no variant can change."""
    fields = [field.name for field in attrs.fields(type(_DEFAULT_POLICY))]
    assert [field for _, field in _OPTIONS] == fields


def test_error_lists_the_options() -> None:
    """Guards against an error that lists the fields, not the options."""
    names = sorted(option for option, _ in _OPTIONS)
    with pytest.raises(_experiment.VariantError) as caught:
        _experiment.parse_variant("uncertainty_weight=1")
    assert str(caught.value) == (
        f"'uncertainty_weight=1' is not NAME=VALUE with one of {names}"
    )
