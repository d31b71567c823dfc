"""Model of how best-effort tasks interfere with serving tasks.

The tail latency of a serving task is modelled as that of a queue: ``tail
latency = base / (1 - utilisation)``. Its utilisation is the sum of its own
load, which is the same for all tasks of its job, and of one term for each
best-effort task on the same runner: the share of the runner's processors that
the best-effort task uses, times a factor that depends on both images. Own
loads and factors are estimated together, from the samples of all runners.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import functools
import math

import attrs

from tamarackhatch.placement import _best_effort_usage
from tamarackhatch.placement import _estimates
from tamarackhatch.placement import _factors
from tamarackhatch.placement import _job_history
from tamarackhatch.placement import _own_load

# Highest tail latency without load to assume, as a share of the target.
# Targets are usually five times that tail latency.
_MAX_BASE_SHARE_OF_TARGET = 0.2
# Standard deviation of a tail latency sample, as a share of its value.
_RELATIVE_SAMPLE_DEVIATION = 0.05
# Variance of the utilisation by influences that the model does not include.
_MODEL_VARIANCE = 0.012**2
# More tasks of one job on a runner do not reduce the variance of its sample
# further, because their samples are not independent of each other.
_MAX_INDEPENDENT_TASKS = 4
_MAX_OWN_LOAD_CHANGE_PER_S = 0.08
# A sample depends in part on the utilisation before it. If the runner's
# previous observation is more recent than this, this share of the difference
# of the two utilisations counts as an error of the sample.
_SAMPLE_LAG = datetime.timedelta(milliseconds=1500)
_LAGGING_SHARE = 0.5
# Observations of a job that are further apart are not compared.
_MAX_COMPARISON_INTERVAL = datetime.timedelta(milliseconds=900)
# Smaller differences of an image's processor share are ignored.
_MIN_SHARE_CHANGE = 0.005
# Residuals of more standard deviations get less weight.
_OUTLIER_DEVIATIONS = 2.5
# Own load estimates of a larger variance do not change an image's peak.
_MAX_PEAK_VARIANCE = 0.025**2
# Time constant with which the peak own load of an image decays.
_PEAK_DECAY_TIME_S = 120.0
# Peak own load of an image without observations, as a share of its limit.
_PRIOR_PEAK_SHARE_OF_LIMIT = 0.8


@attrs.define
class _Peak:
    """Highest own load of an image, and when it was observed."""

    own_load: float
    observed_at: datetime.timedelta


@attrs.frozen
class JobSample:
    """Tail latency of one serving job's tasks on one runner.

    Attributes:
        job: The job.
        image: Its image.
        tail_latency_ms: Median tail latency of its tasks there, in
            milliseconds.
        task_count: Number of its tasks there that reported a tail latency.
        tail_latency_target_ms: Bound of the tail latency, in milliseconds.
    """

    job: str
    image: str
    tail_latency_ms: float
    task_count: int
    tail_latency_target_ms: float


@attrs.frozen
class InterferenceFactor:
    """An estimated factor of a pair of images.

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
    """Estimates of a model that are stored for later schedulers.

    Attributes:
        factors: Factors of the pairs of images.
        lowest_tail_latencies: Lowest observed tail latency of each serving
            image, in milliseconds.
        peaks: Highest observed own load of each serving image, as a share of
            its capacity.
    """

    factors: tuple[InterferenceFactor, ...] = ()
    lowest_tail_latencies: dict[str, float] = attrs.field(factory=dict)
    peaks: dict[str, float] = attrs.field(factory=dict)


