"""Tests which instances are asked, when, and how often."""

import datetime

import pytest

from tamarackhatch import entry
from tamarackhatch import records

_MS = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)


def _make_row(
    name: str, version: int = 1, data_centre: str = "r-x", is_fit: bool = True
) -> entry.ReadInstance:
    record = records.InstanceRecord(name, data_centre, "10.0.0.9:1", is_fit)
    return entry.ReadInstance(record, version)


def _make_directory(*rows: entry.ReadInstance) -> entry.PeerDirectory:
    directory = entry.PeerDirectory("m", "r-x")
    directory.update(rows, 100 * _SECOND)
    return directory


def _list_names(
    directory: entry.PeerDirectory, now_s: float = 100
) -> list[str]:
    return [
        record.name for record in directory.list_candidates(now_s * _SECOND)
    ]


def test_order_is_fitness_then_distance() -> None:
    """Guards against traffic between data centres without need."""
    directory = _make_directory(
        _make_row("far", data_centre="s-x"),
        _make_row("unfit", is_fit=False),
        _make_row("region", data_centre="r-y"),
        _make_row("near"),
        _make_row("m"),
    )
    assert _list_names(directory) == ["near", "region", "far", "unfit"]


def test_requests_are_spread_over_equal_instances() -> None:
    """Guards against all requests of all instances going to the same one."""
    rows = [_make_row(name) for name in "abxyz"]
    directory = _make_directory(*rows)
    first = [_list_names(directory)[0] for _ in range(6)]
    assert first[0] == "x"
    assert set(first) == set("abxyz")


@pytest.mark.parametrize(
    ("is_silent", "avoided_s"), [(True, 5.0), (False, 2.0)]
)
def test_instance_that_did_not_help_is_asked_last(
    is_silent: bool, avoided_s: float
) -> None:
    """Guards against a timeout for each request beside a dead neighbour."""
    directory = _make_directory(_make_row("a"), _make_row("b"))
    record = (
        directory.record_silence if is_silent else (directory.record_refusal)
    )
    record("a", 100 * _SECOND)
    for _ in range(3):
        assert _list_names(directory, 100 + avoided_s - 0.01) == ["b", "a"]
    orders = {tuple(_list_names(directory, 100 + avoided_s)) for _ in "123"}
    assert ("a", "b") in orders


def test_success_ends_the_avoidance() -> None:
    """Guards against avoiding a neighbour that has answered meanwhile."""
    directory = _make_directory(_make_row("a"), _make_row("b"))
    directory.record_silence("a", 100 * _SECOND)
    directory.record_success("a")
    orders = {tuple(_list_names(directory)) for _ in "123"}
    assert ("a", "b") in orders


def test_row_that_does_not_change_for_30_s_is_ignored() -> None:
    """Guards against calls to instances that are gone."""
    directory = _make_directory(_make_row("a"), _make_row("b"))
    for second in range(105, 131, 5):
        directory.update([_make_row("a"), _make_row("b", 2)], second * _SECOND)
    assert _list_names(directory, 130) == ["a", "b"] or _list_names(
        directory, 130
    ) == ["b", "a"]
    directory.update([_make_row("a"), _make_row("b", 3)], 131 * _SECOND)
    assert _list_names(directory, 131) == ["b"]
    assert directory.list_stale() == [_make_row("a")]
    directory.update([_make_row("a", 4), _make_row("b", 3)], 136 * _SECOND)
    assert directory.list_stale() == []


def test_instance_without_the_store_keeps_its_peers() -> None:
    """Guards against losing all peers in the outage that they are for."""
    directory = _make_directory(_make_row("a"))
    assert _list_names(directory, 100_000) == ["a"]


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        ([], False),
        ([_make_row("m")], False),
        ([_make_row("a", is_fit=False)], False),
        ([_make_row("a", data_centre="r-y")], False),
        ([_make_row("a")], True),
    ],
)
def test_fit_neighbour(rows: list[entry.ReadInstance], expected: bool) -> None:
    """Guards against counting on an instance that takes no callers here."""
    assert _make_directory(*rows).has_fit_neighbour is expected


@pytest.mark.parametrize(
    ("earlier_ms", "last_answer_ms", "latency_ms", "expected_ms"),
    [
        pytest.param(None, 9_900, 10, 10_300, id="store answers"),
        pytest.param(None, None, 0, 10_300, id="first request"),
        pytest.param(9_000, 8_900, 10, 10_000, id="failing for long"),
        pytest.param(9_900, 9_800, 10, 10_200, id="failing for 0.1 s"),
        pytest.param(9_000, 9_950, 10, 10_250, id="other calls answered"),
        pytest.param(None, 9_900, 1_200, 11_200, id="slow for all"),
    ],
)
def test_time_to_forward(
    earlier_ms: int | None,
    last_answer_ms: int | None,
    latency_ms: int,
    expected_ms: int,
) -> None:
    """Guards against messages for each slow write, and against late ones."""
    trigger = entry.ForwardingTrigger()
    last_answer = None if last_answer_ms is None else last_answer_ms * _MS
    if earlier_ms is not None:
        trigger.begin(earlier_ms * _MS, last_answer, latency_ms * _MS)
    assert (
        trigger.begin(10_000 * _MS, last_answer, latency_ms * _MS)
        == expected_ms * _MS
    )
