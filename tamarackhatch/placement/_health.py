"""Quarantine of workers that fail tasks of different jobs in a row."""

import datetime

import attrs

from tamarackhatch import model

# One bad job must not put workers into quarantine; three different jobs that
# fail without a success between them point to the worker.
QUARANTINE_JOBS = 3
FIRST_PAUSE = datetime.timedelta(seconds=30)
MAX_PAUSE = datetime.timedelta(hours=1)


def compute_health_after_failure(
    health: model.WorkerHealth, job: str, now: datetime.datetime
) -> model.WorkerHealth:
    """Returns the health after a task of the job failed on the worker."""
    failed = health.failed_jobs
    if job not in failed:
        failed = (*failed, job)[-QUARANTINE_JOBS:]
    health = attrs.evolve(health, failed_jobs=failed)
    if health.probe_at is None and len(failed) < QUARANTINE_JOBS:
        return health
    if health.probe_at is not None and now < health.probe_at:
        # Tasks placed before the quarantine do not lengthen the pause.
        return health
    return compute_quarantine(health, now)


def compute_quarantine(
    health: model.WorkerHealth, now: datetime.datetime
) -> model.WorkerHealth:
    """Returns the health at the start of a pause twice as long."""
    pause = min(max(health.pause * 2, FIRST_PAUSE), MAX_PAUSE)
    return attrs.evolve(health, probe_at=now + pause, pause=pause)


def count_allowed_tasks(
    record: model.WorkerRecord, now: datetime.datetime
) -> int | None:
    """Returns how many new tasks quarantine allows; None means any number."""
    probe_at = record.health.probe_at
    if probe_at is None:
        return None
    return 1 if now >= probe_at and not record.commitments else 0
