"""Time limits of calls, measured by the injected clock."""

import asyncio
from collections.abc import Coroutine
import datetime
import typing

from tamarackhatch import clock
from tamarackhatch import platform

_T = typing.TypeVar("_T")


class TimeLimitError(Exception):
    """A call was abandoned; it may have taken effect."""


async def call_within(
    time: clock.Clock,
    limit: datetime.timedelta,
    call: Coroutine[typing.Any, typing.Any, _T],
) -> _T:
    """Returns the result of the call.

    Raises:
        TimeLimitError: The call took longer than the limit.
    """
    task = asyncio.ensure_future(call)
    timer = asyncio.ensure_future(time.sleep(limit))
    try:
        await asyncio.wait((task, timer), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise TimeLimitError(f"no answer within {limit.total_seconds():g} s")
    finally:
        for pending in (task, timer):
            pending.cancel()
        await asyncio.gather(task, timer, return_exceptions=True)


async def wait_event(
    time: clock.Clock, event: asyncio.Event, limit: datetime.timedelta
) -> None:
    """Returns when the event is set or the limit has passed."""
    try:
        await call_within(time, limit, event.wait())
    except TimeLimitError:
        return


class LimitedTables:
    """Table service whose calls end within a time limit."""

    def __init__(
        self,
        tables: platform.TableService,
        time: clock.Clock,
        limit: datetime.timedelta,
    ) -> None:
        self._tables = tables
        self._clock = time
        self._limit = limit

    async def read_row(
        self, table: platform.Table, key: str
    ) -> platform.Row | None:
        try:
            return await call_within(
                self._clock, self._limit, self._tables.read_row(table, key)
            )
        except TimeLimitError as error:
            raise platform.StoreUnavailableError(str(error)) from error

    async def scan_rows(
        self, table: platform.Table, prefix: str
    ) -> tuple[platform.Row, ...]:
        try:
            return await call_within(
                self._clock, self._limit, self._tables.scan_rows(table, prefix)
            )
        except TimeLimitError as error:
            raise platform.StoreUnavailableError(str(error)) from error

    async def commit(
        self, transaction: platform.Transaction
    ) -> tuple[int, ...]:
        try:
            return await call_within(
                self._clock, self._limit, self._tables.commit(transaction)
            )
        except TimeLimitError as error:
            raise platform.StoreOutcomeUnknownError(str(error)) from error
