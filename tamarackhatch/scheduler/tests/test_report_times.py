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
            [(10.0, 5.0, 10.1), (10.2, 6.5, 11.8)], 10.2, id="after-a-wait"
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
    assert entry.ack_evidence.known_since == expected_s * _SECOND


@pytest.mark.parametrize("suspended_s", [1.0, 10.0])
def test_report_was_not_made_after_its_arrival(suspended_s: float) -> None:
    """Guards against acknowledgements over any connection after a pause.

    Monotonic time stands still while the scheduler's machine is suspended,
    and the runner's clock goes on.
    """
    entry = _fleet.make_runner_entry(
        model.Runner("i-0", "office", "h:1", "", False, model.Resources())
    )
    entry.record_clock(5 * _SECOND, 10 * _SECOND, 10.1 * _SECOND)
    reading = (6 + suspended_s) * _SECOND
    entry.record_clock(reading, 11 * _SECOND, 11.1 * _SECOND)
    assert entry.ack_evidence.known_since <= 11.1 * _SECOND


@pytest.mark.parametrize(
    ("reports", "is_any_connection_used"), [(1, False), (2, False), (3, True)]
)
def test_exits_that_stay_listed_are_acknowledged_over_any_connection(
    reports: int, is_any_connection_used: bool
) -> None:
    """Guards against exits of a runner that keeps no connection open."""
    entry = _fleet.make_runner_entry(
        model.Runner("i-0", "office", "h:1", "", False, model.Resources())
    )
    entry.record_clock(5 * _SECOND, 10 * _SECOND, 10.1 * _SECOND)
    run_exit = model.RunExit(
        1, model.TaskKey("00", 0, 0, 0), 1, model.ExitReason.DONE, ""
    )
    for _ in range(reports):
        entry.ack_evidence.record_exits((run_exit,), 1, 1)
    is_used = entry.ack_evidence.known_since == datetime.timedelta.max
    assert is_used is is_any_connection_used
    entry.ack_evidence.record_exits((), 1, 1)
    assert entry.ack_evidence.known_since == 10 * _SECOND
