"""Signs that a runner which does not answer is alive."""

import datetime

import attrs

from tamarackhatch import model

# Rows after a lease's end that prove its runs killed. A starved process still
# writes some in time while its kills are late.
_MIN_ROWS_PAST_LEASE = 3


@attrs.define
class LifeSigns:
    """What one incarnation of a runner shows beside its answers.

    Attributes:
        accepted_at: Monotonic time after which it has accepted a connection;
            None if it has not.
        row_clock: Reading of its clock in its latest registry row; None if
            that is not known.
        row_written_at: Earliest monotonic time at which that row was written.
        past_lease_clock: Reading in the first row since its lease has expired
            on its clock; None before that row.
        past_lease_rows: Number of rows since then.
    """

    accepted_at: datetime.timedelta | None = None
    row_clock: datetime.timedelta | None = None
    row_written_at: datetime.timedelta | None = None
    past_lease_clock: datetime.timedelta | None = None
    past_lease_rows: int = 0

    def record_row(
        self,
        record: model.Runner,
        written_at: datetime.timedelta,
        lease_end: datetime.timedelta,
    ) -> None:
        """Records a registry row of this incarnation.

        Args:
            record: The row.
            written_at: Earliest monotonic time at which it was written.
            lease_end: Latest lease end on the runner's clock.
        """
        reading = record.clock_reading
        if reading is None or reading == self.row_clock:
            return
        self.row_clock, self.row_written_at = reading, written_at
        if reading <= lease_end or not self._has_row_past(lease_end):
            self.past_lease_rows = 0
            self.past_lease_clock = None
        if reading > lease_end:
            self.past_lease_rows += 1
            if self.past_lease_clock is None:
                self.past_lease_clock = reading

    def has_killed_runs(
        self, lease_end: datetime.timedelta, stop_timeout: datetime.timedelta
    ) -> bool:
        """Returns whether its rows prove that all runs are killed.

        A process that was stopped may write a row before it kills what it
        should have killed meanwhile. Therefore one row after the lease's end
        proves nothing.

        Args:
            lease_end: Latest lease end on the runner's clock.
            stop_timeout: Longest time that the kills take.
        """
        if self.row_clock is None or self.past_lease_clock is None:
            return False
        return (
            self._has_row_past(lease_end)
            and self.past_lease_rows >= _MIN_ROWS_PAST_LEASE
            and self.row_clock >= self.past_lease_clock + stop_timeout
        )

    def _has_row_past(self, lease_end: datetime.timedelta) -> bool:
        return (
            self.past_lease_clock is not None
            and self.past_lease_clock > lease_end
        )
