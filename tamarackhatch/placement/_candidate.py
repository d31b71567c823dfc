"""Runners that one placement pass chooses from."""

from collections.abc import Mapping
import datetime
import math
import sys
import typing

import attrs

from tamarackhatch.placement import _forecasts
from tamarackhatch.placement import _interference
from tamarackhatch.placement import _load
from tamarackhatch.placement import _policy


@attrs.define
class ImageHeadroom:
    """Utilisation within which one image's serving tasks meet their target.

    Attributes:
        image: The image.
        limit: Highest utilisation that is allowed.
        own_load: Highest expected own load of its jobs while a new best-effort
            task runs.
        factors: Upper estimates of the factors on the image, by best-effort
            image.
        remaining: Utilisation that new best-effort tasks may add beside those
            on the runner, all at full speed.
    """

    image: str
    limit: float
    own_load: float
    factors: Mapping[str, float]
    remaining: float = 0.0


class BestEffortLimit(typing.NamedTuple):
    """Bounds of a new best-effort task of one image on one runner.

    Attributes:
        max_share: Share of the runner's processors up to which it can use
            them at full speed without a target violation; may be negative.
        utilisation_per_share: Largest utilisation that it adds to a serving
            task, for each share of the processors that it uses.
    """

    max_share: float
    utilisation_per_share: float


class CandidateRunner:
    """A runner on which new tasks may be placed.

    Attributes:
        load: Reservations and CPU use of its tasks.
        penalty: How much worse it is because of failed runs there, 0 to 2.
        start_limit: Number of batch tasks there from which on it gets no more
            of them.
        is_limit_strict: Whether the limit holds even if no other runner has
            capacity.
        headrooms: Headroom of its serving tasks, one entry for each image.
        serving_cpu_share: Share of its processors that serving tasks use.
        unused_cpu: Processors that no task is expected to use, in thousandths
            of a core; infinite without serving tasks, beside which nothing is
            slowed down.
        restricted_at: Monotonic time at which penalty and limit were set;
            None if the runner has neither.
        restriction_changes: Count of the changes that they are based on.
        created_at: Monotonic time of its forecasts.
        serving_changes: Count of the load's changes that they are based on.
        best_effort_changes: The same for the best-effort tasks.
        batch_cpu: The load's CPU of batch tasks that they are based on.
    """

    def __init__(
        self,
        load: _load.RunnerLoad,
        interference: _interference.InterferenceModel,
        policy: _policy.PlacementPolicy,
        now: datetime.timedelta,
        forecasts: _forecasts.ServingForecasts | None = None,
    ) -> None:
        """Creates a candidate from the present state of a runner.

        Args:
            load: Reservations and CPU use of the runner's tasks.
            interference: The interference model.
            policy: Weights and limits of placement.
            now: Monotonic time.
            forecasts: Forecasts for that time that candidates share; None to
                compute them.
        """
        self.load = load
        self.headrooms: list[ImageHeadroom] = []
        self.serving_cpu_share = 0.0
        self.unused_cpu = math.inf
        self.created_at = now
        self.serving_changes = load.serving_changes
        self.best_effort_changes = load.best_effort_changes
        self.batch_cpu = load.batch_cpu
        self._limits: dict[str, BestEffortLimit] = {}
        self._interference = interference
        self._policy = policy
        self.clear_restrictions()
        self._add_headrooms(
            forecasts or _forecasts.ServingForecasts(interference, policy, now)
        )
        self.update_headrooms()

    def clear_restrictions(self) -> None:
        """Removes the penalty and the limit of starts."""
        self.restricted_at: datetime.timedelta | None = None
        self.restriction_changes = 0
        self.penalty = 0.0
        self.start_limit = sys.maxsize
        self.is_limit_strict = True

    @property
    def processors(self) -> int:
        """Processors of the runner, in thousandths of a core."""
        processors = self.load.capacity.processors
        return processors if processors > 1 else 1

    def update_headrooms(self) -> None:
        """Recomputes the utilisation by best-effort tasks from the load."""
        self.best_effort_changes = self.load.best_effort_changes
        self.batch_cpu = self.load.batch_cpu
        self._limits.clear()
        if not self.headrooms:
            return
        processors = self.processors
        self.unused_cpu = (
            self._policy.max_cpu_usage - self.serving_cpu_share
        ) * processors - (self.load.best_effort_cpu + self.load.batch_cpu)
        non_interfering_cpu = self.load.best_effort_usage.non_interfering_cpu
        low_usage_probability = 1 - self._policy.full_usage_probability
        interfering_cpu = [
            (
                image,
                requested
                - non_interfering_cpu.get(image, 0.0) * low_usage_probability,
            )
            for image, requested in self.load.best_effort_cpu_by_image.items()
        ]
        for headroom in self.headrooms:
            factors = headroom.factors
            utilisation = 0.0
            for image, interfering in interfering_cpu:
                utilisation += factors[image] * interfering
            headroom.remaining = (
                headroom.limit - headroom.own_load - utilisation / processors
            )

    def get_best_effort_limit(self, image: str) -> BestEffortLimit:
        """Returns the bounds of a new best-effort task of an image."""
        limit = self._limits.get(image)
        if limit is None:
            limit = self._limits[image] = self._compute_limit(image)
        return limit

    def has_best_effort_room(self, image: str, needed: float) -> bool:
        """Returns whether a best-effort task can use so much of the runner.

        A new task that uses more is slowed down. There is always room without
        serving tasks, beside which nothing is slowed down.

        Args:
            image: Image of the task.
            needed: Processors, in thousandths of a core.
        """
        if self.unused_cpu < needed:
            return False
        limit = self._limits.get(image) or self.get_best_effort_limit(image)
        return limit.max_share * self.processors >= needed

    def _compute_limit(self, image: str) -> BestEffortLimit:
        max_share = math.inf
        utilisation_per_share = 0.0
        for headroom in self.headrooms:
            factor = headroom.factors[image]
            if factor:
                share = headroom.remaining / factor
                if share < max_share:
                    max_share = share
            if factor > utilisation_per_share:
                utilisation_per_share = factor
        return BestEffortLimit(max_share, utilisation_per_share)

    def estimate_factor(self, serving: str, best_effort: str) -> float:
        """Returns an upper estimate of the factor of a pair of images."""
        return self._interference.estimate_factor(
            serving, best_effort, self._policy.uncertainty_weight
        )

    def _add_headrooms(self, forecasts: _forecasts.ServingForecasts) -> None:
        interference, policy = self._interference, self._policy
        processors = self.processors
        by_image: dict[str, ImageHeadroom] = {}
        for job, group in self.load.serving.items():
            limit, own_load = forecasts.get_forecast(job, group)
            self.serving_cpu_share += own_load * group.processors / processors
            headroom = by_image.get(group.image)
            if headroom is None:
                by_image[group.image] = ImageHeadroom(
                    group.image,
                    limit - policy.margin,
                    own_load,
                    interference.get_estimates(
                        group.image, policy.uncertainty_weight
                    ),
                )
            else:
                headroom.limit = min(headroom.limit, limit - policy.margin)
                headroom.own_load = max(headroom.own_load, own_load)
        self.headrooms = list(by_image.values())
