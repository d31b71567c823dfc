"""The model simulates days, and the policies that it compares differ."""

import collections
import datetime
import math
import typing

import attrs
import pytest

from fleetmodel import _experiment
from fleetmodel import _interference
from fleetmodel import _profile
from fleetmodel import _score
from fleetmodel import _simulation
from fleetmodel import _work

_SMALL = attrs.evolve(
    _profile.BOTTLERS,
    runners=6,
    batch=tuple(
        attrs.evolve(kind, rate=kind.rate / 2, initial=kind.initial // 2)
        for kind in _profile.BOTTLERS.batch
    ),
    serving=attrs.evolve(_profile.BOTTLERS.serving, initial=3, rate=0.02),
    traffic_s=12.0,
)
_DEFAULT = _experiment.parse_variant("").policy


def test_day_repeats() -> None:
    """Guards against a model whose figures depend on chance."""
    first = _simulation.simulate_day(_SMALL, 1, _DEFAULT)
    assert first == _simulation.simulate_day(_SMALL, 1, _DEFAULT)
    assert first.starts > 50


def test_day_without_heavy_pairs_is_served() -> None:
    """Guards against a model that loses credit where nothing interferes."""
    harmless = attrs.evolve(_SMALL, heavy_share=0.0)
    assert _simulation.simulate_day(harmless, 1, _DEFAULT).whole > 0.95


@pytest.mark.parametrize(
    ("end", "completed", "whole"),
    [
        pytest.param(5.0, {}, 0.5, id="overdue at the end"),
        pytest.param(3.0, {}, 1.0, id="not due by the end"),
        pytest.param(3.0, {"late": 2.5}, 1.0, id="completed in time"),
    ],
)
def test_job_counts_from_its_objective(
    end: float, completed: dict[str, float], whole: float
) -> None:
    """Guards against days that end before a job could be done."""
    kind = _SMALL.batch[0]
    jobs = [
        _work.GeneratedJob(name, kind, 1.0, math.inf, (), (), 3.0, 0.0, 1.0)
        for name in ("late", "early")
    ]
    scorer = _score.Scorer(_SMALL)
    score = scorer.compute(
        jobs, {"early": 1.5, **completed}, collections.Counter(), end
    )
    assert score.whole == whole


def test_reckless_policy_violates_targets() -> None:
    """Guards against a model in which placement does not matter."""
    reckless = _experiment.parse_variant("margin=-5,most_use=9").policy
    careful, careless = (
        _simulation.simulate_day(_SMALL, 2, policy)
        for policy in (_DEFAULT, reckless)
    )
    assert careless.violation_s > 3 * careful.violation_s + 10


def test_load_depends_on_the_seed_alone() -> None:
    """Variants are compared on the same jobs and the same truth."""
    draws = [_work.LoadGenerator(_SMALL, seed).draw() for seed in (1, 1, 2)]
    assert draws[0] == draws[1] != draws[2]
    truths = [
        _interference.Interference(_SMALL, seed).get_factor(
            "serving-0", "filler-0"
        )
        for seed in (1, 1, 2)
    ]
    assert truths[0] == truths[1] != truths[2]


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("patience", "patience"),
        ("unknown=1", "unknown=1"),
        ("patience=soon", "soon"),
    ],
)
def test_bad_variant_is_refused(text: str, names: str) -> None:
    """The error names what is wrong."""
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
    ("company", "image_mixing_weight"),
    ("pressure_weight", "utilisation_weight"),
    ("most_use", "max_cpu_usage"),
    ("crowding_weight", "contention_weight"),
    ("free_runner_cost", "empty_runner_cost"),
    ("failure_weight", "failure_weight"),
    ("far_weight", "locality_weight"),
    ("harm_patience", "violation_timeout"),
    ("lasting_patience", "long_running_wait"),
    ("batch_patience", "batch_wait"),
    ("gathering", "grouping_delay"),
]


@pytest.mark.parametrize(("option", "field"), _OPTIONS)
def test_option_sets_its_field(option: str, field: str) -> None:
    """The options keep their names, whatever the fields are called."""
    changed = _experiment.parse_variant(f"{option}=3").policy
    default = getattr(_DEFAULT, field)
    value: float | datetime.timedelta = 3.0
    if isinstance(default, datetime.timedelta):
        value = datetime.timedelta(seconds=3)
    assert default != value
    changes: dict[str, typing.Any] = {field: value}
    assert changed == attrs.evolve(_DEFAULT, **changes)


def test_every_field_has_one_option() -> None:
    """Guards against a field that no variant can change."""
    fields = [field.name for field in attrs.fields(type(_DEFAULT))]
    assert [field for _, field in _OPTIONS] == fields


def test_error_lists_the_options() -> None:
    """The message names what may be written, not the fields."""
    names = sorted(option for option, _ in _OPTIONS)
    with pytest.raises(_experiment.VariantError) as caught:
        _experiment.parse_variant("uncertainty_weight=1")
    assert str(caught.value) == (
        f"'uncertainty_weight=1' is not NAME=VALUE with one of {names}"
    )
