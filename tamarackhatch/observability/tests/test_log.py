"""The log is bounded and never blocks."""

import datetime
import os

import orjson

from tamarackhatch import clock
from tamarackhatch import observability


def _make_log(
    lines_per_s: int,
) -> tuple[observability.Log, clock.ManualClock, int, int]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    source = clock.ManualClock()
    sink = observability.LineSink(writer, source, lines_per_s)
    levels = observability.LevelFilter()
    return observability.Log(sink, source, levels, "p"), source, reader, writer


def _read(reader: int) -> list[dict[str, object]]:
    try:
        content = os.read(reader, 1 << 20)
    except BlockingIOError:
        return []
    return [orjson.loads(line) for line in content.splitlines()]


def test_line_has_time_level_part_and_fields() -> None:
    """A line is one JSON object with what decided the event."""
    log, _, reader, _ = _make_log(10)
    log.info("placed", task="00.0.0.0", run=1)
    assert _read(reader) == [
        {
            "part": "p",
            "task": "00.0.0.0",
            "run": 1,
            "event": "placed",
            "time": "2026-01-01T00:00:00.000+00:00",
            "level": "info",
        }
    ]


def test_volume_is_bounded_and_dropped_lines_are_counted() -> None:
    """Warnings still pass, and the next second tells what was dropped."""
    log, source, reader, _ = _make_log(3)
    for number in range(8):
        log.info("placed", number=number)
    log.warning("lost")
    assert len(_read(reader)) == 4
    source._elapsed += datetime.timedelta(seconds=2)
    log.info("placed")
    first = _read(reader)[0]
    assert (first["event"], first["count"]) == ("log_lines_dropped", 5)


def test_reader_that_does_not_read_blocks_nothing() -> None:
    """Guards against a process that stands still for its log."""
    log, _, reader, _ = _make_log(10**9)
    for _ in range(5_000):
        log.info("placed", text="x" * 100)
    assert _read(reader)


def test_debug_lines_need_the_level() -> None:
    """Lines below the level are not written."""
    log, _, reader, _ = _make_log(10)
    log.debug("sample")
    assert _read(reader) == []
