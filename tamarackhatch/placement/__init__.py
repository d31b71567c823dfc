"""Placement of batch tasks on workers."""

from tamarackhatch.placement._capacity import compute_batch_capacity
from tamarackhatch.placement._capacity import fit_capacity
from tamarackhatch.placement._dispatcher import Dispatcher
from tamarackhatch.placement._errors import JobRefusedError
from tamarackhatch.placement._health import compute_health_after_failure
from tamarackhatch.placement._health import compute_quarantine
from tamarackhatch.placement._interference import InterferenceModel
from tamarackhatch.placement._limits import call_within
from tamarackhatch.placement._limits import LimitedTables
from tamarackhatch.placement._limits import TimeLimitError
from tamarackhatch.placement._limits import wait_event
from tamarackhatch.placement._policy import Candidate
from tamarackhatch.placement._policy import Choice
from tamarackhatch.placement._policy import Demand
from tamarackhatch.placement._policy import PlacementPolicy
from tamarackhatch.placement._policy import Preemption
from tamarackhatch.placement._rows import build_job_writes
from tamarackhatch.placement._rows import encode_row
from tamarackhatch.placement._rows import STOPPING_PREFIX
from tamarackhatch.placement._service import JobService
from tamarackhatch.placement._worker_cache import KnownWorker
from tamarackhatch.placement._worker_cache import WorkerCache

__all__ = [
    "STOPPING_PREFIX",
    "Candidate",
    "Choice",
    "Demand",
    "Dispatcher",
    "InterferenceModel",
    "JobRefusedError",
    "JobService",
    "KnownWorker",
    "LimitedTables",
    "PlacementPolicy",
    "Preemption",
    "TimeLimitError",
    "WorkerCache",
    "build_job_writes",
    "call_within",
    "compute_batch_capacity",
    "compute_health_after_failure",
    "compute_quarantine",
    "encode_row",
    "fit_capacity",
    "wait_event",
]
