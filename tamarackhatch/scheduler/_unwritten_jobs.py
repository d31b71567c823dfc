"""Jobs whose progress is not durable, and the rows that make it so."""

from collections.abc import Callable

import attrs

from tamarackhatch import model
from tamarackhatch.scheduler import _progress_rows
from tamarackhatch.scheduler import _state

# A transaction holds at most 100 entries. The others are the sequence, the
# heartbeat, the interference factors, the lists of tracked and of cordoned
# runners, the waiting tasks and the parts of a configuration change.
_MAX_ENTRIES = 80
# A transaction holds at most 1 MB. One of this size crosses a link of
# 15 Mbit/s in 140 ms, in which the heartbeats wait.
_MAX_BYTES = 262_144


@attrs.define
class _Change:
    """A job with changes that are not written yet.

    Attributes:
        job: The job.
        rows: Its rows.
        since: Generation of the first of these changes.
    """

    job: _state.JobEntry
    rows: _progress_rows.ProgressRows
    since: int


@attrs.frozen
class JobBatch:
    """Rows of jobs for one transaction.

    Attributes:
        jobs: Jobs with their rows, by identifier.
    """

    jobs: dict[str, tuple[_Change, _progress_rows.RowSet]] = attrs.field(
        factory=dict
    )

    @property
    def puts(self) -> list[model.Put]:
        """Rows to write."""
        return [put for _, rows in self.jobs.values() for put in rows.puts]

    @property
    def removals(self) -> list[model.RowRef]:
        """Rows to remove."""
        return [ref for _, rows in self.jobs.values() for ref in rows.removals]


class UnwrittenJobs:
    """Keeps jobs with changes in the order in which they are to be written.

    Each change of a job has a generation. It is durable once all changes of
    this job up to that generation are, whatever becomes of other jobs.
    """

    def __init__(self) -> None:
        self._changes: dict[str, _Change] = {}
        # Rows of the jobs that have changed in this term and are not final.
        self._rows: dict[str, _progress_rows.ProgressRows] = {}
        # Generations of the first changes in the transaction in progress.
        self._in_flight: dict[str, int] = {}
        self._generation = 1

    def __len__(self) -> int:
        return len(self._changes)

    @property
    def identifiers(self) -> list[str]:
        """Identifiers of the jobs with changes, in their order."""
        return list(self._changes)

    def add_change(self, job: _state.JobEntry) -> int:
        """Records a change of a job, and returns its generation."""
        if job.identifier not in self._changes:
            rows = self._rows.get(job.identifier)
            if rows is None:
                rows = _progress_rows.ProgressRows(job)
                self._rows[job.identifier] = rows
            self._changes[job.identifier] = _Change(
                job, rows, self._generation
            )
        return self._generation

    def is_durable(self, identifier: str, generation: int) -> bool:
        """Returns whether a change of a job is durable.

        Args:
            identifier: Identifier of the job.
            generation: Generation of the change; 0 for none.
        """
        change = self._changes.get(identifier)
        if change is not None and change.since <= generation:
            return False
        in_flight = self._in_flight.get(identifier)
        return in_flight is None or in_flight > generation

    def has_rows_for(self, may_include: Callable[[str], bool]) -> bool:
        """Returns whether a job may be written now."""
        return any(map(may_include, self._changes))

    def take_batch(self, may_include: Callable[[str], bool]) -> JobBatch:
        """Begins a transaction with rows of the jobs that come first.

        Args:
            may_include: Returns whether it may contain a job.

        Returns:
            The rows, to be passed to `record_commit` or `record_failure`.
        """
        self._generation += 1
        batch = JobBatch()
        budget = _progress_rows.RowBudget(_MAX_ENTRIES, _MAX_BYTES)
        for identifier, change in list(self._changes.items()):
            if not budget.entries:
                break
            if not may_include(identifier):
                continue
            rows = change.rows.collect(budget)
            if not rows.is_complete and not rows.puts:
                break
            batch.jobs[identifier] = change, rows
            self._in_flight[identifier] = change.since
            # Jobs with further rows go behind the others.
            del self._changes[identifier]
            if not rows.is_complete:
                self._changes[identifier] = change
        return batch

    def record_commit(self, batch: JobBatch) -> None:
        """Records that a batch is durable."""
        for identifier, (change, rows) in batch.jobs.items():
            del self._in_flight[identifier]
            change.rows.record_commit(rows)
            if change.job.state.is_final and identifier not in self._changes:
                del self._rows[identifier]

    def record_failure(self, batch: JobBatch) -> None:
        """Records that a batch may not be durable, and has to be repeated."""
        for identifier, (change, rows) in batch.jobs.items():
            del self._in_flight[identifier]
            change.rows.record_failure(rows)
            # Changes since then are written with the earlier ones.
            self._changes[identifier] = change
