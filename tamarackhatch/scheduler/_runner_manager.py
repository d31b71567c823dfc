"""Manages the runners of a cell, their reconcilers and their tracking."""

import asyncio
import datetime

import attrs

from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch.scheduler import _commands
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _dispatcher
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _health
from tamarackhatch.scheduler import _runner_reconciler
from tamarackhatch.scheduler import _runner_rows
from tamarackhatch.scheduler import _unusable_entries

_CHECK_INTERVAL = datetime.timedelta(milliseconds=25)
# Runners that are up answer within milliseconds.
_MAX_SILENT_WAIT = datetime.timedelta(seconds=1)
_MAX_LOGGED_RUNNERS = 20
# Age of a row when it is first read: runners rewrite their rows about once a
# second.
_MAX_ROW_AGE = datetime.timedelta(milliseconds=1300)
# Age of a later change of a row: pause between two reads, and the call.
_MAX_READ_DELAY = datetime.timedelta(milliseconds=450)
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Stands for runners whose identifiers are not known; never reconciled.
_UNKNOWN_RUNNERS = "(unknown)"
# Long enough that a lasting error does not fill the log or the processor.
_RESTART_DELAY = datetime.timedelta(seconds=1)


class RunnerManager:
    """Follows the runner registry and runs a reconciler for each runner."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        commands: _commands.CommandSender,
        dispatcher: _dispatcher.Dispatcher,
    ) -> None:
        self._context = context
        self._commands = commands
        self._dispatcher = dispatcher
        self._reconcilers: dict[str, _runner_reconciler.RunnerReconciler] = {}
        commands.set_restart_callback(self._handle_restart)
        self._reconciler_tasks: dict[str, asyncio.Task[None]] = {}
        # Runners that have not answered in this term, with the only tasks
        # that may run there; None for any task.
        self._unreconciled: dict[str, frozenset[model.TaskKey] | None] = {}
        self._unusable_entries = _unusable_entries.UnusableEntries(
            context.clock, context.log, context.metrics
        )

    def _handle_restart(self, entry: _fleet.RunnerEntry) -> None:
        """Has a runner report whose next incarnation is up."""
        entry.fence.require_higher_token()
        reconciler = self._reconcilers.get(entry.identifier)
        if reconciler is not None:
            reconciler.interrupt()

    def restore_tracked_runners(
        self,
        tracked_runners: tuple[records.TrackedRunner, ...] | None,
        cordoned_runners: tuple[records.CordonedRunner, ...],
    ) -> None:
        """Starts reconciling the runners on which earlier tasks may run.

        Pauses starts until all of these runners are reconciled. Jobs of
        earlier terms are always paused. Later jobs are paused as well if an
        earlier scheduler may not know that it is superseded, because it can
        still read and start them.

        Args:
            tracked_runners: The runners; None if they are not known, so that
                starts are paused until no earlier task can run.
            cordoned_runners: Those of them on which only certain tasks may
                run.
        """
        if tracked_runners is None:
            self._unreconciled[_UNKNOWN_RUNNERS] = None
        cordoned = {
            runner.identifier: frozenset(runner.tasks)
            for runner in cordoned_runners
        }
        for entry in tracked_runners or ():
            tasks = cordoned.get(entry.identifier)
            self._unreconciled[entry.identifier] = tasks
            self._add_runner(_make_runner(entry), is_restored=True)
            self._context.fleet[entry.identifier].unlisted_tasks = tasks
        self._pause_starts()

    def close(self) -> None:
        """Cancels all reconcilers."""
        for task in self._reconciler_tasks.values():
            task.cancel()

    def apply_row(self, row: model.Row) -> None:
        """Applies a changed or removed row of the registry."""
        entry = self._context.fleet.get(row.ref.key)
        if row.is_deleted:
            self._unusable_entries.forget(row.ref.key)
            if entry is not None:
                self._mark_unregistered(entry)
            return
        try:
            record = platform.decode_runner(row)
        except platform.MalformedBodyError as error:
            self._unusable_entries.record(row, error.message)
            # As after a takeover, the entry names no runner to use.
            if entry is not None:
                self._mark_unregistered(entry)
            return
        if entry is None and not self._is_service_needed(record.service):
            # The runner's next entry is read again, one heartbeat later.
            self._unusable_entries.record(row, "service is not configured")
            return
        self._unusable_entries.forget(row.ref.key)
        if entry is None:
            self._context.log.info(
                "runner_added",
                runner=record.identifier,
                service=record.service,
                cpu=record.capacity.processors,
                memory=record.capacity.memory_mb,
            )
            self._add_runner(record)
        else:
            self._update_runner(entry, record)

    def apply_unread_runs(self, job: str) -> None:
        """Applies what runners have listed before a job was read."""
        for reconciler in self._reconcilers.values():
            reconciler.apply_unread_runs(job)

    def mark_unlisted_runners(self, listed: set[str]) -> None:
        """Marks runners that the registry no longer lists."""
        self._unusable_entries.keep_only(listed)
        for entry in self._context.fleet.values():
            if entry.identifier not in listed:
                self._mark_unregistered(entry)

    async def wait_until_reconciled(
        self, claim_time: datetime.timedelta
    ) -> None:
        """Resumes starts once no run of an earlier term can be unknown.

        A runner that has answered has reported its runs and refuses older
        tokens. On a runner that has not answered, an earlier scheduler could
        renew leases until its leader lease ended, and runs may continue for
        one more runner lease.

        Args:
            claim_time: Boot time at which this term's scheduler began to run.
        """
        context = self._context
        deadline = claim_time + context.settings.takeover_wait
        warning_time = claim_time + _MAX_SILENT_WAIT
        while self._unreconciled:
            count = len(self._unreconciled)
            for identifier in list(self._unreconciled):
                reconciler = self._reconcilers.get(identifier)
                if reconciler is not None and reconciler.knows_all_runs:
                    del self._unreconciled[identifier]
            if len(self._unreconciled) < count:
                self._pause_starts()
            context.load_monitor.awaited_runners = len(self._unreconciled)
            now = context.clock.get_boot_time()
            if self._unreconciled and now > warning_time:
                warning_time = deadline
                self._log_unreconciled("takeover_waits_for_runners")
            if now > deadline:
                self._forget_earlier_runs()
            await context.clock.sleep(_CHECK_INTERVAL)
        context.load_monitor.awaited_runners = 0
        waited = context.clock.get_boot_time() - claim_time
        context.log.summary(
            "takeover_finished",
            term=context.term,
            waited_ms=waited // _MILLISECOND,
        )
        self._dispatcher.resume_starts()

    def _forget_earlier_runs(self) -> None:
        """Ends the wait for runners whose earlier leases have expired."""
        awaited = {
            identifier: tasks
            for identifier, tasks in self._unreconciled.items()
            if identifier in self._reconcilers
            and self._reconcilers[identifier].awaits_exits
        }
        if len(awaited) == len(self._unreconciled):
            return
        self._log_unreconciled("runners_unreconciled")
        for entry in self._context.fleet.values():
            if entry.identifier not in awaited:
                entry.unlisted_tasks = frozenset()
        self._unreconciled = awaited
        self._pause_starts()

    def _pause_starts(self) -> None:
        """Pauses the tasks that may run on unreconciled runners."""
        if not self._unreconciled:
            return
        tasks: frozenset[model.TaskKey] | None = None
        known = [
            possible
            for possible in self._unreconciled.values()
            if possible is not None
        ]
        if len(known) == len(self._unreconciled):
            tasks = frozenset().union(*known)
        leader_lease = self._context.leader_lease
        self._dispatcher.pause_starts(
            leader_lease.term.token if leader_lease.is_sole else None, tasks
        )

    def _log_unreconciled(self, event: str) -> None:
        """Logs runners that have not answered, with what is known of them."""
        if not self._unreconciled:
            return
        runners = []
        for identifier in sorted(self._unreconciled)[:_MAX_LOGGED_RUNNERS]:
            entry = self._context.fleet.get(identifier)
            runners.append(
                {
                    "runner": identifier,
                    "registered": entry is not None and entry.is_registered,
                    "draining": entry is not None and entry.record.is_draining,
                    "missed_renewals": entry and entry.missed_renewals,
                }
            )
        self._context.log.warning(
            event,
            count=len(self._unreconciled),
            runners=runners,
            paused_tasks=self._context.load_monitor.waiting.paused,
        )

    def _is_service_needed(self, name: str) -> bool:
        context = self._context
        return context.is_service_known(
            name
        ) or context.job_tracker.needs_service(name)

    def _add_runner(
        self, record: model.Runner, is_restored: bool = False
    ) -> None:
        entry = _fleet.make_runner_entry(record)
        entry.update_record(record, self._context.get_now() - _MAX_ROW_AGE)
        entry.is_restored = is_restored
        # The list of tracked runners does not hold capacities.
        entry.is_capacity_known = not is_restored
        if _UNKNOWN_RUNNERS in self._unreconciled:
            entry.unlisted_tasks = None
        self._context.fleet[record.identifier] = entry
        self._start_reconciler(entry)

    def _start_reconciler(
        self,
        entry: _fleet.RunnerEntry,
        delay: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        reconciler = _runner_reconciler.RunnerReconciler(
            self._context,
            entry,
            self._commands,
            self._untrack,
            self._track,
        )
        self._reconcilers[entry.identifier] = reconciler

        async def run() -> None:
            if delay:
                await self._context.clock.sleep(delay)
            await reconciler.run()

        task = asyncio.create_task(run())
        self._reconciler_tasks[entry.identifier] = task
        task.add_done_callback(
            lambda finished_task: self._handle_finished_reconciler(
                entry.identifier, finished_task
            )
        )

    def _handle_finished_reconciler(
        self, identifier: str, task: asyncio.Task[None]
    ) -> None:
        if task.cancelled() or self._context.leader_lease.is_revoked:
            return
        if task.exception() is not None:
            self._context.log.error(
                "reconciler_failed",
                runner=identifier,
                reason=repr(task.exception()),
            )
            self._start_reconciler(
                self._context.fleet[identifier], _RESTART_DELAY
            )
            return
        self._context.log.info("runner_removed", runner=identifier)
        del self._reconciler_tasks[identifier]
        if self._reconcilers.pop(identifier).knows_all_runs:
            self._unreconciled.pop(identifier, None)
            self._pause_starts()
        del self._context.fleet[identifier]
        self._context.start_attempts.discard_runner(identifier)
        _health.forget_runner(self._context, identifier)
        self._write_tracked_runners()

    def _update_runner(
        self, entry: _fleet.RunnerEntry, record: model.Runner
    ) -> None:
        if record.is_draining and not entry.record.is_draining:
            self._context.log.info(
                "runner_draining",
                runner=record.identifier,
                remaining=record.remaining,
            )
        if not entry.is_registered:
            self._context.log.info(
                "runner_registered_again", runner=record.identifier
            )
        if entry.names_other_incarnation(record):
            entry.fence.require_higher_token()
            # An earlier one may be in a row that was read late.
            if record.incarnation > entry.incarnation:
                self._handle_restart(entry)
        age = _MAX_READ_DELAY if entry.is_capacity_known else _MAX_ROW_AGE
        entry.update_record(record, self._context.get_now() - age)
        entry.is_registered = True
        self._update_capacity(entry, record.capacity)
        entry.load.labels = record.labels
        entry.load.service = record.service
        is_leaving = record.is_draining or entry.missed_renewals > 0
        if entry.is_untracked and (entry.tasks or not is_leaving):
            entry.is_untracked = entry.is_tracked = False
        if not entry.is_tracked and entry.is_to_be_tracked:
            self._write_tracked_runners()
        if record.is_draining:
            reconciler = self._reconcilers[entry.identifier]
            reconciler.evict_from_draining_runner()

    def _update_capacity(
        self, entry: _fleet.RunnerEntry, capacity: model.Resources
    ) -> None:
        load = entry.load
        if entry.is_capacity_known and capacity == load.capacity:
            return
        former = load.capacity
        load.capacity = capacity
        if entry.is_capacity_known:
            self._context.metrics.capacity_changes.inc()
            self._context.log.info(
                "runner_capacity_changed",
                runner=entry.identifier,
                former=attrs.astuple(former),
                capacity=attrs.astuple(capacity),
                reserved_cpu=load.reserved_cpu,
                reserved_memory_mb=load.reserved_memory_mb,
                is_over=load.is_over_capacity(),
            )
        entry.is_capacity_known = True
        entry.capacity_refusals = 0
        self._context.wake.set()

    def _track(self, entry: _fleet.RunnerEntry) -> None:
        if not entry.is_tracked:
            self._write_tracked_runners()

    def _untrack(self, entry: _fleet.RunnerEntry) -> None:
        entry.is_untracked = True
        self._context.log.info("runner_untracked", runner=entry.identifier)
        self._write_tracked_runners()

    def _mark_unregistered(self, entry: _fleet.RunnerEntry) -> None:
        if entry.is_registered:
            entry.is_registered = False
            self._context.log.info(
                "runner_unregistered", runner=entry.identifier
            )

    def _write_tracked_runners(self) -> None:
        self._context.writer.request_tracked_runners(
            self._list_tracked_runners
        )

    def _list_tracked_runners(self) -> _runner_rows.TrackedRunnersWrite:
        entries = [
            entry
            for entry in self._context.fleet.values()
            if entry.is_to_be_tracked
        ]
        tracked_runners = tuple(
            records.TrackedRunner(
                entry.identifier,
                entry.record.address,
                entry.record.service,
                entry.incarnation,
            )
            for entry in entries
        )

        def mark_tracked() -> None:
            for entry in entries:
                entry.is_tracked = True
            self._context.wake.set()

        return _runner_rows.TrackedRunnersWrite(tracked_runners, mark_tracked)


def _make_runner(entry: records.TrackedRunner) -> model.Runner:
    """Returns a runner that is known from an earlier term only."""
    return model.Runner(
        entry.identifier,
        entry.service,
        entry.address,
        "",
        False,
        model.Resources(),
        incarnation=entry.incarnation,
    )
