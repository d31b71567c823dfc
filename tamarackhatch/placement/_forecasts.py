"""Own loads of the serving jobs that one placement pass expects.

Answers the load of passes over hundreds of runners, each with tasks of
several jobs: a job has the same forecast on all its runners.
"""

import datetime

from tamarackhatch.placement import _interference
from tamarackhatch.placement import _load
from tamarackhatch.placement import _policy

# Limit of the utilisation, and the highest expected own load.
Forecast = tuple[float, float]


class ServingForecasts:
    """Computes the forecast of each job once, for one monotonic time."""

    def __init__(
        self,
        interference: _interference.InterferenceModel,
        policy: _policy.PlacementPolicy,
        now: datetime.timedelta,
    ) -> None:
        """Creates forecasts from the present state of the model.

        Args:
            interference: The interference model.
            policy: Weights and limits of placement.
            now: Monotonic time.
        """
        self._interference = interference
        self._horizon = policy.horizon
        self._now = now
        self._forecasts: dict[tuple[str, str, float], Forecast] = {}

    @property
    def now(self) -> datetime.timedelta:
        """Monotonic time of the forecasts."""
        return self._now

    def get_forecast(self, job: str, group: _load.ServingGroup) -> Forecast:
        """Returns limit and highest expected own load of a job's tasks.

        Args:
            job: The job.
            group: Its tasks on a runner.
        """
        key = (job, group.image, group.tail_latency_target_ms)
        forecast = self._forecasts.get(key)
        if forecast is None:
            limit = self._interference.compute_limit(
                group.image, group.tail_latency_target_ms
            )
            own_load = self._interference.forecast_own_load(
                job, group.image, limit, self._now, self._horizon
            )
            forecast = self._forecasts[key] = (limit, own_load)
        return forecast
