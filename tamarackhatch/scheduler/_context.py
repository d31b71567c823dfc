"""Components that the asyncio tasks of one scheduler share."""

import asyncio
from collections.abc import Callable
import datetime

import attrs

from tamarackhatch import admission
from tamarackhatch import clock
from tamarackhatch import election
from tamarackhatch import forecast
from tamarackhatch import health
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch.scheduler import _crash_rates
from tamarackhatch.scheduler import _evacuations
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _job_tracker
from tamarackhatch.scheduler import _load_monitor
from tamarackhatch.scheduler import _renewal_pace
from tamarackhatch.scheduler import _repeated_runs
from tamarackhatch.scheduler import _start_attempts
from tamarackhatch.scheduler import _start_records
from tamarackhatch.scheduler import _start_window
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _tickets
from tamarackhatch.scheduler import _writer
from tamarackhatch import settings


@attrs.frozen
class SchedulerContext:
    """Shared components of one scheduler.

    Attributes:
        clock: Source of time.
        settings: Settings of the instance.
        leader_lease: Time-bounded right to send commands.
        client: Sends commands to runners.
        job_tracker: State of unfinished jobs and tasks.
        fleet: Runners by identifier.
        start_attempts: Start commands that may still be carried out.
        start_records: Records starts in the store before they are sent.
        crash_rates: Knows how often runners crash.
        writer: Writes durable progress.
        log: Log of the scheduler.
        metrics: Measurements of the process.
        interference: Model of how best-effort tasks interfere with serving
            tasks.
        policy: Weights and limits of placement.
        tickets: Requests and caches tickets of the placement policy service.
        load_monitor: Counts the work of the scheduler.
        repeated_runs: Reports tasks that have run twice.
        wait_estimator: Estimates how long new work waits.
        stalls: Finds runners that hang.
        health: Knows which runners fail.
        run_times: Knows how long tasks run.
        evacuations: Knows the data centres in which nothing may start.
        enforces_capacity: Returns whether the runners of a service reject
            tasks that do not fit; False if that is not known.
        is_service_known: Returns whether the configuration names a service;
            True if that is not known.
        wake: Set when tasks wait or capacity becomes free.
        renewal_pace: Chooses how often runners are asked.
        start_window: Limits the starts in progress.
    """

    clock: clock.Clock
    settings: settings.Settings
    leader_lease: election.LeaderLease
    client: platform.RunnerClient
    job_tracker: _job_tracker.JobTracker
    fleet: dict[str, _fleet.RunnerEntry]
    start_attempts: _start_attempts.StartAttempts
    start_records: _start_records.StartRecords
    crash_rates: _crash_rates.CrashRates
    writer: _writer.ProgressWriter
    log: observability.Log
    metrics: observability.Metrics
    interference: placement.InterferenceModel
    policy: placement.PlacementPolicy
    tickets: _tickets.TicketCache
    load_monitor: _load_monitor.LoadMonitor
    repeated_runs: _repeated_runs.RepeatedRunRecorder
    wait_estimator: admission.WaitEstimator
    stalls: health.StallDetector
    health: health.HealthMonitor
    run_times: forecast.RunTimeModel
    evacuations: _evacuations.EvacuationWatcher
    enforces_capacity: Callable[[str], bool]
    is_service_known: Callable[[str], bool]
    wake: asyncio.Event
    renewal_pace: _renewal_pace.RenewalPace = attrs.field(
        factory=_renewal_pace.RenewalPace
    )
    start_window: _start_window.StartWindow = attrs.field(
        factory=_start_window.StartWindow
    )

    @property
    def term(self) -> int:
        """Number of the term."""
        return self.leader_lease.term.number

    def get_now(self) -> datetime.timedelta:
        """Returns monotonic time."""
        return self.clock.get_monotonic()

    def authorise_command(
        self, runner: _state.TaskRunner
    ) -> platform.Authority:
        """Chooses a fencing token, and returns the right to send a command."""
        return platform.Authority(
            runner.fence.advance(self.leader_lease.confirmed_versions),
            lambda: self.leader_lease.is_valid,
        )

    def list_open_runners(self) -> list[_fleet.RunnerEntry]:
        """Returns the runners in data centres that are not evacuated."""
        if not self.evacuations.is_enabled:
            return list(self.fleet.values())
        # There are far fewer data centres than runners.
        evacuated = {
            name
            for name in {
                entry.record.data_centre for entry in self.fleet.values()
            }
            if self.evacuations.is_evacuated(name)
        }
        return [
            entry
            for entry in self.fleet.values()
            if entry.record.data_centre not in evacuated
        ]
