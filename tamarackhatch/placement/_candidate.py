"""Runners as they stand for one placement pass."""

import datetime

import attrs

from tamarackhatch.placement import _interference
from tamarackhatch.placement import _load
from tamarackhatch.placement import _policy


@attrs.define
class ImageHeadroom:
    """Utilisation that one image's serving tasks on a runner can still bear.

    Attributes:
        image: The image.
        limit: Utilisation that is allowed.
        own_load: Own load to expect while a new best-effort task works, the
            highest of its jobs.
        best_effort_utilisation: Utilisation by the best-effort tasks there,
            all at full speed.
    """

    image: str
    limit: float
    own_load: float
    best_effort_utilisation: float = 0.0

    @property
    def free(self) -> float:
        """Utilisation that fits in addition."""
        return self.limit - self.own_load - self.best_effort_utilisation


class CandidateRunner:
    """A runner that may take new tasks.

    Attributes:
        load: What runs there.
        failures: Runs that failed there lately, more than elsewhere.
        headrooms: What serving tasks there can bear, one entry for each image.
        serving_use: Share of the processors that serving tasks use.
    """

    def __init__(
        self,
        load: _load.RunnerLoad,
        interference: _interference.InterferenceModel,
        policy: _policy.PlacementPolicy,
        now: datetime.timedelta,
        failures: float = 0.0,
    ) -> None:
        self.load = load
        self.failures = failures
        self.headrooms: list[ImageHeadroom] = []
        self.serving_use = 0.0
        self._interference = interference
        self._policy = policy
        self._add_headrooms(now)
        self.refresh()

    @property
    def processors(self) -> int:
        """Processors of the runner, in thousandths of a core."""
        return max(1, self.load.capacity.processors)

    def refresh(self) -> None:
        """Counts the best-effort tasks anew after a task was added."""
        if not self.headrooms:
            return
        low_usage = self.load.best_effort_usage.low_usage
        remaining_low_usage = 1 - self._policy.full_usage_probability
        wanted = {
            image: processors - low_usage.get(image, 0.0) * remaining_low_usage
            for image, processors in self.load.best_effort_cpu_by_image.items()
        }
        for headroom in self.headrooms:
            headroom.best_effort_utilisation = sum(
                self.estimate_factor(headroom.image, best_effort) * processors
                for best_effort, processors in wanted.items()
            )
            headroom.best_effort_utilisation /= self.processors

    def estimate_factor(self, serving: str, best_effort: str) -> float:
        """Returns a factor that is probably not exceeded."""
        return self._interference.estimate_factor(
            serving, best_effort, self._policy.uncertainty_weight
        )

    def _add_headrooms(self, now: datetime.timedelta) -> None:
        interference, policy = self._interference, self._policy
        by_image: dict[str, ImageHeadroom] = {}
        for job, group in self.load.serving.items():
            limit = interference.compute_limit(group.image, group.target)
            own_load = interference.forecast_own_load(
                job, group.image, limit, now, policy.horizon
            )
            self.serving_use += own_load * group.processors / self.processors
            headroom = by_image.get(group.image)
            if headroom is None:
                by_image[group.image] = ImageHeadroom(
                    group.image, limit - policy.margin, own_load
                )
            else:
                headroom.limit = min(headroom.limit, limit - policy.margin)
                headroom.own_load = max(headroom.own_load, own_load)
        self.headrooms = list(by_image.values())
