"""The rows that hold the progress of one job."""

from collections.abc import Iterator

import attrs

from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch.scheduler import _state

# Number of parts of a job whose progress has outgrown one row.
_FIRST_PARTS = 2


@attrs.define
class RowBudget:
    """What a transaction has still room for.

    Attributes:
        entries: Number of rows that are written or removed.
        stored_bytes: Bytes of the values as base64 text.
    """

    entries: int
    stored_bytes: int

    def take(self, size: int, entries: int = 1) -> bool:
        """Takes room for rows if there is enough, and returns whether."""
        if self.entries < entries or self.stored_bytes < size:
            return False
        self.entries -= entries
        self.stored_bytes -= size
        return True


@attrs.define
class RowSet:
    """Rows of a job for one transaction.

    Attributes:
        puts: Rows to write.
        removals: Rows to remove.
        parts: Parts that are among the rows.
        own_row: Value of the job's own row, if the job is divided and the
            row is among these.
        is_complete: Whether no other row of the job is due.
    """

    puts: list[model.Put] = attrs.field(factory=list)
    removals: list[model.RowRef] = attrs.field(factory=list)
    parts: set[int] = attrs.field(factory=set)
    own_row: bytes | None = None
    is_complete: bool = False


class ProgressRows:
    """Chooses the rows of a job that are due, and divides what is too long.

    Progress that fits into one row is written whole, as earlier builds read
    it. Otherwise only parts with changes are written. New parts go first and
    the job's own row last, so that what is stored is complete at any time: a
    unit leaves a row only after a later one holds it.
    """

    def __init__(self, job: _state.JobEntry) -> None:
        """Creates the rows of a job, of which an earlier term may have some.

        Args:
            job: The job.
        """
        self._job = job
        self._due = set(range(job.progress_parts))
        self._written_own_row: bytes | None = None

    def collect(self, budget: RowBudget) -> RowSet:
        """Returns rows that are due, as many as fit; takes their room.

        The job's state must not change until the rows have been written.
        """
        job, rows = self._job, RowSet()
        if job.state.is_final or not job.progress_parts:
            value = records.encode_progress(job.summarise_progress())
            if len(value) <= records.MAX_VALUE_BYTES:
                self._collect_single_row(value, budget, rows)
                return rows
            self._divide(_FIRST_PARTS)
        self._note_changes()
        for part in sorted(self._due, reverse=True):
            value = self._encode_part(part)
            if len(value) > records.MAX_VALUE_BYTES:
                if job.progress_parts < records.MAX_PARTS:
                    self._divide(2 * job.progress_parts)
                    return rows if rows.puts else self.collect(budget)
                value = self._encode_part(part, has_checkpoints=False)
            if not budget.take(records.compute_stored_size(value)):
                return rows
            ref = records.get_progress_part_ref(job.identifier, part)
            rows.puts.append(model.Put(ref, value))
            rows.parts.add(part)
            self._due.discard(part)
        value = records.encode_split_progress(
            attrs.evolve(job.summarise_state(), parts=job.progress_parts)
        )
        if value != self._written_own_row:
            if not budget.take(records.compute_stored_size(value)):
                return rows
            rows.puts.append(
                model.Put(records.get_progress_ref(job.identifier), value)
            )
            rows.own_row, self._written_own_row = value, None
        rows.is_complete = True
        return rows

    def record_commit(self, rows: RowSet) -> None:
        """Records that rows are durable."""
        if rows.own_row is not None:
            self._written_own_row = rows.own_row
        if rows.removals:
            self._job.progress_parts = 0

    def record_failure(self, rows: RowSet) -> None:
        """Records that rows may not be durable, and are due again."""
        # Their number may have doubled since; then all are due anyway.
        self._due |= rows.parts

    def _collect_single_row(
        self, value: bytes, budget: RowBudget, rows: RowSet
    ) -> None:
        job = self._job
        removals = [
            records.get_progress_part_ref(job.identifier, part)
            for part in range(job.progress_parts)
        ]
        size = records.compute_stored_size(value)
        if budget.take(size, 1 + len(removals)):
            ref = records.get_progress_ref(job.identifier)
            rows.puts.append(model.Put(ref, value))
            rows.removals += removals
            rows.is_complete = True
            job.changed_units.clear()
            job.is_all_changed = False

    def _note_changes(self) -> None:
        """Adds the parts of tasks that have changed to those that are due."""
        job = self._job
        if job.is_all_changed:
            self._due.update(range(job.progress_parts))
        for name in job.changed_units:
            self._due.add(job.part_map.get_part(name, job.progress_parts))
        job.changed_units.clear()
        job.is_all_changed = False

    def _divide(self, parts: int) -> None:
        self._job.progress_parts = parts
        self._due = set(range(parts))
        self._written_own_row = None

    def _encode_part(self, part: int, has_checkpoints: bool = True) -> bytes:
        units = self._list_units(part)
        if not has_checkpoints:
            units = map(_drop_checkpoints, units)
        return records.encode_part(units)

    def _list_units(self, part: int) -> Iterator[records.UnitProgress]:
        job = self._job
        for number in job.occurrences:
            for name in job.part_map.list_units(
                number, part, job.progress_parts
            ):
                unit = job.summarise_unit(name)
                if not unit.is_empty:
                    yield unit


def _drop_checkpoints(unit: records.UnitProgress) -> records.UnitProgress:
    """Returns a unit without checkpoints, which only save work."""
    tasks = {
        position: attrs.evolve(history, checkpoint="")
        for position, history in unit.tasks.items()
    }
    return attrs.evolve(unit, tasks=tasks)
