"""Applies the rows of the jobs' table to the scheduler's state."""

from collections.abc import Callable

from tamarackhatch import election
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch.scheduler import _garbage_collector
from tamarackhatch.scheduler import _job_tracker
from tamarackhatch.scheduler import _stored_progress


class JobRows:
    """Adds and cancels jobs as their rows appear."""

    def __init__(
        self,
        job_tracker: _job_tracker.JobTracker,
        garbage_collector: _garbage_collector.JobGarbageCollector,
        progress: _stored_progress.StoredProgress,
        leader_lease: election.LeaderLease,
        on_job: Callable[[str], None],
        log: observability.Log,
    ) -> None:
        """Creates the reader of one term.

        Args:
            job_tracker: State of the jobs.
            garbage_collector: Removes old rows.
            progress: Progress of the jobs that earlier terms have stored.
            leader_lease: Right of the scheduler to act.
            on_job: Called with the identifier of each job that is added.
            log: Log of the scheduler.
        """
        self._job_tracker = job_tracker
        self._garbage_collector = garbage_collector
        self._progress = progress
        self._leader_lease = leader_lease
        self._on_job = on_job
        self._log = log

    def apply(self, row: model.Row) -> None:
        """Applies a changed or removed row."""
        job_tracker = self._job_tracker
        cancelled = records.get_cancelled_job(row.ref.key)
        if row.is_deleted:
            if cancelled is not None:
                job_tracker.cancellations.forget(cancelled)
            return
        if cancelled is not None:
            if not job_tracker.has_job(cancelled):
                self._garbage_collector.record_marker(row)
            job_tracker.cancellations.cancel(cancelled)
            return
        if records.get_refused_job(row.ref.key) is not None:
            self._garbage_collector.record_marker(row)
            return
        if job_tracker.has_job(row.ref.key):
            return
        if self._progress.is_unreadable(row.ref.key):
            # Tasks that are done would run again.
            self._log.error("job_not_scheduled", job=row.ref.key)
            return
        try:
            job = records.decode_job(row.ref.key, row.value)
        except records.MalformedRowError as error:
            self._log.error(
                "job_unreadable", job=row.ref.key, reason=error.message
            )
            return
        if job.term > self._leader_lease.term.number:
            # The instance that accepted the job follows a later scheduler,
            # which relies on earlier ones not to start such jobs.
            self._log.info(
                "later_term_found", job=job.identifier, term=job.term
            )
            self._leader_lease.revoke()
            return
        progress = self._progress.take(row.ref.key)
        job_tracker.add_job(job, row.version, progress)
        self._on_job(job.identifier)

    def forget_removed_cancellations(self, keys: set[str]) -> None:
        """Forgets rows whose removal the feed may not have passed on.

        Args:
            keys: Keys of all rows that exist.
        """
        cancelled = {records.get_cancelled_job(key) for key in keys}
        self._job_tracker.cancellations.keep_only(
            {identifier for identifier in cancelled if identifier is not None}
        )
