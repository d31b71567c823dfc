"""Writes durable progress in batches, conditional on the scheduler's term."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import election
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch import records
from tamarackhatch.scheduler import _configuration_publisher
from tamarackhatch.scheduler import _cordons
from tamarackhatch.scheduler import _state

# A transaction holds at most 100 entries. The others are the sequence, the
# heartbeat, the interference factors, the lists of tracked and of cordoned
# runners, the waiting tasks and the parts of a configuration change.
_MAX_JOBS_PER_BATCH = 80
# Time between two transactions. Calls to the store have a cost, and exits that
# arrive within this time share one call.
_BATCH_INTERVAL = datetime.timedelta(milliseconds=70)
# Learned interference factors change slowly, so not every heartbeat
# includes them.
_HEARTBEATS_PER_INTERFERENCE_WRITE = 3
_WRITE_TIMEOUT = datetime.timedelta(milliseconds=900)
# The other instances campaign after 2 s without a heartbeat.
_MAX_WRITE_TIMEOUT = datetime.timedelta(milliseconds=1800)
# Refused calls have a cost as well.
_RETRY_PAUSE = datetime.timedelta(milliseconds=250)


class LeadershipLostError(errors.CodedError):
    """Another scheduler has taken over."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.SCHEDULER_FENCED, message)


