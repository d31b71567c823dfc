"""Ages of moments of the store."""

import asyncio
import datetime

import pytest

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import records

_MS = datetime.timedelta(milliseconds=1)
_HOUR_MS = 3_600_000


@pytest.mark.parametrize(
    ("samples", "now_ms", "moment_ms", "age_ms"),
    [
        pytest.param([], 0, 100, None, id="no reading"),
        pytest.param([(0, 5000)], 0, 4000, 1000, id="just read"),
        pytest.param([(0, 5000)], 700, 4000, 1700, id="read before"),
        pytest.param([(0, 5000)], 0, 5400, 0, id="ahead of the estimate"),
        pytest.param(
            [(0, 5000)], 0, 8000, None, id="of a clock that is far ahead"
        ),
        pytest.param(
            [(0, 5000), (1000, 5100)], 1000, 4000, 2000, id="late answer"
        ),
        pytest.param(
            [(0, 5000), (30_000, 33_600)],
            30_000,
            34_000,
            1000,
            id="late answers for half a minute",
        ),
        pytest.param(
            [(0, 5000), (1000, 6200)], 1000, 4000, 2200, id="quicker answer"
        ),
        pytest.param(
            [(0, 5000), (61_000, 5100)],
            61_000,
            5000,
            100,
            id="clock of a store that was replaced",
        ),
        pytest.param(
            [(0, _HOUR_MS)], _HOUR_MS, 0, 2 * _HOUR_MS, id="long silence"
        ),
    ],
)
def test_age_of_a_moment(
    samples: list[tuple[int, int]],
    now_ms: int,
    moment_ms: int,
    age_ms: int | None,
) -> None:
    """Guards against an old number that is taken for a recent one."""

    async def simulate() -> datetime.timedelta | None:
        time_source = clock.ManualClock()
        store_clock = records.StoreClock(time_source)
        elapsed_ms = 0
        for time_ms, reading_ms in samples:
            await time_source.advance((time_ms - elapsed_ms) * _MS)
            elapsed_ms = time_ms
            store_clock.record_reading(reading_ms * _MS)
        await time_source.advance((now_ms - elapsed_ms) * _MS)
        return store_clock.compute_age(model.StoreMoment(7, moment_ms * _MS))

    assert asyncio.run(simulate()) == (
        None if age_ms is None else age_ms * _MS
    )


def test_unknown_moment_has_no_age() -> None:
    """Guards against a number of an earlier build that passes for recent."""
    store_clock = records.StoreClock(clock.ManualClock())
    store_clock.record_reading(5000 * _MS)
    assert store_clock.compute_age(None) is None
