"""One task for each runner: renews its lease and follows its lists."""

from collections.abc import Callable
import datetime

from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.scheduler import _commands
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _throttling

# How long a runner may wait for an exit before it answers.
_IDLE_WAIT = datetime.timedelta(milliseconds=1500)
# Where best-effort tasks work beside serving tasks, samples are needed more
# often.
_SAMPLING_WAIT = datetime.timedelta(milliseconds=400)
_RETRY_PAUSE = datetime.timedelta(milliseconds=200)
# Between two renewals of a runner; each look at a runner is priced.
_MIN_INTERVAL = datetime.timedelta(milliseconds=100)
# Exits are acknowledged with the next renewal, once they are durable.
_DURABLE_WAIT = datetime.timedelta(milliseconds=300)
# Runs of a job that an earlier scheduler started just before it was superseded
# may be listed before this scheduler has read the job.
_UNREAD_JOB_TIME = datetime.timedelta(seconds=5)
# By how much a lease of an earlier scheduler may be longer, because that
# scheduler's estimate of the runner's clock may be ahead.
_EARLIER_LEASE_EXCESS = 0.05
# Renewals in a row without an answer after which a runner counts as lost.
_LOST_CALLS = 2
# A report lists at most this many exits; a full one may hide others.
_MAX_LISTED_EXITS = 500
# A draining runner stops its tasks this long before it may leave.
_LEAVE_MARGIN = datetime.timedelta(milliseconds=1500)


