"""A clock whose time changes only when a test advances it."""

import asyncio
import datetime
import heapq
import itertools

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
# Iterations of the event loop in which woken tasks may run before the time
# advances further.
_WAKE_LOOP_ITERATIONS = 50


class ManualClock:
    """Clock for tests; sleeping tasks wake in the order of their due times.

    Monotonic time and boot time start at 0 and are equal.
    """

    def __init__(self, start: datetime.datetime = _START) -> None:
        self._start = start
        self._elapsed = datetime.timedelta()
        self._sequence_numbers = itertools.count()
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
        wake_up: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        due = self._elapsed + duration
        heapq.heappush(
            self._sleepers, (due, next(self._sequence_numbers), wake_up)
        )
        await wake_up

    async def advance(self, duration: datetime.timedelta) -> None:
        """Advances the time and wakes every task whose sleep ends by then."""
        target = self._elapsed + duration
        await self._run_woken_tasks()
        while self._sleepers and self._sleepers[0][0] <= target:
            due, _, wake_up = heapq.heappop(self._sleepers)
            self._elapsed = max(self._elapsed, due)
            if not wake_up.done():
                wake_up.set_result(None)
                await self._run_woken_tasks()
        self._elapsed = target
        await self._run_woken_tasks()

    async def _run_woken_tasks(self) -> None:
        for _ in range(_WAKE_LOOP_ITERATIONS):
            await asyncio.sleep(0)
