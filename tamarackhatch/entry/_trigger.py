"""When a request that the store does not answer is forwarded. Pure code."""

import datetime

_NO_TIME = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)
# The store normally answers within 40 ms, and after 150 ms a second attempt is
# under way, so that an answer which was merely lost needs no other instance.
_MIN_DELAY = 300 * _MILLISECOND
# The leader heartbeat brings an answer every 0.7 s to an instance that
# reaches the store.
_MAX_SILENCE = 800 * _MILLISECOND


class ForwardingTrigger:
    """Knows since when requests have failed at the store."""

    def __init__(self) -> None:
        self._failing_since: datetime.timedelta | None = None

    def begin(
        self,
        now: datetime.timedelta,
        last_answer: datetime.timedelta | None,
        expected_latency: datetime.timedelta,
    ) -> datetime.timedelta:
        """Records that a request begins, and returns when to forward it.

        That is at once while earlier requests have failed for 0.3 s, and after
        0.3 s else. A store that is slow for all is no reason to ask another
        instance, so that the time is longer while slow answers are expected.

        Args:
            now: Monotonic time.
            last_answer: When the store last answered any call of the
                instance; None for never.
            expected_latency: Time within which most answers arrive; 0 if that
                is not known.
        """
        delay = max(_MIN_DELAY, expected_latency)
        if self._failing_since is None:
            self._failing_since = now
        since = max(self._failing_since, last_answer or _NO_TIME)
        return max(now, since + delay)

    def record_success(self) -> None:
        """Records that the store has carried out a request."""
        self._failing_since = None

    def is_failing(
        self,
        now: datetime.timedelta,
        last_answer: datetime.timedelta | None,
    ) -> bool:
        """Returns whether a request that begins now is likely to fail."""
        if self._failing_since is None:
            return False
        since = max(self._failing_since, last_answer or _NO_TIME)
        return now - since >= _MAX_SILENCE
