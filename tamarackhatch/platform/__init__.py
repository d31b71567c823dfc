"""Clients of the platform: store, instance list, workers, runners."""

from tamarackhatch.platform._errors import BadPlatformAnswerError
from tamarackhatch.platform._errors import ConditionFailedError
from tamarackhatch.platform._errors import RunnerOutcomeUnknownError
from tamarackhatch.platform._errors import RunnerUnavailableError
from tamarackhatch.platform._errors import StoreOutcomeUnknownError
from tamarackhatch.platform._errors import StoreUnavailableError
from tamarackhatch.platform._errors import WorkerOutcomeUnknownError
from tamarackhatch.platform._errors import WorkerRefusedError
from tamarackhatch.platform._errors import WorkerUnavailableError
from tamarackhatch.platform._http_instance_list import HttpInstanceList
from tamarackhatch.platform._http_object_store import HttpObjectStore
from tamarackhatch.platform._http_pool import HttpPool
from tamarackhatch.platform._http_runner_client import HOP_HEADERS
from tamarackhatch.platform._http_runner_client import HttpRunnerClient
from tamarackhatch.platform._http_table_service import HttpTableService
from tamarackhatch.platform._http_worker_client import HttpWorkerClient
from tamarackhatch.platform._instance_cache import InstanceListCache
from tamarackhatch.platform._instance_list import InstanceList
from tamarackhatch.platform._instance_list import InstanceView
from tamarackhatch.platform._object_store import ObjectStore
from tamarackhatch.platform._rows import decode_row
from tamarackhatch.platform._rows import encode_value
from tamarackhatch.platform._runner_client import RunnerAnswer
from tamarackhatch.platform._runner_client import RunnerClient
from tamarackhatch.platform._table_service import Condition
from tamarackhatch.platform._table_service import JsonValue
from tamarackhatch.platform._table_service import Row
from tamarackhatch.platform._table_service import Table
from tamarackhatch.platform._table_service import TableService
from tamarackhatch.platform._table_service import Transaction
from tamarackhatch.platform._table_service import Write
from tamarackhatch.platform._worker_client import ReportedState
from tamarackhatch.platform._worker_client import ReportedTask
from tamarackhatch.platform._worker_client import StartTask
from tamarackhatch.platform._worker_client import TaskUsage
from tamarackhatch.platform._worker_client import UsageReport
from tamarackhatch.platform._worker_client import WorkerClient

__all__ = [
    "BadPlatformAnswerError",
    "Condition",
    "ConditionFailedError",
    "HOP_HEADERS",
    "HttpRunnerClient",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpPool",
    "HttpTableService",
    "HttpWorkerClient",
    "InstanceList",
    "InstanceListCache",
    "InstanceView",
    "JsonValue",
    "ObjectStore",
    "ReportedState",
    "ReportedTask",
    "Row",
    "RunnerAnswer",
    "RunnerClient",
    "RunnerOutcomeUnknownError",
    "RunnerUnavailableError",
    "StartTask",
    "StoreOutcomeUnknownError",
    "StoreUnavailableError",
    "Table",
    "TableService",
    "TaskUsage",
    "Transaction",
    "UsageReport",
    "WorkerClient",
    "WorkerOutcomeUnknownError",
    "WorkerRefusedError",
    "WorkerUnavailableError",
    "Write",
    "decode_row",
    "encode_value",
]
