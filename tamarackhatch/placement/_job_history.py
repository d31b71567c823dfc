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
_JOB_SAMPLE_INTERVAL = datetime.timedelta(milliseconds=60)
_MAX_COMPARED_OBSERVATIONS = 6
# Runners without a sample for so long are forgotten.
_MAX_AGE = datetime.timedelta(seconds=10)


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
    _cleaned_at: datetime.timedelta = attrs.field(
        default=datetime.timedelta(), init=False
    )

    def is_due(self, runner: str, now: datetime.timedelta) -> bool:
        """Returns whether to take a sample of a runner.

        Each runner has its share of the job's rate. One limit for all would
        leave out the same runners each time, because reports are periodic.
        """
        previous = self.by_runner.get(runner)
        if previous is None:
            return True
        share = _JOB_SAMPLE_INTERVAL * len(self.by_runner)
        return now - previous.observed_at >= max(_MIN_SAMPLE_INTERVAL, share)

    def add(self, observation: Observation) -> None:
        """Adds an observation."""
        self.compared.append(observation)
        self.by_runner[observation.runner] = observation
        now = observation.observed_at
        if now - self._cleaned_at >= _MAX_AGE:
            self._cleaned_at = now
            self.by_runner = {
                runner: latest
                for runner, latest in self.by_runner.items()
                if now - latest.observed_at < _MAX_AGE
            }