@attrs.frozen
class TrackedRunnersWrite:
    """A list of tracked runners to write.

    Attributes:
        entries: The runners.
        on_tracked: Called once this list is durable.
    """

    entries: tuple[records.TrackedRunner, ...]
    on_tracked: Callable[[], None]


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
        count_pending: Callable[[], dict[str, int]],
        export_interference: Callable[[], placement.InterferenceTable],
        configuration: _configuration_publisher.ConfigurationPublisher,
        cordons: _cordons.CordonList,
        log: observability.Log,
        metrics: observability.Metrics,
        summarise_waits: Callable[
            [], tuple[model.WaitSummary, ...]
        ] = lambda: (),
        on_heartbeat: Callable[[records.LeaderHeartbeat], None] = (
            lambda heartbeat: None
        ),
    ) -> None:
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
        self._cordons = cordons
        self._log = log
        self._metrics = metrics
        self._timeout = records.AdaptiveTimeout(
            _WRITE_TIMEOUT, _MAX_WRITE_TIMEOUT
        )
        self._sequence = leader_lease.term.token
        self._batches = 0
        self._unwritten_jobs: dict[str, _state.JobEntry] = {}
        self._list_tracked_runners: (
            Callable[[], TrackedRunnersWrite] | None
        ) = None
        self._generation = 1
        self._committed_generation = 0
        self._last_heartbeat: datetime.timedelta | None = None
        self._wake = asyncio.Event()
        self._commit_event = asyncio.Event()

    @property
    def committed_generation(self) -> int:
        """Generation up to which all changes are durable."""
        return self._committed_generation

    @property
    def heartbeat(self) -> records.LeaderHeartbeat:
        """The latest heartbeat."""
        return self._heartbeat

    def request_write(self, job: _state.JobEntry) -> int:
        """Requests that a job's progress be written.

        Returns:
            The generation in which it becomes durable.
        """
        self._unwritten_jobs[job.identifier] = job
        self._wake.set()
        return self._generation

    def request_tracked_runners(
        self, list_runners: Callable[[], TrackedRunnersWrite]
    ) -> None:
        """Requests that the list of tracked runners be written.

        Args:
            list_runners: Returns the list when it is written. Many runners
                ask for one within a batch interval.
        """
        self._list_tracked_runners = list_runners
        self._wake.set()

    def request_cordon_update(self) -> None:
        """Requests that the list of cordoned runners be written."""
        self._cordons.request_write()
        self._wake.set()

    def request_publication(self) -> None:
        """Requests that a new configuration be published."""
        self._wake.set()

    async def wait_until_durable(
        self, generation: int, timeout: datetime.timedelta
    ) -> None:
        """Waits until a generation is durable, or until the timeout."""
        deadline = self._clock.get_monotonic() + timeout
        while self._committed_generation < generation:
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
                elapsed = self._clock.get_monotonic() - began
                await self._clock.sleep(_BATCH_INTERVAL - elapsed)
            else:
                await self._clock.sleep(_RETRY_PAUSE)

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
        jobs = list(self._unwritten_jobs.values())[:_MAX_JOBS_PER_BATCH]
        for job in jobs:
            del self._unwritten_jobs[job.identifier]
        list_tracked_runners = self._list_tracked_runners
        self._list_tracked_runners = None
        generation = self._generation
        if not self._unwritten_jobs:
            self._generation += 1
        self._batches += 1
        puts = [
            model.Put(
                records.get_progress_ref(job.identifier),
                records.encode_progress(job.summarise_progress()),
            )
            for job in jobs
        ]
        tracked_runners = list_tracked_runners and list_tracked_runners()
        if tracked_runners is not None:
            value = records.encode_tracked_runners(tracked_runners.entries)
            puts.append(model.Put(records.TRACKED_RUNNERS, value))
        has_heartbeat = (
            is_release
            or self._is_heartbeat_due()
            or self._configuration.is_due
        )
        if has_heartbeat:
            write = self._configuration.prepare_write()
            puts += write.puts
            puts.append(self._make_heartbeat(is_release, write.publication))
            if (
                is_release
                or self._heartbeat.count % _HEARTBEATS_PER_INTERFERENCE_WRITE
                == 0
            ):
                puts.append(self._make_interference())
        cordons = self._cordons.prepare_write(
            has_heartbeat, tracked_runners is not None
        )
        if cordons is not None:
            puts.append(cordons)
        if is_release:
            value = records.encode_waiting_tasks(
                self._leader_lease.term.number, waiting_tasks
            )
            puts.append(model.Put(records.WAITING_TASKS, value))
        if not await self._commit_transaction(puts, has_heartbeat):
            for job in jobs:
                self._unwritten_jobs.setdefault(job.identifier, job)
            if self._list_tracked_runners is None:
                self._list_tracked_runners = list_tracked_runners
            return False
        self._cordons.record_commit()
        self._record_commit(generation, is_complete=not self._unwritten_jobs)
        if has_heartbeat:
            self._configuration.record_commit()
            self._on_heartbeat(self._heartbeat)
        if tracked_runners is not None:
            tracked_runners.on_tracked()
        return True

    def _record_commit(self, generation: int, is_complete: bool) -> None:
        # If there are more jobs than one batch holds, the generation is
        # complete only after the last of its batches.
        if generation < self._generation:
            self._committed_generation = max(
                self._committed_generation, generation
            )
        elif is_complete:
            self._log.debug("generation_continues", generation=generation)
        self._commit_event.set()
        self._commit_event = asyncio.Event()

    def _make_heartbeat(
        self, is_release: bool, publication: model.Publication | None
    ) -> model.Put:
        self._heartbeat = records.LeaderHeartbeat(
            self._heartbeat.instance,
            self._heartbeat.incarnation,
            self._heartbeat.term,
            self._heartbeat.count + 1,
            is_release,
            self._count_pending(),
            None if publication is None else publication.version,
            0 if publication is None else publication.position,
            metrics_address=self._heartbeat.metrics_address,
            earlier_lease=self._leader_lease.earlier_lease,
            waits=() if is_release else self._summarise_waits(),
        )
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
        if (
            self._unwritten_jobs
            or self._list_tracked_runners is not None
            or self._is_heartbeat_due()
            or self._configuration.is_due
            or self._cordons.is_due
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
        self, puts: list[model.Put], has_heartbeat: bool
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
                [],
                self._timeout.current,
            )
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
        self._sequence = result.version
        self._leader_lease.extend(sent, result.version)
        if has_heartbeat:
            self._last_heartbeat = began
        return True

    def _resolve_conflict(self, conflict: model.Conflict) -> None:
        fence = records.find_row(conflict.rows, records.FENCE)
        if fence is None or fence.version != self._leader_lease.term.token:
            self._leader_lease.revoke()
            raise LeadershipLostError(
                "the fence row in the store belongs to another term"
            )
        sequence = records.find_row(conflict.rows, records.SEQUENCE)
        # Only this scheduler writes the sequence row in its term, so an
        # earlier transaction whose answer was lost has been carried out.
        if sequence is not None:
            self._sequence = sequence.version
