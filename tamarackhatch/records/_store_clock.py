"""Estimates the store's clock, the only one that instances have in common."""

import datetime

from tamarackhatch import clock
from tamarackhatch import model

# Clocks drift apart, so that an answer counts for this time only. While the
# store is slow, later answers would make moments look younger than they are.
_MAX_SAMPLE_AGE = datetime.timedelta(seconds=60)
# The estimate is behind by the time that an answer took. A reading that is
# further ahead is of another clock, such as that of a store that was replaced.
_MAX_LEAD = datetime.timedelta(seconds=2)


class StoreClock:
    """Tells how old a moment of the store is."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Creates a clock that knows no reading.

        Args:
            time_source: Source of boot time, which also advances while the
                machine is suspended.
        """
        self._clock = time_source
        self._offset: datetime.timedelta | None = None
        self._sampled_at = datetime.timedelta()

    def record_reading(self, reading: datetime.timedelta) -> None:
        """Records a reading that has just arrived.

        Of several, the one counts that was on its way for the shortest time.
        """
        now = self._clock.get_boot_time()
        offset = reading - now
        if (
            self._offset is None
            or offset >= self._offset
            or now - self._sampled_at > _MAX_SAMPLE_AGE
        ):
            self._offset, self._sampled_at = offset, now

    def compute_age(
        self, moment: model.StoreMoment | None
    ) -> datetime.timedelta | None:
        """Returns the time since a moment of the store; None if unknown."""
        if moment is None or self._offset is None:
            return None
        age = self._clock.get_boot_time() + self._offset - moment.time
        if age < -_MAX_LEAD:
            return None
        return max(age, datetime.timedelta())
