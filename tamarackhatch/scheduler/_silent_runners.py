"""Records what follows from renewals that a runner does not answer."""

import asyncio
from collections.abc import Coroutine
import datetime
import typing

from tamarackhatch import model
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_recorder
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _health
from tamarackhatch.scheduler import _run_proofs

_Evidence = _crash_suspects.Evidence

# Renewals in a row that fail without a connection after which the runs are
# recorded as ended by a crash. A reset connection alone fails once.
_SUPPOSE_CRASH_AFTER_MISSED_RENEWALS = 2
# A renewal that fails sooner after the wait that it asked for has lost its
# connection; a later failure is a timeout.
_MAX_BREAK_DELAY = datetime.timedelta(milliseconds=500)

# A renewal without an answer takes over a second, and would delay the end of
# the runs.
_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)


class SilentRunnerRecorder:
    """Records missed renewals of one runner, and when its runs are over."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        entry: _fleet.RunnerEntry,
        crashes: _crash_recorder.CrashRecorder,
    ) -> None:
        """Creates the recorder of one runner.

        Args:
            context: Shared components of the scheduler.
            entry: The runner.
            crashes: Records crashes of the runner.
        """
        self._context = context
        self._entry = entry
        self._crashes = crashes
        self._renewal: asyncio.Timeout | None = None

    def record_missed_renewal(
        self,
        reason: str,
        sent: datetime.timedelta,
        wait: datetime.timedelta,
        is_replaced: bool,
    ) -> None:
        """Records a renewal without an answer, and what follows from it.

        Args:
            reason: Why there is no answer.
            sent: Monotonic time at which the renewal was sent.
            wait: How long the runner was to wait before it answers.
            is_replaced: Whether another runner answers at its address.
        """
        context, entry = self._context, self._entry
        context.metrics.commands.labels("renew", "unanswered").inc()
        context.load_monitor.counters.missed_renewals += 1
        entry.missed_renewals += 1
        entry.fence.require_higher_token()
        now = context.get_now()
        if entry.missed_renewals == 1:
            context.log.warning(
                "runner_not_answering", runner=entry.identifier, reason=reason
            )
            _health.record_loss(context, entry.identifier)
            is_timeout = now - sent > wait + _MAX_BREAK_DELAY
            entry.lost_contact_at = entry.clock_read if is_timeout else now
            if not is_timeout:
                entry.evidence = _Evidence.REFUSED
        if is_replaced:
            entry.record_replacement()
            context.start_attempts.discard_runner(entry.identifier)
        has_lost_runs = self.end_runs_if_over()
        if (
            not has_lost_runs
            and entry.missed_renewals == _SUPPOSE_CRASH_AFTER_MISSED_RENEWALS
            and entry.evidence is not _Evidence.SILENT
        ):
            self._crashes.suppose_crash(list(entry.tasks.values()))

    def interrupt(self) -> None:
        """Gives up a renewal that waits for its answer, if there is one.

        Those of a runner that does not answer end soon by themselves.
        """
        if self._renewal is not None and not self._renewal.expired():
            self._renewal.reschedule(asyncio.get_running_loop().time())

    async def end_runs_during(
        self,
        renewal: Coroutine[typing.Any, typing.Any, model.RunnerReport | None],
        sent: datetime.timedelta,
    ) -> model.RunnerReport | None:
        """Returns a renewal's result; ends the runs meanwhile if it is due.

        Args:
            renewal: The renewal.
            sent: Monotonic time at which it is sent.
        """
        if not self._entry.missed_renewals:
            return await self._run_interruptibly(renewal, sent)
        task = asyncio.create_task(renewal)
        try:
            while not task.done():
                self.end_runs_if_over()
                await asyncio.wait(
                    {task}, timeout=_CHECK_INTERVAL.total_seconds()
                )
            return task.result()
        finally:
            task.cancel()

    async def _run_interruptibly(
        self,
        renewal: Coroutine[typing.Any, typing.Any, model.RunnerReport | None],
        sent: datetime.timedelta,
    ) -> model.RunnerReport | None:
        try:
            async with asyncio.timeout(None) as self._renewal:
                return await renewal
        except TimeoutError:
            self.record_missed_renewal(
                "the runner has restarted",
                sent,
                datetime.timedelta(),
                is_replaced=False,
            )
            return None
        finally:
            self._renewal = None

    def end_runs_if_over(self) -> bool:
        """Records the end of all runs, if the runner is silent and it is due.

        Returns:
            Whether no run can exist.
        """
        entry = self._entry
        if not entry.missed_renewals:
            return False
        proof = self.find_proof()
        if proof is None:
            return False
        if proof is not _run_proofs.Proof.REPLACED:
            entry.record_lease_end()
            self._context.start_attempts.record_stray_runs(
                entry.identifier, ()
            )
        if entry.tasks:
            self._crashes.record_crash(
                "replaced" if entry.is_replaced else "lease expired",
                proof,
                list(entry.tasks.values()),
            )
        return True

    def find_proof(self) -> _run_proofs.Proof | None:
        """Returns what shows that all runs are over; None if they may exist.

        Must only be called while the runner does not answer.
        """
        context = self._context
        return _run_proofs.find_proof(
            self._entry,
            context.get_now(),
            context.settings.bounds.stop_timeout,
        )