class InterferenceModel:
    """Estimates the factors of all pairs of images, and all own loads."""

    def __init__(self) -> None:
        self._regressions: dict[str, _factors.FactorRegression] = {}
        self._lowest_tail_latencies: dict[str, float] = {}
        self._own_loads: dict[str, _own_load.OwnLoad] = {}
        self._histories: dict[str, _job_history.JobHistory] = {}
        self._peaks: dict[str, _Peak] = {}
        # Upper estimates of factors by serving image, then by weight; those of
        # an image are dropped when its factors are estimated anew.
        self._estimates: dict[str, dict[float, _estimates.FactorEstimates]] = (
            {}
        )

    def get_factor(self, serving: str, best_effort: str) -> float:
        """Returns the factor of a best-effort image on a serving image."""
        regression = self._regressions.get(serving)
        if regression is None:
            return _factors.PRIOR_FACTOR
        return regression.get_mean(best_effort)

    def estimate_factor(
        self, serving: str, best_effort: str, uncertainty_weight: float
    ) -> float:
        """Returns an upper estimate of a factor.

        Args:
            serving: Image of the serving task.
            best_effort: Image of the best-effort task.
            uncertainty_weight: Number of standard deviations that are added
                to the factor.
        """
        return self.get_estimates(serving, uncertainty_weight)[best_effort]

    def get_estimates(
        self, serving: str, uncertainty_weight: float
    ) -> Mapping[str, float]:
        """Returns the upper estimates of the factors on a serving image.

        Args:
            serving: Image of the serving task.
            uncertainty_weight: Number of standard deviations that are added
                to each factor.

        Returns:
            The estimates by best-effort image. They follow the model: each is
            computed when it is asked for, and again after its factor changes.
        """
        tables = self._estimates.setdefault(serving, {})
        table = tables.get(uncertainty_weight)
        if table is None:
            table = tables[uncertainty_weight] = _estimates.FactorEstimates(
                functools.partial(self.get_factor, serving),
                functools.partial(self.get_deviation, serving),
                uncertainty_weight,
            )
        return table

    def _drop_estimates(self, serving: str) -> None:
        """Drops the upper estimates for a serving image."""
        for table in self._estimates.get(serving, {}).values():
            table.clear()

    def get_deviation(self, serving: str, best_effort: str) -> float:
        """Returns the standard deviation of a pair's factor."""
        regression = self._regressions.get(serving)
        if regression is None:
            return _factors.PRIOR_DEVIATION
        return regression.get_deviation(best_effort)

    def compute_limit(self, image: str, target: float) -> float:
        """Returns the utilisation at which the tail latency equals its target.

        Args:
            image: Image of the serving task.
            target: Bound of the tail latency, in milliseconds.
        """
        return max(0.0, 1 - self._get_base_latency(image, target) / target)

    def forecast_own_load(
        self,
        job: str,
        image: str,
        limit: float,
        now: datetime.timedelta,
        horizon: datetime.timedelta,
    ) -> float:
        """Returns the highest own load that is expected within a horizon.

        Args:
            job: The job.
            image: Its image.
            limit: Utilisation at which its tail latency equals the target.
            now: Monotonic time.
            horizon: Length of the forecast.
        """
        peak = self._get_peak(image, limit, now)
        load = self._own_loads.get(job)
        if load is None:
            return peak
        current = load.forecast(now)
        return max(current, min(peak, load.forecast(now + horizon)))

    def _get_peak(
        self, image: str, limit: float, now: datetime.timedelta
    ) -> float:
        """Returns the highest own load that an image's jobs may have now."""
        peak = self._peaks.get(image)
        if peak is None:
            return _PRIOR_PEAK_SHARE_OF_LIMIT * limit
        age = (now - peak.observed_at).total_seconds()
        return peak.own_load * math.exp(-age / _PEAK_DECAY_TIME_S)

    def export_interference(self) -> InterferenceTable:
        """Returns the estimates that are stored for a later scheduler."""
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
            {image: peak.own_load for image, peak in self._peaks.items()},
        )

    def import_interference(
        self, table: InterferenceTable, now: datetime.timedelta
    ) -> None:
        """Adds the stored estimates of an earlier scheduler."""
        for serving in self._estimates:
            self._drop_estimates(serving)
        for factor in table.factors:
            self._get_regression(factor.serving).add_known_factor(
                factor.best_effort, factor.mean, factor.deviation
            )
        self._lowest_tail_latencies.update(table.lowest_tail_latencies)
        for image, own_load in table.peaks.items():
            self._peaks[image] = _Peak(own_load, now)

    def remove_job(self, job: str) -> None:
        """Removes the own load and the observations of a finished job."""
        self._own_loads.pop(job, None)
        self._histories.pop(job, None)

    def add_samples(
        self,
        runner: str,
        samples: Sequence[JobSample],
        shares: _best_effort_usage.Shares,
        now: datetime.timedelta,
    ) -> None:
        """Updates all estimates with the samples of one runner's report.

        Args:
            runner: The runner.
            samples: One sample of each serving job there.
            shares: For each best-effort image there, the mean share of the
                runner's processors with which it interfered during the
                samples.
            now: Monotonic time.
        """
        for sample in samples:
            self._record_tail_latency(sample.image, sample.tail_latency_ms)
            history = self._histories.get(sample.job)
            if history is None:
                history = self._histories[sample.job] = (
                    _job_history.JobHistory()
                )
            if not history.is_due(runner, now):
                continue
            latest = self._make_observation(
                runner, sample, shares, now, history.by_runner.get(runner)
            )
            self._update_factors(sample, latest, history.compared)
            if not latest.is_saturated:
                self._update_own_load(sample, latest)
            history.add(latest)

    def _make_observation(
        self,
        runner: str,
        sample: JobSample,
        shares: _best_effort_usage.Shares,
        now: datetime.timedelta,
        previous: _job_history.Observation | None,
    ) -> _job_history.Observation:
        base_latency = self._get_base_latency(
            sample.image, sample.tail_latency_target_ms
        )
        utilisation = min(
            1 - base_latency / max(sample.tail_latency_ms, base_latency),
            _job_history.SATURATED_UTILISATION,
        )
        deviation = _RELATIVE_SAMPLE_DEVIATION * (1 - utilisation)
        task_count = min(sample.task_count, _MAX_INDEPENDENT_TASKS)
        variance = deviation**2 / task_count + _MODEL_VARIANCE
        if previous is not None and now - previous.observed_at < _SAMPLE_LAG:
            # The sample depends in part on the utilisation before it.
            variance += (
                (utilisation - previous.utilisation) * _LAGGING_SHARE
            ) ** 2
        return _job_history.Observation(
            runner, utilisation, variance, shares, now
        )

    def _update_factors(
        self,
        sample: JobSample,
        latest: _job_history.Observation,
        history: Sequence[_job_history.Observation],
    ) -> None:
        """Adds the differences to recent observations to the regression."""
        shares = latest.shares
        is_latest_saturated = latest.is_saturated
        is_solved = False
        for earlier in history:
            interval = latest.observed_at - earlier.observed_at
            if interval > _MAX_COMPARISON_INTERVAL:
                continue
            is_earlier_saturated = earlier.is_saturated
            if is_earlier_saturated and is_latest_saturated:
                continue
            share_changes = _best_effort_usage.compare_shares(
                earlier.shares, shares, _MIN_SHARE_CHANGE
            )
            if not share_changes:
                continue
            utilisation_change = latest.utilisation - earlier.utilisation
            if is_latest_saturated or is_earlier_saturated:
                # The real difference is at least as large as this one, which
                # contradicts the estimate only if the expected one is smaller.
                expected = sum(
                    self.get_factor(sample.image, best_effort) * change
                    for best_effort, change in share_changes.items()
                )
                if abs(expected) > abs(utilisation_change):
                    continue
            own_change = _MAX_OWN_LOAD_CHANGE_PER_S * interval.total_seconds()
            is_solved |= self._get_regression(sample.image).add_observation(
                share_changes,
                utilisation_change,
                (latest.variance + earlier.variance + own_change**2)
                * len(history),
                latest.observed_at,
            )
        if is_solved:
            self._drop_estimates(sample.image)

    def _update_own_load(
        self, sample: JobSample, latest: _job_history.Observation
    ) -> None:
        """Corrects the estimate of the job's own load."""
        load = self._own_loads.get(sample.job)
        if load is None:
            load = self._own_loads[sample.job] = _own_load.OwnLoad(
                latest.observed_at
            )
        load.advance(latest.observed_at)
        expected = load.level
        total_variance = load.variance + latest.variance
        factor_variance = 0.0
        for best_effort, share in latest.shares.items():
            expected += self.get_factor(sample.image, best_effort) * share
            deviation = self.get_deviation(sample.image, best_effort) * share
            factor_variance += deviation**2
        error = latest.utilisation - expected
        total_variance += factor_variance
        bound = _OUTLIER_DEVIATIONS * math.sqrt(total_variance)
        load.correct(error, total_variance * max(1.0, abs(error) / bound))
        if (
            load.variance < _MAX_PEAK_VARIANCE
            and factor_variance < _MAX_PEAK_VARIANCE
        ):
            self._record_peak(sample.image, load.level, latest.observed_at)

    def _get_regression(self, image: str) -> _factors.FactorRegression:
        regression = self._regressions.get(image)
        if regression is None:
            regression = self._regressions[image] = _factors.FactorRegression()
        return regression

    def _record_tail_latency(self, image: str, tail_latency: float) -> None:
        lowest = self._lowest_tail_latencies.get(image)
        if tail_latency > 0 and (lowest is None or tail_latency < lowest):
            self._lowest_tail_latencies[image] = tail_latency

    def _record_peak(
        self, image: str, own_load: float, now: datetime.timedelta
    ) -> None:
        peak = self._peaks.get(image)
        if peak is None or own_load > self._get_peak(image, 1.0, now):
            self._peaks[image] = _Peak(own_load, now)

    def _get_base_latency(self, image: str, target: float) -> float:
        lowest = self._lowest_tail_latencies.get(image)
        max_latency = target * _MAX_BASE_SHARE_OF_TARGET
        return max_latency if lowest is None else min(lowest, max_latency)
