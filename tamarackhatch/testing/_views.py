"""Views with fixed content."""

import datetime

from tamarackhatch import declarations
from tamarackhatch import model


class FixedConfiguration:
    """Implements declarations.ConfigurationView with given policies."""

    def __init__(
        self,
        version: int = 1,
        service: declarations.ServicePolicy | None = None,
        batch: declarations.BatchPolicy | None = None,
        team: declarations.TeamPolicy | None = None,
        worker: declarations.WorkerPolicy | None = None,
    ) -> None:
        self._version = version
        self._service = service or declarations.ServicePolicy()
        self._batch = batch or declarations.BatchPolicy()
        self._team = team or declarations.TeamPolicy()
        self._worker = worker or declarations.WorkerPolicy()

    @property
    def version(self) -> int:
        return self._version

    def get_service_policy(self, service: str) -> declarations.ServicePolicy:
        return self._service

    def get_batch_policy(self) -> declarations.BatchPolicy:
        return self._batch

    def get_team_policy(self, team: str) -> declarations.TeamPolicy:
        return self._team

    def get_worker_policy(self, worker: str) -> declarations.WorkerPolicy:
        return self._worker


class FixedOwnership:
    """Implements membership.OwnershipView; tests change it at will."""

    def __init__(self, instance: str, epochs: dict[str, int]) -> None:
        self._instance = instance
        self._epochs = dict(epochs)
        self._has_authority = True
        self._claimed_at: dict[str, datetime.timedelta] = {}

    def set_authority(self, has_authority: bool) -> None:
        """Grants or withdraws the authority over all owned workers."""
        self._has_authority = has_authority

    def set_epoch(self, worker: str, epoch: int) -> None:
        """Makes the instance the owner of a worker."""
        self._epochs[worker] = epoch

    def drop_worker(self, worker: str) -> None:
        """Ends the ownership of a worker."""
        self._epochs.pop(worker, None)

    def set_claimed_at(self, worker: str, at: datetime.timedelta) -> None:
        """Marks a worker as taken over uncleanly at a monotonic time."""
        self._claimed_at[worker] = at

    def list_owned(self) -> tuple[str, ...]:
        return tuple(sorted(self._epochs))

    def get_owner(self, worker: str) -> str | None:
        return self._instance if worker in self._epochs else None

    def get_epoch(self, worker: str) -> int:
        return self._epochs[worker]

    def has_authority(self, worker: str) -> bool:
        return self._has_authority and worker in self._epochs

    def get_claimed_at(self, worker: str) -> datetime.timedelta | None:
        return self._claimed_at.get(worker)


class FixedInstances:
    """Implements platform.InstanceView with a list set by the test."""

    def __init__(self, backends: tuple[model.BackendServer, ...]) -> None:
        self._backends = {backend.worker: backend for backend in backends}

    @property
    def snapshot(self) -> model.InstanceSnapshot | None:
        as_of = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
        return model.InstanceSnapshot(as_of, self.list_backends(), ())

    def set_backend(self, backend: model.BackendServer) -> None:
        """Adds or replaces a backend server."""
        self._backends[backend.worker] = backend

    def remove_backend(self, worker: str) -> None:
        """Takes a backend server off the list."""
        self._backends.pop(worker, None)

    def get_backend(self, worker: str) -> model.BackendServer | None:
        return self._backends.get(worker)

    def list_backends(self) -> tuple[model.BackendServer, ...]:
        return tuple(self._backends[name] for name in sorted(self._backends))
