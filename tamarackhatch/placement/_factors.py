"""Factors of best-effort images with one serving image, by linear regression.

An observation is the difference between the utilisations in two samples of one
serving job, and the differences of the processor shares of the best-effort
images. Two samples with equal shares are no observation, so that repeated
samples of the same tasks do not reduce the standard deviations.
"""

import datetime
import math

from tamarackhatch.placement import _best_effort_usage
from tamarackhatch.placement import _least_squares

# Factor of a pair without observations, between those of pairs with little and
# with heavy interference. A best-effort task that uses a tenth of a runner's
# processors adds a tenth of its factor to the utilisation.
PRIOR_FACTOR = 0.8
PRIOR_DEVIATION = 1.0
_PRIOR_WEIGHT = 1 / PRIOR_DEVIATION**2
MAX_FACTOR = 5.0
# Time constant with which old observations lose weight, because factors may
# change.
_DECAY_TIME_S = 240.0
_DECAY_INTERVAL = datetime.timedelta(seconds=1)
# Residuals of more standard deviations get less weight.
_OUTLIER_DEVIATIONS = 3.0
# Solving costs more CPU time than adding an observation.
_SOLVE_INTERVAL = datetime.timedelta(milliseconds=250)


class FactorRegression:
    """Weighted least squares over the observations, with a prior."""

    def __init__(self) -> None:
        self._indices: dict[str, int] = {}
        # Normal equations without the prior: lower triangle of the matrix,
        # and right-hand side.
        self._matrix: list[list[float]] = []
        self._vector: list[float] = []
        self._means: list[float] = []
        self._deviations: list[float] = []
        self._decayed_at = datetime.timedelta()
        self._solved_at = datetime.timedelta()

    @property
    def best_effort_images(self) -> tuple[str, ...]:
        """Best-effort images with an observation or a known factor."""
        return tuple(self._indices)

    def get_mean(self, best_effort: str) -> float:
        """Returns the factor of a best-effort image."""
        index = self._indices.get(best_effort)
        return PRIOR_FACTOR if index is None else self._means[index]

    def get_deviation(self, best_effort: str) -> float:
        """Returns the standard deviation of a factor."""
        index = self._indices.get(best_effort)
        return PRIOR_DEVIATION if index is None else self._deviations[index]

    def add_known_factor(
        self, best_effort: str, mean: float, deviation: float
    ) -> None:
        """Adds a factor that an earlier scheduler has estimated."""
        index = self._get_index(best_effort)
        weight = max(0.0, 1 / max(deviation, 0.01) ** 2 - _PRIOR_WEIGHT)
        self._matrix[index][index] += weight
        # The solution of this term and the prior is the given mean.
        self._vector[index] += (
            weight + _PRIOR_WEIGHT
        ) * mean - _PRIOR_WEIGHT * PRIOR_FACTOR
        self._solve()

    def add_observation(
        self,
        share_changes: _best_effort_usage.Shares,
        utilisation_change: float,
        variance: float,
        now: datetime.timedelta,
    ) -> bool:
        """Adds an observation.

        Args:
            share_changes: For each best-effort image, the difference of its
                share of the processors between two samples.
            utilisation_change: Difference of the utilisation between them.
            variance: Variance of that difference by other causes.
            now: Monotonic time.

        Returns:
            Whether the factors were estimated anew.
        """
        if now - self._decayed_at >= _DECAY_INTERVAL:
            self._decay(now)
        indices, means = self._indices, self._means
        terms: list[tuple[int, float]] = []
        for best_effort, share_change in share_changes.items():
            index = indices.get(best_effort)
            if index is None:
                index = self._get_index(best_effort)
            terms.append((index, share_change))
        terms.sort()
        residual = utilisation_change
        for index, share_change in terms:
            residual -= means[index] * share_change
        bound = _OUTLIER_DEVIATIONS * math.sqrt(variance)
        weight = 1 / variance
        if abs(residual) > bound:
            weight *= bound / abs(residual)
        columns: list[tuple[int, float]] = []
        for term in terms:
            columns.append(term)
            index, share_change = term
            weighted = weight * share_change
            row = self._matrix[index]
            for column, other_share_change in columns:
                row[column] += weighted * other_share_change
            self._vector[index] += weighted * utilisation_change
        if now - self._solved_at < _SOLVE_INTERVAL:
            return False
        self._solved_at = now
        self._solve()
        return True

    def _get_index(self, best_effort: str) -> int:
        index = self._indices.get(best_effort)
        if index is None:
            index = self._indices[best_effort] = len(self._indices)
            self._matrix.append([0.0] * (index + 1))
            self._vector.append(0.0)
            self._means.append(PRIOR_FACTOR)
            self._deviations.append(PRIOR_DEVIATION)
        return index

    def _decay(self, now: datetime.timedelta) -> None:
        seconds = (now - self._decayed_at).total_seconds()
        self._decayed_at = now
        factor = math.exp(-seconds / _DECAY_TIME_S)
        self._vector = [value * factor for value in self._vector]
        self._matrix = [
            [value * factor for value in row] for row in self._matrix
        ]

    def _solve(self) -> None:
        """Estimates the factors from the observations and the prior."""
        means, variances = _least_squares.solve_normal_equations(
            [[*row[:-1], row[-1] + _PRIOR_WEIGHT] for row in self._matrix],
            [value + _PRIOR_WEIGHT * PRIOR_FACTOR for value in self._vector],
        )
        self._means = [min(max(mean, 0.0), MAX_FACTOR) for mean in means]
        self._deviations = [math.sqrt(variance) for variance in variances]
