"""Runs the command line as ``python -m tamarackhatch``."""

from tamarackhatch import cli

cli.main()
