"""Commitments on workers and teams, as kept in the store."""

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
class WorkerRecord:
    """The row of a worker.

    Attributes:
        worker: Identity of the worker.
        capacity: What the worker has for batch tasks; the share reserved
            for its runner is already taken off.
        commitments: All task attempts placed on it and not yet freed.
    """

    worker: str
    capacity: _resources.Resources
    commitments: tuple[Commitment, ...] = ()

    def compute_free(self) -> _resources.Resources:
        """Returns the capacity that no commitment holds."""
        free = self.capacity
        for commitment in self.commitments:
            free = free - commitment.resources
        return free


@attrs.frozen
class TeamRecord:
    """The row of a team: what its placed tasks hold together."""

    team: str
    in_use: _resources.Resources = _resources.Resources()
