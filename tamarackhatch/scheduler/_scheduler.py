"""The active scheduler of a cell, for one term."""

import asyncio
import datetime

from tamarackhatch import clock
from tamarackhatch import election
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch.scheduler import _advice
from tamarackhatch.scheduler import _board
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _dispatcher
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _janitor
from tamarackhatch.scheduler import _link
from tamarackhatch.scheduler import _orders
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _writer
from tamarackhatch import settings

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
        store: model.TableStore,
        client: platform.RunnerClient,
        advice: platform.AdviceClient | None,
        source: clock.Clock,
        configured: settings.Settings,
        term: election.Term,
        candidate: election.Candidate,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        self._store = store
        self._clock = source
        self._log = log
        self._metrics = metrics
        self._term = term
        self._authority = election.Authority(
            source, term, configured.scheduling.authority
        )
        board = _board.Board(source, term.number, log, metrics)
        factors = placement.InterferenceModel()
        self._writer = _writer.ProgressWriter(
            store,
            source,
            self._authority,
            records.Beat(
                candidate.instance, candidate.incarnation, term.number
            ),
            configured.scheduling.leader_beat,
            self._count_pending,
            factors.export_factors,
            log,
            metrics,
        )
        wake = asyncio.Event()
        self._advice = _advice.AdviceDesk(advice, source, wake.set, log)
        self._context = _context.SchedulerContext(
            clock=source,
            settings=configured,
            authority=self._authority,
            client=client,
            board=board,
            fleet={},
            writer=self._writer,
            log=log,
            metrics=metrics,
            factors=factors,
            advice=self._advice,
            wake=wake,
        )
        self._orders = _orders.OrderDesk(self._context)
        self._janitor = _janitor.Janitor(
            store,
            source,
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
        self._links: dict[str, _link.RunnerLink] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._progress: dict[str, records.JobProgress] = {}
        self._unsettled: set[str] = set()
        self._stopping = asyncio.Event()
        self._has_jobs = False
        self._jobs = records.TableWatcher(
            store,
            source,
            records.JOBS_TABLE,
            records.JOB_PARTS,
            self._take_job_row,
            log,
        )
        self._runners = records.TableWatcher(
            store,
            source,
            platform.RUNNERS_TABLE,
            ("",),
            self._take_runner_row,
            log,
            _REGISTRY_INTERVAL,
            self._forget_unlisted,
        )

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
            if self._stopping.is_set() and not self._authority.is_revoked:
                await self._hand_over(tasks)
        finally:
            self._authority.revoke()
            self._orders.close()
            for task in [*tasks, *self._link_tasks.values()]:
                task.cancel()
            self._metrics.is_scheduler.set(0)
            self._log.info("term_ended", term=self._term.number)

    def _note_finished(self, job: _state.JobEntry) -> None:
        self._advice.forget_job(job.identifier)
        for task in job.iterate_tasks():
            self._context.factors.forget(task.key)
        self._janitor.note_finished(job.identifier)

    def _count_pending(self) -> dict[str, int]:
        if not self._has_jobs:
            return self._term.pending
        return self._context.board.count_pending()

    async def _start_up(self, claimed: datetime.timedelta) -> None:
        roster = await self._load_progress()
        # Runners list runs of jobs, so that these must be known first.
        await self._jobs.load()
        self._has_jobs = True
        for runner in roster:
            self._unsettled.add(runner.identifier)
            self._add_runner(_make_runner(runner))
        if self._unsettled:
            self._dispatcher.hold_back(self._term.token)
        await self._runners.load()
        self._log.info(
            "scheduler_ready",
            term=self._term.number,
            token=self._term.token,
            roster=len(roster),
            runners=len(self._context.fleet),
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self._runners.follow())
            group.create_task(self._jobs.follow())
            group.create_task(self._dispatcher.run())
            group.create_task(self._advice.run())
            group.create_task(self._janitor.run())
            group.create_task(self._settle(claimed))
            group.create_task(self._open_occurrences())

    async def _wait_for_end(self, tasks: list[asyncio.Task[None]]) -> None:
        while not self._stopping.is_set() and not self._authority.is_revoked:
            for task in tasks:
                if task.done():
                    error = task.exception()
                    if not isinstance(error, _writer.DeposedError):
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
        for task in self._link_tasks.values():
            task.cancel()
        is_written = False
        try:
            for _ in range(_RELEASE_TRIES):
                is_written = await self._writer.write_batch(is_release=True)
                if is_written:
                    break
        except _writer.DeposedError:
            return
        self._log.info("term_released", written=is_written)

    async def _load_progress(self) -> tuple[records.RosterEntry, ...]:
        progress = records.TableWatcher(
            self._store,
            self._clock,
            records.PROGRESS_TABLE,
            (records.SCHEDULER_PART,),
            self._take_progress_row,
            self._log,
        )
        await progress.load()
        await self._load_factors()
        row = await self._read_row(records.ROSTER)
        return () if row is None else records.decode_roster(row.value)

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
                    ref.table, ref.part, _READ_TIMEOUT
                )
                return records.find_row(page.rows, ref)
            except model.StoreUnavailableError as error:
                self._log.warning(
                    "row_unread", table=ref.table, reason=error.message
                )
                await self._clock.sleep(_RETRY_PAUSE)

    def _take_progress_row(self, row: model.Row) -> None:
        try:
            progress = records.decode_progress(row.value)
        except records.BadRecordError as error:
            self._log.error(
                "progress_unreadable", job=row.ref.key, reason=error.message
            )
            return
        self._progress[row.ref.key] = progress

    def _take_job_row(self, row: model.Row) -> None:
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
        progress = self._progress.pop(row.ref.key, None)
        board.add_job(job, row.version, progress)

    def _take_runner_row(self, row: model.Row) -> None:
        entry = self._context.fleet.get(row.ref.key)
        if row.is_deleted:
            if entry is not None:
                self._note_unlisted(entry)
            return
        try:
            record = platform.decode_runner(row)
        except platform.BadAnswerError as error:
            self._log.debug(
                "runner_unreadable", runner=row.ref.key, reason=error.message
            )
            return
        if entry is None:
            self._log.info(
                "runner_seen",
                runner=record.identifier,
                service=record.service,
                cpu=record.capacity.processors,
                memory=record.capacity.memory_mb,
            )
            self._add_runner(record)
            self._write_roster()
        else:
            self._update_runner(entry, record)

    def _add_runner(self, record: model.Runner) -> None:
        entry = _fleet.make_entry(record)
        self._context.fleet[record.identifier] = entry
        self._start_link(entry)

    def _start_link(self, entry: _fleet.RunnerEntry) -> None:
        link = _link.RunnerLink(self._context, entry, self._orders)
        self._links[entry.identifier] = link
        task = asyncio.create_task(link.run())
        self._link_tasks[entry.identifier] = task
        task.add_done_callback(
            lambda done: self._end_link(entry.identifier, done)
        )

    def _end_link(self, identifier: str, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self._authority.is_revoked:
            return
        if task.exception() is not None:
            self._log.error(
                "link_failed",
                runner=identifier,
                reason=repr(task.exception()),
            )
            self._start_link(self._context.fleet[identifier])
            return
        self._log.info("runner_gone", runner=identifier)
        del self._link_tasks[identifier]
        if self._links.pop(identifier).has_reported:
            self._unsettled.discard(identifier)
        del self._context.fleet[identifier]
        self._write_roster()

    def _update_runner(
        self, entry: _fleet.RunnerEntry, record: model.Runner
    ) -> None:
        if record.is_draining and not entry.record.is_draining:
            self._log.info(
                "runner_drains",
                runner=record.identifier,
                remaining=record.remaining,
            )
        if not entry.is_registered:
            self._log.info("runner_listed", runner=record.identifier)
        entry.record = record
        entry.is_registered = True
        entry.load.capacity = record.capacity
        entry.load.labels = record.labels
        entry.load.service = record.service
        if not entry.is_enrolled:
            self._write_roster()

    def _note_unlisted(self, entry: _fleet.RunnerEntry) -> None:
        if entry.is_registered:
            entry.is_registered = False
            self._log.info("runner_unlisted", runner=entry.identifier)

    def _forget_unlisted(self, listed: set[str]) -> None:
        for entry in self._context.fleet.values():
            if entry.identifier not in listed:
                self._note_unlisted(entry)

    def _write_roster(self) -> None:
        entries = list(self._context.fleet.values())
        roster = tuple(
            records.RosterEntry(
                entry.identifier,
                entry.record.address,
                entry.record.service,
                entry.born,
            )
            for entry in entries
        )

        def enroll() -> None:
            for entry in entries:
                entry.is_enrolled = True
            self._context.wake.set()

        self._writer.set_roster(roster, enroll)

    async def _settle(self, claimed: datetime.timedelta) -> None:
        """Waits until no run of an earlier term can be unknown.

        A runner that has answered refuses older tokens and has listed its
        runs. On one that has not, an earlier scheduler could renew leases as
        long as its authority lasted, and they last one lease longer.
        """
        deadline = claimed + self._context.settings.takeover_wait
        while self._unsettled:
            for identifier in list(self._unsettled):
                link = self._links.get(identifier)
                if link is not None and link.has_reported:
                    self._unsettled.discard(identifier)
            if self._clock.get_boot_time() > deadline:
                self._log.warning(
                    "runners_unsettled", runners=sorted(self._unsettled)
                )
                self._unsettled.clear()
            await self._clock.sleep(_CHECK_INTERVAL / 2)
        self._log.info("takeover_settled")
        self._dispatcher.let_go()

    async def _open_occurrences(self) -> None:
        while True:
            self._context.board.open_due_occurrences()
            await self._clock.sleep(_CHECK_INTERVAL)


def _make_runner(entry: records.RosterEntry) -> model.Runner:
    """Returns a runner that is known from an earlier term only."""
    return model.Runner(
        entry.identifier,
        entry.service,
        entry.address,
        "",
        False,
        model.Resources(),
        born=entry.born,
    )
