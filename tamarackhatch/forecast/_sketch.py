"""Run times of one kind of task, in logarithmic buckets with decay."""

import datetime
import math

from tamarackhatch.forecast import _distribution

# Bounds of a bucket differ by this factor, so that a quantile is inexact by
# up to 7 per cent. Estimates are off by far more.
_BUCKET_RATIO = 1.15
_LOG_RATIO = math.log(_BUCKET_RATIO)
_MIN_SECONDS = 0.001
# Long enough for quantiles of a queue with one job a minute, short enough to
# follow a change of the load within a few minutes.
_HALF_LIFE = datetime.timedelta(seconds=60)
# Weights are rescaled before they lose precision.
_MAX_HALF_LIVES = 50.0


class RunTimeSketch:
    """Decaying distribution of run times of fixed size."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._origin = now
        self._weights: dict[int, float] = {}
        self._total = 0.0
        self._distribution: _distribution.Distribution | None = None

    def record(self, seconds: float, now: datetime.timedelta) -> None:
        """Records a run time at a monotonic time."""
        half_lives = (now - self._origin) / _HALF_LIFE
        if half_lives > _MAX_HALF_LIVES:
            self._rescale(now)
            half_lives = 0.0
        # A later run weighs more, which equals a decay of all earlier ones.
        weight = math.exp2(half_lives)
        bucket = math.floor(
            math.log(max(seconds, _MIN_SECONDS) / _MIN_SECONDS) / _LOG_RATIO
        )
        self._weights[bucket] = self._weights.get(bucket, 0.0) + weight
        self._total += weight
        self._distribution = None

    def compute_weight(self, now: datetime.timedelta) -> float:
        """Returns how many runs of this moment the records are worth."""
        half_lives = (now - self._origin) / _HALF_LIFE
        return self._total * math.exp2(-min(half_lives, 2 * _MAX_HALF_LIVES))

    def get_distribution(self) -> _distribution.Distribution:
        """Returns the distribution; at least one run must be recorded."""
        if self._distribution is None:
            self._distribution = _distribution.Distribution(
                (_MIN_SECONDS * _BUCKET_RATIO ** (bucket + 0.5), weight)
                for bucket, weight in self._weights.items()
            )
        return self._distribution

    def _rescale(self, now: datetime.timedelta) -> None:
        factor = math.exp2(-((now - self._origin) / _HALF_LIFE))
        self._weights = {
            bucket: weight * factor for bucket, weight in self._weights.items()
        }
        self._total *= factor
        self._origin = now
