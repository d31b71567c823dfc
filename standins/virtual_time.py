"""An event loop whose time jumps to the next timer instead of waiting."""

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
import typing

Result = typing.TypeVar("Result")
_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
# A test that needs more virtual time than this hangs.
_MAX_TIME_S = 3_600.0


class HangError(Exception):
    """Nothing will ever happen again, or the test runs for too long."""


class _JumpingSelector(selectors.SelectSelector):
    """Reports no events, and lets the loop's time pass at once."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise HangError("no task is ready and no timer is set")
        if self.elapsed > _MAX_TIME_S:
            raise HangError(f"over {_MAX_TIME_S} s of virtual time")
        self.elapsed += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time, without input or output."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.elapsed


class VirtualClock:
    """Clock of a virtual loop; a machine may run behind or be suspended."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def get_utc(self) -> datetime.datetime:
        return _START + self.get_monotonic()

    def get_monotonic(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=self._loop.time())

    def get_boot_time(self) -> datetime.timedelta:
        return self.get_monotonic()

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(max(0.0, duration.total_seconds()))


def run_virtually(main: Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Runs a coroutine in virtual time and ends all tasks that it left."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True)
            )
        loop.close()
