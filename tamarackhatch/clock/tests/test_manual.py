"""Tests of ManualClock."""

import asyncio
import datetime

import pytest

from tamarackhatch import clock


@pytest.mark.parametrize(
    ("delays", "advance", "expected"),
    [
        ((3, 1, 2), 2, [1, 2]),
        ((3, 1, 2), 3, [1, 2, 3]),
        ((1, 1), 1, [1, 1]),
        ((5,), 4, []),
    ],
)
def test_advance_wakes_due_sleepers_in_order(
    delays: tuple[int, ...], advance: int, expected: list[int]
) -> None:
    """Guards against sleepers that wake early, late or out of order."""

    async def run() -> list[int]:
        manual = clock.ManualClock()
        woken: list[int] = []

        async def wait(seconds: int) -> None:
            await manual.sleep(datetime.timedelta(seconds=seconds))
            woken.append(seconds)

        tasks = [asyncio.create_task(wait(delay)) for delay in delays]
        await manual.advance(datetime.timedelta(seconds=advance))
        for task in tasks:
            task.cancel()
        return woken

    assert asyncio.run(run()) == expected
