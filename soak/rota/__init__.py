"""Plays the traffic and the troubles of deployment brindle-rota."""

from soak.rota._run import run_seed
from soak.rota._schedule import Profile

__all__ = ["Profile", "run_seed"]
