"""Cancellations of jobs, also of those that are not known yet."""

from collections.abc import Callable
from collections.abc import Mapping

from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch.scheduler import _state


class Cancellations:
    """Ends jobs that callers have cancelled.

    A job that is cancelled before it is stored is not stored later, but by
    instances of earlier builds. It ends as soon as it is read.
    """

    def __init__(
        self,
        jobs: Mapping[str, _state.JobEntry],
        finish_job: Callable[[_state.JobEntry, model.JobState], None],
        log: observability.Log,
    ) -> None:
        """Creates the cancellations of one term.

        Args:
            jobs: The jobs that are known, by identifier.
            finish_job: Called with a job and its final state.
            log: Logger of the scheduler.
        """
        self._jobs = jobs
        self._finish_job = finish_job
        self._log = log
        self._early: set[str] = set()

    def cancel(self, identifier: str) -> None:
        """Ends a job, now or when it is read."""
        entry = self._jobs.get(identifier)
        if entry is None:
            self._early.add(identifier)
            return
        if entry.state.is_final:
            return
        entry.is_cancelled = True
        self._log.info("job_cancelled", job=identifier)
        self._finish_job(entry, model.JobState.CANCELLED)

    def apply_early(self, identifier: str) -> None:
        """Ends a job that has just become known, if it was cancelled."""
        if identifier in self._early:
            self.cancel(identifier)

    def forget(self, identifier: str) -> None:
        """Forgets the cancellation of a job that is not known."""
        self._early.discard(identifier)

    def keep_only(self, identifiers: set[str]) -> None:
        """Forgets the cancellations of other jobs that are not known."""
        self._early &= identifiers
