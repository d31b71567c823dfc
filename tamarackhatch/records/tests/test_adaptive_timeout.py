"""Tests of AdaptiveTimeout."""

import datetime

import pytest

from tamarackhatch import records

_MS = datetime.timedelta(milliseconds=1)


@pytest.mark.parametrize(
    ("failures_ms", "answers_ms", "timeout_ms"),
    [
        ([], [], 900),
        ([5, 899], [], 900),
        ([900], [], 1800),
        ([900, 1800, 1800], [], 1800),
        ([900], [4], 900),
        ([900], [1320], 1800),
        ([900], [1320, 600], 1200),
        ([], [500], 1000),
    ],
)
def test_timeout_follows_the_answers(
    failures_ms: list[int], answers_ms: list[int], timeout_ms: int
) -> None:
    """Guards against calls that a slow store never answers in time.

    Guards also against a timeout that stays long, or that grows because of
    refusals, which come at once.
    """
    timeout = records.AdaptiveTimeout(900 * _MS, 1800 * _MS)
    for elapsed_ms in failures_ms:
        timeout.record_failure(elapsed_ms * _MS)
    for elapsed_ms in answers_ms:
        timeout.record_answer(elapsed_ms * _MS)
    assert timeout.current == timeout_ms * _MS
