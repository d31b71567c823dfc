"""Data shared by all modules: resources, jobs, tasks, requests, rows."""

from tamarackhatch.model._jobs import Job
from tamarackhatch.model._jobs import JobSpec
from tamarackhatch.model._jobs import JobState
from tamarackhatch.model._jobs import Task
from tamarackhatch.model._jobs import TaskId
from tamarackhatch.model._jobs import TaskState
from tamarackhatch.model._ownership import OwnerRecord
from tamarackhatch.model._ownership import SessionRecord
from tamarackhatch.model._ownership import SessionState
from tamarackhatch.model._requests import Outcome
from tamarackhatch.model._requests import ServiceAnswer
from tamarackhatch.model._requests import ServiceRequest
from tamarackhatch.model._resources import Resources
from tamarackhatch.model._servers import BackendServer
from tamarackhatch.model._servers import EntryServer
from tamarackhatch.model._servers import InstanceSnapshot
from tamarackhatch.model._servers import RunnerLoad
from tamarackhatch.model._servers import ServerState
from tamarackhatch.model._workers import Commitment
from tamarackhatch.model._workers import Reservation
from tamarackhatch.model._workers import TeamRecord
from tamarackhatch.model._workers import WorkerHealth
from tamarackhatch.model._workers import WorkerRecord

__all__ = [
    "BackendServer",
    "Commitment",
    "EntryServer",
    "InstanceSnapshot",
    "Job",
    "JobSpec",
    "JobState",
    "Outcome",
    "OwnerRecord",
    "Reservation",
    "Resources",
    "RunnerLoad",
    "ServerState",
    "ServiceAnswer",
    "ServiceRequest",
    "SessionRecord",
    "SessionState",
    "Task",
    "TaskId",
    "TaskState",
    "TeamRecord",
    "WorkerHealth",
    "WorkerRecord",
]
