"""Tests when an instance counts as unfit and leaves the rotation."""

from collections.abc import Callable
import datetime

import pytest

from tamarackhatch import entry

_MS = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
_INTERVAL_S = 0.5
_GOOD = entry.Reading(silence=200 * _MS, calls=4)
_REFUSED = entry.Reading(silence=900 * _MS, calls=4, refused_calls=4)
_SILENT = entry.Reading(silence=2600 * _MS)
_SLOW = entry.Reading(silence=200 * _MS, calls=4, lag=700 * _MS)


class _Trace:
    """Readings of an instance, and what was decided after each."""

    def __init__(self, has_fit_neighbour: bool = True) -> None:
        self.monitor = entry.FitnessMonitor()
        self.fit: list[bool] = []
        self.in_rotation: list[bool] = []
        self._has_fit_neighbour = has_fit_neighbour

    def add(self, reading: entry.Reading, count: int = 1) -> None:
        """Records the same reading several times, every half second."""
        for _ in range(count):
            now = len(self.fit) * _INTERVAL_S * _SECOND
            self.monitor.record_reading(reading, self._has_fit_neighbour, now)
            self.fit.append(self.monitor.is_fit)
            self.in_rotation.append(self.monitor.is_in_rotation)

    def get_longest_absence(self, span_s: float) -> float:
        """Returns the most time out of rotation in any span, in seconds."""
        width = round(span_s / _INTERVAL_S)
        absent = [not value for value in self.in_rotation]
        return max(
            sum(absent[start : start + width]) * _INTERVAL_S
            for start in range(max(1, len(absent) - width + 1))
        )


@pytest.mark.parametrize(
    ("reading", "cause"),
    [
        pytest.param(_GOOD, None, id="good"),
        pytest.param(_REFUSED, entry.Cause.STORE, id="all calls refused"),
        pytest.param(_SILENT, entry.Cause.STORE, id="no answer"),
        pytest.param(
            entry.Reading(configuration_age=2500 * _MS),
            entry.Cause.STORE,
            id="configuration not read",
        ),
        pytest.param(_SLOW, entry.Cause.SLOW, id="late event loop"),
        pytest.param(
            entry.Reading(calls=1, refused_calls=1),
            None,
            id="one refused call proves nothing",
        ),
        pytest.param(
            entry.Reading(calls=5, refused_calls=2),
            None,
            id="most calls answered",
        ),
        pytest.param(
            entry.Reading(silence=2300 * _MS),
            None,
            id="store 200 times slower",
        ),
    ],
)
def test_cause(reading: entry.Reading, cause: entry.Cause | None) -> None:
    """Guards against instances that leave for a usual disturbance."""
    assert reading.cause is cause


@pytest.mark.parametrize("bad", [_REFUSED, _SILENT, _SLOW])
def test_one_bad_reading_changes_nothing(bad: entry.Reading) -> None:
    """Guards against leaving the rotation because of a moment."""
    trace = _Trace()
    for _ in range(20):
        trace.add(bad)
        trace.add(_GOOD)
    assert all(trace.fit)
    assert all(trace.in_rotation)


@pytest.mark.parametrize("bad", [_REFUSED, _SILENT, _SLOW])
def test_unfit_after_two_bad_readings_and_fit_after_3_s(
    bad: entry.Reading,
) -> None:
    """Guards against a late reaction, and against a change back too early."""
    trace = _Trace()
    trace.add(_GOOD, 4)
    trace.add(bad, 2)
    assert trace.fit == [True] * 5 + [False]
    trace.add(_GOOD, 6)
    assert not any(trace.fit[5:])
    trace.add(_GOOD)
    assert trace.fit[-1]


def test_refused_instance_is_out_of_rotation_until_it_is_served() -> None:
    """Guards against callers sent to an instance without a store for 9 s."""
    trace = _Trace()
    trace.add(_GOOD, 10)
    trace.add(_REFUSED, 18)
    assert not any(trace.in_rotation[11:])
    trace.add(_GOOD, 8)
    assert trace.in_rotation[-1]


@pytest.mark.parametrize("bad", [_REFUSED, _SILENT, _SLOW])
def test_last_fit_instance_of_a_data_centre_stays_in_rotation(
    bad: entry.Reading,
) -> None:
    """Guards against a data centre without any instance in rotation."""
    trace = _Trace(has_fit_neighbour=False)
    trace.add(bad, 20)
    trace.add(_GOOD, 3)
    assert all(trace.in_rotation)
    assert not trace.monitor.is_fit


@pytest.mark.parametrize(
    "pattern",
    [
        pytest.param(lambda trace: trace.add(_SLOW, 400), id="slow for ever"),
        pytest.param(
            lambda trace: [
                (trace.add(_SLOW, 2), trace.add(_GOOD, 7)) for _ in range(44)
            ],
            id="slow again and again",
        ),
        pytest.param(
            lambda trace: [
                (trace.add(_SLOW, 3), trace.add(_GOOD, 1)) for _ in range(100)
            ],
            id="slow most of the time",
        ),
    ],
)
def test_slowness_alone_takes_out_at_most_2_s_in_20(
    pattern: Callable[[_Trace], object],
) -> None:
    """Guards against an instance of half a core that is never in rotation."""
    trace = _Trace()
    pattern(trace)
    assert 0 < trace.get_longest_absence(20) <= 2


@pytest.mark.parametrize("bad", [_REFUSED, _SLOW])
@pytest.mark.parametrize("good_count", [1, 2, 6, 7, 8, 12, 20])
def test_ready_for_seven_eighths_of_the_time_in_which_it_is_served(
    bad: entry.Reading, good_count: int
) -> None:
    """Guards against readiness that is lost after each short refusal."""
    trace = _Trace()
    served: list[int] = []
    while len(trace.fit) < 600:
        trace.add(bad, 2)
        trace.add(_GOOD, good_count)
        served.extend([bad is _SLOW] * 2 + [True] * good_count)
    absent = sum(
        is_served and not is_present
        for is_served, is_present in zip(
            served, trace.in_rotation, strict=True
        )
    )
    assert absent <= sum(served) / 8


def test_suspension_of_the_process_uses_no_time() -> None:
    """Guards against a budget that is used up while a process is stopped."""
    monitor = entry.FitnessMonitor()
    monitor.record_reading(_REFUSED, True, 0 * _SECOND)
    monitor.record_reading(_REFUSED, True, 1 * _SECOND)
    assert not monitor.is_in_rotation
    monitor.record_reading(_GOOD, True, 60 * _SECOND)
    assert not monitor.is_in_rotation
    assert not monitor.is_fit
