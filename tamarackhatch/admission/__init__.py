"""Refuses work that cannot be served in time under overload; pure code."""

from tamarackhatch.admission._decision import assess_job
from tamarackhatch.admission._decision import Overload
from tamarackhatch.admission._estimator import Pool
from tamarackhatch.admission._estimator import WaitEstimator
from tamarackhatch.admission._estimator import WaitingWork
from tamarackhatch.admission._figures import MAX_SUMMARY_AGE
from tamarackhatch.admission._figures import WaitFigures
from tamarackhatch.admission._returns import ReturnPlan

__all__ = [
    "MAX_SUMMARY_AGE",
    "Overload",
    "Pool",
    "ReturnPlan",
    "WaitEstimator",
    "WaitFigures",
    "WaitingWork",
    "assess_job",
]
