"""An event loop whose time jumps to the next timer instead of waiting."""

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
import typing

Result = typing.TypeVar("Result")
_START_TIME = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
# A test that needs more virtual time than this is taken to hang.
_MAX_VIRTUAL_TIME_S = 3_600.0


class HangError(Exception):
    """No task can ever run again, or the test needs too much virtual time."""


class _TimeJumpSelector(selectors.SelectSelector):
    """Reports no events, and adds each timeout to the time without waiting.

    Attributes:
        elapsed: Virtual time since the loop was made, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise HangError("no task is ready and no timer is set")
        if self.elapsed > _MAX_VIRTUAL_TIME_S:
            raise HangError(f"over {_MAX_VIRTUAL_TIME_S} s of virtual time")
        self.elapsed += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs tasks in virtual time, without input or output."""

    def __init__(self) -> None:
        self._time_selector = _TimeJumpSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        return self._time_selector.elapsed


class VirtualClock:
    """Clock that shows the time of a virtual loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def get_utc(self) -> datetime.datetime:
        return _START_TIME + self.get_monotonic()

    def get_monotonic(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=self._loop.time())

    def get_boot_time(self) -> datetime.timedelta:
        return self.get_monotonic()

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(max(0.0, duration.total_seconds()))


def run_virtually(
    main: Coroutine[typing.Any, typing.Any, Result],
    loop: VirtualLoop | None = None,
) -> Result:
    """Runs a coroutine in virtual time, then cancels all remaining tasks.

    Args:
        main: The coroutine.
        loop: Loop to use; None for a new one.

    Raises:
        HangError: No task is ready and no timer is set, or the coroutine needs
            over an hour of virtual time.
    """
    loop = VirtualLoop() if loop is None else loop
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
