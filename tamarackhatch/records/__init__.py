"""Names, formats and access of this project's rows in the table store."""

from tamarackhatch.records._adaptive_timeout import AdaptiveTimeout
from tamarackhatch.records._call_reports import CallReporter
from tamarackhatch.records._change_assembler import ChangeAssembler
from tamarackhatch.records._configuration_changes import ChangePart
from tamarackhatch.records._configuration_changes import decode_change
from tamarackhatch.records._configuration_changes import decode_change_part
from tamarackhatch.records._configuration_changes import encode_change
from tamarackhatch.records._configuration_changes import encode_copy
from tamarackhatch.records._cordons import CordonedRunner
from tamarackhatch.records._cordons import decode_cordons
from tamarackhatch.records._cordons import encode_cordons
from tamarackhatch.records._instances import decode_instance
from tamarackhatch.records._instances import encode_instance
from tamarackhatch.records._instances import InstanceRecord
from tamarackhatch.records._interference import decode_interference
from tamarackhatch.records._interference import encode_interference
from tamarackhatch.records._job_store import JobCancelledError
from tamarackhatch.records._job_store import JobPresence
from tamarackhatch.records._job_store import JobStore
from tamarackhatch.records._jobs import check_job_size
from tamarackhatch.records._jobs import decode_job
from tamarackhatch.records._jobs import encode_job
from tamarackhatch.records._jobs import JobTooLargeError
from tamarackhatch.records._leadership import decode_leader_heartbeat
from tamarackhatch.records._leadership import encode_leader_heartbeat
from tamarackhatch.records._leadership import find_row
from tamarackhatch.records._leadership import LeaderHeartbeat
from tamarackhatch.records._limits import compute_stored_size
from tamarackhatch.records._limits import MAX_CHECKPOINT_LENGTH
from tamarackhatch.records._limits import MAX_VALUE_BYTES
from tamarackhatch.records._names import CONFIGURATION_TABLE
from tamarackhatch.records._names import CORDONS
from tamarackhatch.records._names import FENCE
from tamarackhatch.records._names import get_cancel_ref
from tamarackhatch.records._names import get_cancelled_job
from tamarackhatch.records._names import get_instance_ref
from tamarackhatch.records._names import get_job_ref
from tamarackhatch.records._names import get_progress_part
from tamarackhatch.records._names import get_progress_part_ref
from tamarackhatch.records._names import get_progress_ref
from tamarackhatch.records._names import get_refusal_ref
from tamarackhatch.records._names import get_refused_job
from tamarackhatch.records._names import get_tracked_runners_ref
from tamarackhatch.records._names import INSTANCES_TABLE
from tamarackhatch.records._names import INTERFERENCE
from tamarackhatch.records._names import is_change_ref
from tamarackhatch.records._names import JOB_PARTITIONS
from tamarackhatch.records._names import JOBS_TABLE
from tamarackhatch.records._names import LEADER_HEARTBEAT
from tamarackhatch.records._names import OPEN_STARTS
from tamarackhatch.records._names import PROGRESS_TABLE
from tamarackhatch.records._names import SCHEDULER_PARTITION
from tamarackhatch.records._names import SEQUENCE
from tamarackhatch.records._names import TRACKED_RUNNERS
from tamarackhatch.records._names import WAITING_TASKS
from tamarackhatch.records._open_starts import decode_open_starts
from tamarackhatch.records._open_starts import encode_open_starts
from tamarackhatch.records._open_starts import OpenStart
from tamarackhatch.records._open_starts import select_fitting_starts
from tamarackhatch.records._pending_reader import PendingReader
from tamarackhatch.records._progress import decode_progress
from tamarackhatch.records._progress import encode_progress
from tamarackhatch.records._progress import JobProgress
from tamarackhatch.records._progress import MalformedRowError
from tamarackhatch.records._progress import OccurrenceProgress
from tamarackhatch.records._progress import TaskHistory
from tamarackhatch.records._progress_parts import decode_part
from tamarackhatch.records._progress_parts import decode_progress_row
from tamarackhatch.records._progress_parts import encode_part
from tamarackhatch.records._progress_parts import encode_split_progress
from tamarackhatch.records._progress_parts import get_unit
from tamarackhatch.records._progress_parts import MAX_PARTS
from tamarackhatch.records._progress_parts import merge_parts
from tamarackhatch.records._progress_parts import PartMap
from tamarackhatch.records._progress_parts import split_progress
from tamarackhatch.records._progress_parts import UNIT_TASKS
from tamarackhatch.records._progress_parts import UnitName
from tamarackhatch.records._progress_parts import UnitProgress
from tamarackhatch.records._refusals import decode_refusal
from tamarackhatch.records._refusals import encode_refusal
from tamarackhatch.records._refusals import Refusal
from tamarackhatch.records._refusals import RefusalState
from tamarackhatch.records._store_clock import StoreClock
from tamarackhatch.records._store_liveness import StoreLiveness
from tamarackhatch.records._tracked_runners import decode_tracked_runners
from tamarackhatch.records._tracked_runners import encode_tracked_runners
from tamarackhatch.records._tracked_runners import TrackedRunner
from tamarackhatch.records._waiting_tasks import decode_waiting_tasks
from tamarackhatch.records._waiting_tasks import encode_waiting_tasks
from tamarackhatch.records._waiting_tasks import WaitingTasks
from tamarackhatch.records._watcher import TableWatcher

