"""Timeout of calls to the store that grows while the store is slow."""

import datetime

_GROWTH = 2


class AdaptiveTimeout:
    """Timeout for calls of one kind, of which one is in progress at a time.

    With a constant timeout, no call to a store that needs longer than it ever
    succeeds. With a long one, a single lost answer would delay the next call.
    """

    def __init__(
        self, usual: datetime.timedelta, longest: datetime.timedelta
    ) -> None:
        """Creates a timeout.

        Args:
            usual: The timeout while answers arrive in half of this time.
            longest: The longest timeout.
        """
        self._usual = usual
        self._longest = longest
        self._current = usual

    @property
    def current(self) -> datetime.timedelta:
        """Timeout for the next call."""
        return self._current

    def record_answer(self, elapsed: datetime.timedelta) -> None:
        """Records the time until an answer."""
        self._current = min(self._longest, max(self._usual, _GROWTH * elapsed))

    def record_failure(self, elapsed: datetime.timedelta) -> None:
        """Records the time until a call failed, by its timeout or earlier."""
        if elapsed >= self._current:
            self._current = min(self._longest, _GROWTH * self._current)
