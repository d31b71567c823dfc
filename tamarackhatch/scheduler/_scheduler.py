"""The active scheduler of a cell, for one term."""

import asyncio
import datetime

from tamarackhatch import admission
from tamarackhatch import election
from tamarackhatch import forecast
from tamarackhatch import health
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch.scheduler import _commands
from tamarackhatch.scheduler import _configuration_publisher
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _cordons
from tamarackhatch.scheduler import _crash_rates
from tamarackhatch.scheduler import _dependencies
from tamarackhatch.scheduler import _dispatcher
from tamarackhatch.scheduler import _dry_run
from tamarackhatch.scheduler import _earlier_terms
from tamarackhatch.scheduler import _evacuations
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _garbage_collector
from tamarackhatch.scheduler import _health
from tamarackhatch.scheduler import _job_rows
from tamarackhatch.scheduler import _job_tracker
from tamarackhatch.scheduler import _lateness_probe
from tamarackhatch.scheduler import _leadership_loss
from tamarackhatch.scheduler import _load_monitor
from tamarackhatch.scheduler import _near_places
from tamarackhatch.scheduler import _repeated_runs
from tamarackhatch.scheduler import _runner_manager
from tamarackhatch.scheduler import _runner_rows
from tamarackhatch.scheduler import _start_attempts
from tamarackhatch.scheduler import _start_records
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _stored_progress
from tamarackhatch.scheduler import _stragglers
from tamarackhatch.scheduler import _tickets
from tamarackhatch.scheduler import _writer
from tamarackhatch import where

# Every runner rewrites its registry row with each heartbeat. Without a pause,
# the feed of changed rows would answer dozens of times a second.
_REGISTRY_READ_INTERVAL = datetime.timedelta(milliseconds=400)
_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
# The first attempt may conflict with a transaction whose answer was not
# awaited.
_MAX_RELEASE_ATTEMPTS = 3
_MAX_HANDOVER_WAIT = datetime.timedelta(milliseconds=400)
# A term that is handed over before runners have answered starts nothing, and
# in a series of stops none would. Runners answer and tasks start within this
# time, of which a stop leaves seconds.
_MIN_READY_TIME = datetime.timedelta(milliseconds=500)
# A stopped scheduler waits no longer for its first reads.
_MAX_START_UP_WAIT = datetime.timedelta(seconds=1)


