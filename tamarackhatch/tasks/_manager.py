"""The owner's work on all of its workers."""

import asyncio
import datetime

from absl import logging

from tamarackhatch import clock
from tamarackhatch import declarations
from tamarackhatch import membership
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch.tasks import _latency
from tamarackhatch.tasks import _settler
from tamarackhatch.tasks import _worker_task

# A renewal is due every third of a lease. One slow transaction with its
# reads must end within another third, or leases lapse on a slow store.
STORE_LIMIT = datetime.timedelta(seconds=3)
OWNED_INTERVAL = datetime.timedelta(milliseconds=500)
STOPPING_INTERVAL = datetime.timedelta(seconds=2)


class WorkerManager:
    """Runs one asyncio task for each owned worker, and one settler."""

    def __init__(
        self,
        tables: platform.TableService,
        client: platform.WorkerClient,
        instances: platform.InstanceView,
        ownership: membership.OwnershipView,
        configuration: declarations.ConfigurationView,
        time: clock.Clock,
        latency: _latency.LatencySource,
        interference: placement.InterferenceModel,
        cache: placement.WorkerCache | None = None,
    ) -> None:
        self._tables = placement.LimitedTables(tables, time, STORE_LIMIT)
        self._client = client
        self._instances = instances
        self._ownership = ownership
        self._configuration = configuration
        self._clock = time
        self._latency = latency
        self._interference = interference
        self._cache = cache or placement.WorkerCache(time)
        self._settler = _settler.Settler(
            self._tables,
            ownership,
            instances,
            configuration,
            time,
            self._cache,
        )
        self._running: dict[
            str, tuple[_worker_task.WorkerTask, asyncio.Task[None]]
        ] = {}
        self._stopping: frozenset[str] = frozenset()
        self._stopping_at = datetime.timedelta()
        self._longest_lease = datetime.timedelta()

    def note_work(self, worker: str) -> None:
        """Makes the row of an owned worker be read at once."""
        if worker in self._running:
            self._running[worker][0].note_work()

    async def run(self) -> None:
        """Manages the owned workers until cancelled."""
        settling = asyncio.create_task(self._settler.run())
        try:
            while True:
                if settling.done():
                    # Its queue is kept, so no end is lost.
                    logging.error("tasks: settler: %r", settling.exception())
                    settling = asyncio.create_task(self._settler.run())
                self._update_tasks()
                await self._scan_stopping()
                await self._clock.sleep(OWNED_INTERVAL)
        finally:
            settling.cancel()
            for _, task in self._running.values():
                task.cancel()
            await asyncio.gather(
                settling,
                *(task for _, task in self._running.values()),
                return_exceptions=True,
            )
            self._running.clear()

    def _update_tasks(self) -> None:
        # Leases of a previous owner may be as long as the longest policy
        # seen, not only as the one in force now.
        self._longest_lease = max(
            self._longest_lease, self._configuration.get_batch_policy().lease
        )
        owned = set(self._ownership.list_owned())
        for worker, (work, task) in list(self._running.items()):
            if task.done() and not task.cancelled():
                error = task.exception()
                if error is not None:
                    logging.error("tasks: %s: %r", worker, error)
            is_same = (
                worker in owned
                and work.epoch == self._ownership.get_epoch(worker)
            )
            if task.done() or not is_same:
                task.cancel()
                del self._running[worker]
        for worker in sorted(owned - set(self._running)):
            self._start_task(worker)

    def _start_task(self, worker: str) -> None:
        work = _worker_task.WorkerTask(
            worker,
            self._ownership.get_epoch(worker),
            self._tables,
            self._client,
            self._instances,
            self._ownership,
            self._configuration,
            self._clock,
            self._latency,
            self._interference,
            self._cache,
            self._settler,
            self._is_stopping_job,
            self._longest_lease,
        )
        self._running[worker] = (work, asyncio.create_task(work.run()))

    def _is_stopping_job(self, job: str) -> bool:
        return job in self._stopping

    async def _scan_stopping(self) -> None:
        """Reads which jobs were cancelled or failed, in one small scan."""
        now = self._clock.get_monotonic()
        if now < self._stopping_at or not self._running:
            return
        self._stopping_at = now + STOPPING_INTERVAL
        prefix = placement.STOPPING_PREFIX
        try:
            rows = await self._tables.scan_rows(platform.Table.JOBS, prefix)
        except platform.StoreUnavailableError as error:
            logging.warning("tasks: cancelled jobs are unknown: %s", error)
            return
        stopping = frozenset(row.key.removeprefix(prefix) for row in rows)
        added = stopping - self._stopping
        self._stopping = stopping
        if not added:
            return
        for worker, (work, _) in self._running.items():
            known = self._cache.get_worker(worker)
            if known is not None and any(
                item.task.job in added for item in known.record.commitments
            ):
                work.note_work()
