"""Placement of tasks on runners, and pace control of best-effort tasks."""

from tamarackhatch.placement._candidate import CandidateRunner
from tamarackhatch.placement._choice import Choice
from tamarackhatch.placement._choice import choose_runners
from tamarackhatch.placement._choice import is_allowed
from tamarackhatch.placement._interference import FactorTable
from tamarackhatch.placement._interference import InterferenceModel
from tamarackhatch.placement._interference import JobSample
from tamarackhatch.placement._interference import LearnedFactor
from tamarackhatch.placement._load import RunnerLoad
from tamarackhatch.placement._pace import BestEffortState
from tamarackhatch.placement._pace import choose_paces
from tamarackhatch.placement._pace import infer_pace
from tamarackhatch.placement._pace import ServingState
from tamarackhatch.placement._policy import PlacementPolicy

__all__ = [
    "BestEffortState",
    "CandidateRunner",
    "Choice",
    "FactorTable",
    "InterferenceModel",
    "JobSample",
    "LearnedFactor",
    "PlacementPolicy",
    "RunnerLoad",
    "ServingState",
    "choose_paces",
    "choose_runners",
    "infer_pace",
    "is_allowed",
]
