"""Tables, partitions and keys of this project's rows in the table store."""

import typing

from tamarackhatch import model

# A cell is a set of runners that one scheduler manages. A fleet of several
# hundred runners needs several cells; current deployments have one.
CELL: typing.Final = "0"
JOBS_TABLE: typing.Final = f"jobs-{CELL}"
PROGRESS_TABLE: typing.Final = f"progress-{CELL}"
FENCE_TABLE: typing.Final = f"fence-{CELL}"
LEADER_HEARTBEAT_TABLE: typing.Final = f"beat-{CELL}"
SEQUENCE_TABLE: typing.Final = f"sequence-{CELL}"
INTERFERENCE_TABLE: typing.Final = f"factors-{CELL}"
CONFIGURATION_TABLE: typing.Final = f"configuration-{CELL}"
TRACKED_RUNNERS_TABLE: typing.Final = f"roster-{CELL}"
INSTANCES_TABLE: typing.Final = f"instances-{CELL}"
# All rows that the scheduler writes are in one partition, so that one
# transaction can write them on condition that the fence row is unchanged.
SCHEDULER_PARTITION: typing.Final = ""
FENCE: typing.Final = model.RowRef(FENCE_TABLE, SCHEDULER_PARTITION, "fence")
LEADER_HEARTBEAT: typing.Final = model.RowRef(
    LEADER_HEARTBEAT_TABLE, SCHEDULER_PARTITION, "beat"
)
# Every transaction of the scheduler rewrites this row. A transaction that the
# store applies late then finds another version, and fails instead of
# overwriting newer rows.
SEQUENCE: typing.Final = model.RowRef(
    SEQUENCE_TABLE, SCHEDULER_PARTITION, "sequence"
)
INTERFERENCE: typing.Final = model.RowRef(
    INTERFERENCE_TABLE, SCHEDULER_PARTITION, "factors"
)
TRACKED_RUNNERS: typing.Final = model.RowRef(
    TRACKED_RUNNERS_TABLE, SCHEDULER_PARTITION, "roster"
)
# In the table of the tracked runners, so that one read returns all.
CORDONS: typing.Final = model.RowRef(
    TRACKED_RUNNERS_TABLE, SCHEDULER_PARTITION, "cordons"
)
OPEN_STARTS: typing.Final = model.RowRef(
    TRACKED_RUNNERS_TABLE, SCHEDULER_PARTITION, "starts"
)
WAITING_TASKS: typing.Final = model.RowRef(
    TRACKED_RUNNERS_TABLE, SCHEDULER_PARTITION, "waiting"
)
# Changes of the configuration are in the table of the heartbeat, which all
# instances follow anyway, so that a heartbeat arrives after the changes that
# it names.
_CHANGE_KEY_PREFIX: typing.Final = "configuration."
_COPY_KEY_PREFIX: typing.Final = "copy."
# Submissions are spread over several partitions, because each partition
# handles a limited number of transactions per second.
JOB_PARTITIONS: typing.Final = tuple("0123456789abcdef")
_CANCEL_SUFFIX: typing.Final = ".cancel"
_PART_INFIX: typing.Final = ".part."
_REFUSED_SUFFIX: typing.Final = ".refused"


def get_instance_ref(name: str) -> model.RowRef:
    """Returns the name of the row by which others know an instance."""
    return model.RowRef(INSTANCES_TABLE, "", name)


def get_change_ref(slot: int, part: int) -> model.RowRef:
    """Returns the name of a row with part of a configuration change."""
    return model.RowRef(
        LEADER_HEARTBEAT_TABLE,
        SCHEDULER_PARTITION,
        f"{_CHANGE_KEY_PREFIX}{slot}.{part}",
    )


def get_copy_ref(part: int) -> model.RowRef:
    """Returns the name of a row with part of the whole configuration."""
    return model.RowRef(
        CONFIGURATION_TABLE, SCHEDULER_PARTITION, f"{_COPY_KEY_PREFIX}{part}"
    )


def is_change_ref(ref: model.RowRef) -> bool:
    """Returns whether a row holds part of a configuration change.

    A copy of the whole configuration is a change from an empty one.
    """
    prefix = {
        LEADER_HEARTBEAT_TABLE: _CHANGE_KEY_PREFIX,
        CONFIGURATION_TABLE: _COPY_KEY_PREFIX,
    }.get(ref.table)
    return prefix is not None and ref.key.startswith(prefix)


def get_job_partition(identifier: str) -> str:
    """Returns the partition of a job's own row and of its cancel row."""
    last = identifier[-1:].lower()
    return last if last in JOB_PARTITIONS else JOB_PARTITIONS[0]


def get_job_ref(identifier: str) -> model.RowRef:
    """Returns the name of the row that holds a job as submitted."""
    return model.RowRef(JOBS_TABLE, get_job_partition(identifier), identifier)


def get_cancel_ref(identifier: str) -> model.RowRef:
    """Returns the name of the row whose presence cancels a job."""
    return model.RowRef(
        JOBS_TABLE, get_job_partition(identifier), identifier + _CANCEL_SUFFIX
    )


def get_refusal_ref(identifier: str) -> model.RowRef:
    """Returns the name of the row that records the refusals of a job."""
    return model.RowRef(
        JOBS_TABLE, get_job_partition(identifier), identifier + _REFUSED_SUFFIX
    )


def get_progress_ref(identifier: str) -> model.RowRef:
    """Returns the name of the row that holds a job's progress."""
    return model.RowRef(PROGRESS_TABLE, SCHEDULER_PARTITION, identifier)


def get_tracked_runners_ref(number: int) -> model.RowRef:
    """Returns the name of a further row of the list of tracked runners."""
    return model.RowRef(
        TRACKED_RUNNERS_TABLE,
        SCHEDULER_PARTITION,
        f"{TRACKED_RUNNERS.key}.{number}",
    )


def get_progress_part_ref(identifier: str, part: int) -> model.RowRef:
    """Returns the name of the row that holds a part of a job's progress."""
    return model.RowRef(
        PROGRESS_TABLE,
        SCHEDULER_PARTITION,
        f"{identifier}{_PART_INFIX}{part}",
    )


def get_progress_part(key: str) -> tuple[str, int] | None:
    """Returns the job and the number of a part; None for a job's own row.

    Args:
        key: Key of a row in the progress table.
    """
    identifier, infix, number = key.rpartition(_PART_INFIX)
    if not infix or not (number.isascii() and number.isdigit()):
        return None
    return identifier, int(number)


def get_refused_job(key: str) -> str | None:
    """Returns the job that a refusal row is for; None for other rows.

    Args:
        key: Key of a row in the jobs table.
    """
    if key.endswith(_REFUSED_SUFFIX):
        return key.removesuffix(_REFUSED_SUFFIX)
    return None


def get_cancelled_job(key: str) -> str | None:
    """Returns the job that a cancel row is for; None for other rows.

    Args:
        key: Key of a row in the jobs table.
    """
    if key.endswith(_CANCEL_SUFFIX):
        return key.removesuffix(_CANCEL_SUFFIX)
    return None
