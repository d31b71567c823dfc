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
# So many samples in a row may be taken early of runners that were left out;
# later ones keep to the average rate.
_MAX_EARLY = 2
_MAX_COMPARED_OBSERVATIONS = 6
# Runners that have reported nothing for so long are forgotten. A runner
# answers a renewal at least every 1.5 s.
_MAX_SILENCE = datetime.timedelta(seconds=10)
_SAMPLES_PER_CLEANUP = 50


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
class _Turn:
    """When a runner reported, and the number of samples at its own last one.

    The number is that at its first report if none was taken of it.
    """

    reported_at: datetime.timedelta
    sample_count: int


@attrs.define
class JobHistory:
    """Latest observations of a serving job.

    Reports are often periodic, so that a limit on the rate alone would always
    leave out the same runners. A runner that was left out of twice as many
    samples as there are runners may therefore be sampled early.

    Attributes:
        compared: The latest ones on any runner, with which the next one is
            compared.
        by_runner: The latest one on each runner.
    """

    compared: collections.deque[Observation] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_COMPARED_OBSERVATIONS)
    )
    by_runner: dict[str, Observation] = attrs.field(factory=dict)

    _turns: dict[str, _Turn] = attrs.field(factory=dict, init=False)
    _sample_count: int = attrs.field(default=0, init=False)
    # Until when the samples so far use up the average rate.
    _used_until: datetime.timedelta = attrs.field(
        default=datetime.timedelta(), init=False
    )

    def is_due(self, runner: str, now: datetime.timedelta) -> bool:
        """Records a report, and returns whether to take a sample of it."""
        turn = self._turns.get(runner)
        if turn is None:
            turn = self._turns[runner] = _Turn(now, self._sample_count)
        turn.reported_at = now
        previous = self.by_runner.get(runner)
        if previous is not None and (
            now - previous.observed_at < _MIN_SAMPLE_INTERVAL
        ):
            return False
        due = self._used_until
        if self._sample_count - turn.sample_count >= 2 * len(self._turns):
            due -= _MAX_EARLY * _MIN_JOB_SAMPLE_INTERVAL
        return now >= due

    def add(self, observation: Observation) -> None:
        """Adds an observation of a report that was due."""
        now = observation.observed_at
        self._sample_count += 1
        self._used_until = (
            max(self._used_until, now) + _MIN_JOB_SAMPLE_INTERVAL
        )
        self._turns[observation.runner] = _Turn(now, self._sample_count)
        self.compared.append(observation)
        self.by_runner[observation.runner] = observation
        if self._sample_count % _SAMPLES_PER_CLEANUP == 0:
            self._forget_silent(now)

    def _forget_silent(self, now: datetime.timedelta) -> None:
        for runner, turn in list(self._turns.items()):
            if now - turn.reported_at > _MAX_SILENCE:
                del self._turns[runner]
                self.by_runner.pop(runner, None)
