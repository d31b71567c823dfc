"""Estimates of how much a kind of task slows a service."""

from collections.abc import Iterable
import datetime
import math

from tamarackhatch import clock

# Old observations lose half their weight in this time, because interference
# changes with load.
HALF_LIFE = datetime.timedelta(minutes=10)
# Weight that pulls an estimate towards 1 until enough was observed.
_PRIOR_WEIGHT = 3.0
_MIN_LATENCY_SECONDS = 1e-6


class _Mean:
    """Decayed mean of logarithms of latencies."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._weight = 0.0
        self._at = datetime.timedelta()

    @property
    def weight(self) -> float:
        return self._weight

    @property
    def value(self) -> float:
        return self._sum / self._weight if self._weight else 0.0

    def add(self, value: float, now: datetime.timedelta) -> None:
        keep = 0.5 ** max((now - self._at) / HALF_LIFE, 0.0)
        self._sum = self._sum * keep + value
        self._weight = self._weight * keep + 1.0
        self._at = now


class InterferenceModel:
    """Latency ratio of each (service, kind), with and without the kind."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._with: dict[tuple[str, str], _Mean] = {}
        self._without: dict[tuple[str, str], _Mean] = {}
        self._kinds: set[str] = set()

    def observe(
        self, service: str, kinds: Iterable[str], p99: datetime.timedelta
    ) -> None:
        """Takes one latency seen while the given kinds ran beside it."""
        now = self._clock.get_monotonic()
        seconds = max(p99.total_seconds(), _MIN_LATENCY_SECONDS)
        present = set(kinds)
        self._kinds |= present
        for kind in self._kinds:
            table = self._with if kind in present else self._without
            mean = table.setdefault((service, kind), _Mean())
            mean.add(math.log(seconds), now)

    def estimate_ratio(self, service: str, kind: str) -> float:
        """Returns the expected latency ratio; 1 means no effect."""
        present = self._with.get((service, kind))
        absent = self._without.get((service, kind))
        if present is None or absent is None:
            return 1.0
        weight = min(present.weight, absent.weight)
        trust = weight / (weight + _PRIOR_WEIGHT)
        return math.exp(trust * (present.value - absent.value))
