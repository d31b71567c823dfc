"""Jobs whose progress is not durable, and the rows that make it so."""

from collections.abc import Callable

import attrs

from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch.scheduler import _state

# A transaction holds at most 100 entries. The others are the sequence, the
# heartbeat, the interference factors, the lists of tracked and of cordoned
# runners, the waiting tasks and the parts of a configuration change.
_MAX_ROWS = 80
# A transaction holds at most 1 MB. One of this size crosses a link of
# 15 Mbit/s in 140 ms, in which the heartbeats wait.
_MAX_BYTES = 262_144


@attrs.define
class _Change:
    """A job with changes that are not written yet.

    Attributes:
        job: The job.
        since: Generation of the first of these changes.
    """

    job: _state.JobEntry
    since: int


@attrs.frozen
class JobBatch:
    """Rows of jobs for one transaction.

    Attributes:
        puts: The rows.
        jobs: Jobs that the rows belong to, by identifier.
    """

    puts: list[model.Put] = attrs.field(factory=list)
    jobs: dict[str, _Change] = attrs.field(factory=dict)


class UnwrittenJobs:
    """Keeps jobs with changes in the order in which they are to be written.

    Each change of a job has a generation. It is durable once all changes of
    this job up to that generation are, whatever becomes of other jobs.
    """

    def __init__(self) -> None:
        self._changes: dict[str, _Change] = {}
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
        self._changes.setdefault(
            job.identifier, _Change(job, self._generation)
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
        size = 0
        for identifier, change in list(self._changes.items()):
            if len(batch.puts) == _MAX_ROWS:
                break
            if not may_include(identifier):
                continue
            put = model.Put(
                records.get_progress_ref(identifier),
                records.encode_progress(change.job.summarise_progress()),
            )
            size += records.compute_stored_size(put.value)
            if batch.puts and size > _MAX_BYTES:
                break
            batch.puts.append(put)
            batch.jobs[identifier] = change
            self._in_flight[identifier] = change.since
            del self._changes[identifier]
        return batch

    def record_commit(self, batch: JobBatch) -> None:
        """Records that a batch is durable."""
        for identifier in batch.jobs:
            del self._in_flight[identifier]

    def record_failure(self, batch: JobBatch) -> None:
        """Records that a batch may not be durable, and has to be repeated."""
        for identifier, change in batch.jobs.items():
            del self._in_flight[identifier]
            # Changes since then are written with the earlier ones.
            self._changes[identifier] = change
