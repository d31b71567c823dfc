"""Limits a rate and permits bursts. Pure code."""

import datetime

_SECOND = datetime.timedelta(seconds=1)


class TokenBucket:
    """Amount that may be spent: so much at once, and so much a second."""

    def __init__(self, burst: float, per_s: float) -> None:
        """Creates a full bucket.

        Args:
            burst: Most that may be spent at once.
            per_s: What is added each second.
        """
        self._burst = burst
        self._per_s = per_s
        self._saved = burst
        self._updated_at = datetime.timedelta()

    def try_spend(self, amount: float, now: datetime.timedelta) -> bool:
        """Spends an amount, or nothing if too little is left.

        Returns:
            Whether the amount was spent.
        """
        elapsed_s = max(0.0, (now - self._updated_at) / _SECOND)
        self._saved = min(self._burst, self._saved + elapsed_s * self._per_s)
        self._updated_at = now
        if amount > self._saved:
            return False
        self._saved -= amount
        return True
