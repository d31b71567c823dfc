"""Upper estimates of interference factors, computed when they are needed.

Answers the load of placement passes that ask for the same few factors on
hundreds of runners.
"""

from collections.abc import Callable


class FactorEstimates(dict[str, float]):
    """Upper estimates of the factors on one serving image.

    By best-effort image; a missing one is computed. Candidates refer to this
    table, so that it is cleared rather than replaced when factors change.
    """

    def __init__(
        self,
        get_factor: Callable[[str], float],
        get_deviation: Callable[[str], float],
        uncertainty_weight: float,
    ) -> None:
        """Creates an empty table.

        Args:
            get_factor: Returns the factor of a best-effort image.
            get_deviation: Returns its standard deviation.
            uncertainty_weight: Number of standard deviations that are added
                to each factor.
        """
        super().__init__()
        self._get_factor = get_factor
        self._get_deviation = get_deviation
        self._uncertainty_weight = uncertainty_weight

    def __missing__(self, best_effort: str) -> float:
        deviation = self._get_deviation(best_effort)
        estimate = self[best_effort] = (
            self._get_factor(best_effort)
            + self._uncertainty_weight * deviation
        )
        return estimate
