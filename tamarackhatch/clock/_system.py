"""The clock of the operating system."""

import asyncio
import datetime
import time


class SystemClock:
    """Clock of the machine that the process runs on."""

    def get_utc(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.timezone.utc)

    def get_monotonic(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=time.monotonic())

    def get_boot_time(self) -> datetime.timedelta:
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME)
        )

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())
