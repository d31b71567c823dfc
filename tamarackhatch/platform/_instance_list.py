"""Interface of the platform's lagging instance list."""

import typing

from tamarackhatch import model


class InstanceList(typing.Protocol):
    """The instance list."""

    async def read_instances(self) -> model.InstanceSnapshot:
        """Returns the current list; raises StoreUnavailableError."""
        ...


class InstanceView(typing.Protocol):
    """The newest instance list that this entry instance has read."""

    @property
    def snapshot(self) -> model.InstanceSnapshot | None:
        """The whole list, or None before the first reading."""
        ...

    def get_backend(self, worker: str) -> model.BackendServer | None:
        """Returns a backend server, or None if the list has none."""
        ...

    def list_backends(self) -> tuple[model.BackendServer, ...]:
        """Returns all backend servers shown, by name."""
        ...
