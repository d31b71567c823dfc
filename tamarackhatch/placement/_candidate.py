"""Runners as they stand for one placement pass."""

import datetime

import attrs

from tamarackhatch.placement import _interference
from tamarackhatch.placement import _load
from tamarackhatch.placement import _policy


@attrs.define
class ImageRoom:
    """Pressure that the serving tasks of one image on a runner can still bear.

    Attributes:
        image: The image.
        limit: Pressure that is allowed.
        own_load: Own load to expect while a new best-effort task works, the
            highest of its jobs.
        best_effort_utilisation: Pressure of the best-effort tasks there, all
            at full speed.
    """

    image: str
    limit: float
    own_load: float
    best_effort_utilisation: float = 0.0

    @property
    def free(self) -> float:
        """Pressure that fits in addition."""
        return self.limit - self.own_load - self.best_effort_utilisation


class CandidateRunner:
    """A runner that may take new tasks.

    Attributes:
        load: What runs there.
        failures: Runs that failed there lately, more than elsewhere.
        rooms: What serving tasks there can bear, one entry for each image.
        serving_use: Share of the processors that serving tasks use.
    """

    def __init__(
        self,
        load: _load.RunnerLoad,
        factors: _interference.InterferenceModel,
        policy: _policy.PlacementPolicy,
        now: datetime.timedelta,
        failures: float = 0.0,
    ) -> None:
        self.load = load
        self.failures = failures
        self.rooms: list[ImageRoom] = []
        self.serving_use = 0.0
        self._factors = factors
        self._policy = policy
        self._add_rooms(now)
        self.refresh()

    @property
    def processors(self) -> int:
        """Processors of the runner, in thousandths of a core."""
        return max(1, self.load.capacity.processors)

    def refresh(self) -> None:
        """Counts the best-effort tasks anew after a task was added."""
        if not self.rooms:
            return
        calm = self.load.best_effort_usage.calm
        lasting_calm = 1 - self._policy.relapse
        wanted = {
            image: processors - calm.get(image, 0.0) * lasting_calm
            for image, processors in self.load.best_effort_cpu_by_image.items()
        }
        for room in self.rooms:
            room.best_effort_utilisation = sum(
                self.estimate_factor(room.image, best_effort) * processors
                for best_effort, processors in wanted.items()
            )
            room.best_effort_utilisation /= self.processors

    def estimate_factor(self, serving: str, best_effort: str) -> float:
        """Returns a factor that is probably not exceeded."""
        return self._factors.estimate_factor(
            serving, best_effort, self._policy.caution
        )

    def _add_rooms(self, now: datetime.timedelta) -> None:
        factors, policy = self._factors, self._policy
        by_image: dict[str, ImageRoom] = {}
        for job, group in self.load.serving.items():
            limit = factors.compute_limit(group.image, group.target)
            own_load = factors.forecast_own_load(
                job, group.image, limit, now, policy.horizon
            )
            self.serving_use += own_load * group.processors / self.processors
            room = by_image.get(group.image)
            if room is None:
                by_image[group.image] = ImageRoom(
                    group.image, limit - policy.margin, own_load
                )
            else:
                room.limit = min(room.limit, limit - policy.margin)
                room.own_load = max(room.own_load, own_load)
        self.rooms = list(by_image.values())
