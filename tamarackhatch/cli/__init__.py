"""Command line interface."""

from tamarackhatch.cli._main import main

__all__ = ["main"]
