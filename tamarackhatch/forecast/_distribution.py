"""Weighted run times, with the expected rest of a run of a given age."""

import bisect
from collections.abc import Iterable
import itertools

# A run that has outlasted all known run times is expected to need this share
# of its age again: the tails of run times are long.
_OVERDUE_SHARE = 0.5
_MEDIAN = 0.5


class Distribution:
    """Distribution of run times, in seconds."""

    def __init__(self, weights: Iterable[tuple[float, float]]) -> None:
        """Creates a distribution.

        Args:
            weights: At least one run time, each with its weight.
        """
        ordered = sorted(weights)
        self._values = [value for value, _ in ordered]
        self._cumulative = list(
            itertools.accumulate(weight for _, weight in ordered)
        )

    def compute_quantile(self, share: float) -> float:
        """Returns the run time that a share of the runs does not exceed."""
        index = bisect.bisect_left(
            self._cumulative, share * self._cumulative[-1]
        )
        return self._values[min(index, len(self._values) - 1)]

    def estimate_remaining(self, age: float) -> float:
        """Returns the median remaining time of a run of an age."""
        index = bisect.bisect_right(self._values, age)
        if index == len(self._values):
            return _OVERDUE_SHARE * age
        total = self._cumulative[-1]
        passed = self._cumulative[index - 1] if index else 0.0
        middle = bisect.bisect_left(
            self._cumulative, passed + _MEDIAN * (total - passed)
        )
        return self._values[min(middle, len(self._values) - 1)] - age
