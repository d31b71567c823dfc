"""Removes cancel and refusal rows of jobs that are not stored."""

import collections
from collections.abc import Sequence
import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records

_WRITE_TIMEOUT = datetime.timedelta(milliseconds=900)
# A transaction holds at most 100 entries; a row takes three of them.
_MAX_ROWS_PER_REMOVAL = 33
_MAX_REMOVALS_PER_ROUND = 32
# The rows are read at each takeover. Beyond this number, about 10 MB, the
# oldest are removed early.
_MAX_ROWS = 50_000
# Writes and repeated submissions arrive seconds late, so that a row has to be
# kept for this long in any case.
_MIN_RETENTION = datetime.timedelta(minutes=1)


@attrs.frozen
class _RecordedRow:
    """A row, and the monotonic time at which it was recorded."""

    recorded_at: datetime.timedelta
    row: model.Row


class MarkerCollector:
    """Removes rows that keep jobs from being stored, after a retention time.

    Writes that began before such a row are conditional on its absence. They
    must have ended before it is removed.
    """

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        retention: datetime.timedelta,
        log: observability.Log,
    ) -> None:
        """Creates the collector of one scheduler.

        Args:
            store: The table store.
            time_source: Source of time.
            retention: How long the rows are kept.
            log: Logger of the scheduler.
        """
        self._store = store
        self._clock = time_source
        self._retention = retention
        self._log = log
        self._recorded: collections.deque[_RecordedRow] = collections.deque()

    def record(self, row: model.Row) -> None:
        """Starts the retention time of a row, which replaces earlier ones."""
        self._recorded.append(_RecordedRow(self._clock.get_monotonic(), row))

    async def remove_due_rows(self) -> None:
        """Removes rows whose retention time is over."""
        due = self._pop_due_rows()
        batches = _make_batches(due)
        removed: set[int] = set()
        for batch in batches[:_MAX_REMOVALS_PER_ROUND]:
            try:
                is_done = await self._remove([due[index] for index in batch])
            except (
                model.StoreUnavailableError,
                model.StoreOutcomeUnknownError,
            ) as error:
                self._log.info(
                    "marker_removal_failed",
                    rows=len(batch),
                    reason=error.message,
                )
                break
            if is_done:
                removed.update(batch)
        self._recorded.extendleft(
            due[index]
            for index in reversed(range(len(due)))
            if index not in removed
        )

    def _pop_due_rows(self) -> list[_RecordedRow]:
        now = self._clock.get_monotonic()
        excess = len(self._recorded) - _MAX_ROWS
        due: list[_RecordedRow] = []
        while self._recorded:
            age = now - self._recorded[0].recorded_at
            is_early = len(due) < excess and age >= _MIN_RETENTION
            if age < self._retention and not is_early:
                break
            due.append(self._recorded.popleft())
        return due

    async def _remove(self, recorded: Sequence[_RecordedRow]) -> bool:
        """Removes rows of one partition that have not changed.

        A conflict says that some were written again since, which are recorded
        with their new version, or were removed with the job.

        Returns:
            Whether none of the rows has to be removed any more.
        """
        rows = [item.row for item in recorded]
        while rows:
            result = await self._store.write(
                [(row.ref, row.version) for row in rows]
                + [(_get_job_ref(row), 0) for row in rows],
                [],
                [row.ref for row in rows],
                _WRITE_TIMEOUT,
            )
            if isinstance(result, model.Committed):
                self._log.info("markers_removed", rows=len(rows))
                return True
            found = {
                row.ref: row.version
                for row in result.rows
                if not row.is_deleted
            }
            unchanged = [
                row
                for row in rows
                if found.get(row.ref) == row.version
                and _get_job_ref(row) not in found
            ]
            if len(unchanged) == len(rows):
                return False
            rows = unchanged
        return True


def _make_batches(recorded: Sequence[_RecordedRow]) -> list[list[int]]:
    """Returns the indices of rows that one transaction can remove.

    The rows of a transaction belong to one partition.
    """
    by_partition: dict[str, list[int]] = {}
    for index, item in enumerate(recorded):
        by_partition.setdefault(item.row.ref.partition, []).append(index)
    return [
        indices[start : start + _MAX_ROWS_PER_REMOVAL]
        for indices in by_partition.values()
        for start in range(0, len(indices), _MAX_ROWS_PER_REMOVAL)
    ]


def _get_job_ref(row: model.Row) -> model.RowRef:
    """Returns the row of the job that a marker is for."""
    key = row.ref.key
    identifier = records.get_cancelled_job(key) or records.get_refused_job(key)
    assert identifier is not None
    return records.get_job_ref(identifier)
