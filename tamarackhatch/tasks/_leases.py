"""Times until which attempts may run under leases given so far."""

import datetime

from tamarackhatch.tasks import _attempts

# Clocks agree within 1 s; the rest covers the worker's own reaction.
CLOCK_MARGIN = datetime.timedelta(seconds=2)


class LeaseBook:
    """Upper bounds of the leases of one worker, in monotonic time.

    A bound is noted before a lease is sent, because the worker may get an
    order whose answer is lost.
    """

    def __init__(self, inherited_until: datetime.timedelta) -> None:
        self._inherited_until = inherited_until
        self._bounds: dict[_attempts.AttemptKey, datetime.timedelta] = {}

    def has_lease(self, key: _attempts.AttemptKey) -> bool:
        """Tells whether this owner may have given the attempt a lease."""
        return key in self._bounds

    def get_bound(
        self, key: _attempts.AttemptKey
    ) -> datetime.timedelta | None:
        """Returns the bound of the leases that this owner gave, or None."""
        return self._bounds.get(key)

    def note_lease(
        self, key: _attempts.AttemptKey, until: datetime.timedelta
    ) -> None:
        """Records that a lease is about to be sent."""
        self._bounds[key] = max(until, self._bounds.get(key, until))

    def restore_bound(
        self, key: _attempts.AttemptKey, bound: datetime.timedelta | None
    ) -> None:
        """Takes back a lease that was certainly not given."""
        if bound is None:
            self._bounds.pop(key, None)
        else:
            self._bounds[key] = bound

    def drop_attempt(self, key: _attempts.AttemptKey) -> None:
        """Forgets an attempt that has been settled."""
        self._bounds.pop(key, None)

    def list_attempts(self) -> tuple[_attempts.AttemptKey, ...]:
        """Returns the attempts that have a bound."""
        return tuple(self._bounds)

    def has_surely_lapsed(
        self, key: _attempts.AttemptKey, now: datetime.timedelta
    ) -> bool:
        """Tells whether no owner's lease can let the attempt run now."""
        until = max(
            self._inherited_until, self._bounds.get(key, self._inherited_until)
        )
        return now >= until + CLOCK_MARGIN
