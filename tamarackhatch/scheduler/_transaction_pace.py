"""Decides when the scheduler's next transaction may be sent.

Answers the load of a large fleet, on which tasks start without a pause. Starts
wait for their record in the store, and calls to the store have a cost, so that
transactions are paced. Starts of urgent tasks do not wait behind those of
best-effort tasks, of which there are several times as many.
"""

import datetime

# Usual time between two transactions. Exits and starts that arrive within it
# share one call.
INTERVAL = datetime.timedelta(milliseconds=70)
# So many transactions in a row may be sent for starts before their interval
# is over; later ones keep to the average rate.
_MAX_EARLY = 3
# A store that has failed has to serve all waiting callers as well when it is
# back, so that none is early for this time.
_REST_AFTER_FAILURE = datetime.timedelta(seconds=2)


class _Allowance:
    """Early transactions at the average rate of one in each interval."""

    def __init__(self) -> None:
        # Until when the transactions so far use up the average rate.
        self._used_until = datetime.timedelta()

    @property
    def due(self) -> datetime.timedelta:
        """Earliest monotonic time of the next transaction."""
        return self._used_until - _MAX_EARLY * INTERVAL

    def use(self, time: datetime.timedelta) -> None:
        """Records a transaction that was sent at a time."""
        self._used_until = max(self._used_until, time) + INTERVAL


class TransactionPace:
    """Paces the transactions of one term."""

    def __init__(self) -> None:
        self._regular = _Allowance()
        self._urgent = _Allowance()
        self._sent = datetime.timedelta()
        self._resting_until = datetime.timedelta()

    def record_failure(self, time: datetime.timedelta) -> None:
        """Records that the store did not confirm a transaction."""
        self._resting_until = time + _REST_AFTER_FAILURE

    def record_transaction(self, sent: datetime.timedelta) -> None:
        """Records a transaction that was sent at a monotonic time."""
        # One that came too early for the usual pace was for urgent starts.
        is_early = sent < min(self._regular.due, self._sent + INTERVAL)
        (self._urgent if is_early else self._regular).use(sent)
        self._sent = sent

    def compute_due(
        self, has_starts: bool, has_urgent_starts: bool
    ) -> datetime.timedelta:
        """Returns the monotonic time at which the next one may be sent.

        Args:
            has_starts: Whether starts wait for their record.
            has_urgent_starts: Whether starts of tasks wait for it that are
                not best-effort tasks.
        """
        due = self._sent + INTERVAL
        if due < self._resting_until:
            return due
        if has_starts:
            due = min(due, self._regular.due)
        if has_urgent_starts:
            due = min(due, self._urgent.due)
        return due
