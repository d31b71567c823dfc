"""Tests which heartbeats a refusal may be based on."""

import datetime

import pytest

from tamarackhatch import admission
from tamarackhatch import model

_S = datetime.timedelta(seconds=1)
_WAITS = (model.WaitSummary("office", False, 1, model.Resources()),)


@pytest.mark.parametrize(
    ("heartbeats", "now_s", "count"),
    [
        pytest.param([], 0, 0, id="none"),
        pytest.param([(0, 1, True)], 0.1, 0, id="one only"),
        pytest.param([(0, 1, True), (0.7, 1, True)], 0.8, 2, id="two"),
        pytest.param([(0, 1, True), (0.7, 1, True)], 1.7, 2, id="age 1.0 s"),
        pytest.param([(0, 1, True), (0.7, 1, True)], 1.9, 0, id="stale"),
        pytest.param(
            [(0, 1, True), (1.2, 1, True)], 1.3, 0, id="gap between them"
        ),
        pytest.param([(0, 1, True), (0.7, 2, True)], 0.8, 0, id="takeover"),
        pytest.param(
            [(0, 1, True), (0.7, 2, True), (1.4, 2, True)],
            1.5,
            2,
            id="two of the successor",
        ),
        pytest.param(
            [(0, 1, True), (0.7, 1, False)], 0.8, 0, id="nothing waits now"
        ),
        pytest.param(
            [(0, 1, True), (0.7, 1, False), (1.4, 1, True)],
            1.5,
            0,
            id="nothing waited in between",
        ),
        pytest.param(
            [(0, 1, True), (0.1, 1, True)], 0.2, 0, id="in quick succession"
        ),
        pytest.param(
            [(0, 1, True), (0.2, 1, True), (0.4, 1, True)],
            0.5,
            3,
            id="three in quick succession",
        ),
    ],
)
def test_reports_of_heartbeats(
    heartbeats: list[tuple[float, int, bool]], now_s: float, count: int
) -> None:
    """Guards against a refusal after an old figure, or after one only."""
    figures = admission.WaitFigures(0.7 * _S)
    for time_s, term, has_waits in heartbeats:
        waits = _WAITS if has_waits else ()
        figures.record_heartbeat(term, waits, time_s * _S)
    assert len(figures.list_current(now_s * _S)) == count
