"""Rows of jobs, workers and teams, and the queue entries beside jobs.

The ``jobs`` table also holds small queue entries, so that a reader finds the
jobs that need work without reading all job rows:

* ``urgent/{team}/{job}`` and ``batch/{team}/{job}`` exist while an active job
  has pending tasks; their version rises when a task becomes pending again;
* ``stopping/{job}`` exists while a cancelled or failed job has placed tasks.

They are written in the transaction that writes the job row, under the
condition on its version, and so always agree with it. Job and team names
contain no slash, so the keys cannot collide.
"""

import datetime
import typing

import attrs
import cattrs.preconf.json

from tamarackhatch import model
from tamarackhatch import platform

URGENT_PREFIX = "urgent/"
BATCH_PREFIX = "batch/"
STOPPING_PREFIX = "stopping/"


def _build_converter() -> cattrs.Converter:
    # Most fields of most tasks hold their defaults. Without them the row of
    # a job of 1,000 tasks is several times smaller.
    converter = cattrs.preconf.json.make_converter(omit_if_default=True)
    converter.register_unstructure_hook(
        datetime.timedelta, lambda value: value.total_seconds()
    )
    return converter


_CONVERTER = _build_converter()


@attrs.frozen
class QueueKey:
    """Job that a queue entry stands for."""

    team: str
    job: str


def encode_row(value: object) -> platform.JsonValue:
    """Returns the JSON form without the fields that hold their defaults."""
    return typing.cast(platform.JsonValue, _CONVERTER.unstructure(value))


def build_queue_key(spec: model.JobSpec) -> str:
    """Returns the key of the queue entry of a job."""
    prefix = URGENT_PREFIX if spec.urgent else BATCH_PREFIX
    return f"{prefix}{spec.team}/{spec.job}"


def parse_queue_key(key: str) -> QueueKey:
    """Returns the job that a queue entry stands for."""
    _, team, job = key.split("/", 2)
    return QueueKey(team, job)


def build_job_writes(
    before: model.Job | None, after: model.Job
) -> tuple[platform.Write, ...]:
    """Returns the write of the job row, first, and of its queue entries."""
    table = platform.Table.JOBS
    job = after.spec.job
    writes = [platform.Write(table, job, encode_row(after))]
    old, new = _list_pending(before), _list_pending(after)
    queue_key = build_queue_key(after.spec)
    if new - old:
        writes.append(platform.Write(table, queue_key, {}))
    elif old and not new:
        writes.append(platform.Write(table, queue_key, None))
    old_stopping, new_stopping = _is_stopping(before), _is_stopping(after)
    if old_stopping != new_stopping:
        value: platform.JsonValue | None = {} if new_stopping else None
        writes.append(platform.Write(table, STOPPING_PREFIX + job, value))
    return tuple(writes)


def _list_pending(job: model.Job | None) -> set[int]:
    if job is None or job.state is not model.JobState.ACTIVE:
        return set()
    return {
        task.index
        for task in job.tasks
        if task.state is model.TaskState.PENDING
    }


def _is_stopping(job: model.Job | None) -> bool:
    if job is None:
        return False
    ended = (model.JobState.CANCELLED, model.JobState.FAILED)
    return job.state in ended and any(
        task.state is model.TaskState.PLACED for task in job.tasks
    )
