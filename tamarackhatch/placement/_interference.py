"""Model of how best-effort tasks interfere with serving tasks.

The tail latency of a serving task is taken to be that of a queue: ``tail
latency = base / (1 - utilisation)``. Its utilisation is the sum of its own
load, which all tasks of its job share, and of one term for each best-effort
task beside it: the share of the runner's processors that the best-effort task
uses, times a factor that depends on both images. Own loads and factors are
estimated together, from the samples of all runners.
"""

import collections
from collections.abc import Sequence
import datetime
import math

import attrs

from tamarackhatch.placement import _best_effort_usage
from tamarackhatch.placement import _factors
from tamarackhatch.placement import _own_load

# The tail latency without any load, as a share of the target, until a lower
# tail latency is seen. Targets are usually five times that tail latency.
_BASE_OF_TARGET = 0.2
# Samples of a tail latency are a few per cent off; the rest is what the model
# does not know.
_TAIL_LATENCY_DEVIATION = 0.05
_MODEL_VARIANCE = 0.012**2
# Samples of more tasks are not independent of each other.
_MOST_SAMPLES = 4
# Above this utilisation the tail latency saturates, and says only that it is
# high.
_SATURATION = 0.93
# Own loads change by up to this much in a second.
_OWN_CHANGE_PER_S = 0.08
# Samples of a runner that follow each other faster are mostly the same.
_MIN_SPACING = datetime.timedelta(milliseconds=300)
# A sample is still influenced by what was before this time, by this share.
_LAG = datetime.timedelta(milliseconds=1500)
_LAG_SHARE = 0.5
# Two samples of a job are compared if they lie this close together.
_MAX_SPACING = datetime.timedelta(milliseconds=900)
_LEAST_CHANGE = 0.005
# A sample is compared with this many earlier ones of its job.
_COMPARED = 6
# An observation that is further off, in standard deviations, weighs less.
_OUTLIER_DEVIATIONS = 2.5
# An image's peak follows only loads that are known this well.
_STEADY_VARIANCE = 0.025**2
# The highest own load of an image is forgotten with this time constant.
_PEAK_MEMORY_S = 120.0
# Until an image was seen, its own load may reach this share of the limit.
_PRIOR_PEAK = 0.8


@attrs.frozen
class _Observation:
    """A sample of a serving job on a runner, as a utilisation."""

    runner: str
    utilisation: float
    variance: float
    shares: _best_effort_usage.Shares
    taken: datetime.timedelta

    @property
    def is_saturated(self) -> bool:
        """Whether the utilisation may be higher than it seems."""
        return self.utilisation >= _SATURATION


@attrs.define
class _Peak:
    """Highest own load that was seen of an image."""

    level: float
    seen: datetime.timedelta


@attrs.frozen
class JobSample:
    """Samples of one serving job's tasks on one runner.

    Attributes:
        job: The job.
        image: Its image.
        tail_latency: Median tail latency of its tasks there, in milliseconds.
        tasks: Number of its tasks there.
        target: Bound of the tail latency, in milliseconds.
    """

    job: str
    image: str
    tail_latency: float
    tasks: int
    target: float


@attrs.frozen
class InterferenceFactor:
    """A learned factor of a pair of images.

    Attributes:
        serving: Image of the serving task.
        best_effort: Image of the best-effort task.
        mean: The factor.
        deviation: Its standard deviation.
    """

    serving: str
    best_effort: str
    mean: float
    deviation: float


@attrs.frozen
class InterferenceTable:
    """All that a model has learned for good.

    Attributes:
        factors: The factors.
        lowest_tail_latencies: Lowest tail latency seen of each serving image,
            in milliseconds.
        peaks: Highest own load seen of each serving image.
    """

    factors: tuple[InterferenceFactor, ...] = ()
    lowest_tail_latencies: dict[str, float] = attrs.field(factory=dict)
    peaks: dict[str, float] = attrs.field(factory=dict)


