"""Data classes and protocols that all packages share."""

from tamarackhatch.model._configuration import AdviceTiming
from tamarackhatch.model._configuration import Configuration
from tamarackhatch.model._configuration import Queue
from tamarackhatch.model._configuration import RequestLimits
from tamarackhatch.model._configuration import Service
from tamarackhatch.model._configuration_change import compute_change
from tamarackhatch.model._configuration_change import ConfigurationChange
from tamarackhatch.model._configuration_change import ConfigurationSource
from tamarackhatch.model._configuration_change import EMPTY_CONFIGURATION
from tamarackhatch.model._configuration_change import Publication
from tamarackhatch.model._jobs import compute_longest_chain
from tamarackhatch.model._jobs import CrashRole
from tamarackhatch.model._jobs import Job
from tamarackhatch.model._jobs import JobState
from tamarackhatch.model._jobs import Schedule
from tamarackhatch.model._jobs import Step
from tamarackhatch.model._jobs import TaskKey
from tamarackhatch.model._pending import PendingCount
from tamarackhatch.model._resources import Resources
from tamarackhatch.model._rows import Committed
from tamarackhatch.model._rows import Conflict
from tamarackhatch.model._rows import FeedPage
from tamarackhatch.model._rows import HistoryLostError
from tamarackhatch.model._rows import Put
from tamarackhatch.model._rows import Row
from tamarackhatch.model._rows import RowPage
from tamarackhatch.model._rows import RowRef
from tamarackhatch.model._rows import StoreBusyError
from tamarackhatch.model._rows import StoreMoment
from tamarackhatch.model._rows import StoreOutcomeUnknownError
from tamarackhatch.model._rows import StoreRejectedError
from tamarackhatch.model._rows import StoreUnavailableError
from tamarackhatch.model._rows import TableStore
from tamarackhatch.model._runners import ExitReason
from tamarackhatch.model._runners import RunExit
from tamarackhatch.model._runners import Runner
from tamarackhatch.model._runners import RunnerReport
from tamarackhatch.model._runners import RunningTask
from tamarackhatch.model._service import count_retry_seconds
from tamarackhatch.model._service import JobLookup
from tamarackhatch.model._service import JobService
from tamarackhatch.model._service import Outcome
from tamarackhatch.model._service import QueueLookup
from tamarackhatch.model._waits import BlockedTask
from tamarackhatch.model._waits import WaitLevel
from tamarackhatch.model._waits import WaitSummary
from tamarackhatch.model._waits import WorkPoint

__all__ = [
    "AdviceTiming",
    "BlockedTask",
    "Committed",
    "Configuration",
    "ConfigurationChange",
    "ConfigurationSource",
    "Conflict",
    "CrashRole",
    "EMPTY_CONFIGURATION",
    "ExitReason",
    "FeedPage",
    "HistoryLostError",
    "Job",
    "JobLookup",
    "JobService",
    "JobState",
    "Outcome",
    "PendingCount",
    "Publication",
    "Put",
    "Queue",
    "QueueLookup",
    "RequestLimits",
    "Resources",
    "Row",
    "RowPage",
    "RowRef",
    "RunExit",
    "Runner",
    "RunnerReport",
    "RunningTask",
    "Schedule",
    "Service",
    "Step",
    "StoreBusyError",
    "StoreMoment",
    "StoreOutcomeUnknownError",
    "StoreRejectedError",
    "StoreUnavailableError",
    "TableStore",
    "TaskKey",
    "WaitLevel",
    "WaitSummary",
    "WorkPoint",
    "compute_change",
    "compute_longest_chain",
    "count_retry_seconds",
]
