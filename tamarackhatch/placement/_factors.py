"""Factors of best-effort images on one serving image, by linear regression.

Each difference between two samples of one serving job, with the difference of
the best-effort tasks beside it, is one equation. Samples that differ in
nothing say nothing, so repeated samples do not feign certainty.
"""

import datetime
import math

from tamarackhatch.placement import _best_effort_usage

# Before anything is known, a best-effort task of a tenth of a runner adds this
# share times ten to the utilisation. It lies between harmless and heavy pairs.
PRIOR_FACTOR = 0.8
PRIOR_DEVIATION = 1.0
_PRIOR_WEIGHT = 1 / PRIOR_DEVIATION**2
MAX_FACTOR = 5.0
# Factors may change, so that old equations lose weight.
_MEMORY_S = 240.0
# A residual of more standard deviations is weighted as an outlier.
_OUTLIER_DEVIATIONS = 3.0
# Solving costs more than adding an equation.
_SOLVE_INTERVAL = datetime.timedelta(milliseconds=250)


class FactorRegression:
    """Weighted sums of the equations, and their solution."""

    def __init__(self) -> None:
        self._index: dict[str, int] = {}
        # Normal equations without the prior: matrix and right-hand side.
        self._matrix: list[list[float]] = []
        self._vector: list[float] = []
        self._means: list[float] = []
        self._deviations: list[float] = []
        self._decayed = datetime.timedelta()
        self._solved = datetime.timedelta()

    @property
    def best_effort_images(self) -> tuple[str, ...]:
        """Best-effort images that an equation has named."""
        return tuple(self._index)

    def get_mean(self, best_effort: str) -> float:
        """Returns the factor of a best-effort image."""
        index = self._index.get(best_effort)
        return PRIOR_FACTOR if index is None else self._means[index]

    def get_deviation(self, best_effort: str) -> float:
        """Returns the standard deviation of a factor."""
        index = self._index.get(best_effort)
        return PRIOR_DEVIATION if index is None else self._deviations[index]

    def assume(self, best_effort: str, mean: float, deviation: float) -> None:
        """Takes over a factor that an earlier scheduler has learned."""
        index = self._get_index(best_effort)
        weight = max(0.0, 1 / max(deviation, 0.01) ** 2 - _PRIOR_WEIGHT)
        self._matrix[index][index] += weight
        # The solution of this equation and the prior is the given mean.
        self._vector[index] += (
            weight + _PRIOR_WEIGHT
        ) * mean - _PRIOR_WEIGHT * PRIOR_FACTOR
        self._solve()

    def learn(
        self,
        changes: _best_effort_usage.Shares,
        difference: float,
        variance: float,
        now: datetime.timedelta,
    ) -> None:
        """Adds an equation.

        Args:
            changes: For each best-effort image, the difference of its share of
                the processors between two samples.
            difference: Difference of the utilisation.
            variance: Variance of that difference by other causes.
            now: Monotonic time.
        """
        self._decay(now)
        terms = [
            (self._get_index(best_effort), change)
            for best_effort, change in changes.items()
        ]
        residual = difference - sum(
            self._means[index] * change for index, change in terms
        )
        bound = _OUTLIER_DEVIATIONS * math.sqrt(variance)
        weight = 1 / variance
        if abs(residual) > bound:
            weight *= bound / abs(residual)
        for index, change in terms:
            row = self._matrix[index]
            for other, other_change in terms:
                row[other] += weight * change * other_change
            self._vector[index] += weight * change * difference
        if now - self._solved >= _SOLVE_INTERVAL:
            self._solved = now
            self._solve()

    def _get_index(self, best_effort: str) -> int:
        index = self._index.get(best_effort)
        if index is None:
            index = self._index[best_effort] = len(self._index)
            for row in self._matrix:
                row.append(0.0)
            self._matrix.append([0.0] * (index + 1))
            self._vector.append(0.0)
            self._means.append(PRIOR_FACTOR)
            self._deviations.append(PRIOR_DEVIATION)
        return index

    def _decay(self, now: datetime.timedelta) -> None:
        seconds = (now - self._decayed).total_seconds()
        if seconds < 1:
            return
        self._decayed = now
        factor = math.exp(-seconds / _MEMORY_S)
        self._vector = [value * factor for value in self._vector]
        self._matrix = [
            [value * factor for value in row] for row in self._matrix
        ]

    def _solve(self) -> None:
        """Inverts the normal equations by Gauss-Jordan elimination."""
        size = len(self._vector)
        rows = [
            [*row, *(float(i == j) for j in range(size))]
            for i, row in enumerate(self._matrix)
        ]
        for i in range(size):
            rows[i][i] += _PRIOR_WEIGHT
        for i in range(size):
            # The matrix is positive definite, so that no pivot is zero.
            scale = 1 / rows[i][i]
            pivot = [value * scale for value in rows[i]]
            rows[i] = pivot
            for j in range(size):
                factor = rows[j][i]
                if j != i and factor:
                    rows[j] = [
                        value - factor * base
                        for value, base in zip(rows[j], pivot)
                    ]
        inverse = [row[size:] for row in rows]
        vector = [
            value + _PRIOR_WEIGHT * PRIOR_FACTOR for value in self._vector
        ]
        for i, row in enumerate(inverse):
            mean = sum(a * b for a, b in zip(row, vector))
            self._means[i] = min(max(mean, 0.0), MAX_FACTOR)
            self._deviations[i] = math.sqrt(max(row[i], 0.0))
