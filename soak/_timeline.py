"""Times at which a bound does not run; pure code."""

from collections.abc import Iterator
from collections.abc import Set
import contextlib
import math

import attrs

from tamarackhatch import clock

# This process was late, and so the others may have been.
MACHINE = "machine"
# No scheduler could read the store and command runners.
CONTROL = "control"


@attrs.define(eq=False)
class Interval:
    """Time in which a scope is disturbed, in seconds; it may last still."""

    scope: str
    start: float
    end: float = math.inf


class Timeline:
    """Records disturbances of the machine, the scheduler, and single links.

    A scope is `MACHINE`, `CONTROL`, or the name of a runner or instance.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._intervals: list[Interval] = []

    @contextlib.contextmanager
    def disturb(self, scope: str, recovery_s: float = 0.0) -> Iterator[None]:
        """Records that a scope is disturbed, and recovers afterwards."""
        now = self._clock.get_monotonic().total_seconds()
        interval = self.begin(scope, now)
        yield
        now = self._clock.get_monotonic().total_seconds()
        interval.end = now + recovery_s

    def begin(self, scope: str, start: float) -> Interval:
        """Records that a scope is disturbed until the interval is ended."""
        interval = Interval(scope, start)
        self._intervals.append(interval)
        return interval

    def measure_quiet(
        self, scopes: Set[str], since: float, until: float
    ) -> float:
        """Returns how long none of the scopes was disturbed."""
        quiet, reached = 0.0, since
        for interval in sorted(self._intervals, key=lambda item: item.start):
            if interval.start >= until:
                break
            if interval.scope in scopes and interval.end > reached:
                quiet += max(0.0, interval.start - reached)
                reached = interval.end
        return quiet + max(0.0, until - reached)
