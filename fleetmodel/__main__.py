"""Command line of the experiment tool."""

import sys
import typing

import attrs
import cappa

from fleetmodel import _experiment
from fleetmodel import _profile


@cappa.command(name="fleetmodel")
@attrs.define
class Experiment:
    """Compares placement policies on the same generated days.

    Attributes:
        variants: Policies, each as NAME=VALUE,...; "" is the default one.
        profiles: Deployments to simulate.
        seeds: Number of days to simulate of each deployment.
        first: Seed of the first day.
        processes: Number of days that are simulated at the same time.
    """

    variants: typing.Annotated[
        list[str], cappa.Arg(short="-v", long="--variant")
    ] = attrs.field(factory=lambda: [""])
    profiles: typing.Annotated[
        list[str], cappa.Arg(short="-p", long="--profile")
    ] = attrs.field(factory=lambda: sorted(_profile.PROFILES))
    seeds: typing.Annotated[int, cappa.Arg(long=True)] = 3
    first: typing.Annotated[int, cappa.Arg(long=True, default=0)] = 0
    processes: typing.Annotated[int, cappa.Arg(long=True)] = 3


def main() -> None:
    """Simulates the days and prints their scores."""
    arguments = cappa.parse(Experiment)
    unknown = sorted(set(arguments.profiles) - set(_profile.PROFILES))
    if unknown:
        sys.exit(f"unknown profiles: {', '.join(unknown)}")
    try:
        variants = [
            _experiment.parse_variant(text) for text in arguments.variants
        ]
    except _experiment.VariantError as error:
        sys.exit(str(error))
    results = _experiment.simulate_variants(
        variants,
        [_profile.PROFILES[name] for name in arguments.profiles],
        range(arguments.first, arguments.first + arguments.seeds),
        arguments.processes,
    )
    print("\n".join(_experiment.format_results(results)))


if __name__ == "__main__":
    main()
