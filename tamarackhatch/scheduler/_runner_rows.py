"""Rows of the runners on which runs may exist."""

from collections.abc import Callable

import attrs

from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch.scheduler import _cordons
from tamarackhatch.scheduler import _start_records


@attrs.frozen
class TrackedRunnersWrite:
    """A list of tracked runners to write.

    Attributes:
        entries: The runners.
        on_tracked: Called once this list is durable.
    """

    entries: tuple[records.TrackedRunner, ...]
    on_tracked: Callable[[], None]


class RunnerRows:
    """Prepares the rows of tracked and cordoned runners, and of open starts.

    The list of cordoned runners counts only if it is not older than that of
    tracked ones, so that a transaction contains both or only the former.
    """

    def __init__(
        self,
        cordons: _cordons.CordonList,
        start_records: _start_records.StartRecords,
    ) -> None:
        self._cordons = cordons
        self._start_records = start_records
        self._list_tracked_runners: (
            Callable[[], TrackedRunnersWrite] | None
        ) = None
        self._is_list_due = False
        self._prepared: TrackedRunnersWrite | None = None

    @property
    def is_due(self) -> bool:
        """Whether a write was requested."""
        return (
            self._is_list_due
            or self._cordons.is_due
            or self._start_records.is_due
        )

    @property
    def has_waiting_starts(self) -> bool:
        """Whether starts wait for a write of their row."""
        return self._start_records.is_due

    @property
    def has_urgent_starts(self) -> bool:
        """Whether starts of urgent tasks wait for a write of their row."""
        return self._start_records.has_urgent

    def request_list(
        self, list_runners: Callable[[], TrackedRunnersWrite]
    ) -> None:
        """Requests that the list of tracked runners be written.

        Args:
            list_runners: Returns the list when it is written. Many runners
                ask for one within a batch interval.
        """
        self._list_tracked_runners = list_runners
        self._is_list_due = True

    def enable(self) -> None:
        """Allows writes of what this term knows from its predecessor."""
        self._start_records.enable()
        self._cordons.enable()

    def request_cordon_update(self) -> None:
        """Requests that the list of cordoned runners be written."""
        self._cordons.request_write()

    def prepare(self, has_heartbeat: bool) -> list[model.Put]:
        """Returns the rows of the next transaction.

        Args:
            has_heartbeat: Whether it also contains a heartbeat.
        """
        rows: list[model.Put] = []
        if self._is_list_due and self._list_tracked_runners is not None:
            self._prepared = self._list_tracked_runners()
            self._is_list_due = False
            rows += records.encode_tracked_runners(self._prepared.entries)
        cordons = self._cordons.prepare_write(has_heartbeat, bool(rows))
        if cordons is not None:
            rows.append(cordons)
        return rows + self._start_records.prepare(has_heartbeat)

    def record_commit(self) -> None:
        """Records that the prepared rows are durable."""
        self._cordons.record_commit()
        self._start_records.record_commit()
        prepared, self._prepared = self._prepared, None
        if prepared is not None:
            prepared.on_tracked()

    def record_failure(self) -> None:
        """Records that the prepared rows may not be durable."""
        self._start_records.record_failure()
        if self._prepared is not None:
            self._prepared = None
            self._is_list_due = True
