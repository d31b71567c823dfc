"""Budget of retries, as a share of recent requests."""

import datetime

from tamarackhatch import clock as clock_module

# "Recent" means at most two windows of this length.
_WINDOW = datetime.timedelta(seconds=10)
# A service with few requests may still retry this often per window.
_MIN_RETRIES = 1


class RetryBudget:
    """Counts requests and retries of one service in two sliding windows."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._window = 0
        self._requests = [0, 0]
        self._retries = [0, 0]

    def note_request(self) -> None:
        """Counts a request of a caller."""
        self._turn_window()
        self._requests[0] += 1

    def has_retry(self, ratio: float) -> bool:
        """Tells whether a further retry stays within the ratio."""
        self._turn_window()
        allowed = max(_MIN_RETRIES, int(ratio * sum(self._requests)))
        return sum(self._retries) < allowed

    def note_retry(self) -> None:
        """Counts a retry."""
        self._turn_window()
        self._retries[0] += 1

    def _turn_window(self) -> None:
        window = self._clock.get_monotonic() // _WINDOW
        passed = window - self._window
        if passed <= 0:
            return
        self._window = window
        for counts in (self._requests, self._retries):
            counts[1] = counts[0] if passed == 1 else 0
            counts[0] = 0