class Scheduler:
    """Schedules the tasks of all jobs during one term."""

    def __init__(
        self,
        dependencies: _dependencies.SchedulerDependencies,
        term: election.Term,
        candidate: election.Candidate,
    ) -> None:
        store, time_source, log = (
            dependencies.store,
            dependencies.clock,
            dependencies.log,
        )
        configured, metrics = dependencies.settings, dependencies.metrics
        self._store = store
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._term = term
        self._leader_lease = election.LeaderLease(
            time_source, term, configured.scheduling.leader_lease
        )
        job_tracker = _job_tracker.JobTracker(
            time_source, term.number, log, metrics
        )
        interference = placement.InterferenceModel()
        fleet: dict[str, _fleet.RunnerEntry] = {}
        load_monitor = _load_monitor.LoadMonitor(
            time_source, log, metrics, dependencies.client.traffic
        )
        start_attempts = _start_attempts.StartAttempts(
            time_source, configured.longest_run
        )
        self._start_records = _start_records.StartRecords(
            time_source,
            start_attempts,
            self._leader_lease,
            log,
            metrics,
            load_monitor,
        )
        self._runner_rows = _runner_rows.RunnerRows(
            _cordons.CordonList(fleet), self._start_records
        )
        self._writer = _writer.ProgressWriter(
            store,
            time_source,
            self._leader_lease,
            records.LeaderHeartbeat(
                candidate.instance,
                candidate.incarnation,
                term.number,
                metrics_address=configured.public_metrics_address or "",
            ),
            configured.scheduling.leader_heartbeat_interval,
            self._count_pending,
            interference.export_interference,
            _configuration_publisher.ConfigurationPublisher(
                dependencies.configuration, time_source
            ),
            self._runner_rows,
            log,
            metrics,
            self._summarise_waits,
            dependencies.on_heartbeat,
            load_monitor,
        )
        self._start_records.set_callback(self._writer.request_start_records)
        wake = asyncio.Event()
        self._tickets = _tickets.TicketCache(
            dependencies.advice_client, time_source, wake.set, log
        )
        self._evacuations = _evacuations.EvacuationWatcher(
            store,
            time_source,
            configured.bounds.evacuation,
            wake.set,
            log,
            metrics,
        )
        self._context = _context.SchedulerContext(
            clock=time_source,
            settings=configured,
            leader_lease=self._leader_lease,
            client=dependencies.client,
            job_tracker=job_tracker,
            fleet=fleet,
            start_attempts=start_attempts,
            start_records=self._start_records,
            crash_rates=_crash_rates.CrashRates(time_source, fleet),
            writer=self._writer,
            log=log,
            metrics=metrics,
            interference=interference,
            policy=_near_places.adapt_policy(
                dependencies.policy, configured.bounds
            ),
            tickets=self._tickets,
            load_monitor=load_monitor,
            repeated_runs=_repeated_runs.RepeatedRunRecorder(
                time_source, log, metrics
            ),
            wait_estimator=admission.WaitEstimator(),
            health=health.HealthMonitor(),
            stalls=health.StallDetector(),
            run_times=forecast.RunTimeModel(),
            evacuations=self._evacuations,
            enforces_capacity=dependencies.enforces_capacity,
            is_service_known=dependencies.is_service_known,
            wake=wake,
        )
        self._commands = _commands.CommandSender(self._context)
        self._garbage_collector = _garbage_collector.JobGarbageCollector(
            store,
            time_source,
            configured.bounds.status_retention,
            job_tracker.remove_job,
            log,
        )
        job_tracker.set_callbacks(
            self._writer.request_write,
            self._commands.stop_task,
            wake.set,
            self._record_finished,
        )
        self._dispatcher = _dispatcher.Dispatcher(
            self._context, self._commands
        )
        self._straggler_mover = _stragglers.StragglerMover(
            self._context,
            self._dispatcher.list_candidates,
            self._dispatcher.filter_by_ticket,
        )
        self._dispatcher.near_places.set_rate_source(
            self._straggler_mover.get_rate
        )
        self._health_controller = _health.HealthController(self._context)
        self._runner_manager = _runner_manager.RunnerManager(
            self._context, self._commands, self._dispatcher
        )
        self._progress = _stored_progress.StoredProgress(
            store, time_source, log
        )
        job_rows = _job_rows.JobRows(
            job_tracker,
            self._garbage_collector,
            self._progress,
            self._leader_lease,
            self._runner_manager.apply_unread_runs,
            log,
        )
        self._stop_requested_at: datetime.timedelta | None = None
        self._has_loaded_jobs = False
        self._ready_at: datetime.timedelta | None = None
        self._job_watcher = records.TableWatcher(
            store,
            time_source,
            records.JOBS_TABLE,
            records.JOB_PARTITIONS,
            job_rows.apply,
            log,
            on_reload=job_rows.forget_removed_cancellations,
            on_synced=job_tracker.mark_synced,
        )
        self._runner_watcher = records.TableWatcher(
            store,
            time_source,
            platform.RUNNERS_TABLE,
            ("",),
            self._runner_manager.apply_row,
            log,
            _REGISTRY_READ_INTERVAL,
            self._runner_manager.mark_unlisted_runners,
            self._dispatcher.mark_registry_read,
        )

    @property
    def term(self) -> int:
        """Number of the term."""
        return self._term.number

    @property
    def pending(self) -> model.PendingCount | None:
        """Numbers of jobs without a started task; None if not known."""
        return self._count_pending()

    @property
    def is_ready(self) -> bool:
        """Whether the jobs and the runners have been read."""
        return self._ready_at is not None

    @property
    def _is_hand_over_due(self) -> bool:
        """Whether a stop was requested, and the term has lasted enough."""
        if self._stop_requested_at is None:
            return False
        now = self._clock.get_monotonic()
        if self._ready_at is None:
            return now - self._stop_requested_at >= _MAX_START_UP_WAIT
        return now - self._ready_at >= _MIN_READY_TIME

    def try_placement(
        self, job: model.Job, configuration: int
    ) -> where.Answer:
        """Returns where a job would be placed now; changes nothing.

        Args:
            job: The job.
            configuration: Version of the configuration.
        """
        return _dry_run.DryRun(self._context, self._dispatcher, job).run(
            configuration
        )

    def request_publication(self) -> None:
        """Requests that a new configuration be published."""
        self._writer.request_publication()

    def stop(self) -> None:
        """Requests a graceful stop, which hands the term over."""
        if self._stop_requested_at is None:
            self._stop_requested_at = self._clock.get_monotonic()

    async def run(self) -> None:
        """Schedules until the term ends or a stop is requested."""
        self._metrics.is_scheduler.set(1)
        claim_time = self._clock.get_boot_time()
        tasks: list[asyncio.Task[None]] = []
        try:
            tasks.append(asyncio.create_task(self._writer.run()))
            tasks.append(asyncio.create_task(self._start_up(claim_time)))
            if self._evacuations.is_enabled:
                # The first read takes no time from the takeover, because it
                # is made while jobs are loaded.
                tasks.append(asyncio.create_task(self._evacuations.run()))
            await self._wait_for_end(tasks)
            if self._is_hand_over_due and not self._leader_lease.is_revoked:
                await self._hand_over_term(tasks)
        finally:
            self._leader_lease.revoke()
            self._commands.close()
            self._runner_manager.close()
            for task in tasks:
                task.cancel()
            self._metrics.clear_term()
            self._log.summary("term_ended", term=self._term.number)

    def _record_finished(self, job: _state.JobEntry) -> None:
        self._tickets.discard_job(job.identifier)
        self._context.interference.remove_job(job.identifier)
        self._garbage_collector.record_finished(
            job.identifier, job.progress_parts
        )

    def _count_pending(self) -> model.PendingCount | None:
        if not self._has_loaded_jobs:
            return self._term.pending
        return model.PendingCount(
            self._context.job_tracker.count_pending(), self._job_watcher.moment
        )

    def _summarise_waits(self) -> tuple[model.WaitSummary, ...]:
        return (
            self._dispatcher.waits.get_summaries()
            if self._has_loaded_jobs
            else ()
        )

    async def _start_up(self, claim_time: datetime.timedelta) -> None:
        await self._progress.load()
        reader = _earlier_terms.EarlierTermsReader(
            self._store, self._clock, self._log
        )
        interference = await reader.read_interference()
        if interference is not None:
            self._context.interference.import_interference(
                interference, self._context.get_now()
            )
        earlier = await reader.read_runners(self._term.number)
        tracked_runners = earlier.tracked_runners
        self._dispatcher.exempt_from_pause(earlier.waiting_tasks)
        # Runners report runs of jobs, so the jobs must be loaded first.
        await self._job_watcher.load()
        self._has_loaded_jobs = True
        self._runner_manager.restore_tracked_runners(
            tracked_runners, earlier.cordoned_runners
        )
        self._context.start_attempts.restore(earlier.open_starts)
        self._runner_rows.enable()
        await self._runner_watcher.load()
        self._ready_at = self._clock.get_monotonic()
        self._log.summary(
            "scheduler_ready",
            term=self._term.number,
            token=self._term.token,
            tracked_runners=tracked_runners and len(tracked_runners),
            runners=len(self._context.fleet),
            open_starts=len(earlier.open_starts),
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self._runner_watcher.follow())
            group.create_task(self._job_watcher.follow())
            group.create_task(self._dispatcher.run())
            group.create_task(self._straggler_mover.run())
            group.create_task(self._health_controller.run())
            group.create_task(self._tickets.run())
            group.create_task(self._garbage_collector.run())
            group.create_task(
                self._runner_manager.wait_until_reconciled(claim_time)
            )
            group.create_task(self._open_occurrences())
            group.create_task(self._context.load_monitor.run())
            group.create_task(
                _lateness_probe.LatenessProbe(self._context).run()
            )

    async def _wait_for_end(self, tasks: list[asyncio.Task[None]]) -> None:
        while not self._is_hand_over_due and not self._leader_lease.is_revoked:
            for task in tasks:
                if task.done():
                    error = task.exception()
                    if not isinstance(
                        error, _leadership_loss.LeadershipLostError
                    ):
                        self._log.error("scheduler_failed", reason=repr(error))
                    return
            await self._clock.sleep(_CHECK_INTERVAL)

    async def _hand_over_term(self, tasks: list[asyncio.Task[None]]) -> None:
        """Releases the term, so a successor need not wait for a timeout."""
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The writer has ended, so that no further start can be recorded.
        self._start_records.close()
        deadline = self._clock.get_monotonic() + _MAX_HANDOVER_WAIT
        while self._commands.in_progress:
            if self._clock.get_monotonic() >= deadline:
                break
            await self._clock.sleep(_CHECK_INTERVAL / 5)
        # The successor may act as soon as the release is stored, which may be
        # long before this process learns of it.
        self._leader_lease.revoke()
        self._commands.close()
        self._runner_manager.close()
        is_written = False
        try:
            for _ in range(_MAX_RELEASE_ATTEMPTS):
                is_written = await self._writer.write_batch(
                    is_release=True,
                    waiting_tasks=self._dispatcher.list_unstarted_tasks(
                        self.is_ready
                    ),
                )
                if is_written:
                    break
        except _leadership_loss.LeadershipLostError:
            return
        self._log.summary("term_released", written=is_written)

    async def _open_occurrences(self) -> None:
        while True:
            self._context.job_tracker.open_due_occurrences()
            await self._clock.sleep(_CHECK_INTERVAL)
