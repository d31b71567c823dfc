"""Writes durable progress in batches, conditional on the scheduler's term."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import itertools

from tamarackhatch import clock
from tamarackhatch import election
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch import records
from tamarackhatch.scheduler import _configuration_publisher
from tamarackhatch.scheduler import _leadership_loss
from tamarackhatch.scheduler import _load_monitor
from tamarackhatch.scheduler import _rejected_rows
from tamarackhatch.scheduler import _runner_rows
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _transaction_pace
from tamarackhatch.scheduler import _unwritten_jobs

# Learned interference factors change slowly, so not every heartbeat
# includes them.
_HEARTBEATS_PER_INTERFERENCE_WRITE = 3
_WRITE_TIMEOUT = datetime.timedelta(milliseconds=900)
# The other instances campaign after 2 s without a heartbeat.
_MAX_WRITE_TIMEOUT = datetime.timedelta(milliseconds=1800)
# Refused calls have a cost as well.
_RETRY_PAUSE = datetime.timedelta(milliseconds=250)
# Groups of rows that belong to no job. No identifier of a job is like these.
_RUNNERS = "runners"
_CONFIGURATION = "configuration"
_INTERFERENCE = "interference"
_WAITING_TASKS = "waiting tasks"
_MAX_LOGGED_ROWS = 5


class ProgressWriter:
    """Writes the progress of jobs, heartbeats and the list of tracked runners.

    One transaction is in progress at a time. Each is conditional on the fence
    row, so a superseded scheduler writes nothing, and on the sequence row, so
    a transaction that the store carries out late changes nothing.
    """

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        leader_lease: election.LeaderLease,
        heartbeat: records.LeaderHeartbeat,
        heartbeat_interval: datetime.timedelta,
        count_pending: Callable[[], model.PendingCount | None],
        export_interference: Callable[[], placement.InterferenceTable],
        configuration: _configuration_publisher.ConfigurationPublisher,
        runner_rows: _runner_rows.RunnerRows,
        log: observability.Log,
        metrics: observability.Metrics,
        summarise_waits: Callable[
            [], tuple[model.WaitSummary, ...]
        ] = lambda: (),
        on_heartbeat: Callable[[records.LeaderHeartbeat], None] = (
            lambda heartbeat: None
        ),
        load_monitor: _load_monitor.LoadMonitor | None = None,
    ) -> None:
        self._load_monitor = load_monitor
        self._summarise_waits = summarise_waits
        self._on_heartbeat = on_heartbeat
        self._store = store
        self._clock = time_source
        self._leader_lease = leader_lease
        self._heartbeat = heartbeat
        self._heartbeat_interval = heartbeat_interval
        self._count_pending = count_pending
        self._export_interference = export_interference
        self._configuration = configuration
        self._runner_rows = runner_rows
        self._log = log
        self._metrics = metrics
        self._timeout = records.AdaptiveTimeout(
            _WRITE_TIMEOUT, _MAX_WRITE_TIMEOUT
        )
        self._sequence = leader_lease.term.token
        self._batches = 0
        self._unwritten_jobs = _unwritten_jobs.UnwrittenJobs()
        self._rejections = _rejected_rows.RejectionIsolator(time_source)
        self._is_heartbeat_reduced = False
        # What the present heartbeat says of the configuration.
        self._publication: model.Publication | None = None
        self._last_heartbeat: datetime.timedelta | None = None
        self._wake = asyncio.Event()
        self._start_event = asyncio.Event()
        self._pace = _transaction_pace.TransactionPace()
        self._commit_event = asyncio.Event()

    @property
    def heartbeat(self) -> records.LeaderHeartbeat:
        """The latest heartbeat."""
        return self._heartbeat

    def request_write(self, job: _state.JobEntry) -> int:
        """Requests that a job's progress be written.

        Returns:
            The generation in which it becomes durable.
        """
        self._wake.set()
        return self._unwritten_jobs.add_change(job)

    def is_durable(self, job: str, generation: int) -> bool:
        """Returns whether a change of a job is durable.

        Args:
            job: Identifier of the job.
            generation: What `request_write` returned; 0 for no change.
        """
        return self._unwritten_jobs.is_durable(job, generation)

    def request_tracked_runners(
        self, list_runners: Callable[[], _runner_rows.TrackedRunnersWrite]
    ) -> None:
        """Requests that the list of tracked runners be written.

        Args:
            list_runners: Returns the list when it is written.
        """
        self._runner_rows.request_list(list_runners)
        self._wake.set()

    def request_cordon_update(self) -> None:
        """Requests that the list of cordoned runners be written."""
        self._runner_rows.request_cordon_update()
        self._wake.set()

    def request_start_records(self) -> None:
        """Requests that the row of open starts be written."""
        self._wake.set()
        self._start_event.set()

    def request_publication(self) -> None:
        """Requests that a new configuration be published."""
        self._wake.set()

    async def wait_until_durable(
        self,
        changes: Collection[tuple[str, int]],
        timeout: datetime.timedelta,
    ) -> None:
        """Waits until changes are durable, or until the timeout.

        Args:
            changes: Jobs and generations; see `is_durable`.
            timeout: Longest time to wait.
        """
        deadline = self._clock.get_monotonic() + timeout
        while not all(itertools.starmap(self.is_durable, changes)):
            remaining = deadline - self._clock.get_monotonic()
            if remaining <= datetime.timedelta():
                return
            try:
                async with asyncio.timeout(remaining.total_seconds()):
                    await self._commit_event.wait()
            except TimeoutError:
                return

    async def run(self) -> None:
        """Writes until cancelled.

        Raises:
            LeadershipLostError: Another scheduler has taken over.
        """
        while True:
            await self._wait_for_work()
            began = self._clock.get_monotonic()
            if await self.write_batch():
                await self._pause(began)
            else:
                self._pace.record_failure(self._clock.get_monotonic())
                await self._clock.sleep(_RETRY_PAUSE)

    async def _pause(self, began: datetime.timedelta) -> None:
        """Waits until the next transaction may be sent.

        Args:
            began: Monotonic time at which the latest one was sent.
        """
        self._pace.record_transaction(began)
        while True:
            self._start_event.clear()
            remaining = (
                self._pace.compute_due(
                    self._runner_rows.has_waiting_starts,
                    self._runner_rows.has_urgent_starts,
                )
                - self._clock.get_monotonic()
            )
            if remaining <= datetime.timedelta():
                return
            try:
                async with asyncio.timeout(remaining.total_seconds()):
                    await self._start_event.wait()
            except TimeoutError:
                return

    async def write_batch(
        self,
        is_release: bool = False,
        waiting_tasks: Sequence[model.TaskKey] = (),
    ) -> bool:
        """Writes one batch of pending changes.

        Args:
            is_release: Whether the batch releases the term.
            waiting_tasks: Tasks that run nowhere when the term is released,
                the most important first.

        Returns:
            Whether the batch is durable.

        Raises:
            LeadershipLostError: Another scheduler has taken over.
        """
        rejections = self._rejections
        is_heartbeat_due = is_release or self._is_heartbeat_due()
        rejections.begin_transaction(
            not is_heartbeat_due and not rejections.is_trial
        )
        is_publication_due = self._configuration.is_due and (
            rejections.may_include(_CONFIGURATION)
        )
        has_heartbeat = is_heartbeat_due or is_publication_due
        batch = self._unwritten_jobs.take_batch(rejections.may_include)
        other = self._collect_other_rows(
            is_release, has_heartbeat, waiting_tasks
        )
        groups = [*batch.jobs, *other]
        puts = batch.puts + [put for rows in other.values() for put in rows]
        if has_heartbeat:
            puts.append(self._make_heartbeat(is_release))
        if not puts:
            # The suspects, and other jobs, have nothing to write any more.
            self._unwritten_jobs.record_commit(batch)
            rejections.record_commit(groups)
            return True
        self._batches += 1
        is_durable = False
        try:
            is_durable = await self._commit_transaction(
                puts, batch.removals, has_heartbeat
            )
        except model.StoreRejectedError as error:
            self._record_rejection(groups, puts, error)
        finally:
            if not is_durable:
                self._unwritten_jobs.record_failure(batch)
                self._runner_rows.record_failure()
        if not is_durable:
            return False
        self._unwritten_jobs.record_commit(batch)
        rejections.record_commit(groups)
        self._record_commit(other, has_heartbeat)
        return True

    def _collect_other_rows(
        self,
        is_release: bool,
        has_heartbeat: bool,
        waiting_tasks: Sequence[model.TaskKey],
    ) -> dict[str, list[model.Put]]:
        """Returns the rows beside those of jobs and the heartbeat, by group.

        The configuration is prepared here, and the heartbeat names it.
        """
        groups: dict[str, list[model.Put]] = {}
        may_include = self._rejections.may_include
        if may_include(_RUNNERS):
            groups[_RUNNERS] = self._runner_rows.prepare(has_heartbeat)
        self._publication = None
        if has_heartbeat and may_include(_CONFIGURATION):
            write = self._configuration.prepare_write()
            self._publication = write.publication
            groups[_CONFIGURATION] = list(write.puts)
        is_interference_due = is_release or (
            has_heartbeat
            and (self._heartbeat.count + 1)
            % _HEARTBEATS_PER_INTERFERENCE_WRITE
            == 0
        )
        if is_interference_due and may_include(_INTERFERENCE):
            groups[_INTERFERENCE] = [self._make_interference()]
        if is_release and may_include(_WAITING_TASKS):
            value = records.encode_waiting_tasks(
                self._leader_lease.term.number, waiting_tasks
            )
            groups[_WAITING_TASKS] = [model.Put(records.WAITING_TASKS, value)]
        return {name: rows for name, rows in groups.items() if rows}

    def _record_commit(
        self, other: Mapping[str, list[model.Put]], has_heartbeat: bool
    ) -> None:
        if has_heartbeat:
            if self._publication is not None or _CONFIGURATION in other:
                self._configuration.record_commit()
            self._on_heartbeat(self._heartbeat)
        if _RUNNERS in other:
            self._runner_rows.record_commit()
        self._commit_event.set()
        self._commit_event = asyncio.Event()

    def _record_rejection(
        self,
        groups: Collection[str],
        puts: Sequence[model.Put],
        error: model.StoreRejectedError,
    ) -> None:
        """Records that the store has rejected a transaction as such."""
        at_fault = self._rejections.record_rejection(groups)
        if not groups:
            at_fault, self._is_heartbeat_reduced = "heartbeat", True
        self._log.error(
            "rows_rejected",
            reason=error.message,
            at_fault=at_fault,
            groups=len(groups),
            longest=sorted(
                ([len(put.value), put.ref.table, put.ref.key] for put in puts),
                reverse=True,
            )[:_MAX_LOGGED_ROWS],
        )
        if at_fault is not None:
            self._metrics.rejected_rows.inc()

    def _make_heartbeat(self, is_release: bool) -> model.Put:
        publication = self._publication
        is_reduced = self._is_heartbeat_reduced
        self._heartbeat = records.LeaderHeartbeat(
            self._heartbeat.instance,
            self._heartbeat.incarnation,
            self._heartbeat.term,
            self._heartbeat.count + 1,
            is_release,
            configuration=(
                None if publication is None else publication.version
            ),
            position=0 if publication is None else publication.position,
            metrics_address=self._heartbeat.metrics_address,
            earlier_lease=self._leader_lease.earlier_lease,
            waits=() if is_release or is_reduced else self._summarise_waits(),
        ).with_pending(None if is_reduced else self._count_pending())
        return model.Put(
            records.LEADER_HEARTBEAT,
            records.encode_leader_heartbeat(self._heartbeat),
        )

    def _make_interference(self) -> model.Put:
        value = records.encode_interference(self._export_interference())
        return model.Put(records.INTERFERENCE, value)

    def _is_heartbeat_due(self) -> bool:
        if self._last_heartbeat is None:
            return True
        now = self._clock.get_monotonic()
        return now - self._last_heartbeat >= self._heartbeat_interval

    async def _wait_for_work(self) -> None:
        self._wake.clear()
        rejections = self._rejections
        if (
            rejections.has_suspects
            or self._unwritten_jobs.has_rows_for(rejections.may_be_due)
            or self._is_heartbeat_due()
            or self._configuration.is_due
            and rejections.may_be_due(_CONFIGURATION)
            or self._runner_rows.is_due
            and rejections.may_be_due(_RUNNERS)
        ):
            return
        assert self._last_heartbeat is not None
        elapsed = self._clock.get_monotonic() - self._last_heartbeat
        remaining = (self._heartbeat_interval - elapsed).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _commit_transaction(
        self,
        puts: list[model.Put],
        removals: list[model.RowRef],
        has_heartbeat: bool,
    ) -> bool:
        value = f"{self._heartbeat.incarnation} {self._batches}".encode()
        sent = self._clock.get_boot_time()
        began = self._clock.get_monotonic()
        try:
            result = await self._store.write(
                [
                    (records.FENCE, self._leader_lease.term.token),
                    (records.SEQUENCE, self._sequence),
                ],
                [*puts, model.Put(records.SEQUENCE, value)],
                removals,
                self._timeout.current,
            )
        except model.StoreRejectedError:
            raise
        except (
            model.StoreUnavailableError,
            model.StoreOutcomeUnknownError,
        ) as error:
            self._timeout.record_failure(self._clock.get_monotonic() - began)
            self._log.warning(
                "commit_failed", code=error.code.value, reason=error.message
            )
            return False
        elapsed = self._clock.get_monotonic() - began
        self._timeout.record_answer(elapsed)
        if isinstance(result, model.Conflict):
            self._resolve_conflict(result)
            return False
        self._metrics.commit_seconds.observe(elapsed.total_seconds())
        if self._load_monitor is not None:
            self._load_monitor.counters.add_transaction(
                elapsed, sum(len(put.value) for put in puts)
            )
        self._sequence = result.version
        self._leader_lease.extend(sent, result.version)
        if has_heartbeat:
            self._last_heartbeat = began
        return True

    def _resolve_conflict(self, conflict: model.Conflict) -> None:
        fence = records.find_row(conflict.rows, records.FENCE)
        if fence is None or fence.version != self._leader_lease.term.token:
            self._leader_lease.revoke()
            raise _leadership_loss.LeadershipLostError(
                "the fence row in the store belongs to another term"
            )
        sequence = records.find_row(conflict.rows, records.SEQUENCE)
        # Only this scheduler writes the sequence row in its term, so an
        # earlier transaction whose answer was lost has been carried out.
        if sequence is not None:
            self._sequence = sequence.version
