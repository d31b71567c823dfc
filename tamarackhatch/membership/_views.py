"""What other modules may ask of the membership."""

import datetime
import typing

from tamarackhatch import model


class RosterView(typing.Protocol):
    """The entry instances known to this one."""

    @property
    def instance(self) -> str:
        """Identity of this entry instance."""
        ...

    @property
    def data_centre(self) -> str:
        """Data centre of this entry instance."""
        ...

    def list_members(self) -> tuple[model.SessionRecord, ...]:
        """Returns the live members, this instance included, by name."""
        ...


class OwnershipView(typing.Protocol):
    """Which entry instance owns which worker."""

    def list_owned(self) -> tuple[str, ...]:
        """Returns the workers that this instance owns, by name."""
        ...

    def get_owner(self, worker: str) -> str | None:
        """Returns the owning entry instance as last read, or None."""
        ...

    def get_epoch(self, worker: str) -> int:
        """Returns the epoch of this instance's ownership.

        Raises:
            KeyError: This instance does not own the worker.
        """
        ...

    def has_authority(self, worker: str) -> bool:
        """Tells whether this instance may start new work on the worker now.

        True only for an owned worker whose ownership is certain at this
        moment.
        """
        ...

    def get_claimed_at(self, worker: str) -> datetime.timedelta | None:
        """Returns the monotonic time of an unclean takeover, else None.

        Requests and leases of the previous owner may last beyond it by one
        maximum deadline or one lease length. None means that the previous
        owner had drained the worker.
        """
        ...
