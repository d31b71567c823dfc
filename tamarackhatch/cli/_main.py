"""Entry point of the program."""

import sys
import typing

import attrs
import cappa

import tamarackhatch
from tamarackhatch import errors
from tamarackhatch import server

_EXIT_FINDINGS = 2


@cappa.command(name="serve", help="Runs an instance.")
@attrs.frozen
class Serve:
    """Runs an instance until SIGTERM.

    Attributes:
        settings: Path of the settings file.
    """

    settings: typing.Annotated[
        str, cappa.Arg(long=True, help="Path of the settings file.")
    ]

    def __call__(self) -> None:
        try:
            server.serve(self.settings)
        except errors.FindingsError as error:
            print(error.message, file=sys.stderr)
            raise cappa.Exit(code=_EXIT_FINDINGS) from error


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

    command: cappa.Subcommands[Serve | Version]


def main() -> None:
    """Runs the command given on the command line."""
    cappa.invoke(Tamarackhatch)
