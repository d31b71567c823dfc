"""Keeps the candidates of one placement pass for the next ones.

Answers the load of many placement passes a second: the forecasts of a runner
with many images cost more than the choice itself, and most runners do not
change between two passes.
"""

from collections.abc import Collection
import datetime

from tamarackhatch.placement import _candidate
from tamarackhatch.placement import _forecasts
from tamarackhatch.placement import _interference
from tamarackhatch.placement import _load
from tamarackhatch.placement import _policy

# Samples of serving tasks are half a second old when they arrive, and
# forecasts look 2.5 s ahead. Under load, passes are up to 100 ms apart: with
# that age nothing would be kept when it matters most.
_MAX_AGE = datetime.timedelta(milliseconds=250)


class CandidateCache:
    """Creates candidates, and keeps them while they are up to date."""

    def __init__(
        self,
        interference: _interference.InterferenceModel,
        policy: _policy.PlacementPolicy,
    ) -> None:
        self._interference = interference
        self._policy = policy
        self._candidates: dict[str, _candidate.CandidateRunner] = {}
        self._forecasts: _forecasts.ServingForecasts | None = None

    def get_candidate(
        self, load: _load.RunnerLoad, now: datetime.timedelta
    ) -> _candidate.CandidateRunner:
        """Returns the candidate of a runner for a pass at a monotonic time."""
        candidate = self._candidates.get(load.identifier)
        if (
            candidate is None
            or candidate.load is not load
            or candidate.serving_changes != load.serving_changes
            or now - candidate.created_at >= _MAX_AGE
        ):
            candidate = _candidate.CandidateRunner(
                load,
                self._interference,
                self._policy,
                now,
                self._get_forecasts(now),
            )
            self._candidates[load.identifier] = candidate
        elif (
            candidate.best_effort_changes != load.best_effort_changes
            or candidate.batch_cpu != load.batch_cpu
        ):
            candidate.update_headrooms()
        return candidate

    def _get_forecasts(
        self, now: datetime.timedelta
    ) -> _forecasts.ServingForecasts:
        """Returns the forecasts that all candidates of a pass share."""
        if self._forecasts is None or self._forecasts.now != now:
            self._forecasts = _forecasts.ServingForecasts(
                self._interference, self._policy, now
            )
        return self._forecasts

    def retain(self, identifiers: Collection[str]) -> None:
        """Removes the candidates of runners that have left.

        Args:
            identifiers: The runners that have not left.
        """
        if len(self._candidates) > len(identifiers):
            for identifier in self._candidates.keys() - set(identifiers):
                del self._candidates[identifier]
