"""Renews one runner's lease and reconciles its reports."""

from collections.abc import Callable
import datetime

from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.scheduler import _commands
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _crash_recorder
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _exit_acks
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _health
from tamarackhatch.scheduler import _renewal_wait
from tamarackhatch.scheduler import _run_proofs
from tamarackhatch.scheduler import _run_times
from tamarackhatch.scheduler import _runner_reports
from tamarackhatch.scheduler import _silent_runners
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _throttling

_Evidence = _crash_suspects.Evidence

_RETRY_PAUSE = datetime.timedelta(milliseconds=200)
# The same while a late command may reach the runner's next incarnation, which
# obeys it unless a renewal with a higher token comes first.
_FENCING_PAUSE = datetime.timedelta(milliseconds=50)
# Between two renewals of a runner while exits cannot be acknowledged: the
# runner answers at once then, because it lists them again.
_HELD_EXIT_INTERVAL = datetime.timedelta(milliseconds=250)
# The next renewal waits this long for exits to become durable, so that it can
# acknowledge them.
_MAX_DURABILITY_WAIT = datetime.timedelta(milliseconds=300)
# Renewals in a row without an answer after which an idle runner is untracked.
_UNTRACK_AFTER_MISSED_RENEWALS = 2


class RunnerReconciler:
    """Reconciles the scheduler's state with the reports of one runner."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        entry: _fleet.RunnerEntry,
        commands: _commands.CommandSender,
        untrack: Callable[[_fleet.RunnerEntry], None],
        track: Callable[[_fleet.RunnerEntry], None],
    ) -> None:
        """Creates the reconciler of one runner.

        Args:
            context: Shared components of the scheduler.
            entry: The runner.
            commands: Sends commands.
            untrack: Stops tracking the runner.
            track: Tracks the runner, which has answered for the first time.
        """
        self._context = context
        self._entry = entry
        self._commands = commands
        self._untrack = untrack
        self._track = track
        self._has_reported = False
        self._has_listed_all = False
        self._started = context.get_now()
        # Fencing token of the latest renewal.
        self._token = 0
        self._crashes = _crash_recorder.CrashRecorder(context, entry)
        self._silence = _silent_runners.SilentRunnerRecorder(
            context, entry, self._crashes
        )
        self._throttling = _throttling.ThrottlingController(
            context, entry, commands
        )

    @property
    def has_reported(self) -> bool:
        """Whether the runner has answered in this term.

        Once it has, it refuses commands of earlier schedulers.
        """
        return self._has_reported

    @property
    def knows_all_runs(self) -> bool:
        """Whether no run of an earlier scheduler can be unknown here."""
        return self._has_listed_all or self._entry.is_replaced

    @property
    def awaits_exits(self) -> bool:
        """Whether the runner has listed a part of its exits only.

        The others follow once these are acknowledged, unless its lease has
        expired.
        """
        return (
            self._has_reported
            and not self._has_listed_all
            and self._silence.find_proof() is None
        )

    async def run(self) -> None:
        """Reconciles until the runner has left and no run can exist there."""
        context, entry = self._context, self._entry
        while not context.leader_lease.is_revoked:
            sent = context.get_now()
            report = await self._silence.end_runs_during(
                self._renew_lease(sent), sent
            )
            if report is None:
                if self._is_removable():
                    return
                if entry.missed_renewals >= _UNTRACK_AFTER_MISSED_RENEWALS:
                    self._untrack_if_idle()
                is_late_expected = entry.fence.may_meet_late_command(
                    context.get_now()
                )
                await context.clock.sleep(
                    _FENCING_PAUSE if is_late_expected else _RETRY_PAUSE
                )
                continue
            self._process_report(report, sent)
            await self._wait_before_renewal(sent)

    def _process_report(
        self, report: model.RunnerReport, sent: datetime.timedelta
    ) -> None:
        context, entry = self._context, self._entry
        began = context.get_now()
        self._apply_report(report, sent)
        if entry.record.is_draining:
            self.evict_from_draining_runner()
            self._untrack_if_idle()
        else:
            self._throttling.update_speed_limits(report)
        if entry.is_cordoned and not entry.should_be_cordoned:
            context.writer.request_cordon_update()
        context.wake.set()
        context.load_monitor.counters.reports += 1
        context.load_monitor.counters.report_time += context.get_now() - began

    def interrupt(self) -> None:
        """Gives up a renewal to an incarnation that has ended.

        It would get no answer, and the next incarnation has to be asked.
        """
        self._silence.interrupt()

    async def _renew_lease(
        self, sent: datetime.timedelta
    ) -> model.RunnerReport | None:
        context, entry = self._context, self._entry
        lease_end = None
        wait = datetime.timedelta()
        if context.leader_lease.is_valid:
            lease_end = entry.compute_lease_end(sent, context.settings.lease)
        if lease_end is not None and not entry.pending_acks:
            wait = _renewal_wait.choose_renewal_wait(entry, context.get_now())
        authority = context.authorise_command(entry)
        self._token = authority.token
        try:
            report = await context.client.renew(
                entry.record,
                authority,
                entry.acknowledgeable_exit,
                lease_end,
                wait,
                entry.ack_evidence.known_since,
            )
        except platform.FencedError:
            self._commands.handle_fenced_command("renew", entry, authority)
            return None
        except platform.CallDelayedError:
            return None
        except (
            platform.RunnerUnavailableError,
            platform.MalformedBodyError,
        ) as error:
            if isinstance(error, platform.RunnerStalledError):
                entry.life_signs.accepted_at = sent
            is_replaced = isinstance(error, platform.RunnerReplacedError)
            self._silence.record_missed_renewal(
                error.message, sent, wait, is_replaced
            )
            return None
        context.metrics.commands.labels("renew", "accepted").inc()
        context.load_monitor.counters.renewals += 1
        return report

    def _is_removable(self) -> bool:
        entry, now = self._entry, self._context.get_now()
        if (
            entry.is_registered
            or entry.tasks
            or entry.fence.may_meet_late_command(now)
        ):
            return False
        if entry.is_replaced or entry.clock_read is not None:
            return self._silence.find_proof() is not None
        # The runner never answered, so leases of an earlier scheduler may
        # still be valid.
        return now - self._started > self._context.settings.takeover_wait

    def _apply_report(
        self, report: model.RunnerReport, sent: datetime.timedelta
    ) -> None:
        context, entry = self._context, self._entry
        now = context.get_now()
        if entry.missed_renewals:
            context.log.info("runner_answering_again", runner=entry.identifier)
            entry.answering_again_at = now
        entry.missed_renewals = 0
        is_new = report.incarnation != entry.incarnation
        entry.fence.record_report(self._token, is_new)
        _runner_reports.record_listed_runs(context, entry, report)
        if is_new:
            self._apply_new_incarnation(report, sent)
        entry.unreported_life.record_report(sent)
        for task, run in entry.supposed_crashes:
            context.job_tracker.retract_crash(task, run)
        entry.supposed_crashes.clear()
        entry.lost_contact_at = None
        entry.evidence = _Evidence.SILENT
        entry.life_signs.accepted_at = None
        _runner_reports.log_unreadable_entries(context, entry, report)
        entry.record_clock(report.clock_reading, sent, now)
        if not self._has_reported:
            # An earlier scheduler may have granted a lease just before this
            # answer.
            entry.lease_end = _runner_reports.get_earlier_lease_end(
                context.settings, entry, report
            )
            self._has_reported = True
            is_sole = context.leader_lease.is_sole
            entry.record_first_answer(
                now if is_sole else now + _renewal_wait.IDLE_RENEWAL_WAIT
            )
            self._track(entry)
        for run_exit in report.exits:
            if run_exit.number <= entry.processed_exit:
                continue
            entry.processed_exit = run_exit.number
            if context.job_tracker.has_job(run_exit.task.job):
                self._apply_exit(run_exit)
            else:
                # Acknowledging the exit before its job is read would lose it.
                entry.unread_exits[run_exit.number] = (run_exit, now)
                entry.pending_acks[run_exit.number] = _state.PendingAck(
                    run_exit.task, None
                )
        listed = {item.task: item for item in report.running}
        entry.unread_running = {
            key: unread
            for key, unread in entry.unread_running.items()
            if key in listed
        }
        for item in report.running:
            if context.job_tracker.has_job(item.task.job):
                self._apply_running_task(item)
            else:
                _, first_seen = entry.unread_running.get(
                    item.task, (item, now)
                )
                entry.unread_running[item.task] = (item, first_seen)
        self._drop_runs_of_absent_jobs()
        if _runner_reports.lists_all_exits(report):
            self._has_listed_all = True
            entry.unlisted_tasks = frozenset()
            if not report.unreadable_running:
                _runner_reports.record_missing_runs(
                    context, entry, listed, sent
                )
        if not report.unreadable_exits:
            entry.ack_evidence.record_exits(
                report.exits, entry.processed_exit, entry.acknowledged_exit
            )
        entry.listed = report.running
        _runner_reports.count_unassigned_runs(context, entry)
        _runner_reports.record_stray_runs(context, entry)

    def evict_from_draining_runner(self) -> None:
        """Evicts tasks that would not end before a draining runner leaves."""
        entry = self._entry
        is_leaving = (
            entry.leaves_at is not None
            and entry.leaves_at - self._context.get_now()
            <= _renewal_wait.LEAVE_MARGIN
        )
        for task in list(entry.tasks.values()):
            if task.step.is_long_running or is_leaving:
                self._context.job_tracker.evict_task(
                    task, "runner is draining"
                )

    def apply_unread_runs(self, job: str) -> None:
        """Applies what the runner has listed before a job was read.

        Must be called as soon as the job is read: until then its tasks appear
        to wait, and would be started a second time.
        """
        context, entry = self._context, self._entry
        if not (
            entry.unread_exits
            or entry.unread_running
            or entry.has_unknown_runs
        ):
            # All runners are asked for each new job.
            return
        for number, (run_exit, _) in list(entry.unread_exits.items()):
            if run_exit.task.job == job:
                del entry.unread_exits[number]
                self._apply_exit(run_exit)
        for key, (item, _) in list(entry.unread_running.items()):
            if key.job == job:
                del entry.unread_running[key]
                self._apply_running_task(item)
        _runner_reports.count_unassigned_runs(context, entry)

    def _drop_runs_of_absent_jobs(self) -> None:
        """Stops runs and acknowledges exits of jobs that do not exist."""
        entry, job_tracker = self._entry, self._context.job_tracker
        for number, (run_exit, first_seen) in list(entry.unread_exits.items()):
            if not job_tracker.may_be_unread(run_exit.task.job, first_seen):
                del entry.unread_exits[number]
                self._apply_exit(run_exit)
        for key, (item, first_seen) in list(entry.unread_running.items()):
            if not job_tracker.may_be_unread(key.job, first_seen):
                del entry.unread_running[key]
                self._apply_running_task(item)

    def _apply_new_incarnation(
        self, report: model.RunnerReport, sent: datetime.timedelta
    ) -> None:
        context, entry = self._context, self._entry
        if entry.incarnation:
            context.log.warning(
                "runner_restarted",
                runner=entry.identifier,
                incarnation=report.incarnation,
            )
            _health.forget_runner(context, entry.identifier)
            entry.restarted_at = context.get_now()
        elif entry.is_restored and report.running:
            # Idle, it may have been ejected by an earlier scheduler.
            context.health.trust(entry.identifier)
        entry.forget_earlier_incarnation()
        entry.lease_end = _runner_reports.get_new_lease_end(
            context.settings, entry, report, sent
        )
        entry.incarnation = report.incarnation
        lost = _runner_reports.list_lost_tasks(entry, report, sent)
        if lost:
            entry.evidence = _Evidence.ENDED
            self._crashes.record_crash(
                "restarted",
                _run_proofs.Proof.RESTARTED,
                lost,
                may_start=True,
            )

    def _apply_exit(self, run_exit: model.RunExit) -> None:
        context, entry = self._context, self._entry
        context.job_tracker.hold_reported_occurrence(run_exit.task)
        task = context.job_tracker.find_task(run_exit.task)
        context.repeated_runs.record_exit(entry, run_exit, task)
        generation = 0
        if task is not None:
            is_latest = (
                task.run == run_exit.run
                if task.runner is entry
                else task.runner is None
                and run_exit.run > task.last_exited_run
            )
            if is_latest:
                _run_times.record_exit(context, entry, task, run_exit)
                generation = context.job_tracker.record_exit(
                    task, run_exit, entry
                )
                _health.record_exit(context, entry, task, run_exit)
            else:
                generation = context.job_tracker.record_earlier_exit(
                    task, run_exit, entry
                )
        entry.pending_acks[run_exit.number] = _state.PendingAck(
            run_exit.task, generation
        )

    def _apply_running_task(self, item: model.RunningTask) -> None:
        context, entry = self._context, self._entry
        context.job_tracker.hold_reported_occurrence(item.task)
        task = context.job_tracker.find_task(item.task)
        if task is None or task.phase is _state.TaskPhase.DONE:
            if task is None or task.runner is not entry:
                self._commands.stop_orphan(entry, item)
            return
        if task.runner is entry and task.run == item.run:
            if task.phase is _state.TaskPhase.STARTING:
                context.job_tracker.confirm_run(task, entry)
        elif task.runner is None and item.run >= task.run:
            task.run = item.run
            context.job_tracker.retract_crash(task, item.run)
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
        task.progress_percent = item.progress_percent
        task.progress_reported_at = entry.clock_read
        if item.checkpoint:
            task.checkpoint = item.checkpoint

    def _untrack_if_idle(self) -> None:
        """Untracks an idle runner, so later schedulers don't wait for it.

        This is safe once the runner has answered in this term, because it then
        refuses commands of earlier schedulers.
        """
        entry = self._entry
        if self._has_reported and entry.is_idle and not entry.is_untracked:
            self._untrack(entry)

    async def _wait_before_renewal(self, sent: datetime.timedelta) -> None:
        context, entry = self._context, self._entry
        changes = {
            (pending.task.job, pending.generation)
            for pending in entry.pending_acks.values()
            if pending.generation is not None
        }
        if changes:
            await context.writer.wait_until_durable(
                changes, _MAX_DURABILITY_WAIT
            )
        _exit_acks.acknowledge_exits(context, entry)
        interval = context.renewal_pace.interval
        if entry.has_held_exit:
            interval = max(interval, _HELD_EXIT_INTERVAL)
        due = sent + interval
        remaining = due - context.get_now()
        if remaining > datetime.timedelta():
            await context.clock.sleep(remaining)
            now = context.get_now()
            context.renewal_pace.record_timer(now - due, now)
            context.load_monitor.counters.add_timer(now - due)
