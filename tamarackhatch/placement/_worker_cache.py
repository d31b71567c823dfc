"""Newest known rows of workers on this entry instance."""

import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import platform


@attrs.frozen
class KnownWorker:
    """A worker's row as last read or written.

    Attributes:
        record: Content of the row.
        version: Version of the row; 0 if there is none yet.
        read_at: Monotonic time of the reading.
    """

    record: model.WorkerRecord
    version: int
    read_at: datetime.timedelta


class WorkerCache:
    """Rows of workers, shared by the dispatcher and the worker manager.

    A cached row may be out of date. Every decision based on it is committed
    on condition of its version.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._known: dict[str, KnownWorker] = {}
        self._change_count = 0

    @property
    def change_count(self) -> int:
        """Rises whenever the content of a row changed."""
        return self._change_count

    def get_worker(self, worker: str) -> KnownWorker | None:
        """Returns the newest known row, or None."""
        return self._known.get(worker)

    def note_row(self, row: platform.Row) -> None:
        """Takes a row as read from the store."""
        record = platform.decode_row(row.value, model.WorkerRecord)
        self.note_record(record, row.version)

    def note_record(self, record: model.WorkerRecord, version: int) -> None:
        """Takes a record with the version of its row."""
        known = self._known.get(record.worker)
        if known is not None and version < known.version:
            # A slow read may arrive after a newer one. Versions only rise.
            return
        if known is None or known.record != record:
            self._change_count += 1
        self._known[record.worker] = KnownWorker(
            record, version, self._clock.get_monotonic()
        )

    def forget_worker(self, worker: str) -> None:
        """Drops a row, so that it is read again before its next use."""
        if self._known.pop(worker, None) is not None:
            self._change_count += 1
