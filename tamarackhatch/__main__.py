"""Runs the command line interface for ``python -m tamarackhatch``."""

from tamarackhatch import cli

cli.main()
