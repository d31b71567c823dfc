"""Decides whether an instance is fit for callers. Pure code."""

import collections
import datetime
import enum

import attrs

_SECOND = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_NO_TIME = datetime.timedelta()
# The leader heartbeat brings an answer every 0.7 s. A store that is 200 times
# slower than usual answers with gaps of up to 2.3 s.
_MAX_SILENCE = 2500 * _MILLISECOND
_MAX_REFUSED_SHARE = 0.5
# One refused call may be an accident of its connection.
_MIN_CALLS = 2
# A request needs a few turns of the event loop. Callers wait 3 s.
_MAX_LAG = 500 * _MILLISECOND
_BAD_READINGS = 2
_GOOD_TIME = 3 * _SECOND
# Time out of rotation while the store serves the instance: at most this much
# at once, and less than an eighth of any time over 48 s.
_MAX_SAVED_ABSENCE = 3 * _SECOND
_ABSENCE_PER_TIME = 1 / 16
# A slow instance carries out what it has, and then is as fast as before.
_MAX_SLOW_ABSENCE = 2 * _SECOND
_SLOW_PERIOD = 20 * _SECOND
# Time between two readings that counts; a process that was stopped was not
# out of rotation on purpose.
_MAX_COUNTED_TIME = 1 * _SECOND


class Cause(enum.Enum):
    """Why an instance is unfit; the values are in the log."""

    STORE = "store"
    SLOW = "slow"


@attrs.frozen
class Reading:
    """State of an instance at one moment.

    Attributes:
        silence: Time since the store last answered.
        calls: Number of calls to the store since the reading before.
        refused_calls: How many of them were refused or got no answer.
        lag: Longest time by which the event loop was late since the reading
            before.
        configuration_age: Time since the store last answered a read of the
            configuration.
    """

    silence: datetime.timedelta = _NO_TIME
    calls: int = 0
    refused_calls: int = 0
    lag: datetime.timedelta = _NO_TIME
    configuration_age: datetime.timedelta = _NO_TIME

    @property
    def cause(self) -> Cause | None:
        """Why the reading is bad; None if it is good."""
        is_refused = (
            self.calls >= _MIN_CALLS
            and self.refused_calls >= _MAX_REFUSED_SHARE * self.calls
        )
        is_silent = max(self.silence, self.configuration_age) >= _MAX_SILENCE
        if is_refused or is_silent:
            return Cause.STORE
        return Cause.SLOW if self.lag >= _MAX_LAG else None


class FitnessMonitor:
    """Tells whether an instance is fit, and whether it is in rotation.

    An unfit instance takes no forwarded requests. It stays in rotation all the
    same where nobody else would take its callers, or if it has been out of
    rotation for too long.
    """

    def __init__(self) -> None:
        self._is_fit = True
        self._is_in_rotation = True
        self._cause = Cause.STORE
        self._bad_readings = 0
        self._good_since: datetime.timedelta | None = None
        self._read_at: datetime.timedelta | None = None
        self._saved_absence = _MAX_SAVED_ABSENCE
        self._is_absence_over = False
        self._slow_absences: collections.deque[
            tuple[datetime.timedelta, datetime.timedelta]
        ] = collections.deque()

    @property
    def is_fit(self) -> bool:
        """Whether the instance reaches the store and is fast enough."""
        return self._is_fit

    @property
    def is_in_rotation(self) -> bool:
        """Whether the load balancer may send new callers."""
        return self._is_in_rotation

    @property
    def cause(self) -> Cause:
        """Why the instance is unfit, or was so last."""
        return self._cause

    def record_reading(
        self,
        reading: Reading,
        has_fit_neighbour: bool,
        now: datetime.timedelta,
    ) -> None:
        """Records a reading.

        Args:
            reading: The reading.
            has_fit_neighbour: Whether another instance of the data centre is
                known to be fit.
            now: Monotonic time.
        """
        elapsed = _NO_TIME
        if self._read_at is not None:
            elapsed = min(now - self._read_at, _MAX_COUNTED_TIME)
        self._read_at = now
        cause = reading.cause
        self._count_absence(cause, elapsed, now)
        self._update_fitness(cause, now)
        self._is_in_rotation = self._is_fit or not self._may_be_absent(
            has_fit_neighbour, now
        )

    def _count_absence(
        self,
        cause: Cause | None,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        if cause is Cause.STORE:
            return
        if self._is_in_rotation:
            self._saved_absence = min(
                _MAX_SAVED_ABSENCE,
                self._saved_absence + elapsed * _ABSENCE_PER_TIME,
            )
            return
        self._saved_absence -= elapsed
        if self._cause is Cause.SLOW:
            self._slow_absences.append((now, elapsed))

    def _update_fitness(
        self, cause: Cause | None, now: datetime.timedelta
    ) -> None:
        if cause is None:
            self._bad_readings = 0
            if self._good_since is None:
                self._good_since = now
            if now - self._good_since >= _GOOD_TIME:
                self._is_fit = True
                self._is_absence_over = False
            return
        self._good_since = None
        self._bad_readings += 1
        if self._bad_readings >= _BAD_READINGS:
            self._is_fit = False
            self._cause = cause

    def _may_be_absent(
        self, has_fit_neighbour: bool, now: datetime.timedelta
    ) -> bool:
        if not has_fit_neighbour:
            return False
        while (
            self._slow_absences
            and now - self._slow_absences[0][0] >= _SLOW_PERIOD
        ):
            self._slow_absences.popleft()
        slow = sum((length for _, length in self._slow_absences), _NO_TIME)
        if self._saved_absence <= _NO_TIME or (
            self._cause is Cause.SLOW and slow >= _MAX_SLOW_ABSENCE
        ):
            # Otherwise the instance would leave again with each second saved.
            self._is_absence_over = True
        return not self._is_absence_over
