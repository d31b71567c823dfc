"""Model of how filler tasks disturb serving tasks.

The tail of a serving task's response times is taken to be that of a queue:
``tail = base / (1 - pressure)``. Its pressure is the sum of its own load,
which swings by itself, and of one term for each filler beside it: the share
of the runner's processors that the filler uses, times a factor that depends
on both images. The factors are learned from changes between two samples of
the same task, in which its own load hardly differs; all runners contribute.
"""

import datetime

import attrs

from tamarackhatch import model

# The tail without any load, as a share of the target, until a lower tail is
# seen. Targets are usually five times that tail.
_BASE_OF_TARGET = 0.2
# Before anything is known, a filler of a tenth of a runner adds this share
# times ten to the pressure. It lies between harmless and heavy pairs, which
# differ by a factor of about eight.
_PRIOR_FACTOR = 0.8
_PRIOR_VARIANCE = 1.0
# Variance of a change that has other causes: the task's own load and the
# roughness of the samples.
_NOISE_VARIANCE = 0.06**2
# Factors may change, so that old samples lose weight.
_DRIFT_VARIANCE_PER_S = 0.002
_MAX_FACTOR = 5.0
# Above this pressure the tail saturates, and says only that it is high.
_SATURATION = 0.93
_MIN_SPACING = datetime.timedelta(milliseconds=300)
_MAX_SPACING = datetime.timedelta(milliseconds=2500)

Shares = dict[str, float]


@attrs.define
class _Factor:
    """Estimate of one pair's factor."""

    mean: float = _PRIOR_FACTOR
    variance: float = _PRIOR_VARIANCE
    updated: datetime.timedelta = datetime.timedelta()


@attrs.frozen
class _Sample:
    """A serving task's last sample."""

    pressure: float
    shares: Shares
    taken: datetime.timedelta


@attrs.frozen
class ServingState:
    """A serving task as the model sees it.

    Attributes:
        image: Its image.
        own_load: The part of its pressure that no filler causes.
        trend: Change of the own load, per second.
        limit: Pressure at which its tail reaches the target.
    """

    image: str
    own_load: float
    trend: float
    limit: float


@attrs.frozen
class LearnedFactor:
    """A learned factor of a pair of images.

    Attributes:
        serving: Image of the serving task.
        filler: Image of the filler.
        mean: The factor.
        variance: Its variance.
    """

    serving: str
    filler: str
    mean: float
    variance: float


@attrs.frozen
class FactorTable:
    """All that a model has learned.

    Attributes:
        factors: The factors.
        lowest_tails: Lowest tail seen of each serving image, in milliseconds.
    """

    factors: tuple[LearnedFactor, ...] = ()
    lowest_tails: dict[str, float] = attrs.field(factory=dict)


