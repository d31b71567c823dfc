"""Refuses what would overload runners or the store; pure code."""

from tamarackhatch.admission._decision import assess_job
from tamarackhatch.admission._decision import Overload
from tamarackhatch.admission._estimator import Pool
from tamarackhatch.admission._estimator import WaitEstimator
from tamarackhatch.admission._estimator import WaitingWork
from tamarackhatch.admission._figures import MAX_SUMMARY_AGE
from tamarackhatch.admission._figures import WaitFigures
from tamarackhatch.admission._returns import ReturnPlan
from tamarackhatch.admission._token_bucket import TokenBucket

__all__ = [
    "MAX_SUMMARY_AGE",
    "Overload",
    "Pool",
    "ReturnPlan",
    "TokenBucket",
    "WaitEstimator",
    "WaitFigures",
    "WaitingWork",
    "assess_job",
]