class InterferenceModel:
    """Estimates the factors of all pairs of images, and all own loads."""

    def __init__(self) -> None:
        self._regressions: dict[str, _factors.FactorRegression] = {}
        self._lowest_tail_latencies: dict[str, float] = {}
        self._loads: dict[str, _own_load.OwnLoad] = {}
        self._latest: dict[str, collections.deque[_Observation]] = {}
        self._peaks: dict[str, _Peak] = {}

    def get_factor(self, serving: str, best_effort: str) -> float:
        """Returns the factor of a best-effort image on a serving image."""
        regression = self._regressions.get(serving)
        if regression is None:
            return _factors.PRIOR_FACTOR
        return regression.get_mean(best_effort)

    def estimate_factor(
        self, serving: str, best_effort: str, uncertainty_weight: float
    ) -> float:
        """Returns a factor that is probably not exceeded.

        Args:
            serving: Image of the serving task.
            best_effort: Image of the best-effort task.
            uncertainty_weight: Standard deviations that are added to the
                factor.
        """
        return self.get_factor(serving, best_effort) + uncertainty_weight * (
            self.get_deviation(serving, best_effort)
        )

    def get_deviation(self, serving: str, best_effort: str) -> float:
        """Returns the standard deviation of a pair's factor."""
        regression = self._regressions.get(serving)
        if regression is None:
            return _factors.PRIOR_DEVIATION
        return regression.get_deviation(best_effort)

    def compute_limit(self, image: str, target: float) -> float:
        """Returns the utilisation at which a tail latency reaches its target.

        Args:
            image: Image of the serving task.
            target: Bound of the tail latency, in milliseconds.
        """
        return max(0.0, 1 - self._get_base(image, target) / target)

    def forecast_own_load(
        self,
        job: str,
        image: str,
        limit: float,
        now: datetime.timedelta,
        horizon: datetime.timedelta,
    ) -> float:
        """Returns the highest own load to expect of a job within a horizon.

        Args:
            job: The job.
            image: Its image.
            limit: Utilisation at which its tail latency reaches the target.
            now: Monotonic time.
            horizon: How far to look ahead.
        """
        peak = self._get_peak(image, limit, now)
        load = self._loads.get(job)
        if load is None:
            return peak
        current = load.forecast(now)
        return max(current, min(peak, load.forecast(now + horizon)))

    def _get_peak(
        self, image: str, limit: float, now: datetime.timedelta
    ) -> float:
        """Returns the highest own load to expect of an image's jobs."""
        peak = self._peaks.get(image)
        if peak is None:
            return _PRIOR_PEAK * limit
        age = (now - peak.seen).total_seconds()
        return peak.level * math.exp(-age / _PEAK_MEMORY_S)

    def export_interference(self) -> InterferenceTable:
        """Returns what was learned, for a later scheduler."""
        return InterferenceTable(
            tuple(
                InterferenceFactor(
                    serving,
                    best_effort,
                    regression.get_mean(best_effort),
                    regression.get_deviation(best_effort),
                )
                for serving, regression in self._regressions.items()
                for best_effort in regression.best_effort_images
            ),
            dict(self._lowest_tail_latencies),
            {image: peak.level for image, peak in self._peaks.items()},
        )

    def import_interference(
        self, table: InterferenceTable, now: datetime.timedelta
    ) -> None:
        """Takes over what an earlier scheduler has learned."""
        for learned in table.factors:
            self._get_regression(learned.serving).assume(
                learned.best_effort, learned.mean, learned.deviation
            )
        self._lowest_tail_latencies.update(table.lowest_tail_latencies)
        for image, level in table.peaks.items():
            self._peaks[image] = _Peak(level, now)

    def discard_job(self, job: str) -> None:
        """Drops what is known of a job that is finished."""
        self._loads.pop(job, None)
        self._latest.pop(job, None)

    def observe(
        self,
        runner: str,
        samples: Sequence[JobSample],
        shares: _best_effort_usage.Shares,
        now: datetime.timedelta,
    ) -> None:
        """Takes the samples of one runner's report.

        Args:
            runner: The runner.
            samples: Samples of each serving job there.
            shares: For each best-effort image there, the mean share of the
                runner's processors that it used while the samples were taken.
            now: Monotonic time.
        """
        for sample in samples:
            self._record_tail_latency(sample.image, sample.tail_latency)
            history = self._latest.setdefault(
                sample.job, collections.deque(maxlen=_COMPARED)
            )
            before = next(
                (item for item in reversed(history) if item.runner == runner),
                None,
            )
            if before is not None and now - before.taken < _MIN_SPACING:
                # Most of what it tells was told before.
                continue
            latest = self._make_observation(
                runner, sample, shares, now, before
            )
            self._compare(sample, latest, history)
            if not latest.is_saturated:
                self._track(sample, latest)
            history.append(latest)

    def _make_observation(
        self,
        runner: str,
        sample: JobSample,
        shares: _best_effort_usage.Shares,
        now: datetime.timedelta,
        before: _Observation | None,
    ) -> _Observation:
        base = self._get_base(sample.image, sample.target)
        utilisation = min(
            1 - base / max(sample.tail_latency, base), _SATURATION
        )
        deviation = _TAIL_LATENCY_DEVIATION * (1 - utilisation)
        tasks = min(sample.tasks, _MOST_SAMPLES)
        variance = deviation**2 / tasks + _MODEL_VARIANCE
        if before is not None and now - before.taken < _LAG:
            # Samples lag behind fast changes.
            variance += ((utilisation - before.utilisation) * _LAG_SHARE) ** 2
        return _Observation(runner, utilisation, variance, shares, now)

    def _compare(
        self,
        sample: JobSample,
        latest: _Observation,
        history: Sequence[_Observation],
    ) -> None:
        """Learns factors from the differences to other recent samples."""
        for earlier in history:
            if earlier.is_saturated and latest.is_saturated:
                continue
            spacing = latest.taken - earlier.taken
            if spacing > _MAX_SPACING:
                continue
            changes = {}
            for best_effort in latest.shares.keys() | earlier.shares.keys():
                change = latest.shares.get(
                    best_effort, 0.0
                ) - earlier.shares.get(best_effort, 0.0)
                if abs(change) > _LEAST_CHANGE:
                    changes[best_effort] = change
            if not changes:
                continue
            difference = latest.utilisation - earlier.utilisation
            if latest.is_saturated or earlier.is_saturated:
                # The difference is at least as large.
                expected = sum(
                    self.get_factor(sample.image, best_effort) * change
                    for best_effort, change in changes.items()
                )
                if abs(expected) > abs(difference):
                    continue
            own_change = _OWN_CHANGE_PER_S * spacing.total_seconds()
            self._get_regression(sample.image).learn(
                changes,
                difference,
                (latest.variance + earlier.variance + own_change**2)
                * len(history),
                latest.taken,
            )

    def _track(self, sample: JobSample, latest: _Observation) -> None:
        """Follows the job's own load."""
        load = self._loads.get(sample.job)
        if load is None:
            load = self._loads[sample.job] = _own_load.OwnLoad(latest.taken)
        load.advance(latest.taken)
        expected = load.level
        total = load.variance + latest.variance
        unknown = 0.0
        for best_effort, share in latest.shares.items():
            expected += self.get_factor(sample.image, best_effort) * share
            deviation = self.get_deviation(sample.image, best_effort) * share
            unknown += deviation**2
        error = latest.utilisation - expected
        total += unknown
        bound = _OUTLIER_DEVIATIONS * math.sqrt(total)
        load.correct(error, total * max(1.0, abs(error) / bound))
        if load.variance < _STEADY_VARIANCE and unknown < _STEADY_VARIANCE:
            self._record_peak(sample.image, load.level, latest.taken)

    def _get_regression(self, image: str) -> _factors.FactorRegression:
        return self._regressions.setdefault(image, _factors.FactorRegression())

    def _record_tail_latency(self, image: str, tail_latency: float) -> None:
        lowest = self._lowest_tail_latencies.get(image)
        if tail_latency > 0 and (lowest is None or tail_latency < lowest):
            self._lowest_tail_latencies[image] = tail_latency

    def _record_peak(
        self, image: str, level: float, now: datetime.timedelta
    ) -> None:
        peak = self._peaks.get(image)
        if peak is None or level > self._get_peak(image, 1.0, now):
            self._peaks[image] = _Peak(level, now)

    def _get_base(self, image: str, target: float) -> float:
        lowest = self._lowest_tail_latencies.get(image)
        usual = target * _BASE_OF_TARGET
        return usual if lowest is None else min(lowest, usual)
