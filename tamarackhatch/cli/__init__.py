"""The command line."""

from tamarackhatch.cli._main import main

__all__ = ["main"]
