"""Decides when the runs on a runner that does not answer are over.

A runner that answers tells it by its report. One that does not may have
crashed, or it may be stopped, starved or cut off and run on.
"""

import datetime
import enum

from tamarackhatch.scheduler import _fleet

# Long-running tasks have to run again nine seconds after their last run.
_MAX_RESTART_DELAY = datetime.timedelta(seconds=9)
# Covers placement and the start of a run; a stop may have to make room before.
_START_TIME = datetime.timedelta(milliseconds=300)


class Proof(enum.Enum):
    """What shows that the runs on a runner are over.

    Attributes:
        RESTARTED: Its report is of a later incarnation.
        REPLACED: Another runner answers at its address.
        CLOCK: Its process ran after the lease's end by its own clock, long
            enough to kill its runs.
        NONE: Nothing; no longer wait is permitted.
    """

    RESTARTED = "restarted"
    REPLACED = "replaced"
    CLOCK = "clock"
    NONE = "none"


def find_proof(
    entry: _fleet.RunnerEntry,
    now: datetime.timedelta,
    stop_timeout: datetime.timedelta,
) -> Proof | None:
    """Returns what shows that all runs are over; None while they may exist.

    Args:
        entry: A runner that does not answer.
        now: Monotonic time.
        stop_timeout: Longest time that a runner takes to kill its runs after
            the end of their lease.
    """
    if entry.is_replaced:
        return Proof.REPLACED
    if entry.unreported_life.may_hold_runs(now, stop_timeout):
        return None
    if entry.life_signs.has_killed_runs(entry.lease_end, stop_timeout):
        return Proof.CLOCK
    if (
        entry.clock_read is not None
        and entry.is_lease_expired(now, stop_timeout)
        and now >= _get_wait_end(entry, entry.clock_read) - stop_timeout
    ):
        return Proof.NONE
    return None


def _get_wait_end(
    entry: _fleet.RunnerEntry, clock_read: datetime.timedelta
) -> datetime.timedelta:
    """Returns the monotonic time at which starts elsewhere become due.

    They existed as long as the process did, and not after their lease unless
    the process was stopped.
    """
    signs = entry.life_signs
    alive = entry.clock
    if signs.row_clock is not None:
        alive = max(alive, signs.row_clock)
    if signs.accepted_at is not None:
        alive = max(alive, entry.estimate_clock(signs.accepted_at))
    earliest_end = clock_read + min(alive, entry.lease_end) - entry.clock
    return earliest_end + _MAX_RESTART_DELAY - _START_TIME
