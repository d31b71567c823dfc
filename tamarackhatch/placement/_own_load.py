"""Estimate of a serving job's own load, the load by its users."""

import datetime
import math

# Own load without samples, as a share of the capacity.
_PRIOR_LEVEL = 0.45
_PRIOR_VARIANCE = 0.2**2
# Variance of the slope, in 1/s^2.
_PRIOR_SLOPE_VARIANCE = 0.1**2
# Spectral density of the load's acceleration, in 1/s^3: a wave with an
# amplitude of 0.25 and a period of 14 s accelerates by up to 0.05/s^2.
_ACCELERATION_DENSITY = 0.004
_MAX_SLOPE_PER_S = 0.2


class OwnLoad:
    """Kalman filter of the level and the slope of an own load.

    The level is a share of the capacity.
    """

    def __init__(self, now: datetime.timedelta) -> None:
        self._level = _PRIOR_LEVEL
        self._slope = 0.0
        self._variance = _PRIOR_VARIANCE
        self._covariance = 0.0
        self._slope_variance = _PRIOR_SLOPE_VARIANCE
        self._updated_at = now

    @property
    def level(self) -> float:
        """Estimated level at the time of the last update."""
        return self._level

    @property
    def slope(self) -> float:
        """Change of the level, per second."""
        return self._slope

    @property
    def variance(self) -> float:
        """Variance of the level."""
        return self._variance

    def forecast(self, time: datetime.timedelta) -> float:
        """Returns the expected level at a time, from 0 to 1."""
        seconds = (time - self._updated_at).total_seconds()
        return min(1.0, max(0.0, self._level + self._slope * seconds))

    def advance(self, now: datetime.timedelta) -> None:
        """Advances the estimate to a later time."""
        seconds = (now - self._updated_at).total_seconds()
        if seconds <= 0:
            return
        self._updated_at = now
        self._level += self._slope * seconds
        density = _ACCELERATION_DENSITY
        self._variance += (
            2 * seconds * self._covariance
            + seconds**2 * self._slope_variance
            + density * seconds**3 / 3
        )
        self._covariance += (
            seconds * self._slope_variance + density * seconds**2 / 2
        )
        self._slope_variance = min(
            _PRIOR_SLOPE_VARIANCE, self._slope_variance + density * seconds
        )
        # The limit of the slope's variance also limits the covariance.
        bound = math.sqrt(self._variance * self._slope_variance)
        self._covariance = min(bound, max(-bound, self._covariance))

    def correct(self, error: float, total_variance: float) -> None:
        """Corrects the estimate by an observation.

        Args:
            error: Observed level minus expected level.
            total_variance: Variance of that difference.
        """
        gain = self._variance / total_variance
        slope_gain = self._covariance / total_variance
        self._level = min(1.0, max(0.0, self._level + gain * error))
        slope = self._slope + slope_gain * error
        self._slope = min(_MAX_SLOPE_PER_S, max(-_MAX_SLOPE_PER_S, slope))
        self._slope_variance -= slope_gain * self._covariance
        self._covariance -= gain * self._covariance
        self._variance -= gain * self._variance
