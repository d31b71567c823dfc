"""Tests that rows which grow with something stay within the store's limit."""

from collections.abc import Callable
from collections.abc import Sequence
import datetime

import attrs
import pytest

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import records


def _make_runners(count: int) -> tuple[records.TrackedRunner, ...]:
    return tuple(
        records.TrackedRunner(
            f"i-{number:08x}", f"10.1.0.1:{number}", "service", 1_796_599_740
        )
        for number in range(count)
    )


def _make_tasks(count: int) -> tuple[model.TaskKey, ...]:
    return tuple(
        model.TaskKey(f"{number:016x}", 0, 1, 2) for number in range(count)
    )


def _encode_runners(count: int) -> list[bytes]:
    puts = records.encode_tracked_runners(_make_runners(count))
    return [put.value for put in puts]


def _encode_cordons(count: int) -> list[bytes]:
    tasks = _make_tasks(5)
    cordoned = (
        records.CordonedRunner(f"i-{number}", tasks) for number in range(count)
    )
    return [records.encode_cordons(tuple(cordoned))]


def _encode_open_starts(count: int) -> list[bytes]:
    starts = (
        records.OpenStart(task, 1003, "i-0123abcd", datetime.timedelta(0, 9))
        for task in _make_tasks(count)
    )
    return [records.encode_open_starts(starts)]


def _encode_waiting_tasks(count: int) -> list[bytes]:
    return [records.encode_waiting_tasks(7, _make_tasks(count))]


def _encode_heartbeat(count: int) -> list[bytes]:
    pending = {f"queue-{hash((it, 5)):x}-{it}": it for it in range(count)}
    heartbeat = records.LeaderHeartbeat("a", "b", 1, pending=pending)
    return [records.encode_leader_heartbeat(heartbeat)]


def _make_interference(count: int) -> placement.InterferenceTable:
    images = [f"image-{number}" for number in range(count)]
    return placement.InterferenceTable(
        tuple(
            placement.InterferenceFactor(
                serving, best_effort, 1.25, (index + 1) / 8
            )
            for serving in images[:40]
            for index, best_effort in enumerate(images)
        ),
        {image: 12.5 for image in images},
        {image: 0.75 for image in images},
    )


def _encode_interference(count: int) -> list[bytes]:
    return [records.encode_interference(_make_interference(count))]


def _make_configuration(version: int, count: int) -> model.Configuration:
    queues = tuple(
        model.Queue(
            name=f"{hash((it, version)):x}",
            host=f"{hash((version, it)):x}.example",
            path_prefix=f"/{it:x}/",
            service=f"{hash(it * 7919):x}",
        )
        for it in range(count)
    )
    return attrs.evolve(
        model.EMPTY_CONFIGURATION, version=version, queues=queues
    )


def _encode_change(count: int) -> list[bytes]:
    change = model.compute_change(
        model.EMPTY_CONFIGURATION, _make_configuration(3, count)
    )
    return [put.value for put in records.encode_change(change, 0)]


@pytest.mark.parametrize("count", [1, 40, 700, 3_000])
@pytest.mark.parametrize(
    "encode",
    [
        _encode_runners,
        _encode_cordons,
        _encode_open_starts,
        _encode_waiting_tasks,
        _encode_heartbeat,
        _encode_interference,
        _encode_change,
    ],
)
def test_rows_stay_within_the_limit(
    encode: Callable[[int], Sequence[bytes]], count: int
) -> None:
    """Guards against a row that the store rejects for its length."""
    for value in encode(count):
        assert records.compute_stored_size(value) <= 65_536


@pytest.mark.parametrize("count", [0, 1, 600, 3_000])
def test_no_tracked_runner_is_left_out(count: int) -> None:
    """Guards against a runner that a successor does not ask for its runs."""
    runners = _make_runners(count)
    rows = [
        model.Row(put.ref, put.value, 5)
        for put in records.encode_tracked_runners(runners)
    ]
    assert (len(rows) > 1) is (count > 600)
    assert records.decode_tracked_runners(rows[::-1]) == runners
    # A longer list of before has left rows behind.
    ref = records.get_tracked_runners_ref(len(rows))
    left = model.Row(ref, b"[]", 4)
    assert records.decode_tracked_runners([*rows, left]) == runners


@pytest.mark.parametrize("damage", ["missing", "older", "malformed"])
def test_incomplete_list_of_tracked_runners_is_unreadable(damage: str) -> None:
    """Guards against a successor that starts tasks beside unknown runs."""
    first, second, *others = [
        model.Row(put.ref, put.value, 5)
        for put in records.encode_tracked_runners(_make_runners(3_000))
    ]
    if damage == "older":
        others.append(attrs.evolve(second, version=4))
    elif damage == "malformed":
        others.append(attrs.evolve(second, value=b"[3]"))
    with pytest.raises(records.MalformedRowError):
        records.decode_tracked_runners([first, *others])


def test_least_certain_factors_are_left_out() -> None:
    """Guards against well-known factors that a takeover loses."""
    table = records.decode_interference(
        records.encode_interference(_make_interference(700))
    )
    deviations = sorted(factor.deviation for factor in table.factors)
    assert len(deviations) > 400
    assert deviations[-1] < 700 / 8 / 4
    assert "image-699" in table.peaks


def test_interference_that_fits_is_stored_whole() -> None:
    """Guards against factors that are left out beside room for them."""
    table = _make_interference(20)
    assert (
        records.decode_interference(records.encode_interference(table))
        == table
    )


def test_row_of_open_starts_keeps_its_form() -> None:
    """Guards against open starts misread by other releases in an upgrade."""
    row = b'{"starts":[["00",1,2,3,1003,"i-7",8500]]}'
    start = records.OpenStart(
        model.TaskKey("00", 1, 2, 3),
        1003,
        "i-7",
        datetime.timedelta(milliseconds=8500),
    )
    assert records.decode_open_starts(row) == (start,)
    assert records.encode_open_starts([start]) == row


def test_row_of_open_starts_tells_which_were_sent_once() -> None:
    """Guards against a repeated start that a successor takes for a single."""
    row = (
        b'{"starts":[["00",0,0,1,7,"i-1",12500],["00",0,0,2,7,"i-2",12500],'
        b'["00",0,0,3,7,"i-3",8500]],"single":[0,2]}'
    )
    starts = tuple(
        records.OpenStart(
            model.TaskKey("00", 0, 0, index),
            7,
            f"i-{index}",
            datetime.timedelta(milliseconds=remaining),
            is_repeated,
        )
        for index, remaining, is_repeated in (
            (1, 12_500, False),
            (2, 12_500, True),
            (3, 8_500, False),
        )
    )
    assert records.decode_open_starts(row) == starts
    assert records.encode_open_starts(starts) == row
