"""Soak test: real processes, random faults, and checks while it runs."""

from soak import _faults as faults
from soak._run import Result
from soak._run import run_seed
from soak._schedule import make_schedule

__all__ = ["Result", "faults", "make_schedule", "run_seed"]
