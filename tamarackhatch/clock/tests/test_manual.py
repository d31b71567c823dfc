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
def test_advance_wakes_due_tasks_in_order(
    delays: tuple[int, ...], advance: int, expected: list[int]
) -> None:
    """Guards against tasks that wake up early, late or out of order."""

    async def run_scenario() -> list[int]:
        manual_clock = clock.ManualClock()
        woken: list[int] = []

        async def sleep_and_record(seconds: int) -> None:
            await manual_clock.sleep(datetime.timedelta(seconds=seconds))
            woken.append(seconds)

        tasks = [
            asyncio.create_task(sleep_and_record(delay)) for delay in delays
        ]
        await manual_clock.advance(datetime.timedelta(seconds=advance))
        for task in tasks:
            task.cancel()
        return woken

    assert asyncio.run(run_scenario()) == expected
