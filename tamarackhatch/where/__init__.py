"""Answers to the question where a job would be placed now, and their forms."""

from tamarackhatch.where._answer import Answer
from tamarackhatch.where._answer import ChosenRunner
from tamarackhatch.where._answer import EarlierWork
from tamarackhatch.where._answer import ExcludedRunners
from tamarackhatch.where._answer import Exclusion
from tamarackhatch.where._answer import Objective
from tamarackhatch.where._answer import RatedRunner
from tamarackhatch.where._answer import Remark
from tamarackhatch.where._answer import StepAnswer
from tamarackhatch.where._answer import StepState
from tamarackhatch.where._answer import WaitingStep
from tamarackhatch.where._document import write_answer
from tamarackhatch.where._limits import check_size
from tamarackhatch.where._limits import MAX_BODY_BYTES
from tamarackhatch.where._limits import MAX_TASKS
from tamarackhatch.where._limits import PATH
from tamarackhatch.where._text import format_answer

__all__ = [
    "Answer",
    "ChosenRunner",
    "EarlierWork",
    "ExcludedRunners",
    "Exclusion",
    "MAX_BODY_BYTES",
    "MAX_TASKS",
    "Objective",
    "PATH",
    "RatedRunner",
    "Remark",
    "StepAnswer",
    "StepState",
    "WaitingStep",
    "check_size",
    "format_answer",
    "write_answer",
]
