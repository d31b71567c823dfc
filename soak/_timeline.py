"""Times at which a bound does not run; pure code."""

from collections.abc import Iterator
from collections.abc import Set
import contextlib

import attrs

from tamarackhatch import clock

MACHINE = "machine"
CONTROL = "control"


@attrs.define(eq=False)
class Interval:
    """Time during which a scope is disturbed, in seconds.

    Attributes:
        scope: The scope.
        start: When it began.
        end: When it ended; infinite while it lasts.
    """

    scope: str
    start: float
    end: float = float("inf")


class Timeline:
    """Records what disturbed the machine, the scheduler and the links.

    The scopes are `MACHINE` (this process was late, and so the others may
    have been), `CONTROL` (no scheduler could read the store and command) and
    the names of runners whose link was disturbed. Times are in seconds.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._intervals: list[Interval] = []

    @contextlib.contextmanager
    def disturb(self, scope: str, recovery_s: float = 0.0) -> Iterator[None]:
        """Records that a scope is disturbed, and recovers afterwards."""
        interval = self.begin(scope, self._get_now())
        try:
            yield
        finally:
            interval.end = self._get_now() + recovery_s

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
            if interval.scope not in scopes or interval.end <= reached:
                continue
            if interval.start >= until:
                break
            quiet += max(0.0, interval.start - reached)
            reached = interval.end
        return quiet + max(0.0, until - reached)

    def measure_total(self, scope: str) -> float:
        """Returns for how long a scope was disturbed, by ended intervals."""
        return sum(
            item.end - item.start
            for item in self._intervals
            if item.scope == scope and item.end < float("inf")
        )

    def _get_now(self) -> float:
        return self._clock.get_monotonic().total_seconds()
