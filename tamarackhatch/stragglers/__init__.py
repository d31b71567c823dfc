"""Decides which slow runs are worth moving to another runner; pure code."""

from tamarackhatch.stragglers._decision import find_stragglers
from tamarackhatch.stragglers._decision import MoveCost
from tamarackhatch.stragglers._decision import Straggler
from tamarackhatch.stragglers._moves import MoveLog
from tamarackhatch.stragglers._moves import TaskMoves
from tamarackhatch.stragglers._progress import ProgressMonitor
from tamarackhatch.stragglers._progress import ProgressSample
from tamarackhatch.stragglers._progress import RunProgress
from tamarackhatch.stragglers._progress import StepName
from tamarackhatch.stragglers._speeds import RunnerSpeeds
from tamarackhatch.stragglers._speeds import SlowRunners
from tamarackhatch.stragglers._state import RunState
from tamarackhatch.stragglers._state import StepState

__all__ = [
    "MoveCost",
    "MoveLog",
    "ProgressMonitor",
    "ProgressSample",
    "RunProgress",
    "RunState",
    "RunnerSpeeds",
    "SlowRunners",
    "StepName",
    "StepState",
    "Straggler",
    "TaskMoves",
    "find_stragglers",
]
