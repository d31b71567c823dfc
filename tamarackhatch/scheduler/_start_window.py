"""Limits how many starts are in progress, by how fast runners are reached.

Answers the load in which more tasks have room than the scheduler's processor
and link can start. Without a limit all of them are sent at once: each start is
late then, reports and renewals wait behind them, and the scheduler may lose
its term. With it, tasks wait in the order of the placement passes instead:
urgent ones go first, and best-effort ones have to wait.
"""

import datetime

_INITIAL_LIMIT = 256.0
_MIN_LIMIT = 32.0
_MAX_LIMIT = 4096.0
# Best-effort tasks leave this share to others, which then need not wait for a
# start to end.
_URGENT_SHARE = 0.25
# Timers that are this late on average show that work queues up in the event
# loop; less than the lower figure, that it could do more. A few times as late,
# heartbeats and renewals would come too late.
_MAX_LATENESS = datetime.timedelta(milliseconds=80)
_LOW_LATENESS = datetime.timedelta(milliseconds=60)
# While nothing urgent starts, lateness costs no caller an objective, and more
# starts share each pass and record.
_MAX_CALM_LATENESS = datetime.timedelta(milliseconds=200)
_LOW_CALM_LATENESS = datetime.timedelta(milliseconds=150)
# Timers without an urgent start after which that counts; about three seconds.
_MIN_CALM_TIMERS = 100
# One stall must not outweigh many later timers.
_MAX_SAMPLE = datetime.timedelta(milliseconds=400)
_SAMPLE_SHARE = 0.15
# The most distant runners answer within 30 ms. Calls of which half take longer
# than this wait for a full link.
_MAX_CALL_TIME = datetime.timedelta(milliseconds=600)
# Step of the estimate of the median. A few slow runners do not move it.
_MEDIAN_STEP = datetime.timedelta(milliseconds=10)
# Timers between two changes: the effect of one shows only in later timers.
_TIMERS_PER_CHANGE = 8
_REDUCTION = 0.8
_GROWTH = 1.1
# A pass costs the same for one start as for several.
_MIN_FREE_SHARE = 1 / 4


class StartWindow:
    """Number of starts that may be in progress, and of those that are."""

    def __init__(self) -> None:
        self._limit = _INITIAL_LIMIT
        self._urgent = 0
        self._best_effort = 0
        self._lateness = datetime.timedelta()
        self._median_call = datetime.timedelta()
        self._timers = 0
        self._calm_timers = 0
        self._is_limiting = False

    @property
    def limit(self) -> int:
        """Number of starts that may be in progress."""
        return int(self._limit)

    @property
    def lateness(self) -> datetime.timedelta:
        """How late timers are on average."""
        return self._lateness

    @property
    def in_progress(self) -> int:
        """Number of starts in progress."""
        return self._urgent + self._best_effort

    @property
    def has_room_again(self) -> bool:
        """Whether tasks were held back, and several may start now."""
        free = self.count_free(True)
        return self._is_limiting and free >= self._limit * _MIN_FREE_SHARE

    def count_free(self, is_urgent: bool) -> int:
        """Returns how many more starts may begin now.

        Args:
            is_urgent: Whether they are of tasks that are no best-effort tasks.
        """
        free = self._limit - self.in_progress
        if not is_urgent:
            share = self._limit * (1 - _URGENT_SHARE)
            free = min(free, share - self._best_effort)
        return max(0, int(free))

    def begin_pass(self) -> None:
        """Records that a placement pass begins."""
        self._is_limiting = False

    def hold_back(self) -> None:
        """Records that the present pass holds tasks back."""
        self._is_limiting = True

    def begin_start(self, is_urgent: bool) -> None:
        """Records that a start begins."""
        if is_urgent:
            self._urgent += 1
            self._calm_timers = 0
        else:
            self._best_effort += 1

    def end_start(self, is_urgent: bool) -> None:
        """Records that a start has ended, however it did."""
        if is_urgent:
            self._urgent -= 1
        else:
            self._best_effort -= 1

    def record_call(self, elapsed: datetime.timedelta) -> None:
        """Records how long an answered start command took.

        Args:
            elapsed: Time from the decision to send it to its answer.
        """
        if elapsed > self._median_call:
            self._median_call += _MEDIAN_STEP
        else:
            self._median_call = max(
                datetime.timedelta(), self._median_call - _MEDIAN_STEP
            )

    def record_timer(self, lateness: datetime.timedelta) -> None:
        """Records how late a timer was, and adjusts the limit."""
        lateness = min(lateness, _MAX_SAMPLE)
        self._lateness += (lateness - self._lateness) * _SAMPLE_SHARE
        self._timers += 1
        self._calm_timers += 1
        if self._timers < _TIMERS_PER_CHANGE:
            return
        self._timers = 0
        highest, low = _MAX_LATENESS, _LOW_LATENESS
        if self._calm_timers > _MIN_CALM_TIMERS:
            highest, low = _MAX_CALM_LATENESS, _LOW_CALM_LATENESS
        if self._lateness > highest or self._median_call > _MAX_CALL_TIME:
            used = min(self._limit, self.in_progress)
            self._limit = max(_MIN_LIMIT, used * _REDUCTION)
        elif self._is_limiting and self._lateness < low:
            self._limit = min(_MAX_LIMIT, self._limit * _GROWTH)
