"""Placement of tasks on runners, and pace control of fillers."""

from tamarackhatch.placement._choice import Candidate
from tamarackhatch.placement._choice import choose_runner
from tamarackhatch.placement._choice import is_allowed
from tamarackhatch.placement._load import RunnerLoad
from tamarackhatch.placement._pace import PaceController
from tamarackhatch.placement._pace import PaceTarget

__all__ = [
    "Candidate",
    "PaceController",
    "PaceTarget",
    "RunnerLoad",
    "choose_runner",
    "is_allowed",
]
