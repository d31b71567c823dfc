"""A clock that moves only when a test moves it."""

import asyncio
import datetime
import heapq
import itertools

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
# Event loop turns granted to a woken task before time moves further.
_SETTLE_TURNS = 50


class ManualClock:
    """Clock for tests; sleepers wake in order as time is advanced."""

    def __init__(self, start: datetime.datetime = _START) -> None:
        self._start = start
        self._elapsed = datetime.timedelta()
        self._order = itertools.count()
        self._sleepers: list[
            tuple[datetime.timedelta, int, asyncio.Future[None]]
        ] = []

    def get_utc(self) -> datetime.datetime:
        return self._start + self._elapsed

    def get_monotonic(self) -> datetime.timedelta:
        return self._elapsed

    def get_boot_time(self) -> datetime.timedelta:
        return self._elapsed

    async def sleep(self, duration: datetime.timedelta) -> None:
        if duration <= datetime.timedelta():
            await asyncio.sleep(0)
            return
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        due = self._elapsed + duration
        heapq.heappush(self._sleepers, (due, next(self._order), wake))
        await wake

    async def advance(self, duration: datetime.timedelta) -> None:
        """Moves time forward, waking every sleeper that falls due."""
        target = self._elapsed + duration
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= target:
            due, _, wake = heapq.heappop(self._sleepers)
            self._elapsed = max(self._elapsed, due)
            if not wake.done():
                wake.set_result(None)
                await self._settle()
        self._elapsed = target
        await self._settle()

    async def _settle(self) -> None:
        for _ in range(_SETTLE_TURNS):
            await asyncio.sleep(0)
