"""Tests when the last report of a runner was made, at the earliest."""

import datetime

import pytest

from tamarackhatch import model
from tamarackhatch.scheduler import _fleet

_SECOND = datetime.timedelta(seconds=1)


@pytest.mark.parametrize(
    ("readings", "expected_s"),
    [
        pytest.param([(10.0, 5.0, 10.1)], 10.0, id="first"),
        pytest.param(
            [(10.0, 5.0, 10.1), (10.2, 6.5, 11.8)], 11.5, id="after-a-wait"
        ),
        pytest.param(
            [(10.0, 5.0, 10.1), (10.2, 5.2, 19.0)],
            10.2,
            id="arrived-while-stopped",
        ),
        pytest.param(
            [(10.0, 5.0, 10.1), (110.0, 103.0, 110.1)],
            110.0,
            id="slow-clock",
        ),
    ],
)
def test_report_was_not_made_before(
    readings: list[tuple[float, float, float]], expected_s: float
) -> None:
    """Guards against a connection that seems older than a report.

    Each reading is the time of the renewal, the runner's clock, and the time
    of the answer, in seconds.
    """
    entry = _fleet.make_runner_entry(
        model.Runner("i-0", "office", "h:1", "", False, model.Resources())
    )
    for sent_s, clock_s, arrived_s in readings:
        entry.record_clock(
            clock_s * _SECOND, sent_s * _SECOND, arrived_s * _SECOND
        )
    assert entry.reported_at == expected_s * _SECOND
