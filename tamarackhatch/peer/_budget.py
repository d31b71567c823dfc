"""Counts of bytes, and the budget of the link between regions."""

import datetime

from tamarackhatch import clock as clocks


class TokenBucket:
    """Bytes that may be sent now; it refills at a constant rate.

    Args:
        clock: Source of time.
        rate: Bytes per second.
        burst: Most bytes that may be saved up.
    """

    def __init__(self, clock: clocks.Clock, rate: int, burst: int) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at = clock.get_monotonic()

    def has_tokens(self, size: int, reserve: int = 0) -> bool:
        """Tells whether a message may be sent and leave the reserve.

        A message larger than the burst may go when the bucket is full.
        """
        self._refill()
        return self._tokens >= min(size + reserve, self._burst)

    def take_tokens(self, size: int) -> None:
        """Takes tokens; the balance may become negative."""
        self._refill()
        self._tokens -= size

    def get_wait(self, size: int) -> datetime.timedelta:
        """Returns the time until a message of this size may be sent."""
        self._refill()
        missing = min(size, self._burst) - self._tokens
        return datetime.timedelta(seconds=max(missing, 0.0) / self._rate)

    def _refill(self) -> None:
        now = self._clock.get_monotonic()
        gained = (now - self._filled_at).total_seconds() * self._rate
        self._tokens = min(self._tokens + gained, float(self._burst))
        self._filled_at = now


class ByteCounter:
    """Bytes sent and received, within the region and beyond it."""

    def __init__(self) -> None:
        self._sent_near = 0
        self._sent_far = 0
        self._received_near = 0
        self._received_far = 0

    @property
    def sent_near(self) -> int:
        """Bytes sent within the region."""
        return self._sent_near

    @property
    def sent_far(self) -> int:
        """Bytes sent to other regions."""
        return self._sent_far

    @property
    def received_near(self) -> int:
        """Bytes received from within the region."""
        return self._received_near

    @property
    def received_far(self) -> int:
        """Bytes received from other regions."""
        return self._received_far

    def count_sent(self, size: int, is_far: bool) -> None:
        """Counts one sent message."""
        if is_far:
            self._sent_far += size
        else:
            self._sent_near += size

    def count_received(self, size: int, is_far: bool) -> None:
        """Counts one received message."""
        if is_far:
            self._received_far += size
        else:
            self._received_near += size
