"""The active scheduler of a cell, for one term."""

import asyncio
import datetime

from tamarackhatch import election
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch.scheduler import _advice
from tamarackhatch.scheduler import _board
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _dispatcher
from tamarackhatch.scheduler import _janitor
from tamarackhatch.scheduler import _keeper
from tamarackhatch.scheduler import _orders
from tamarackhatch.scheduler import _parts
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _writer

_READ_TIMEOUT = datetime.timedelta(milliseconds=1500)
_RETRY_PAUSE = datetime.timedelta(milliseconds=150)
# Runners rewrite their entries with every heartbeat, so that a feed without
# a pause would answer dozens of times a second.
_REGISTRY_INTERVAL = datetime.timedelta(milliseconds=400)
_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
# The first try may meet a transaction whose answer was not awaited.
_RELEASE_TRIES = 3
_HANDOVER_WAIT = datetime.timedelta(milliseconds=400)


class Scheduler:
    """Schedules the tasks of all jobs while its term lasts."""

    def __init__(
        self,
        parts: _parts.SchedulerParts,
        term: election.Term,
        candidate: election.Candidate,
    ) -> None:
        store, time_source, log = parts.store, parts.clock, parts.log
        configured, metrics = parts.settings, parts.metrics
        self._store = store
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._term = term
        self._leader_lease = election.LeaderLease(
            time_source, term, configured.scheduling.leader_lease
        )
        board = _board.Board(time_source, term.number, log, metrics)
        factors = placement.InterferenceModel()
        self._writer = _writer.ProgressWriter(
            store,
            time_source,
            self._leader_lease,
            records.LeaderHeartbeat(
                candidate.instance, candidate.incarnation, term.number
            ),
            configured.scheduling.leader_heartbeat_interval,
            self._count_pending,
            factors.export_factors,
            log,
            metrics,
        )
        wake = asyncio.Event()
        self._advice = _advice.AdviceDesk(
            parts.advice, time_source, wake.set, log
        )
        self._context = _context.SchedulerContext(
            clock=time_source,
            settings=configured,
            leader_lease=self._leader_lease,
            client=parts.client,
            board=board,
            fleet={},
            writer=self._writer,
            log=log,
            metrics=metrics,
            factors=factors,
            policy=parts.policy,
            advice=self._advice,
            wake=wake,
        )
        self._orders = _orders.OrderDesk(self._context)
        self._janitor = _janitor.Janitor(
            store,
            time_source,
            configured.bounds.status_retention,
            board.forget_job,
            log,
        )
        board.connect(
            self._writer.mark,
            self._orders.stop,
            wake.set,
            self._note_finished,
        )
        self._dispatcher = _dispatcher.Dispatcher(self._context, self._orders)
        self._keeper = _keeper.RunnerKeeper(
            self._context, self._orders, self._dispatcher
        )
        self._progress: dict[str, records.JobProgress] = {}
        self._stopping = asyncio.Event()
        self._has_jobs = False
        self._jobs = records.TableWatcher(
            store,
            time_source,
            records.JOBS_TABLE,
            records.JOB_PARTITIONS,
            self._apply_job_row,
            log,
        )
        self._runners = records.TableWatcher(
            store,
            time_source,
            platform.RUNNERS_TABLE,
            ("",),
            self._keeper.apply_row,
            log,
            _REGISTRY_INTERVAL,
            self._keeper.forget_unlisted,
        )

    @property
    def term(self) -> int:
        """Number of its term."""
        return self._term.number

    @property
    def pending(self) -> dict[str, int]:
        """For each queue, jobs of which no task has started yet."""
        return self._count_pending()

    def stop(self) -> None:
        """Asks for a planned end: the term is handed over."""
        self._stopping.set()

    async def run(self) -> None:
        """Schedules until the term ends."""
        self._metrics.is_scheduler.set(1)
        claimed = self._clock.get_boot_time()
        tasks: list[asyncio.Task[None]] = []
        try:
            tasks.append(asyncio.create_task(self._writer.run()))
            tasks.append(asyncio.create_task(self._start_up(claimed)))
            await self._wait_for_end(tasks)
            if self._stopping.is_set() and not self._leader_lease.is_revoked:
                await self._hand_over(tasks)
        finally:
            self._leader_lease.revoke()
            self._orders.close()
            self._keeper.close()
            for task in tasks:
                task.cancel()
            self._metrics.is_scheduler.set(0)
            self._log.info("term_ended", term=self._term.number)

    def _note_finished(self, job: _state.JobEntry) -> None:
        self._advice.forget_job(job.identifier)
        self._context.factors.forget(job.identifier)
        self._janitor.note_finished(job.identifier)

    def _count_pending(self) -> dict[str, int]:
        if not self._has_jobs:
            return self._term.pending
        return self._context.board.count_pending()

    async def _start_up(self, claimed: datetime.timedelta) -> None:
        tracked_runners = await self._load_progress()
        # Runners list runs of jobs, so that these must be known first.
        await self._jobs.load()
        self._has_jobs = True
        self._keeper.restore_tracked_runners(tracked_runners)
        await self._runners.load()
        self._log.info(
            "scheduler_ready",
            term=self._term.number,
            token=self._term.token,
            roster=len(tracked_runners),
            runners=len(self._context.fleet),
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self._runners.follow())
            group.create_task(self._jobs.follow())
            group.create_task(self._dispatcher.run())
            group.create_task(self._advice.run())
            group.create_task(self._janitor.run())
            group.create_task(self._keeper.settle(claimed))
            group.create_task(self._open_occurrences())

    async def _wait_for_end(self, tasks: list[asyncio.Task[None]]) -> None:
        while (
            not self._stopping.is_set() and not self._leader_lease.is_revoked
        ):
            for task in tasks:
                if task.done():
                    error = task.exception()
                    if not isinstance(error, _writer.LeadershipLostError):
                        self._log.error("scheduler_failed", reason=repr(error))
                    return
            await self._clock.sleep(_CHECK_INTERVAL)

    async def _hand_over(self, tasks: list[asyncio.Task[None]]) -> None:
        """Ends the term so that a successor need not wait for silence."""
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        deadline = self._clock.get_monotonic() + _HANDOVER_WAIT
        while self._orders.in_progress:
            if self._clock.get_monotonic() >= deadline:
                break
            await self._clock.sleep(_CHECK_INTERVAL / 5)
        self._keeper.close()
        is_written = False
        try:
            for _ in range(_RELEASE_TRIES):
                is_written = await self._writer.write_batch(is_release=True)
                if is_written:
                    break
        except _writer.LeadershipLostError:
            return
        self._log.info("term_released", written=is_written)

    async def _load_progress(self) -> tuple[records.TrackedRunner, ...]:
        progress = records.TableWatcher(
            self._store,
            self._clock,
            records.PROGRESS_TABLE,
            (records.SCHEDULER_PARTITION,),
            self._apply_progress_row,
            self._log,
        )
        await progress.load()
        await self._load_factors()
        row = await self._read_row(records.TRACKED_RUNNERS)
        return () if row is None else records.decode_tracked_runners(row.value)

    async def _load_factors(self) -> None:
        row = await self._read_row(records.FACTORS)
        if row is None:
            return
        try:
            table = records.decode_factors(row.value)
        except records.BadRecordError as error:
            self._log.warning("factors_unreadable", reason=error.message)
            return
        self._context.factors.import_factors(table, self._context.get_now())

    async def _read_row(self, ref: model.RowRef) -> model.Row | None:
        while True:
            try:
                page = await self._store.read(
                    ref.table, ref.partition, _READ_TIMEOUT
                )
                return records.find_row(page.rows, ref)
            except model.StoreUnavailableError as error:
                self._log.warning(
                    "row_unread", table=ref.table, reason=error.message
                )
                await self._clock.sleep(_RETRY_PAUSE)

    def _apply_progress_row(self, row: model.Row) -> None:
        try:
            progress = records.decode_progress(row.value)
        except records.BadRecordError as error:
            self._log.error(
                "progress_unreadable", job=row.ref.key, reason=error.message
            )
            return
        self._progress[row.ref.key] = progress

    def _apply_job_row(self, row: model.Row) -> None:
        if row.is_deleted:
            return
        board = self._context.board
        cancelled = records.get_cancelled_job(row.ref.key)
        if cancelled is not None:
            board.cancel_job(cancelled)
            return
        if board.has_job(row.ref.key):
            return
        try:
            job = records.decode_job(row.ref.key, row.value)
        except records.BadRecordError as error:
            self._log.error(
                "job_unreadable", job=row.ref.key, reason=error.message
            )
            return
        if job.term > self._term.number:
            # The instance that accepted it follows another scheduler, which
            # relies on it that no earlier one starts such jobs.
            self._log.info("term_overtaken", job=job.identifier, term=job.term)
            self._leader_lease.revoke()
            return
        progress = self._progress.pop(row.ref.key, None)
        board.add_job(job, row.version, progress)

    async def _open_occurrences(self) -> None:
        while True:
            self._context.board.open_due_occurrences()
            await self._clock.sleep(_CHECK_INTERVAL)
