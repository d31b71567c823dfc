"""Chooses how long a runner may wait before it answers a renewal."""

import datetime

from tamarackhatch.scheduler import _fleet

# How long a runner may wait for an exit before it answers a renewal.
IDLE_RENEWAL_WAIT = datetime.timedelta(milliseconds=1500)
# Shorter, because throttling needs frequent samples where best-effort tasks
# run beside serving tasks.
_SAMPLING_RENEWAL_WAIT = datetime.timedelta(milliseconds=400)
# Tasks are evicted from a draining runner this long before it leaves.
LEAVE_MARGIN = datetime.timedelta(milliseconds=1500)


def choose_renewal_wait(
    entry: _fleet.RunnerEntry, now: datetime.timedelta
) -> datetime.timedelta:
    """Returns how long a runner may wait for an exit before it answers.

    Args:
        entry: The runner.
        now: Monotonic time.
    """
    wait = IDLE_RENEWAL_WAIT
    if entry.load.serving and entry.load.best_effort_cpu_by_image:
        wait = _SAMPLING_RENEWAL_WAIT
    if entry.tasks and entry.leaves_at is not None:
        # Tasks are evicted with the next report.
        due_in = entry.leaves_at - LEAVE_MARGIN - now
        if due_in > datetime.timedelta():
            wait = min(wait, due_in)
    return wait
