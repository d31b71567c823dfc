"""Chooses how often the runners are asked while the scheduler is busy.

Answers the load in which more exits arrive than the processor can handle one
by one. Each report costs the same for one exit as for several, and reports
make up half of the scheduler's work on a large fleet. Without a limit they
keep placements and starts waiting, which callers notice sooner than an exit
that is known half a second later.
"""

import datetime

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


class RenewalPace:
    """Interval between the renewals of a runner, by the event loop's delay."""

    def __init__(self) -> None:
        self._lateness = datetime.timedelta()

    @property
    def interval(self) -> datetime.timedelta:
        """Least time between two renewals of a runner."""
        factor = self._lateness / _USUAL_LATENESS
        return min(_MAX_INTERVAL, _MIN_INTERVAL * max(1.0, factor))

    def record_timer(self, lateness: datetime.timedelta) -> None:
        """Records how late a timer was."""
        self._lateness += (lateness - self._lateness) * _SAMPLE_SHARE
