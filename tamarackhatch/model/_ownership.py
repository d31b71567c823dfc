"""Sessions of entry instances and ownership of workers."""

import enum

import attrs


class SessionState(enum.Enum):
    """Life of a session."""

    LIVE = "live"
    LEAVING = "leaving"
    FENCED = "fenced"


@attrs.frozen
class SessionRecord:
    """The row of an entry instance's session.

    Attributes:
        instance: Identity of the entry instance.
        incarnation: Random text, new with every session.
        counter: Rises by one with every renewal.
        data_centre: Where the instance runs.
        region: Region of that data centre.
        peer_address: ``host:port`` of its peer listener.
        state: Whether it may own workers.
    """

    instance: str
    incarnation: str
    counter: int
    data_centre: str
    region: str
    peer_address: str
    state: SessionState = SessionState.LIVE


@attrs.frozen
class OwnerRecord:
    """The row that names the owner of a worker.

    Attributes:
        worker: Identity of the worker.
        instance: Owning entry instance, or None after a release.
        incarnation: Session of the owner, or None after a release.
        epoch: Rises by one with every change; the fencing token.
        released_clean: Whether the previous owner had drained it, so that
            the next one need not wait for requests of its predecessor.
    """

    worker: str
    instance: str | None
    incarnation: str | None
    epoch: int
    released_clean: bool = False
