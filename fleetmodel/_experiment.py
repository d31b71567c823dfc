"""Compares placement policies on the same simulated days."""

from collections.abc import Sequence
import concurrent.futures
import datetime
import statistics
import time
import typing

import attrs

from fleetmodel import _profile
from fleetmodel import _score
from fleetmodel import _simulation
from tamarackhatch import placement

# Options of a variant, and the policy fields that they set.
_OPTIONS: typing.Final = {
    "margin": "margin",
    "caution": "uncertainty_weight",
    "horizon": "horizon",
    "relapse": "full_usage_probability",
    "pace_relapse": "throttling_full_usage_probability",
    "pace_horizon": "throttling_horizon",
    "patience": "full_speed_wait",
    "least_pace": "min_speed",
    "pace_weight": "speed_weight",
    "packing": "packing",
    "batch_packing": "batch_packing",
    "scarce_batch_packing": "scarce_batch_packing",
    "ample": "ample_free_share",
    "scarce": "scarce_free_share",
    "ample_remaining": "ample_remaining_share",
    "min_combined": "min_combined_runners",
    "company": "image_mixing_weight",
    "pressure_weight": "utilisation_weight",
    "most_use": "max_cpu_usage",
    "crowding_weight": "contention_weight",
    "free_runner_cost": "empty_runner_cost",
    "failure_weight": "failure_weight",
    "far_weight": "locality_weight",
    "prefers_sound_near": "prefers_sound_near",
    "harm_patience": "violation_timeout",
    "starvation_wait": "starvation_wait",
    "lasting_patience": "long_running_wait",
    "max_lasting_patience": "max_long_running_wait",
    "batch_patience": "batch_wait",
    "gathering": "grouping_delay",
}


@attrs.frozen
class Variant:
    """A named policy.

    Attributes:
        name: Its name in the table.
        policy: The policy.
    """

    name: str
    policy: placement.PlacementPolicy


@attrs.frozen
class DayResult:
    """One simulated day.

    Attributes:
        variant: Name of the variant.
        profile: Name of the deployment.
        seed: Seed of the day.
        score: Its score.
        duration_s: Time that the simulation took, in seconds.
    """

    variant: str
    profile: str
    seed: int
    score: _score.Score
    duration_s: float


class VariantError(ValueError):
    """A variant has an unknown option or a value that is not a number."""


def parse_variant(text: str) -> Variant:
    """Returns the policy of ``name=value,name=value``; empty for the default.

    Durations are given in seconds.

    Raises:
        VariantError: An option is unknown or its value is not a number.
    """
    policy = placement.PlacementPolicy()
    for item in filter(None, text.split(",")):
        name, separator, value = item.partition("=")
        if not separator or name not in _OPTIONS:
            raise VariantError(
                f"{item!r} is not NAME=VALUE with one of {sorted(_OPTIONS)}"
            )
        try:
            number = float(value)
        except ValueError as error:
            raise VariantError(
                f"value {value!r} of option {name} is not a number"
            ) from error
        field = _OPTIONS[name]
        changed: float | datetime.timedelta = number
        if isinstance(getattr(policy, field), datetime.timedelta):
            changed = datetime.timedelta(seconds=number)
        changes: dict[str, typing.Any] = {field: changed}
        policy = attrs.evolve(policy, **changes)
    return Variant(text or "default", policy)


def simulate_variants(
    variants: Sequence[Variant],
    profiles: Sequence[_profile.Profile],
    seeds: Sequence[int],
    processes: int,
) -> list[DayResult]:
    """Simulates every variant on every day."""
    simulations = [
        (variant, profile, seed)
        for seed in seeds
        for profile in profiles
        for variant in variants
    ]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        return list(pool.map(_simulate_one, simulations))


def _simulate_one(
    simulation: tuple[Variant, _profile.Profile, int],
) -> DayResult:
    variant, profile, seed = simulation
    began = time.perf_counter()
    score = _simulation.simulate_day(profile, seed, variant.policy)
    duration_s = time.perf_counter() - began
    return DayResult(variant.name, profile.name, seed, score, duration_s)


def format_results(results: Sequence[DayResult]) -> list[str]:
    """Returns a line for each day, and the means by variant and profile."""
    lines = [_format_line(result) for result in results]
    names = dict.fromkeys(result.variant for result in results)
    for name in names:
        for profile in dict.fromkeys(result.profile for result in results):
            scores = [
                result.score
                for result in results
                if (result.variant, result.profile) == (name, profile)
            ]
            lines.append(_format_mean(name, profile, scores))
    return lines


def _format_line(result: DayResult) -> str:
    score = result.score
    classes = " ".join(
        f"{name} {share:.3f}"
        for name, share in score.credit_share_by_class.items()
    )
    return (
        f"{result.profile} {result.seed} {result.variant}: "
        f"whole {score.credit_share:.3f} "
        f"nines {score.availability_score:.3f} {classes} "
        f"harmed {score.violation_s:.0f} s, {score.renewals} renewals, "
        f"{score.speed_limit_commands} paces, {score.starts} starts, "
        f"played in {result.duration_s:.0f} s"
    )


def _format_mean(
    name: str, profile: str, scores: Sequence[_score.Score]
) -> str:
    credit_share = statistics.mean(score.credit_share for score in scores)
    availability_score = statistics.mean(
        score.availability_score for score in scores
    )
    violation_s = statistics.mean(score.violation_s for score in scores)
    classes = " ".join(
        f"{kind} "
        f"{statistics.mean(s.credit_share_by_class[kind] for s in scores):.3f}"
        for kind in scores[0].credit_share_by_class
    )
    return (
        f"mean of {len(scores)} {profile} days, {name}: "
        f"whole {credit_share:.3f} nines {availability_score:.3f} {classes} "
        f"harmed {violation_s:.0f} s"
    )