__all__ = [
    "AdaptiveTimeout",
    "CONFIGURATION_TABLE",
    "CORDONS",
    "CallReporter",
    "ChangeAssembler",
    "ChangePart",
    "CordonedRunner",
    "FENCE",
    "INSTANCES_TABLE",
    "INTERFERENCE",
    "InstanceRecord",
    "JOBS_TABLE",
    "JOB_PARTITIONS",
    "JobCancelledError",
    "JobPresence",
    "JobProgress",
    "JobStore",
    "JobTooLargeError",
    "LEADER_HEARTBEAT",
    "LeaderHeartbeat",
    "MAX_CHECKPOINT_LENGTH",
    "MAX_PARTS",
    "MAX_VALUE_BYTES",
    "MalformedRowError",
    "OPEN_STARTS",
    "OccurrenceProgress",
    "OpenStart",
    "PROGRESS_TABLE",
    "PartMap",
    "PendingReader",
    "Refusal",
    "RefusalState",
    "SCHEDULER_PARTITION",
    "SEQUENCE",
    "StoreClock",
    "StoreLiveness",
    "TRACKED_RUNNERS",
    "TableWatcher",
    "TaskHistory",
    "TrackedRunner",
    "UNIT_TASKS",
    "UnitName",
    "UnitProgress",
    "WAITING_TASKS",
    "WaitingTasks",
    "check_job_size",
    "compute_stored_size",
    "decode_change",
    "decode_change_part",
    "decode_cordons",
    "decode_instance",
    "decode_interference",
    "decode_job",
    "decode_leader_heartbeat",
    "decode_open_starts",
    "decode_part",
    "decode_progress",
    "decode_progress_row",
    "decode_refusal",
    "decode_tracked_runners",
    "decode_waiting_tasks",
    "encode_change",
    "encode_copy",
    "encode_cordons",
    "encode_instance",
    "encode_interference",
    "encode_job",
    "encode_leader_heartbeat",
    "encode_open_starts",
    "encode_part",
    "encode_progress",
    "encode_refusal",
    "encode_split_progress",
    "encode_tracked_runners",
    "encode_waiting_tasks",
    "find_row",
    "get_cancel_ref",
    "get_cancelled_job",
    "get_instance_ref",
    "get_job_ref",
    "get_progress_part",
    "get_progress_part_ref",
    "get_progress_ref",
    "get_refusal_ref",
    "get_refused_job",
    "get_tracked_runners_ref",
    "get_unit",
    "is_change_ref",
    "merge_parts",
    "select_fitting_starts",
    "split_progress",
]