class RunnerReconciler:
    """Keeps the scheduler's view of one runner true."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        entry: _fleet.RunnerEntry,
        commands: _commands.CommandSender,
        untrack: Callable[[_fleet.RunnerEntry], None],
    ) -> None:
        """Follows one runner.

        Args:
            context: Parts of the scheduler.
            entry: The runner.
            commands: Sends commands.
            untrack: Stops tracking the runner.
        """
        self._context = context
        self._entry = entry
        self._commands = commands
        self._untrack = untrack
        self._has_reported = False
        self._began = context.get_now()
        self._throttling = _throttling.ThrottlingController(
            context, entry, commands
        )

    @property
    def has_reported(self) -> bool:
        """Whether the runner has answered in this term.

        From then on it refuses the commands of earlier schedulers.
        """
        return self._has_reported

    async def run(self) -> None:
        """Follows the runner until it is gone for good."""
        context, entry = self._context, self._entry
        while not context.leader_lease.is_revoked:
            sent = context.get_now()
            report = await self._renew(sent)
            if report is None:
                if self._is_gone():
                    return
                if entry.missed_renewals >= _LOST_CALLS:
                    self._untrack_if_idle()
                await context.clock.sleep(_RETRY_PAUSE)
                continue
            self._apply(report, sent)
            if entry.record.is_draining:
                self._evacuate()
                self._untrack_if_idle()
            else:
                self._throttling.control(report)
            context.wake.set()
            await self._pause(sent)

    async def _renew(
        self, sent: datetime.timedelta
    ) -> model.RunnerReport | None:
        context, entry = self._context, self._entry
        lease_end = None
        wait = datetime.timedelta()
        if context.leader_lease.is_valid:
            lease_end = entry.compute_lease_end(sent, context.settings.lease)
        if lease_end is not None and not entry.pending_acks:
            wait = self._choose_wait()
        try:
            report = await context.client.renew(
                entry.record,
                context.token,
                entry.acknowledged_exit,
                lease_end,
                wait,
            )
        except platform.FencedError:
            context.log.warning("fenced", runner=entry.identifier)
            context.leader_lease.revoke()
            return None
        except (
            platform.RunnerUnavailableError,
            platform.BadAnswerError,
        ) as error:
            self._record_missed_renewal(error.message)
            return None
        context.metrics.commands.labels("renew", "accepted").inc()
        return report

    def _choose_wait(self) -> datetime.timedelta:
        load = self._entry.load
        if load.serving and load.best_effort_cpu_by_image:
            return _SAMPLING_WAIT
        return _IDLE_WAIT

    def _record_missed_renewal(self, reason: str) -> None:
        context, entry = self._context, self._entry
        context.metrics.commands.labels("renew", "unanswered").inc()
        entry.missed_renewals += 1
        if entry.missed_renewals == 1:
            context.log.warning(
                "runner_lost", runner=entry.identifier, reason=reason
            )
        if entry.tasks and entry.is_lease_expired(context.get_now()):
            for task in list(entry.tasks.values()):
                context.job_tracker.lose_run(task, "lease over")

    def _is_gone(self) -> bool:
        entry, now = self._entry, self._context.get_now()
        if entry.is_registered or entry.tasks:
            return False
        if entry.clock_read is not None:
            return entry.is_lease_expired(now)
        # It never answered: an earlier scheduler's leases may last.
        return now - self._began > self._context.settings.takeover_wait

    def _apply(
        self, report: model.RunnerReport, sent: datetime.timedelta
    ) -> None:
        context, entry = self._context, self._entry
        now = context.get_now()
        if entry.missed_renewals:
            context.log.info("runner_regained", runner=entry.identifier)
        entry.missed_renewals = 0
        if report.incarnation != entry.incarnation:
            self._meet_incarnation(report)
        entry.clock, entry.clock_read = report.clock, now
        if not self._has_reported:
            # An earlier scheduler may have granted a lease just before.
            entry.lease_end = report.clock + context.settings.lease * (
                1 + _EARLIER_LEASE_EXCESS
            )
            self._has_reported = True
        for run_exit in report.exits:
            if run_exit.number <= entry.processed_exit:
                continue
            if self._may_be_unread(run_exit.task):
                # Acknowledging it now would lose it.
                break
            self._apply_exit(run_exit)
        listed = {item.task: item for item in report.running}
        for item in report.running:
            self._apply_running(item)
        if len(report.exits) < _MAX_LISTED_EXITS:
            self._find_missing(listed, sent)

    def _may_be_unread(self, task: model.TaskKey) -> bool:
        """Tells whether a task's job may not have been read yet."""
        context = self._context
        return (
            not context.job_tracker.has_job(task.job)
            and context.get_now() - self._began < _UNREAD_JOB_TIME
        )

    def _meet_incarnation(self, report: model.RunnerReport) -> None:
        entry = self._entry
        if entry.incarnation:
            self._context.log.warning(
                "runner_restarted",
                runner=entry.identifier,
                born=report.incarnation,
            )
        entry.incarnation = report.incarnation
        entry.processed_exit = entry.acknowledged_exit = 0
        entry.pending_acks.clear()
        entry.lease_end = report.clock + self._context.settings.lease
        runs = {(item.task, item.run) for item in report.running}
        for task in list(entry.tasks.values()):
            # Unresolved commands go on until this incarnation answers them.
            if task.confirmed is None or (task.key, task.run) in runs:
                continue
            self._context.job_tracker.lose_run(task, "runner restarted")

    def _apply_exit(self, run_exit: model.RunExit) -> None:
        context, entry = self._context, self._entry
        entry.processed_exit = run_exit.number
        task = context.job_tracker.find_task(run_exit.task)
        generation = 0
        if task is not None:
            is_latest = (
                task.run == run_exit.run
                if task.runner is entry
                else task.runner is None
                and run_exit.run > task.last_exited_run
            )
            if is_latest:
                generation = context.job_tracker.record_exit(
                    task, run_exit, entry
                )
                self._judge(task, run_exit)
            else:
                generation = context.job_tracker.record_old_exit(
                    task, run_exit, entry
                )
        entry.pending_acks.append((run_exit.number, generation))

    def _judge(self, task: _state.TaskEntry, run_exit: model.RunExit) -> None:
        entry = self._entry
        if run_exit.reason is model.ExitReason.FAILED:
            entry.failures += 1.0
        elif run_exit.reason is model.ExitReason.DONE:
            entry.failures *= 0.5

    def _apply_running(self, item: model.RunningTask) -> None:
        context, entry = self._context, self._entry
        task = context.job_tracker.find_task(item.task)
        if self._may_be_unread(item.task):
            return
        if task is None or task.phase is _state.TaskPhase.DONE:
            if task is None or task.runner is not entry:
                self._commands.stop_orphan(entry, item)
            return
        if task.runner is entry and task.run == item.run:
            if task.phase is _state.TaskPhase.STARTING:
                context.job_tracker.confirm_run(task, entry)
        elif task.runner is None and item.run >= task.run:
            task.run = item.run
            context.job_tracker.confirm_run(task, entry)
            context.log.info(
                "run_adopted",
                task=str(item.task),
                run=item.run,
                runner=entry.identifier,
            )
        else:
            self._commands.stop_orphan(entry, item)
            return
        task.percent = item.percent
        if item.checkpoint:
            task.checkpoint = item.checkpoint

    def _find_missing(
        self,
        listed: dict[model.TaskKey, model.RunningTask],
        sent: datetime.timedelta,
    ) -> None:
        for task in list(self._entry.tasks.values()):
            item = listed.get(task.key)
            if item is not None and item.run == task.run:
                continue
            if task.confirmed is not None and task.confirmed < sent:
                self._context.job_tracker.lose_run(task, "not listed")

    def _evacuate(self) -> None:
        """Stops tasks that would not end before the runner leaves."""
        entry = self._entry
        remaining = entry.record.remaining
        is_leaving = remaining is not None and remaining < _LEAVE_MARGIN
        for task in list(entry.tasks.values()):
            if task.step.is_long_running or is_leaving:
                self._context.job_tracker.evict(task, "runner drains")

    def _untrack_if_idle(self) -> None:
        """Spares later schedulers the wait for a runner that leaves.

        It refuses the commands of earlier schedulers since it has answered.
        """
        entry = self._entry
        if self._has_reported and entry.is_idle and not entry.is_untracked:
            self._untrack(entry)

    async def _pause(self, sent: datetime.timedelta) -> None:
        context, entry = self._context, self._entry
        if entry.pending_acks:
            generation = entry.pending_acks[-1][1]
            await context.writer.wait_for(generation, _DURABLE_WAIT)
        while (
            entry.pending_acks
            and entry.pending_acks[0][1] <= context.writer.committed
        ):
            entry.acknowledged_exit = entry.pending_acks.popleft()[0]
        elapsed = context.get_now() - sent
        if elapsed < _MIN_INTERVAL:
            await context.clock.sleep(_MIN_INTERVAL - elapsed)
