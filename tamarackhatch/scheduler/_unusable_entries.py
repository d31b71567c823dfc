"""Reports registry entries that name no runner."""

import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability

_SOURCE = "registry"
# Another writer may store any number of entries, and change them at any rate.
_MAX_KNOWN_ENTRIES = 1_000
_MAX_LINES_PER_WINDOW = 10
# Length of a key in a log line, in characters.
_MAX_KEY = 200
_WINDOW = datetime.timedelta(seconds=10)


class UnusableEntries:
    """Logs and counts unusable entries, once for each change."""

    def __init__(
        self,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._known: dict[str, tuple[int, str]] = {}
        self._window_start = time_source.get_monotonic()
        self._lines_in_window = 0
        self._omitted_lines = 0

    def record(self, row: model.Row, reason: str) -> None:
        """Records that an entry names no runner.

        Args:
            row: The entry.
            reason: The field and what is wrong with it.
        """
        version, former_reason = self._known.get(row.ref.key, (0, ""))
        if version == row.version:
            # The whole table was read again.
            return
        self._metrics.unreadable_entries.labels(_SOURCE).inc()
        if row.ref.key in self._known or len(self._known) < _MAX_KNOWN_ENTRIES:
            self._known[row.ref.key] = (row.version, reason)
        if reason != former_reason:
            self._write_line(row.ref.key, reason)

    def forget(self, key: str) -> None:
        """Records that an entry can be read, or was removed."""
        self._known.pop(key, None)

    def keep_only(self, listed: set[str]) -> None:
        """Forgets entries that the registry no longer lists."""
        for key in self._known.keys() - listed:
            del self._known[key]

    def _write_line(self, key: str, reason: str) -> None:
        now = self._clock.get_monotonic()
        if now - self._window_start >= _WINDOW:
            self._window_start, self._lines_in_window = now, 0
        if self._lines_in_window >= _MAX_LINES_PER_WINDOW:
            self._omitted_lines += 1
            return
        self._lines_in_window += 1
        omitted, self._omitted_lines = self._omitted_lines, 0
        self._log.warning(
            "runner_row_unreadable",
            runner=key[:_MAX_KEY],
            reason=reason,
            omitted_lines=omitted,
        )
