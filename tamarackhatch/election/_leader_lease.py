"""How long a scheduler may act on what it last knew of its term."""

import datetime

import attrs

from tamarackhatch import clock


@attrs.frozen
class Term:
    """A won term of the active scheduler.

    Attributes:
        number: Number of the term, from 1.
        token: Fencing token of the term's commands.
        began: Boot time before the winning write was sent.
        pending: For each queue, jobs without a start, as the scheduler
            before said.
        is_predecessor_gone: Whether the scheduler before is known to give no
            commands any more, because it handed over or its process ended.
    """

    number: int
    token: int
    began: datetime.timedelta
    pending: dict[str, int] = attrs.field(factory=dict)
    is_predecessor_gone: bool = False


class LeaderLease:
    """Tells whether commands of a term may still be given.

    A scheduler that is cut off from the store can still reach runners that
    its successor cannot, so it stops by itself after a bound that the
    successor waits out. The time is boot time, which goes on while a machine
    is suspended.
    """

    def __init__(
        self, time_source: clock.Clock, term: Term, bound: datetime.timedelta
    ) -> None:
        self._clock = time_source
        self._term = term
        self._bound = bound
        self._confirmed = term.began
        self._is_revoked = False

    @property
    def term(self) -> Term:
        """The term that it is about."""
        return self._term

    @property
    def is_revoked(self) -> bool:
        """Whether another scheduler is known to have taken over."""
        return self._is_revoked

    @property
    def is_valid(self) -> bool:
        """Whether commands may be given now."""
        if self._is_revoked:
            return False
        return self._clock.get_boot_time() - self._confirmed < self._bound

    def confirm(self, sent: datetime.timedelta) -> None:
        """Notes that the store confirmed the term.

        Args:
            sent: Boot time before the confirmed write was sent.
        """
        self._confirmed = max(self._confirmed, sent)

    def revoke(self) -> None:
        """Notes that another scheduler has taken over."""
        self._is_revoked = True
