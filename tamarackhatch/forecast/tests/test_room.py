"""Places of waiting tasks on the runners of a rack."""

import datetime

import pytest

from tamarackhatch import forecast
from tamarackhatch import model

_SECOND = datetime.timedelta(seconds=1)
_NOW = 100 * _SECOND
_DEMAND = model.Resources(4_000, 500)


def _make_room(
    free_cpu: int, *releases: tuple[float, int]
) -> forecast.RunnerRoom:
    return forecast.RunnerRoom(
        model.Resources(free_cpu, 10_000),
        tuple(
            forecast.Release(_NOW + time_s * _SECOND, model.Resources(cpu, 0))
            for time_s, cpu in releases
        ),
        _NOW,
    )


@pytest.mark.parametrize(
    ("rooms", "count", "latest_s", "limit", "expected_s"),
    [
        pytest.param([_make_room(4_000)], 1, 1, 0, [0], id="free now"),
        pytest.param(
            [_make_room(0, (0.2, 3_000), (0.6, 3_000))],
            1,
            1,
            0,
            [0.6],
            id="two releases make one place",
        ),
        pytest.param(
            [_make_room(0, (0.5, 4_000)), _make_room(0, (0.3, 4_000))],
            3,
            1,
            0,
            [0.3, 0.5],
            id="no place twice",
        ),
        pytest.param(
            [_make_room(0, (0.3, 4_000))],
            3,
            5,
            0,
            [0.3, 2.3, 4.3],
            id="after tasks that hold places",
        ),
        pytest.param(
            [_make_room(0, (1.5, 4_000))], 1, 1, 0, [], id="too late"
        ),
        pytest.param(
            [_make_room(-2_000, (0.3, 4_000), (0.4, 4_000))],
            1,
            1,
            0,
            [0.4],
            id="runner has shrunk",
        ),
        pytest.param(
            [_make_room(0, (0.3, 8_000))], 2, 1, 1, [0.3], id="one per runner"
        ),
    ],
)
def test_places(
    rooms: list[forecast.RunnerRoom],
    count: int,
    latest_s: float,
    limit: int,
    expected_s: list[float],
) -> None:
    """Guards against tasks that count on the same capacity.

    Load: 60 % of the urgent jobs prefer one rack, which is full.
    """
    by_name = {str(index): room for index, room in enumerate(rooms)}
    found = forecast.forecast_room(
        by_name,
        by_name,
        _DEMAND,
        count,
        2 * _SECOND,
        _NOW,
        _NOW + latest_s * _SECOND,
        limit,
    )
    assert [(time - _NOW) / _SECOND for time in found.times] == pytest.approx(
        expected_s
    )
    # The next step's tasks come after these.
    later = forecast.forecast_room(
        found.rooms,
        by_name,
        _DEMAND,
        1,
        2 * _SECOND,
        _NOW,
        _NOW + 100 * _SECOND,
        limit,
    )
    if expected_s and later.times:
        assert later.times[0] >= found.times[-1]
