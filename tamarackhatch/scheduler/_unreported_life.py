"""Signs of a runner's incarnation that has not reported yet."""

import datetime

import attrs

# A runner's monotonic clock may be slower than the scheduler's by this share.
_MAX_CLOCK_DRIFT_SHARE = 0.02


@attrs.define
class UnreportedLife:
    """What a new incarnation may hold before its first report.

    It takes commands that were meant for the earlier incarnation. Lease ends
    in these are far ahead of its own clock, which has begun anew, so that it
    grants its longest lease from when it takes such a command.

    Attributes:
        found_at: Monotonic time at which it last answered a command; None if
            there is no such incarnation.
        lease_until: Monotonic time until which it may hold a lease.
    """

    found_at: datetime.timedelta | None = None
    lease_until: datetime.timedelta = datetime.timedelta()

    def record_command(
        self, now: datetime.timedelta, max_lease: datetime.timedelta
    ) -> None:
        """Records that it has answered a command with a lease.

        Args:
            now: Monotonic time.
            max_lease: Longest lease that a runner grants.
        """
        self.found_at = now
        lease_until = now + max_lease / (1 - _MAX_CLOCK_DRIFT_SHARE)
        self.lease_until = max(self.lease_until, lease_until)

    def may_hold_runs(
        self, now: datetime.timedelta, kill_time: datetime.timedelta
    ) -> bool:
        """Returns whether runs of it may exist, as far as is known.

        Args:
            now: Monotonic time.
            kill_time: Longest time that the runner takes to kill its runs
                after the end of their lease.
        """
        return self.found_at is not None and now < self.lease_until + kill_time

    def record_report(self, sent: datetime.timedelta) -> None:
        """Records a report; it tells of the incarnation if it is later.

        Args:
            sent: Monotonic time at which the renewal was sent.
        """
        if self.found_at is not None and sent > self.found_at:
            self.found_at = None
