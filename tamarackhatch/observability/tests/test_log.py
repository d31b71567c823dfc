"""Rate limit, levels and non-blocking writes of the log."""

import datetime
import os

import orjson
import pytest

from tamarackhatch import clock
from tamarackhatch import observability


def _make_log(
    lines_per_s: int,
) -> tuple[observability.Log, clock.ManualClock, int, int]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    time_source = clock.ManualClock()
    sink = observability.LineSink(writer, time_source, lines_per_s)
    levels = observability.LevelFilter()
    return (
        observability.Log(sink, time_source, levels, "p"),
        time_source,
        reader,
        writer,
    )


def _read_events(reader: int) -> list[dict[str, object]]:
    try:
        content = os.read(reader, 1 << 20)
    except BlockingIOError:
        return []
    return [orjson.loads(line) for line in content.splitlines()]


def test_line_has_time_level_component_and_fields() -> None:
    """A line is one JSON object with the fields of the event."""
    log, _, reader, _ = _make_log(10)
    log.info("placed", task="00.0.0.0", run=1)
    assert _read_events(reader) == [
        {
            "part": "p",
            "task": "00.0.0.0",
            "run": 1,
            "event": "placed",
            "time": "2026-01-01T00:00:00.000+00:00",
            "level": "info",
        }
    ]


def test_rate_is_limited_and_dropped_lines_are_counted() -> None:
    """Warnings pass the limit; the next second reports the dropped lines."""
    log, time_source, reader, _ = _make_log(3)
    for number in range(8):
        log.info("placed", number=number)
    log.warning("lost")
    assert len(_read_events(reader)) == 4
    time_source._elapsed += datetime.timedelta(seconds=2)
    log.info("placed")
    first = _read_events(reader)[0]
    assert (first["event"], first["count"]) == ("log_lines_dropped", 5)


def test_dropped_lines_are_not_rendered() -> None:
    """Guards against processor time for lines that nobody reads."""
    log, _, reader, _ = _make_log(3)
    rendered = []

    class Field:
        def __str__(self) -> str:
            rendered.append(self)
            return "text"

    for _ in range(8):
        log.info("placed", field=Field())
    assert len(_read_events(reader)) == len(rendered) == 3


def test_full_pipe_does_not_block() -> None:
    """Guards against a process that blocks on a full log pipe."""
    log, _, reader, _ = _make_log(10**9)
    for _ in range(5_000):
        log.info("placed", text="x" * 100)
    assert _read_events(reader)


def test_debug_events_need_the_debug_level() -> None:
    """Events below the minimum level are not written."""
    log, _, reader, _ = _make_log(10)
    log.debug("sample")
    assert _read_events(reader) == []


def _nest(depth: int) -> object:
    value: list[object] = []
    for _ in range(depth):
        value = [value]
    return value


@pytest.mark.parametrize(
    ("value", "written"),
    [
        (10**30, "1" + "0" * 30),
        (-(2**63) - 1, "-9223372036854775809"),
        ("a\ud800", "a\\ud800"),
        ({"a\ud800": 1}, "{'a\\ud800': 1}"),
        (_nest(300), "[[[[[[[...]]]]]]]"),
        (_nest(900), "[[[[[[[...]]]]]]]"),
        ({1: 2}, "{1: 2}"),
    ],
    ids=lambda value: ascii(value)[:20],
)
def test_line_with_a_value_that_is_no_json_is_written(
    value: object, written: str
) -> None:
    """Guards against a log line that ends the task that writes it."""
    log, _, reader, _ = _make_log(10)
    log.warning("odd", value=value, run=1)
    (event,) = _read_events(reader)
    assert event["value"] == written
    assert event["run"] == 1 and event["event"] == "odd"


def test_costly_fields_are_asked_for_only_at_level_debug() -> None:
    """Guards against making the fields of lines that are not written."""
    sink = observability.LineSink(os.pipe()[1], clock.ManualClock(), 10)
    levels = observability.LevelFilter()
    log = observability.Log(sink, clock.ManualClock(), levels)
    component = log.for_component("p")
    assert not component.is_debugging
    levels.set_level("debug")
    assert component.is_debugging


def test_lines_of_one_logger_share_no_fields() -> None:
    """Guards against fields of one line that appear in later lines."""
    log, _, reader, _ = _make_log(10)
    log.info("placed", run=1)
    log.for_component("q").info("placed")
    log.info("exited", task="00.0.0.0")
    assert [
        sorted(set(event) - {"time", "level"})
        for event in _read_events(reader)
    ] == [
        ["event", "part", "run"],
        ["event", "part"],
        ["event", "part", "task"],
    ]
