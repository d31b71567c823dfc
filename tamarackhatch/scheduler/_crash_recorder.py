"""Records which tasks a crash of a runner may be due to."""

import datetime

from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state

_MAX_LOGGED_RUNS = 12
_MILLISECOND = datetime.timedelta(milliseconds=1)


class CrashRecorder:
    """Records crashes of one runner, and fails jobs that cause them."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        entry: _fleet.RunnerEntry,
    ) -> None:
        self._context = context
        self._entry = entry
        self._created = context.get_now()

    def record_crash(
        self,
        reason: str,
        tasks: list[_state.TaskEntry],
        may_start: bool = False,
    ) -> None:
        """Records the end of a runner and of the runs there.

        Args:
            reason: How the end is known, for logs and metrics.
            tasks: Tasks on the runner whose runs have ended or are not known
                to have started.
            may_start: Whether a late attempt of an unconfirmed start can
                still be carried out.
        """
        entry, job_tracker = self._entry, self._context.job_tracker
        self._log_lost_runner(reason)
        involved = self.suppose_crash(tasks)
        for task in tasks:
            if may_start and task.confirmed is None:
                # A stop prevents that.
                job_tracker.evict_task(task, reason)
            else:
                job_tracker.record_lost_run(task, reason)
        for task in involved:
            if _crash_suspects.is_proven_cause(task, entry.evidence):
                job_tracker.fail_crashing_job(task)

    def suppose_crash(
        self, tasks: list[_state.TaskEntry]
    ) -> list[_state.TaskEntry]:
        """Records the roles of tasks in a crash, and returns those tasks.

        The roles are written before the crash is certain, so that they
        outlast a takeover.
        """
        entry, job_tracker = self._entry, self._context.job_tracker
        if entry.record.is_draining:
            return []
        crash = _crash_suspects.Crash(
            entry.lost_contact_at or entry.clock_read or self._created,
            entry.evidence,
        )
        roles = _crash_suspects.assign_roles(tasks, crash)
        for task, role in roles:
            job_tracker.record_crash(task, role, entry.record.address)
        if entry.evidence is not _crash_suspects.Evidence.ENDED:
            entry.supposed_crashes += [(task, task.run) for task, _ in roles]
        return [task for task, _ in roles]

    def _log_lost_runner(self, reason: str) -> None:
        """Logs the runs on a lost runner, the latest first."""
        context, entry = self._context, self._entry
        lost_at = entry.lost_contact_at or context.get_now()
        tasks = sorted(entry.tasks.values(), key=lambda task: -task.placed_at)
        context.metrics.lost_runners.labels(reason).inc()
        context.log.warning(
            "runner_lost",
            runner=entry.identifier,
            reason=reason,
            evidence=entry.evidence.name.lower(),
            accepts_connections=entry.is_stalled,
            silent_ms=(
                entry.clock_read
                and (context.get_now() - entry.clock_read) // _MILLISECOND
            ),
            runs=len(tasks),
            latest=[
                [
                    str(task.key),
                    task.run,
                    (lost_at - task.placed_at) // _MILLISECOND,
                    task.confirmed is not None,
                ]
                for task in tasks[:_MAX_LOGGED_RUNS]
            ],
        )
