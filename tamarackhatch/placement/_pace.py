"""Control of the pace of filler tasks beside serving tasks."""

from collections.abc import Sequence
import datetime

import attrs

_DECREASE = 0.5
_INCREASE = 1.5
_MIN_PACE = 0.05
_RELAXED = 0.75
# A change shows in the samples after the delay of the order and the half
# second that a sample covers.
_SETTLE = datetime.timedelta(milliseconds=600)


@attrs.frozen
class PaceTarget:
    """A serving task's latest sample.

    Attributes:
        tail: Tail of its response times, in milliseconds.
        target: Bound of that tail, in milliseconds.
    """

    tail: float
    target: float


@attrs.define
class PaceController:
    """Chooses one pace for all fillers of a runner from its samples.

    Attributes:
        margin: Share of the target above which fillers slow down.
        pace: Current pace, from 0 to 1.
        changed: When the pace last changed, in monotonic time.
    """

    margin: float
    pace: float = 1.0
    changed: datetime.timedelta = datetime.timedelta()

    def update(
        self, samples: Sequence[PaceTarget], now: datetime.timedelta
    ) -> float:
        """Returns the pace after taking the samples into account."""
        if not samples:
            self.pace = 1.0
            return self.pace
        if now - self.changed < _SETTLE:
            return self.pace
        worst = max(sample.tail / sample.target for sample in samples)
        pace = self.pace
        if worst > self.margin:
            pace = max(_MIN_PACE, pace * _DECREASE)
        elif worst < self.margin * _RELAXED:
            pace = min(1.0, pace * _INCREASE)
        if pace != self.pace:
            self.pace = pace
            self.changed = now
        return self.pace
