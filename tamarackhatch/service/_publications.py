"""What the configuration watcher needs of the scheduler role."""

import datetime
import typing

from tamarackhatch import model


class PublicationSource(typing.Protocol):
    """What the active scheduler publishes of the configuration."""

    @property
    def publication(self) -> model.Publication | None:
        """The published configuration.

        None if that is not known, or if this process is that scheduler.
        """
        ...

    @property
    def is_active(self) -> bool:
        """Whether this process is the active scheduler."""
        ...

    @property
    def is_leader_alive(self) -> bool:
        """Whether another process is certainly the active scheduler."""
        ...

    @property
    def last_answer(self) -> datetime.timedelta:
        """Monotonic time at which the store last answered."""
        ...

    async def poll_publication(self) -> None:
        """Reads what was published up to now.

        Raises:
            HistoryLostError: The store has discarded changes.
            StoreUnavailableError: The store could not be read.
        """
        ...
