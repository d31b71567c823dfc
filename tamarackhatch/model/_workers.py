"""Commitments on workers and teams, as kept in the store."""

import datetime

import attrs

from tamarackhatch.model import _jobs
from tamarackhatch.model import _resources


@attrs.frozen
class Commitment:
    """Resources of a worker that are held by one task attempt."""

    task: _jobs.TaskId
    attempt: int
    team: str
    kind: str
    urgent: bool
    resources: _resources.Resources
    checkpoint: str | None = None
    command: str = ""


@attrs.frozen
class WorkerHealth:
    """Failures of a worker, kept in its row so that all dispatchers see them.

    Attributes:
        failed_jobs: Different jobs whose tasks failed since the last success.
        probe_at: UTC time from which one probe task may be placed, or None
            while the worker is not in quarantine.
        pause: Length of the newest pause.
    """

    failed_jobs: tuple[str, ...] = ()
    probe_at: datetime.datetime | None = None
    pause: datetime.timedelta = datetime.timedelta()


@attrs.frozen
class Reservation:
    """Resources that evictions free for an urgent job.

    Attributes:
        job: The urgent job.
        resources: What only this job may use.
        victims: Tasks, with their attempts, that the owner evicts.
        until: UTC time at which the reservation ends.
    """

    job: str
    resources: _resources.Resources
    victims: tuple[tuple[_jobs.TaskId, int], ...]
    until: datetime.datetime


@attrs.frozen
class WorkerRecord:
    """The row of a worker.

    Attributes:
        worker: Identity of the worker.
        capacity: What the worker has for batch tasks; the share reserved
            for its runner is already taken off.
        commitments: All task attempts placed on it and not yet freed.
        health: Failures that lead to quarantine.
        reservation: Preemption in progress, or None.
        capacity_as_of: UTC time of the instance list that the capacity was
            last changed by, or None.
    """

    worker: str
    capacity: _resources.Resources
    commitments: tuple[Commitment, ...] = ()
    health: WorkerHealth = WorkerHealth()
    reservation: Reservation | None = None
    capacity_as_of: datetime.datetime | None = None

    def compute_committed(self) -> _resources.Resources:
        """Returns what all commitments hold together."""
        total = _resources.Resources()
        for commitment in self.commitments:
            total = total + commitment.resources
        return total

    def compute_free(self) -> _resources.Resources:
        """Returns the capacity that no commitment holds."""
        return self.capacity - self.compute_committed()


@attrs.frozen
class TeamRecord:
    """The row of a team: what its placed tasks hold together."""

    team: str
    in_use: _resources.Resources = _resources.Resources()
