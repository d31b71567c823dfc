"""Plays the traffic and the troubles of deployment brindle-rota."""

from soak.rota._run import run_seed

__all__ = ["run_seed"]
