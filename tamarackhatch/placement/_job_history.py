"""Latest observations of a serving job, on all runners and on each.

Answers the load of a fleet in which a job runs on many runners, each of which
reports several times a second: observations are taken at a rate that does not
grow with the fleet.
"""

import collections
import datetime

import attrs

from tamarackhatch.placement import _best_effort_usage

# At this utilisation and above, a sample is only a lower bound.
SATURATED_UTILISATION = 0.93
# Samples of a runner at shorter intervals cover mostly the same time.
_MIN_SAMPLE_INTERVAL = datetime.timedelta(milliseconds=300)
# All tasks of a job have the same own load. Samples at this interval follow it
# on however many runners they are; each costs several regression steps.
_MIN_JOB_SAMPLE_INTERVAL = datetime.timedelta(milliseconds=60)
_MAX_COMPARED_OBSERVATIONS = 6


@attrs.frozen
class Observation:
    """Utilisation of a serving job on a runner, computed from a sample."""

    runner: str
    utilisation: float
    variance: float
    shares: _best_effort_usage.Shares
    observed_at: datetime.timedelta

    @property
    def is_saturated(self) -> bool:
        """Whether the utilisation is only a lower bound."""
        return self.utilisation >= SATURATED_UTILISATION


@attrs.define
class JobHistory:
    """Latest observations of a serving job.

    Attributes:
        compared: The latest ones on any runner, with which the next one is
            compared.
        by_runner: The latest one on each runner.
    """

    compared: collections.deque[Observation] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_COMPARED_OBSERVATIONS)
    )
    by_runner: dict[str, Observation] = attrs.field(factory=dict)

    def is_due(self, runner: str, now: datetime.timedelta) -> bool:
        """Returns whether a sample of a runner adds to what is known."""
        previous = self.by_runner.get(runner)
        if previous is not None and (
            now - previous.observed_at < _MIN_SAMPLE_INTERVAL
        ):
            return False
        return not self.compared or (
            now - self.compared[-1].observed_at >= _MIN_JOB_SAMPLE_INTERVAL
        )

    def add(self, observation: Observation) -> None:
        """Adds an observation."""
        self.compared.append(observation)
        self.by_runner[observation.runner] = observation
