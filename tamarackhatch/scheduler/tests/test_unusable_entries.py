"""Tests that unusable registry entries are reported, within bounds."""

import datetime
import os

import orjson

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch.scheduler import _unusable_entries


class _Report:
    """Unusable entries, and what is logged and counted of them."""

    def __init__(self) -> None:
        self._reader, writer = os.pipe()
        os.set_blocking(self._reader, False)
        self.clock = clock.ManualClock()
        self._metrics = observability.Metrics()
        sink = observability.LineSink(writer, self.clock, 10_000)
        log = observability.Log(
            sink, self.clock, observability.LevelFilter(), "scheduler"
        )
        self.entries = _unusable_entries.UnusableEntries(
            self.clock, log, self._metrics
        )

    @property
    def count(self) -> float:
        """Number of changes that were counted."""
        counter = self._metrics.unreadable_entries.labels("registry")
        return sum(
            sample.value
            for metric in counter.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        )

    def record(self, key: str, version: int, reason: str) -> None:
        """Records one unusable entry."""
        ref = model.RowRef(platform.RUNNERS_TABLE, "", key)
        self.entries.record(model.Row(ref, b"", version), reason)

    def read_lines(self) -> list[dict[str, object]]:
        """Returns the lines since the last call."""
        try:
            content = os.read(self._reader, 1 << 20)
        except BlockingIOError:
            return []
        return [orjson.loads(line) for line in content.splitlines()]


def test_entry_is_reported_once_for_each_change() -> None:
    """Guards against a log that repeats a lasting entry, or omits a change."""
    report = _Report()
    for _ in range(3):
        report.record("i", 5, "zone is missing")
    (line,) = report.read_lines()
    assert (line["event"], line["level"]) == (
        "runner_row_unreadable",
        "warning",
    )
    assert (line["runner"], line["reason"]) == ("i", "zone is missing")
    assert report.count == 1
    report.record("i", 6, "zone is missing")
    assert report.read_lines() == [] and report.count == 2
    report.record("i", 7, "seq is missing")
    assert len(report.read_lines()) == 1 and report.count == 3
    report.entries.forget("i")
    report.record("i", 8, "seq is missing")
    assert len(report.read_lines()) == 1 and report.count == 4
    report.entries.keep_only({"j"})
    report.record("i", 9, "seq is missing")
    assert len(report.read_lines()) == 1


def test_lines_and_known_entries_are_bounded() -> None:
    """Guards against a log and a memory that another writer fills."""
    report = _Report()
    for version in range(1, 5_001):
        report.record("x" * 5_000 + str(version), version, "not JSON")
    lines = report.read_lines()
    assert len(lines) == 10
    assert all(len(str(line["runner"])) == 200 for line in lines)
    assert report.count == 5_000
    assert len(report.entries._known) == 1_000
    report.clock._elapsed += datetime.timedelta(seconds=11)
    report.record("i", 1, "not JSON")
    (line,) = report.read_lines()
    assert line["omitted_lines"] == 4_990
