"""The project's rows in the table store."""

from tamarackhatch.records._factors import decode_factors
from tamarackhatch.records._factors import encode_factors
from tamarackhatch.records._job_store import JobStore
from tamarackhatch.records._job_store import Submission
from tamarackhatch.records._jobs import decode_job
from tamarackhatch.records._jobs import encode_job
from tamarackhatch.records._leadership import Beat
from tamarackhatch.records._leadership import decode_beat
from tamarackhatch.records._leadership import decode_roster
from tamarackhatch.records._leadership import encode_beat
from tamarackhatch.records._leadership import encode_roster
from tamarackhatch.records._leadership import find_row
from tamarackhatch.records._leadership import RosterEntry
from tamarackhatch.records._names import BEAT
from tamarackhatch.records._names import FACTORS
from tamarackhatch.records._names import FENCE
from tamarackhatch.records._names import get_cancel_ref
from tamarackhatch.records._names import get_cancelled_job
from tamarackhatch.records._names import get_job_ref
from tamarackhatch.records._names import get_progress_ref
from tamarackhatch.records._names import JOB_PARTS
from tamarackhatch.records._names import JOBS_TABLE
from tamarackhatch.records._names import PROGRESS_TABLE
from tamarackhatch.records._names import ROSTER
from tamarackhatch.records._names import SCHEDULER_PART
from tamarackhatch.records._names import SEQUENCE
from tamarackhatch.records._progress import BadRecordError
from tamarackhatch.records._progress import decode_progress
from tamarackhatch.records._progress import encode_progress
from tamarackhatch.records._progress import JobProgress
from tamarackhatch.records._progress import OccurrenceProgress
from tamarackhatch.records._progress import TaskHistory
from tamarackhatch.records._watcher import TableWatcher

__all__ = [
    "BEAT",
    "BadRecordError",
    "Beat",
    "FACTORS",
    "FENCE",
    "JOBS_TABLE",
    "JOB_PARTS",
    "JobProgress",
    "JobStore",
    "OccurrenceProgress",
    "PROGRESS_TABLE",
    "ROSTER",
    "RosterEntry",
    "SCHEDULER_PART",
    "SEQUENCE",
    "Submission",
    "TableWatcher",
    "TaskHistory",
    "decode_beat",
    "decode_factors",
    "decode_job",
    "decode_progress",
    "decode_roster",
    "encode_beat",
    "encode_factors",
    "encode_job",
    "encode_progress",
    "encode_roster",
    "find_row",
    "get_cancel_ref",
    "get_cancelled_job",
    "get_job_ref",
    "get_progress_ref",
]