class InterferenceModel:
    """Learns the factors of all pairs of images."""

    def __init__(self) -> None:
        self._factors: dict[tuple[str, str], _Factor] = {}
        self._lowest_tails: dict[str, float] = {}
        self._samples: dict[model.TaskKey, _Sample] = {}
        self._states: dict[model.TaskKey, ServingState] = {}

    def get_factor(self, serving: str, filler: str) -> float:
        """Returns the factor of a filler image on a serving image."""
        factor = self._factors.get((serving, filler))
        return _PRIOR_FACTOR if factor is None else factor.mean

    def get_state(self, task: model.TaskKey) -> ServingState | None:
        """Returns what is known of a serving task; None without a sample."""
        return self._states.get(task)

    def export_factors(self) -> FactorTable:
        """Returns what was learned, for a later scheduler."""
        return FactorTable(
            tuple(
                LearnedFactor(serving, filler, factor.mean, factor.variance)
                for (serving, filler), factor in self._factors.items()
            ),
            dict(self._lowest_tails),
        )

    def import_factors(
        self, table: FactorTable, now: datetime.timedelta
    ) -> None:
        """Takes over what an earlier scheduler has learned."""
        for learned in table.factors:
            self._factors[(learned.serving, learned.filler)] = _Factor(
                learned.mean, learned.variance, now
            )
        self._lowest_tails.update(table.lowest_tails)

    def forget(self, task: model.TaskKey) -> None:
        """Drops what is known of a task that no longer runs."""
        self._samples.pop(task, None)
        self._states.pop(task, None)

    def observe(
        self,
        task: model.TaskKey,
        image: str,
        tail: float,
        target: float,
        shares: Shares,
        now: datetime.timedelta,
    ) -> ServingState:
        """Takes a sample of a serving task.

        Args:
            task: The task.
            image: Its image.
            tail: Tail of its response times, in milliseconds.
            target: Bound of that tail, in milliseconds.
            shares: For each filler image beside it, the share of the
                runner's processors in use.
            now: Monotonic time.
        """
        base = self._get_base(image, tail, target)
        pressure = 1 - base / max(tail, base)
        last = self._samples.get(task)
        if last is not None:
            spacing = now - last.taken
            if spacing < _MIN_SPACING:
                return self._states[task]
            if spacing <= _MAX_SPACING:
                self._learn(image, last, pressure, shares, now)
        self._samples[task] = _Sample(pressure, shares, now)
        own_load = pressure - self.compute_pressure(image, shares)
        state = ServingState(
            image,
            min(max(own_load, 0.0), 1.0),
            self._compute_trend(task, own_load, last, now),
            1 - base / target if target > base else 0.0,
        )
        self._states[task] = state
        return state

    def compute_pressure(self, image: str, shares: Shares) -> float:
        """Returns the pressure that fillers put on a serving image."""
        return sum(
            self.get_factor(image, filler) * share
            for filler, share in shares.items()
        )

    def _compute_trend(
        self,
        task: model.TaskKey,
        own_load: float,
        last: _Sample | None,
        now: datetime.timedelta,
    ) -> float:
        before = self._states.get(task)
        if before is None or last is None:
            return 0.0
        seconds = (now - last.taken).total_seconds()
        slope = (own_load - before.own_load) / max(seconds, 0.1)
        return 0.7 * before.trend + 0.3 * min(max(slope, -0.2), 0.2)

    def _get_base(self, image: str, tail: float, target: float) -> float:
        lowest = self._lowest_tails.get(image)
        if tail > 0 and (lowest is None or tail < lowest):
            lowest = self._lowest_tails[image] = tail
        usual = target * _BASE_OF_TARGET
        return usual if lowest is None else min(lowest, usual)

    def _learn(
        self,
        image: str,
        last: _Sample,
        pressure: float,
        shares: Shares,
        now: datetime.timedelta,
    ) -> None:
        changes = {
            filler: shares.get(filler, 0.0) - last.shares.get(filler, 0.0)
            for filler in shares.keys() | last.shares.keys()
        }
        factors = {
            filler: self._refresh(image, filler, now)
            for filler, change in changes.items()
            if abs(change) > 0.005
        }
        if not factors:
            return
        expected = sum(
            factor.mean * changes[filler] for filler, factor in factors.items()
        )
        error = pressure - last.pressure - expected
        if pressure > _SATURATION and error < 0:
            return
        if last.pressure > _SATURATION and error > 0:
            return
        scale = _NOISE_VARIANCE + sum(
            factor.variance * changes[filler] ** 2
            for filler, factor in factors.items()
        )
        # A large surprise is more likely an outlier than a new truth.
        error = min(max(error, -0.3), 0.3)
        for filler, factor in factors.items():
            gain = factor.variance * changes[filler] / scale
            mean = factor.mean + gain * error
            factor.mean = min(max(mean, 0.0), _MAX_FACTOR)
            factor.variance *= 1 - gain * changes[filler]

    def _refresh(
        self, image: str, filler: str, now: datetime.timedelta
    ) -> _Factor:
        factor = self._factors.setdefault((image, filler), _Factor())
        if factor.updated:
            seconds = (now - factor.updated).total_seconds()
            factor.variance = min(
                _PRIOR_VARIANCE,
                factor.variance + seconds * _DRIFT_VARIANCE_PER_S,
            )
        factor.updated = now
        return factor
