"""Records when the store last answered this instance, and how fast."""

import datetime

from tamarackhatch import clock
from tamarackhatch.records import _hedging


class StoreLiveness:
    """Signs of life of the store towards this instance.

    Every answer to any call of the instance counts, except for refusals.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._last_answer: datetime.timedelta | None = None
        self._latency = _hedging.LatencyEstimate()

    @property
    def last_answer(self) -> datetime.timedelta | None:
        """Monotonic time of the latest answer; None for none."""
        return self._last_answer

    @property
    def expected_latency(self) -> datetime.timedelta:
        """Time within which most answers arrive; 0 if not known."""
        return self._latency.get_expected(self._clock.get_monotonic())

    def record_answer(self) -> None:
        """Records that the store has answered a call."""
        self._last_answer = self._clock.get_monotonic()

    def record_latency(self, latency: datetime.timedelta) -> None:
        """Records how long the store took to answer a read or a write."""
        self.record_answer()
        self._latency.record(latency, self._clock.get_monotonic())
