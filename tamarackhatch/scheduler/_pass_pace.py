"""Decides when the next placement pass may begin.

Answers the load of a large fleet on a slow processor, on which a pass takes
long and each event asks for one: passes must leave time for the reports and
starts that they wait for.
"""

import datetime

# Events within this time share one placement pass. A start waits longer for
# its record.
_MIN_PAUSE = datetime.timedelta(milliseconds=15)
# Passes take two thirds of the time at most if the event loop is on time, and
# a quarter if its timers are so late on average.
_MIN_PAUSE_PER_PASS_TIME = 0.5
_MAX_PAUSE_PER_PASS_TIME = 3.0
_HIGH_LATENESS = datetime.timedelta(milliseconds=75)
# One stall of the process must not keep tasks waiting for seconds.
_MAX_PAUSE = datetime.timedelta(milliseconds=200)


def compute_pause(
    elapsed: datetime.timedelta, lateness: datetime.timedelta
) -> datetime.timedelta:
    """Returns the least time until the next pass.

    Args:
        elapsed: Time that the last pass took.
        lateness: How late timers are on average.
    """
    factor = _MAX_PAUSE_PER_PASS_TIME * (lateness / _HIGH_LATENESS)
    factor = min(
        _MAX_PAUSE_PER_PASS_TIME, max(_MIN_PAUSE_PER_PASS_TIME, factor)
    )
    return min(_MAX_PAUSE, max(_MIN_PAUSE, elapsed * factor))
