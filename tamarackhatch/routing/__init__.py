"""Admission, runner choice, limits, retries and at-most-once journal."""

from tamarackhatch.routing._choice import choose_runner
from tamarackhatch.routing._decisions import Decision
from tamarackhatch.routing._decisions import DecisionStore
from tamarackhatch.routing._directory import Candidate
from tamarackhatch.routing._directory import RunnerDirectory
from tamarackhatch.routing._errors import RequestRefusedError
from tamarackhatch.routing._journal import RequestJournal
from tamarackhatch.routing._journal import RequestRow
from tamarackhatch.routing._journal import RequestState
from tamarackhatch.routing._limits import Permit
from tamarackhatch.routing._limits import RunnerLimits
from tamarackhatch.routing._limits import SendResult
from tamarackhatch.routing._router import RequestRouter

__all__ = [
    "Candidate",
    "Decision",
    "DecisionStore",
    "Permit",
    "RequestJournal",
    "RequestRefusedError",
    "RequestRouter",
    "RequestRow",
    "RequestState",
    "RunnerDirectory",
    "RunnerLimits",
    "SendResult",
    "choose_runner",
]
