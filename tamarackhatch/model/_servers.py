"""The platform's instances, as the instance list shows them."""

import datetime
import enum

import attrs

from tamarackhatch.model import _resources


class ServerState(enum.Enum):
    """What the instance list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class BackendServer:
    """A backend server: a worker, with a runner on it or none.

    Attributes:
        worker: Identity of the server and of its worker.
        state: Live or leaving.
        data_centre: Where it is.
        rack: Rack within the data centre.
        capacity: All resources of the machine.
        worker_address: ``host:port`` of the worker, or None.
        runner_address: ``host:port`` of the runner, or None.
        service: Service of the runner, or None.
    """

    worker: str
    state: ServerState
    data_centre: str
    rack: str
    capacity: _resources.Resources
    worker_address: str | None = None
    runner_address: str | None = None
    service: str | None = None


@attrs.frozen
class EntryServer:
    """An instance that one of our processes runs on."""

    instance: str
    state: ServerState
    data_centre: str


@attrs.frozen
class InstanceSnapshot:
    """One reading of the instance list.

    Attributes:
        as_of: UTC time that the platform gives for the list.
        backends: All backend servers shown.
        entries: All entry instances shown.
    """

    as_of: datetime.datetime
    backends: tuple[BackendServer, ...]
    entries: tuple[EntryServer, ...]


@attrs.frozen
class RunnerLoad:
    """Load of one runner, as its owner reports it to the peers.

    Attributes:
        worker: Worker that the runner sits on.
        service: Service of the runner.
        busy_slots: Slots in use.
        waiting: Requests queued at the owner for this runner.
        is_usable: Whether the owner takes new requests for it.
    """

    worker: str
    service: str
    busy_slots: int
    waiting: int
    is_usable: bool
