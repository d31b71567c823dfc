"""Writes the ends of attempts to the store, many in one transaction."""

import asyncio
from collections.abc import Sequence
import datetime
import random

from absl import logging
import attrs

from tamarackhatch import clock
from tamarackhatch import declarations
from tamarackhatch import membership
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch.tasks import _attempts

# Ends that arrive within this time share a transaction. At 1,100 ends/s,
# one transaction for each would exceed what the store can write.
GROUP_DELAY = datetime.timedelta(milliseconds=200)
_MAX_GROUP = 64
_STORE_PAUSE = datetime.timedelta(seconds=1)
_CONFLICT_PAUSE = datetime.timedelta(milliseconds=50)


@attrs.frozen
class _Rows:
    """Rows that a transaction changes, as read."""

    workers: dict[str, placement.KnownWorker]
    fences: dict[str, int]
    jobs: dict[str, platform.Row | None]
    teams: dict[str, platform.Row | None]


class Settler:
    """Frees commitments of ended attempts and updates their tasks.

    Nothing is lost while the store is out: ends stay queued here, and a new
    owner derives them again from the worker's task list.
    """

    def __init__(
        self,
        tables: platform.TableService,
        ownership: membership.OwnershipView,
        instances: platform.InstanceView,
        configuration: declarations.ConfigurationView,
        time: clock.Clock,
        cache: placement.WorkerCache,
    ) -> None:
        self._tables = tables
        self._ownership = ownership
        self._instances = instances
        self._configuration = configuration
        self._clock = time
        self._cache = cache
        self._queue: dict[tuple[str, _attempts.AttemptKey], _attempts.Ended]
        self._queue = {}
        self._fences: dict[tuple[str, int], int] = {}
        self._limit = _MAX_GROUP
        self._wake = asyncio.Event()

    @property
    def queue_length(self) -> int:
        """Ends that wait to be written."""
        return len(self._queue)

    def has_ended(self, worker: str, key: _attempts.AttemptKey) -> bool:
        """Tells whether an end of the attempt is queued."""
        return (worker, key) in self._queue

    def add_end(self, ended: _attempts.Ended) -> None:
        """Queues an end; a second one for the same attempt is ignored."""
        self._queue.setdefault((ended.worker, ended.key), ended)
        self._wake.set()

    async def run(self) -> None:
        """Settles until cancelled."""
        while True:
            await self._wake.wait()
            await self._clock.sleep(GROUP_DELAY)
            self._wake.clear()
            while self._queue:
                pause = await self._try_settle()
                if pause is not None:
                    await self._clock.sleep(pause)

    async def _try_settle(self) -> datetime.timedelta | None:
        """Settles one group; returns the pause before the next one."""
        group = self._choose_group()
        try:
            await self.settle_group(group)
        except platform.ConditionFailedError as error:
            # Smaller groups touch fewer rows that others write too.
            self._limit = max(self._limit // 2, 1)
            logging.info("tasks: settlement read again: %s", error)
            return _CONFLICT_PAUSE * (1 + random.random())
        except (
            platform.StoreUnavailableError,
            platform.StoreOutcomeUnknownError,
        ) as error:
            for ended in group:
                self._cache.forget_worker(ended.worker)
            logging.warning("tasks: settlement waits for the store: %s", error)
            return _STORE_PAUSE
        except platform.BadPlatformAnswerError as error:
            self._postpone(group)
            logging.error("tasks: unreadable row in settlement: %s", error)
            return _STORE_PAUSE
        self._limit = min(self._limit * 2, _MAX_GROUP)
        return None

    def _choose_group(self) -> tuple[_attempts.Ended, ...]:
        return tuple(self._queue.values())[: self._limit]

    def _postpone(self, group: Sequence[_attempts.Ended]) -> None:
        """Moves a group to the end, so that one bad row blocks no others."""
        self._limit = 1
        for ended in group:
            place = (ended.worker, ended.key)
            self._queue[place] = self._queue.pop(place)

    async def settle_group(self, group: Sequence[_attempts.Ended]) -> None:
        """Settles ends in one transaction; drops them from the queue.

        Raises:
            ConditionFailedError: Rows changed; nothing was written.
            StoreUnavailableError: Nothing was written.
            StoreOutcomeUnknownError: It may have been written. The next try
                reads the rows and finds what was settled.
        """
        current = [ended for ended in group if self._is_current(ended)]
        rows = await self._read_rows(current)
        now = self._clock.get_utc()
        policy = self._configuration.get_batch_policy()
        jobs = {
            name: platform.decode_row(row.value, model.Job) if row else None
            for name, row in rows.jobs.items()
        }
        old_jobs = dict(jobs)
        teams = {
            name: (
                platform.decode_row(row.value, model.TeamRecord)
                if row
                else model.TeamRecord(name)
            )
            for name, row in rows.teams.items()
        }
        records = {name: known.record for name, known in rows.workers.items()}
        settled: list[_attempts.Ended] = []
        for ended in current:
            if ended.worker not in records:
                continue
            record = records[ended.worker]
            commitment = _attempts.find_commitment(record, ended.key)
            if commitment is None:
                continue
            job = ended.key.task.job
            after = _attempts.settle_attempt(
                _attempts.Settled(jobs[job], record, teams[commitment.team]),
                ended,
                now,
                policy,
            )
            jobs[job] = after.job
            records[ended.worker] = self._fit(after.record)
            teams[commitment.team] = after.team
            settled.append(ended)
        if settled:
            await self._commit(rows, old_jobs, jobs, records, teams, settled)
        for ended in group:
            self._queue.pop((ended.worker, ended.key), None)

    def _fit(self, record: model.WorkerRecord) -> model.WorkerRecord:
        backend = self._instances.get_backend(record.worker)
        if backend is None:
            return record
        policy = self._configuration.get_worker_policy(record.worker)
        snapshot = self._instances.snapshot
        return placement.fit_capacity(
            record,
            placement.compute_batch_capacity(backend, policy),
            snapshot.as_of if snapshot else None,
        )

    def _is_current(self, ended: _attempts.Ended) -> bool:
        try:
            return self._ownership.get_epoch(ended.worker) == ended.epoch
        except KeyError:
            return False

    async def _read_rows(self, group: Sequence[_attempts.Ended]) -> _Rows:
        workers: dict[str, placement.KnownWorker] = {}
        fences: dict[str, int] = {}
        for ended in group:
            worker = ended.worker
            if worker in workers:
                continue
            fence = await self._read_fence(worker, ended.epoch)
            if fence is None:
                continue
            known = self._cache.get_worker(worker)
            if known is None:
                known = await self._read_worker(worker)
            if known is not None:
                workers[worker] = known
                fences[worker] = fence
        jobs: dict[str, platform.Row | None] = {}
        teams: dict[str, platform.Row | None] = {}
        for ended in group:
            if ended.worker not in workers:
                continue
            commitment = _attempts.find_commitment(
                workers[ended.worker].record, ended.key
            )
            if commitment is not None:
                jobs[ended.key.task.job] = None
                teams[commitment.team] = None
        await asyncio.gather(
            *(self._fill(jobs, platform.Table.JOBS, key) for key in jobs),
            *(self._fill(teams, platform.Table.TEAMS, key) for key in teams),
        )
        return _Rows(workers, fences, jobs, teams)

    async def _fill(
        self,
        found: dict[str, platform.Row | None],
        table: platform.Table,
        key: str,
    ) -> None:
        found[key] = await self._tables.read_row(table, key)

    async def _read_worker(self, worker: str) -> placement.KnownWorker | None:
        row = await self._tables.read_row(platform.Table.WORKERS, worker)
        if row is None:
            return None
        self._cache.note_row(row)
        return self._cache.get_worker(worker)

    async def _read_fence(self, worker: str, epoch: int) -> int | None:
        """Returns the version of the ownership row in this epoch, or None.

        A transaction on condition of this version fails after a takeover.
        Without it, a paused owner could settle an attempt as lost that its
        successor keeps running.
        """
        place = (worker, epoch)
        if place in self._fences:
            return self._fences[place]
        row = await self._tables.read_row(platform.Table.OWNERS, worker)
        if row is not None:
            owner = platform.decode_row(row.value, model.OwnerRecord)
            if owner.epoch != epoch:
                return None
        self._fences[place] = row.version if row else 0
        return self._fences[place]

    async def _commit(
        self,
        rows: _Rows,
        old_jobs: dict[str, model.Job | None],
        jobs: dict[str, model.Job | None],
        records: dict[str, model.WorkerRecord],
        teams: dict[str, model.TeamRecord],
        settled: Sequence[_attempts.Ended],
    ) -> None:
        tables = platform.Table
        used = sorted({ended.worker for ended in settled})
        conditions: list[platform.Condition] = []
        writes: list[platform.Write] = []
        for worker in used:
            conditions.append(
                platform.Condition(
                    tables.WORKERS, worker, rows.workers[worker].version
                )
            )
            conditions.append(
                platform.Condition(tables.OWNERS, worker, rows.fences[worker])
            )
            writes.append(
                platform.Write(
                    tables.WORKERS,
                    worker,
                    placement.encode_row(records[worker]),
                )
            )
        for name, team in teams.items():
            row = rows.teams[name]
            conditions.append(
                platform.Condition(
                    tables.TEAMS, name, row.version if row else 0
                )
            )
            writes.append(
                platform.Write(tables.TEAMS, name, placement.encode_row(team))
            )
        for name, job in jobs.items():
            row = rows.jobs[name]
            conditions.append(
                platform.Condition(
                    tables.JOBS, name, row.version if row else 0
                )
            )
            if job is not None and job != old_jobs[name]:
                writes.extend(placement.build_job_writes(old_jobs[name], job))
        try:
            versions = await self._tables.commit(
                platform.Transaction(tuple(conditions), tuple(writes))
            )
        except platform.ConditionFailedError as error:
            for condition in error.failed:
                self._forget(condition)
            raise
        for worker, version in zip(used, versions, strict=False):
            self._cache.note_record(records[worker], version)
        for ended in settled:
            logging.info(
                "tasks: %s on %s settled as %s: %s, configuration %d",
                ended.key,
                ended.worker,
                ended.kind.value,
                ended.reason,
                self._configuration.version,
            )

    def _forget(self, condition: platform.Condition) -> None:
        if condition.table is platform.Table.WORKERS:
            self._cache.forget_worker(condition.key)
        elif condition.table is platform.Table.OWNERS:
            for place in [
                place for place in self._fences if place[0] == condition.key
            ]:
                del self._fences[place]
