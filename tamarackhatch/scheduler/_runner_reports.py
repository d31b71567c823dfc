"""What the reports of runners say beyond the runs and exits they list."""

from collections.abc import Mapping
import datetime

from tamarackhatch import model
from tamarackhatch.scheduler import _command_fence
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state
from tamarackhatch import settings

# A lease of an earlier scheduler may be longer by this share, because that
# scheduler's estimate of the runner's clock may be ahead.
_EARLIER_LEASE_EXCESS_SHARE = 0.05
# A report lists at most this many exits; a full report may omit others.
_MAX_LISTED_EXITS = 500


def get_earlier_lease_end(
    configured: settings.Settings,
    entry: _fleet.RunnerEntry,
    report: model.RunnerReport,
) -> datetime.timedelta:
    """Returns the latest end of leases that earlier schedulers granted.

    Args:
        configured: Settings of the instance.
        entry: The runner.
        report: Its first report in this term.
    """
    clock = report.clock_reading
    lease_end = clock + configured.lease * (1 + _EARLIER_LEASE_EXCESS_SHARE)
    if entry.is_restored:
        # A scheduler that did not know yet that the runner had restarted
        # computed lease ends from the earlier incarnation's clock, which
        # grant the longest lease. It sent none later than one lease after
        # the restart, when the clock began at 0, and none arrived later than
        # the longest delay after that.
        latest = min(clock, configured.lease + _command_fence.MAX_DELAY)
        longest = latest + configured.bounds.max_lease
        lease_end = max(lease_end, longest)
    return lease_end


def get_new_lease_end(
    configured: settings.Settings,
    entry: _fleet.RunnerEntry,
    report: model.RunnerReport,
    sent: datetime.timedelta,
) -> datetime.timedelta:
    """Returns the latest end of leases that a new incarnation may hold.

    Args:
        configured: Settings of the instance.
        entry: The runner.
        report: The first report of the incarnation.
        sent: Monotonic time at which the renewal was sent that it answers.
    """
    if not entry.incarnation:
        return report.clock_reading + configured.lease
    # Commands whose lease end was computed from the earlier incarnation's
    # clock grant the longest lease.
    longest = configured.bounds.max_lease
    if entry.unreported_life.found_at is not None:
        # It may have taken one after it made the report.
        longest = max(longest, entry.unreported_life.lease_until - sent)
    return report.clock_reading + longest


def record_start_answer(
    entry: _fleet.RunnerEntry,
    reading: datetime.timedelta,
    sent: datetime.timedelta,
    now: datetime.timedelta,
    lease_end: datetime.timedelta,
    max_lease: datetime.timedelta,
) -> bool:
    """Records the clock in the answer to a start, which grants a lease.

    Args:
        entry: The runner.
        reading: Reading of the clock of the incarnation that answered.
        sent: Monotonic time at which the start was sent.
        now: Monotonic time at which the answer arrived.
        lease_end: Lease end that the start carried.
        max_lease: Longest lease that a runner grants.

    Returns:
        Whether the incarnation has not reported yet, because its clock is
        behind that of the latest report.
    """
    if entry.clock_read is None:
        return False
    if reading + _fleet.EXPIRY_MARGIN < entry.estimate_clock(sent):
        entry.unreported_life.record_command(now, max_lease)
        return True
    # The lease end may come from the clock of an earlier incarnation.
    granted = min(lease_end, reading + max_lease)
    entry.lease_end = max(entry.lease_end, granted)
    return False


def lists_all_exits(report: model.RunnerReport) -> bool:
    """Returns whether a report lists all exits that are not acknowledged."""
    count = len(report.exits) + len(report.unreadable_exits)
    return count < _MAX_LISTED_EXITS


def log_unreadable_entries(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    report: model.RunnerReport,
) -> None:
    """Logs entries of a report that could not be decoded.

    Args:
        context: Shared components of the scheduler.
        entry: The runner.
        report: Its report.
    """
    findings = report.unreadable_running + report.unreadable_exits
    if findings:
        context.metrics.unreadable_entries.labels("report").inc(len(findings))
        context.log.warning(
            "report_entries_unreadable",
            runner=entry.identifier,
            count=len(findings),
            first=findings[0],
        )


def count_unassigned_runs(
    context: _context.SchedulerContext, entry: _fleet.RunnerEntry
) -> None:
    """Counts what listed runs reserve that belong to no task there.

    They use the runner's capacity until they are stopped.

    Args:
        context: Shared components of the scheduler.
        entry: The runner.
    """
    unassigned = model.Resources()
    entry.has_unknown_runs = False
    for item in entry.listed:
        if item.task in entry.tasks:
            continue
        step = context.job_tracker.find_step(item.task)
        if step is None:
            entry.has_unknown_runs = True
        else:
            unassigned += step.reserved
    entry.load.unassigned = unassigned


def record_listed_runs(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    report: model.RunnerReport,
) -> None:
    """Records which start commands have been carried out.

    Args:
        context: Shared components of the scheduler.
        entry: The runner.
        report: Its report.
    """
    attempts = context.start_attempts
    # Most reports arrive while all start commands have been answered.
    if not attempts.count:
        return
    for item in report.running:
        attempts.record_listed_run(item.task, item.run, entry.identifier)
    for run_exit in report.exits:
        attempts.record_listed_run(
            run_exit.task, run_exit.run, entry.identifier
        )


def record_stray_runs(
    context: _context.SchedulerContext, entry: _fleet.RunnerEntry
) -> None:
    """Records which listed runs are not the latest ones of tasks there.

    Their tasks must not start until these runs have been stopped.

    Args:
        context: Shared components of the scheduler.
        entry: The runner, after its report was applied.
    """
    stray = [
        item.task
        for item in entry.listed
        if (task := entry.tasks.get(item.task)) is None or task.run != item.run
    ]
    context.start_attempts.record_stray_runs(entry.identifier, stray)


def list_lost_tasks(
    entry: _fleet.RunnerEntry,
    report: model.RunnerReport,
    sent: datetime.timedelta,
) -> list[_state.TaskEntry]:
    """Returns the tasks whose runs are not of a new incarnation.

    An attempt of a start may have reached the new incarnation before its
    first report. Runs that have exited there are applied with their exits,
    and the next report tells of those that were confirmed since the renewal
    was sent, because they may have started after the report was made.

    Args:
        entry: The runner.
        report: The first report of its new incarnation.
        sent: Monotonic time at which the renewal was sent that it answers.
    """
    runs = {(item.task, item.run) for item in report.running + report.exits}
    return [
        task
        for task in entry.tasks.values()
        if (task.key, task.run) not in runs
        and (task.confirmed is None or task.confirmed < sent)
    ]


def record_missing_runs(
    context: _context.SchedulerContext,
    entry: _fleet.RunnerEntry,
    listed: Mapping[model.TaskKey, model.RunningTask],
    sent: datetime.timedelta,
) -> None:
    """Records that runs which a complete report does not list have ended.

    Args:
        context: Shared components of the scheduler.
        entry: The runner.
        listed: The runs in progress that it lists.
        sent: Monotonic time at which the renewal was sent that it answers.
    """
    for task in list(entry.tasks.values()):
        item = listed.get(task.key)
        if item is not None and item.run == task.run:
            continue
        if task.confirmed is not None and task.confirmed < sent:
            context.job_tracker.record_lost_run(task, "not in the report")
