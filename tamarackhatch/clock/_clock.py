"""The interface through which all code reads the time."""

import datetime
import typing


class Clock(typing.Protocol):
    """Source of wall-clock time, monotonic time and boot time."""

    def get_utc(self) -> datetime.datetime:
        """Returns the current time, in UTC and timezone-aware."""
        ...

    def get_monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary start; it never decreases."""
        ...

    def get_boot_time(self) -> datetime.timedelta:
        """Returns the time since boot, including time spent suspended."""
        ...

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspends the calling task for at least the given duration."""
        ...
