"""Entry point of the program."""

import attrs
import cappa

import tamarackhatch


@cappa.command(name="version", help="Prints the version.")
@attrs.frozen
class Version:
    """Prints the version of the program."""

    def __call__(self, output: cappa.Output) -> None:
        output.output(tamarackhatch.__version__)


@cappa.command(name="tamarackhatch")
@attrs.frozen
class Tamarackhatch:
    """Scheduler for latency-critical services and batch work."""

    command: cappa.Subcommands[Version]


def main() -> None:
    """Runs the command given on the command line."""
    cappa.invoke(Tamarackhatch)
