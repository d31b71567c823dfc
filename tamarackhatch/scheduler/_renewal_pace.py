"""Chooses how often the runners are asked while the scheduler is busy.

Answers the load in which more exits arrive than the processor can handle one
by one. Each report costs the same for one exit as for several, and reports
make up half of the scheduler's work on a large fleet. Without a limit they
keep placements and starts waiting, which callers notice sooner than an exit
that is known half a second later.
"""

import datetime
import math

# Between two renewals of a runner; each renewal has a cost.
_MIN_INTERVAL = datetime.timedelta(milliseconds=100)
# Speed limits are chosen with each report, and have to follow the load of
# serving tasks within seconds.
_MAX_INTERVAL = datetime.timedelta(milliseconds=800)
# Timers that are this late on average lengthen the interval in proportion.
_USUAL_LATENESS = datetime.timedelta(milliseconds=10)
# Share of a timer's lateness in the average. A busy scheduler sets hundreds of
# timers a second.
_SAMPLE_SHARE = 0.02
# On a quiet or small fleet, timers are rare. A lower lateness replaces an
# average of an earlier time with this time constant.
_DECAY_TIME = datetime.timedelta(seconds=2)
# More lateness lengthens the interval no further, and one stall must not
# outweigh hundreds of later timers.
_MAX_LATENESS = _USUAL_LATENESS * (_MAX_INTERVAL / _MIN_INTERVAL)


class RenewalPace:
    """Interval between the renewals of a runner, by the event loop's delay."""

    def __init__(self) -> None:
        self._lateness = datetime.timedelta()
        # Monotonic time of the latest timer.
        self._recorded: datetime.timedelta | None = None

    @property
    def interval(self) -> datetime.timedelta:
        """Least time between two renewals of a runner."""
        factor = self._lateness / _USUAL_LATENESS
        return min(_MAX_INTERVAL, _MIN_INTERVAL * max(1.0, factor))

    def record_timer(
        self,
        lateness: datetime.timedelta,
        now: datetime.timedelta | None = None,
    ) -> None:
        """Records how late a timer was.

        Args:
            lateness: How late it was.
            now: Monotonic time, by which earlier lateness counts less.
        """
        lateness = min(lateness, _MAX_LATENESS)
        share = _SAMPLE_SHARE
        if now is not None:
            if self._recorded is not None and lateness < self._lateness:
                elapsed = now - self._recorded
                share = max(share, 1 - math.exp(-elapsed / _DECAY_TIME))
            self._recorded = now
        self._lateness += (lateness - self._lateness) * share
