"""Term of the active scheduler, and how long it may send commands in it."""

import collections
from collections.abc import Sequence
import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import records

# Leases are waited for on clocks that may be slower by 3%.
_SLOW_CLOCK_FACTOR = 1.03
# Fencing tokens that remain while the store confirms nothing, which is for a
# leader lease at most.
_MAX_KEPT_VERSIONS = 64


@attrs.frozen
class Term:
    """A term that this process won as the active scheduler.

    Attributes:
        number: Number of the term, from 1.
        token: Fencing token of the commands sent in this term.
        sent_at: Boot time before the write that won the term was sent.
        pending: Numbers of jobs of which no task has started yet, as an
            earlier scheduler counted them; None if they are not known.
        earlier_lease: Longest time for which a scheduler of an earlier term
            may still send commands when the term begins; None for that of a
            leader lease.
    """

    number: int
    token: int
    sent_at: datetime.timedelta
    pending: model.PendingCount | None = None
    earlier_lease: datetime.timedelta | None = None


def get_earlier_lease(
    previous: records.LeaderHeartbeat | None, instance: str
) -> datetime.timedelta | None:
    """Returns how long earlier schedulers may still send commands.

    Though the previous one has stopped, one before it may still be active.

    Args:
        previous: Latest heartbeat of the previous scheduler; None if there
            was none.
        instance: Instance that begins a term.

    Returns:
        That time; None if it may be as long as a leader lease.
    """
    if previous is None:
        return datetime.timedelta()
    if previous.is_released or previous.instance == instance:
        return previous.earlier_lease
    return None


class LeaderLease:
    """Time-bounded right to send commands in a term.

    A scheduler that is cut off from the store may still reach runners that
    its successor cannot reach. So its lease expires unless the store
    confirms the term again, and the successor waits for that long. The lease
    is measured in boot time, which also advances while the machine is
    suspended.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        term: Term,
        duration: datetime.timedelta,
    ) -> None:
        """Creates a lease that starts with the write that won the term.

        Args:
            time_source: Source of boot time.
            term: The term.
            duration: How long a confirmation keeps the lease valid.
        """
        self._clock = time_source
        self._term = term
        self._duration = duration
        self._confirmed_at = term.sent_at
        self._confirmed_versions = collections.deque(
            [term.token], maxlen=_MAX_KEPT_VERSIONS
        )
        self._is_revoked = False
        self._began = time_source.get_boot_time()
        self._earlier_lease = duration * _SLOW_CLOCK_FACTOR
        if term.earlier_lease is not None:
            self._earlier_lease = min(self._earlier_lease, term.earlier_lease)

    @property
    def term(self) -> Term:
        """The term that the lease belongs to."""
        return self._term

    @property
    def confirmed_versions(self) -> Sequence[int]:
        """Latest versions in which the store confirmed the term, ascending.

        They are below the token of any later term.
        """
        return self._confirmed_versions

    @property
    def is_revoked(self) -> bool:
        """Whether another scheduler is known to have taken over."""
        return self._is_revoked

    @property
    def is_valid(self) -> bool:
        """Whether commands may be sent now."""
        if self._is_revoked:
            return False
        return self.confirmation_age < self._duration

    @property
    def confirmation_age(self) -> datetime.timedelta:
        """Boot time since the store last confirmed the term."""
        return self._clock.get_boot_time() - self._confirmed_at

    @property
    def is_sole(self) -> bool:
        """Whether no scheduler of an earlier term sends commands any more."""
        return not self.earlier_lease

    @property
    def earlier_lease(self) -> datetime.timedelta:
        """Longest time for which one of an earlier term may send commands.

        The store has confirmed none of them since this term began.
        """
        elapsed = self._clock.get_boot_time() - self._began
        return max(datetime.timedelta(), self._earlier_lease - elapsed)

    def extend(self, sent_at: datetime.timedelta, version: int) -> None:
        """Extends the lease after the store confirmed the term.

        Args:
            sent_at: Boot time before the confirmed write was sent.
            version: Version of the confirmed write.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)
        if version > self._confirmed_versions[-1]:
            self._confirmed_versions.append(version)

    def revoke(self) -> None:
        """Ends the lease, because another scheduler has taken over."""
        self._is_revoked = True
