"""Records which tasks a crash of a runner may be due to."""

import datetime

from tamarackhatch import model
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _run_proofs
from tamarackhatch.scheduler import _state

_MAX_LOGGED_RUNS = 12
_MILLISECOND = datetime.timedelta(milliseconds=1)
# The crashes of a task that probably causes them do not make those of another
# one look usual.
_MIN_CRASHES_OF_CAUSE = 3
_MAX_CHANCE_OF_CAUSE = 1e-3


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
        proof: _run_proofs.Proof,
        tasks: list[_state.TaskEntry],
        may_start: bool = False,
    ) -> None:
        """Records the end of a runner and of the runs there.

        Args:
            reason: Why the runs have ended, for logs and metrics.
            proof: What shows that they have.
            tasks: Tasks on the runner whose runs have ended or are not known
                to have started.
            may_start: Whether a late attempt of an unconfirmed start can
                still be carried out.
        """
        entry, job_tracker = self._entry, self._context.job_tracker
        self._log_lost_runner(reason, proof)
        involved = self.suppose_crash(tasks)
        for task in tasks:
            if may_start and task.confirmed is None:
                # A stop prevents that.
                job_tracker.evict_task(task, reason)
            else:
                job_tracker.record_lost_run(task, reason)
        if entry.record.is_draining:
            return
        self._record_rate(tasks)
        for task in involved:
            if _crash_suspects.is_proven_cause(task, entry.evidence):
                self._give_up(task)

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
            rate = self._context.crash_rates.estimate_rate(
                entry.record.service, task.key
            )
            _crash_suspects.record_expectation(task, crash, rate)
            job_tracker.record_crash(task, role, entry.record.address)
        if entry.evidence is not _crash_suspects.Evidence.ENDED:
            entry.supposed_crashes += [(task, task.run) for task, _ in roles]
        return [task for task, _ in roles]

    def _record_rate(self, tasks: list[_state.TaskEntry]) -> None:
        """Records the crash in the rate at which runners crash."""
        suspects = [
            task
            for task in tasks
            if task.crashes.get(task.run) is model.CrashRole.SOLE_SUSPECT
        ]
        cause = None
        if len(suspects) == 1:
            (suspect,) = suspects
            if (
                len(suspect.crashes) >= _MIN_CRASHES_OF_CAUSE
                and _crash_suspects.compute_chance(suspect)
                < _MAX_CHANCE_OF_CAUSE
            ):
                cause = suspect.key
        self._context.crash_rates.record_crash(
            self._entry.record.service, (task.key for task in tasks), cause
        )

    def _give_up(self, task: _state.TaskEntry) -> None:
        """Fails a task's job, unless it may have been lost by chance."""
        if _crash_suspects.may_be_chance(task):
            self._context.log.warning(
                "crashes_may_be_chance",
                task=str(task.key),
                crashes=sorted(task.crashes),
                chance=_crash_suspects.compute_chance(task),
            )
            return
        self._context.job_tracker.fail_crashing_job(task)

    def _log_lost_runner(self, reason: str, proof: _run_proofs.Proof) -> None:
        """Logs the runs on a lost runner, the latest first."""
        context, entry = self._context, self._entry
        lost_at = entry.lost_contact_at or context.get_now()
        tasks = sorted(entry.tasks.values(), key=lambda task: -task.placed_at)
        context.metrics.lost_runners.labels(reason, proof.value).inc()
        context.log.warning(
            "runner_lost",
            runner=entry.identifier,
            reason=reason,
            proof=proof.value,
            evidence=entry.evidence.name.lower(),
            **self._describe_silence(),
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

    def _describe_silence(self) -> dict[str, object]:
        """Returns what is known of the runner's clock, in milliseconds."""
        entry, now = self._entry, self._context.get_now()
        if entry.clock_read is None:
            return {}
        signs = entry.life_signs
        past_lease = entry.estimate_clock(now) - entry.lease_end
        described: dict[str, object] = {
            "silent_ms": (now - entry.clock_read) // _MILLISECOND,
            "past_lease_ms": past_lease // _MILLISECOND,
            "is_registered": entry.is_registered,
        }
        if signs.accepted_at is not None:
            accepted = now - signs.accepted_at
            described["accepted_ms"] = accepted // _MILLISECOND
        if signs.row_clock is not None and signs.row_written_at is not None:
            described["row_age_ms"] = (
                now - signs.row_written_at
            ) // _MILLISECOND
            described["row_past_lease_ms"] = (
                signs.row_clock - entry.lease_end
            ) // _MILLISECOND
        return described
