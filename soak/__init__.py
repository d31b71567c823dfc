"""Soak test: real processes, random faults, and checks while it runs."""

from soak._run import run_seed
from soak._schedule import make_schedule

__all__ = ["make_schedule", "run_seed"]
