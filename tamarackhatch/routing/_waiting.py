"""Waiting with a bound that the clock interface controls."""

import asyncio
import datetime
import typing

from tamarackhatch import clock as clock_module

_T = typing.TypeVar("_T")


async def wait_bounded(
    clock: clock_module.Clock,
    future: "asyncio.Future[_T]",
    bound: datetime.timedelta,
) -> bool:
    """Waits until the future is done or the time has passed.

    The future is not cancelled.

    Returns:
        Whether the future is done.
    """
    if future.done():
        return True
    timer = asyncio.ensure_future(clock.sleep(bound))
    try:
        await asyncio.wait(
            (future, timer), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        timer.cancel()
    return future.done()
