"""Progress of jobs that earlier schedulers stored."""

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records

_Parts = list[tuple[int, tuple[records.UnitProgress, ...]]]


class StoredProgress:
    """Reads the progress of all jobs, and puts the parts of each together."""

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        log: observability.Log,
    ) -> None:
        """Creates an object that has read nothing.

        Args:
            store: The table store.
            time_source: Source of time.
            log: Logger of the scheduler.
        """
        self._store = store
        self._clock = time_source
        self._log = log
        self._jobs: dict[str, tuple[int, records.JobProgress]] = {}
        self._parts: dict[str, _Parts] = {}
        self._numbers: dict[str, int] = {}
        self._unreadable: set[str] = set()

    async def load(self) -> None:
        """Reads all rows."""
        watcher = records.TableWatcher(
            self._store,
            self._clock,
            records.PROGRESS_TABLE,
            (records.SCHEDULER_PARTITION,),
            self.apply_row,
            self._log,
        )
        await watcher.load()

    def apply_row(self, row: model.Row) -> None:
        """Applies a row of the table."""
        part = records.get_progress_part(row.ref.key)
        job = row.ref.key if part is None else part[0]
        try:
            if part is None:
                progress = records.decode_progress_row(row.value)
                self._jobs[job] = row.version, progress
                return
            units = records.decode_part(row.value)
        except records.MalformedRowError as error:
            self._log.error(
                "progress_unreadable", job=job, reason=error.message
            )
            self._unreadable.add(job)
            return
        self._parts.setdefault(job, []).append((row.version, units))
        self._numbers[job] = max(self._numbers.get(job, 0), part[1])

    def is_unreadable(self, job: str) -> bool:
        """Returns whether tasks of a job may be done without being known."""
        return job in self._unreadable

    def take(self, job: str) -> records.JobProgress | None:
        """Returns the progress of a job, and forgets it; None for none."""
        parts = self._parts.pop(job, [])
        if job not in self._jobs and not parts:
            return None
        version, progress = self._jobs.pop(
            job, (0, records.JobProgress(model.JobState.RUNNING))
        )
        if not parts:
            return progress
        return records.merge_parts(
            progress, version, parts, self._numbers.pop(job) + 1
        )
