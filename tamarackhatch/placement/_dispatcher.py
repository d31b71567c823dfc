"""Placement of the pending tasks of the teams this instance serves."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import datetime
import heapq

from absl import logging
import attrs
import xxhash

from tamarackhatch import clock
from tamarackhatch import declarations
from tamarackhatch import errors
from tamarackhatch import membership
from tamarackhatch import model
from tamarackhatch.placement import _capacity
from tamarackhatch.placement import _limits
from tamarackhatch.placement import _policy
from tamarackhatch.placement import _rows
from tamarackhatch.placement import _worker_cache
from tamarackhatch import platform

# The scan of all workers' rows is the longest call.
STORE_LIMIT = datetime.timedelta(seconds=10)
PASS_INTERVAL = datetime.timedelta(milliseconds=500)
# Urgent work starts within 6.3 s: 1 s to be seen, 3 s for checkpoint and
# stop of its victims, and the rest for transactions and the start.
URGENT_SCAN = datetime.timedelta(seconds=1)
BATCH_SCAN = datetime.timedelta(seconds=2)
MAX_BATCH_SCAN = datetime.timedelta(seconds=30)
# A queue entry takes about this much of an answer, and the scan of a long
# queue is spread out to stay under the budget of 5 KB/s.
_ENTRY_BYTES = 80
_SCAN_BYTES_PER_SECOND = 3000
# Rows older than this are read again before a transaction uses them: a read
# costs the store less than a refused transaction.
_FRESH_FOR = datetime.timedelta(seconds=1)
# Longest that an eviction may take before its reservation ends.
RESERVATION = datetime.timedelta(seconds=15)
_SCORED_WORKERS = 256
_ALWAYS = datetime.datetime.min.replace(tzinfo=datetime.timezone.utc)
_BLOCK_FOR = datetime.timedelta(seconds=2)
_MAX_GROUPS = 64
_MAX_PREEMPTIONS = 64
_MIN_REFRESH = 8
_MAX_REFRESH = 128
_URGENT_REFRESH = 64
_READS_AT_ONCE = 32
_ERROR_PAUSE = datetime.timedelta(seconds=1)


@attrs.frozen
class _QueuedJob:
    """A job with pending tasks, as last read."""

    job: model.Job
    version: int
    entry_version: int
    read_at: datetime.timedelta
    due_at: datetime.datetime | None


def _compute_due(job: model.Job) -> datetime.datetime | None:
    """Returns when the first pending task may be placed, or None."""
    if job.state is not model.JobState.ACTIVE:
        return None
    return min(
        (
            task.not_before or _ALWAYS
            for task in job.tasks
            if task.state is model.TaskState.PENDING
        ),
        default=None,
    )


@attrs.frozen(order=True)
class _Order:
    """Place of a job in the order of dispatch; the lowest comes first."""

    is_batch: bool
    share: float
    submitted_at: datetime.datetime


@attrs.frozen
class _Block:
    """What was known when a job did not fit."""

    change_count: int
    job_version: int
    team_version: int
    until: datetime.timedelta


@attrs.frozen
class _KnownTeam:
    record: model.TeamRecord
    version: int
    read_at: datetime.timedelta


@attrs.frozen
class _BuiltCandidate:
    """A candidate with what it was built from."""

    candidate: _policy.Candidate
    record: model.WorkerRecord | None
    configuration: int
    as_of: datetime.datetime | None


class Dispatcher:
    """Dispatches the teams for which this instance is the winner.

    Two dispatchers of one team are harmless: each placement is one
    transaction under the versions of the rows of job, worker and team.
    """

    def __init__(
        self,
        tables: platform.TableService,
        instances: platform.InstanceView,
        roster: membership.RosterView,
        ownership: membership.OwnershipView,
        configuration: declarations.ConfigurationView,
        policy: _policy.PlacementPolicy,
        time: clock.Clock,
        notify_owner: Callable[[str], None],
        cache: _worker_cache.WorkerCache | None = None,
    ) -> None:
        self._tables = _limits.LimitedTables(tables, time, STORE_LIMIT)
        self._instances = instances
        self._roster = roster
        self._ownership = ownership
        self._configuration = configuration
        self._policy = policy
        self._clock = time
        self._notify_owner = notify_owner
        self._cache = cache or _worker_cache.WorkerCache(time)
        self._entries: dict[str, int] = {}
        self._jobs: dict[str, _QueuedJob] = {}
        self._teams: dict[str, _KnownTeam] = {}
        self._reasons: dict[str, str] = {}
        self._urgent_scan_at = datetime.timedelta()
        self._batch_scan_at = datetime.timedelta()
        self._refresh_count = _MIN_REFRESH
        self._has_scanned_workers = False
        self._candidates: dict[str, _BuiltCandidate] = {}
        self._listed: list[_policy.Candidate] = []
        self._positions: dict[str, int] = {}
        self._offset = xxhash.xxh32_intdigest(roster.instance.encode())
        self._blocks: dict[str, _Block] = {}
        self._unfit: list[model.Resources] = []
        self._fleet = model.Resources()

    async def run(self) -> None:
        """Dispatches until cancelled; errors of the store only delay it."""
        while True:
            pause = PASS_INTERVAL
            try:
                await self.run_pass()
            except errors.CodedError as error:
                logging.warning("placement: pass ended early: %s", error)
                pause = _ERROR_PAUSE
            await self._clock.sleep(pause)

    def get_wait_reason(self, job: str) -> str | None:
        """Returns why a job waits, as far as this dispatcher knows."""
        return self._reasons.get(job)

    def is_dispatcher_of(self, team: str) -> bool:
        """Tells whether this instance wins the team among live members."""
        winner = max(
            (
                member.instance
                for member in self._roster.list_members()
                if member.state is model.SessionState.LIVE
            ),
            key=lambda name: (
                xxhash.xxh64_intdigest(f"{name}/{team}".encode()),
                name,
            ),
            default=None,
        )
        return winner == self._roster.instance

    async def run_pass(self) -> None:
        """Reads what changed and places what fits.

        Raises:
            StoreUnavailableError: The store is out.
        """
        await self._scan_queue()
        await self._load_jobs()
        if not self._jobs:
            return
        await self._load_workers()
        await self._load_teams()
        self._unfit.clear()
        self._list_candidates()
        self._fleet = self._compute_fleet()
        skipped: list[str] = []
        groups = 0
        order = self._build_order()
        while order and groups < _MAX_GROUPS:
            key, name = heapq.heappop(order)
            queued = self._jobs.get(name)
            if queued is None or not self._is_due(queued):
                continue
            if self._is_blocked(queued):
                skipped.append(name)
                continue
            newest = self._compute_order(queued)
            if newest > key:
                # Its team was given more since the order was built.
                heapq.heappush(order, (newest, name))
                continue
            if await self._place_group(queued):
                groups += 1
                heapq.heappush(order, (newest, name))
            else:
                self._block(queued)
                skipped.append(name)
        waiting = [self._jobs[job] for job in skipped if job in self._jobs]
        if waiting:
            await self._refresh_workers(waiting, groups > 0)
        urgent = [item for item in waiting if item.job.spec.urgent]
        for queued in sorted(urgent, key=lambda item: item.job.spec.job):
            await self._preempt(queued)

    async def _scan_queue(self) -> None:
        now = self._clock.get_monotonic()
        if now >= self._urgent_scan_at:
            await self._scan_prefix(_rows.URGENT_PREFIX)
            self._urgent_scan_at = now + URGENT_SCAN
        if now >= self._batch_scan_at:
            count = await self._scan_prefix(_rows.BATCH_PREFIX)
            spread = datetime.timedelta(
                seconds=count * _ENTRY_BYTES / _SCAN_BYTES_PER_SECOND
            )
            self._batch_scan_at = now + min(
                max(spread, BATCH_SCAN), MAX_BATCH_SCAN
            )

    async def _scan_prefix(self, prefix: str) -> int:
        rows = await self._tables.scan_rows(platform.Table.JOBS, prefix)
        found: dict[str, int] = {}
        wins: dict[str, bool] = {}
        for row in rows:
            key = _rows.parse_queue_key(row.key)
            if key.team not in wins:
                wins[key.team] = self.is_dispatcher_of(key.team)
            if wins[key.team]:
                found[row.key] = row.version
        for entry in [key for key in self._entries if key.startswith(prefix)]:
            if entry not in found:
                self._drop_job(_rows.parse_queue_key(entry).job)
                del self._entries[entry]
        self._entries.update(found)
        return len(rows)

    def _drop_job(self, job: str) -> None:
        self._jobs.pop(job, None)
        self._reasons.pop(job, None)
        self._blocks.pop(job, None)

    async def _load_jobs(self) -> None:
        changed = []
        for entry, version in self._entries.items():
            job = _rows.parse_queue_key(entry).job
            known = self._jobs.get(job)
            if known is None or known.entry_version != version:
                changed.append((job, version))
        for start in range(0, len(changed), _READS_AT_ONCE):
            await asyncio.gather(
                *(
                    self._read_job(job, version)
                    for job, version in changed[start : start + _READS_AT_ONCE]
                )
            )

    async def _read_job(self, job: str, entry_version: int) -> None:
        row = await self._tables.read_row(platform.Table.JOBS, job)
        if row is None:
            self._drop_job(job)
            return
        self._keep_job(
            platform.decode_row(row.value, model.Job),
            row.version,
            entry_version,
        )

    def _keep_job(
        self, job: model.Job, version: int, entry_version: int
    ) -> None:
        due_at = _compute_due(job)
        if due_at is None:
            self._drop_job(job.spec.job)
            self._entries.pop(_rows.build_queue_key(job.spec), None)
            return
        read_at = self._clock.get_monotonic()
        self._jobs[job.spec.job] = _QueuedJob(
            job, version, entry_version, read_at, due_at
        )

    async def _load_teams(self) -> None:
        due = {
            queued.job.spec.team
            for queued in self._jobs.values()
            if self._is_due(queued)
        }
        await asyncio.gather(*(self._freshen_team(team) for team in due))

    async def _load_workers(self) -> None:
        if self._has_scanned_workers:
            return
        rows = await self._tables.scan_rows(platform.Table.WORKERS, "")
        for row in rows:
            self._cache.note_row(row)
        self._has_scanned_workers = True

    async def _read_worker(self, worker: str) -> None:
        row = await self._tables.read_row(platform.Table.WORKERS, worker)
        if row is not None:
            self._cache.note_row(row)
            return
        self._cache.forget_worker(worker)
        backend = self._instances.get_backend(worker)
        if backend is not None:
            self._cache.note_record(
                model.WorkerRecord(worker, self._compute_capacity(backend)), 0
            )

    async def _read_team(self, team: str) -> None:
        row = await self._tables.read_row(platform.Table.TEAMS, team)
        self._teams[team] = _KnownTeam(
            (
                platform.decode_row(row.value, model.TeamRecord)
                if row
                else model.TeamRecord(team)
            ),
            row.version if row else 0,
            self._clock.get_monotonic(),
        )

    def _compute_capacity(
        self, backend: model.BackendServer
    ) -> model.Resources:
        return _capacity.compute_batch_capacity(
            backend, self._configuration.get_worker_policy(backend.worker)
        )

    def _list_candidates(self) -> None:
        """Builds the list of the workers that may take tasks in this pass.

        Only those whose row, server or policy changed are built anew.
        """
        self._listed = []
        self._positions = {}
        for backend in self._instances.list_backends():
            worker = backend.worker
            if (
                backend.state is not model.ServerState.LIVE
                or backend.worker_address is None
                or self._ownership.get_owner(worker) is None
            ):
                continue
            policy = self._configuration.get_worker_policy(worker)
            if policy.batch_allowed:
                self._positions[worker] = len(self._listed)
                self._listed.append(self._get_candidate(backend))

    def _get_candidate(
        self, backend: model.BackendServer
    ) -> _policy.Candidate:
        """Returns the candidate for the newest known row."""
        worker = backend.worker
        version = self._configuration.version
        snapshot = self._instances.snapshot
        as_of = snapshot.as_of if snapshot else None
        known = self._cache.get_worker(worker)
        record = known.record if known else None
        built = self._candidates.get(worker)
        if (
            built is None
            or built.record is not record
            or built.configuration != version
            or built.as_of != as_of
            or built.candidate.backend is not backend
        ):
            candidate = self._build_candidate(backend, record, as_of)
            built = _BuiltCandidate(candidate, record, version, as_of)
            self._candidates[worker] = built
        return built.candidate

    def _update_candidate(self, worker: str) -> _policy.Candidate | None:
        """Brings one listed worker up to date; None if it is not listed."""
        position = self._positions.get(worker)
        if position is None:
            return None
        candidate = self._get_candidate(self._listed[position].backend)
        self._listed[position] = candidate
        return candidate

    def _choose_worker(self, demand: _policy.Demand) -> _policy.Choice | None:
        """Chooses from a part of the fleet, or from all if none there fits.

        Scoring a part keeps the cost of one placement independent of the
        size of the fleet. The part moves on with each choice.
        """
        now = self._clock.get_utc()
        count = len(self._listed)
        if count > _SCORED_WORKERS:
            start = self._offset % count
            self._offset = start + _SCORED_WORKERS
            part = self._listed[start : start + _SCORED_WORKERS]
            choice = self._policy.choose_worker(demand, part, now)
            if choice is not None:
                return choice
        return self._policy.choose_worker(demand, self._listed, now)

    def _build_candidate(
        self,
        backend: model.BackendServer,
        record: model.WorkerRecord | None,
        as_of: datetime.datetime | None,
    ) -> _policy.Candidate:
        capacity = self._compute_capacity(backend)
        if record is None:
            record = model.WorkerRecord(backend.worker, capacity)
        record = _capacity.fit_capacity(record, capacity, as_of)
        return _policy.Candidate(backend, record, record.compute_free())

    def _build_order(self) -> list[tuple[_Order, str]]:
        order = [
            (self._compute_order(queued), name)
            for name, queued in self._jobs.items()
            if self._is_due(queued)
        ]
        heapq.heapify(order)
        return order

    def _compute_order(self, queued: _QueuedJob) -> _Order:
        """Orders by urgency, share of the team's quota, then age."""
        spec = queued.job.spec
        return _Order(
            not spec.urgent,
            self._compute_share(spec.team),
            spec.submitted_at,
        )

    def _is_due(self, queued: _QueuedJob) -> bool:
        return (
            queued.due_at is not None
            and queued.due_at <= self._clock.get_utc()
        )

    def _is_blocked(self, queued: _QueuedJob) -> bool:
        """Tells whether the job did not fit and nothing has changed since.

        The block ends by itself, because quarantine, reservations and
        ownership change with time.
        """
        block = self._blocks.get(queued.job.spec.job)
        return (
            block is not None
            and block == self._build_block(queued, block.until)
            and self._clock.get_monotonic() < block.until
        )

    def _block(self, queued: _QueuedJob) -> None:
        if not queued.job.spec.urgent:
            until = self._clock.get_monotonic() + _BLOCK_FOR
            self._blocks[queued.job.spec.job] = self._build_block(
                queued, until
            )

    def _build_block(
        self, queued: _QueuedJob, until: datetime.timedelta
    ) -> _Block:
        team = self._teams.get(queued.job.spec.team)
        return _Block(
            self._cache.change_count,
            queued.version,
            team.version if team else 0,
            until,
        )

    def _compute_share(self, team: str) -> float:
        """Returns the largest share that the team uses of its quota."""
        known = self._teams.get(team)
        if known is None:
            return 0.0
        quota = self._configuration.get_team_policy(team).quota
        if quota is None:
            quota = self._fleet
        used = known.record.in_use
        return max(
            used.processors / max(quota.processors, 1),
            used.memory_mb / max(quota.memory_mb, 1),
            used.accelerators / max(quota.accelerators, 1),
        )

    def _compute_fleet(self) -> model.Resources:
        total = model.Resources()
        for backend in self._instances.list_backends():
            total = total + backend.capacity
        return total

    async def _place_group(self, queued: _QueuedJob) -> bool:
        """Places one group; tells whether anything may have changed."""
        spec = queued.job.spec
        await self._freshen_team(spec.team)
        room = self._count_quota(spec)
        if room == 0:
            self._note_wait(spec, "the team's quota is used up")
            return False
        if any(size.fits_in(spec.resources) for size in self._unfit):
            self._note_wait(spec, "no worker has room now")
            return False
        demand = self._build_demand(queued.job, room)
        choice = self._choose_worker(demand)
        if choice is None:
            if not demand.excluded and not spec.urgent:
                self._unfit.append(spec.resources)
            self._note_wait(spec, "no worker has room now")
            return False
        worker = choice.candidate.backend.worker
        known = self._cache.get_worker(worker)
        oldest = self._clock.get_monotonic() - _FRESH_FOR
        if known is None or known.read_at < oldest or queued.read_at < oldest:
            await asyncio.gather(
                self._read_worker(worker),
                self._read_job(spec.job, queued.entry_version),
            )
        fresh = self._jobs.get(spec.job)
        candidate = self._update_candidate(worker)
        known = self._cache.get_worker(worker)
        if (
            fresh is None
            or not self._is_due(fresh)
            or candidate is None
            or known is None
        ):
            return True
        demand = self._build_demand(fresh.job, room)
        choice = self._policy.choose_worker(
            demand, (candidate,), self._clock.get_utc()
        )
        if choice is not None:
            await self._commit_group(fresh, choice, known)
            self._update_candidate(worker)
        return True

    async def _freshen_team(self, team: str) -> None:
        known = self._teams.get(team)
        now = self._clock.get_monotonic()
        if known is None or now - known.read_at > _FRESH_FOR:
            await self._read_team(team)

    def _count_quota(self, spec: model.JobSpec) -> int:
        size = self._configuration.get_batch_policy().batch_size
        quota = self._configuration.get_team_policy(spec.team).quota
        if quota is None:
            return size
        left = quota - self._teams[spec.team].record.in_use
        return min(_policy.count_fitting(spec.resources, left), size)

    def _build_demand(self, job: model.Job, room: int) -> _policy.Demand:
        racks: dict[tuple[str, str], int] = {}
        for task in job.tasks:
            if task.state is model.TaskState.PLACED and task.worker:
                backend = self._instances.get_backend(task.worker)
                if backend is not None:
                    place = (backend.data_centre, backend.rack)
                    racks[place] = racks.get(place, 0) + 1
        group = _list_group(job, self._clock.get_utc())
        excluded = self._choose_excluded(job.spec, group[0])
        return _policy.Demand(job.spec, min(len(group), room), excluded, racks)

    def _choose_excluded(
        self, spec: model.JobSpec, task: model.Task
    ) -> frozenset[str]:
        excluded = frozenset(task.failed_workers)
        if not excluded:
            return excluded
        for candidate in self._listed:
            if candidate.backend.worker not in excluded and (
                spec.resources.fits_in(candidate.record.capacity)
            ):
                return excluded
        # Every worker that is large enough has failed it. Its attempts are
        # used up on the same workers, so that the job ends with a reason.
        return frozenset()

    async def _commit_group(
        self,
        queued: _QueuedJob,
        choice: _policy.Choice,
        known: _worker_cache.KnownWorker,
    ) -> None:
        now = self._clock.get_utc()
        job = queued.job
        spec = job.spec
        worker = choice.candidate.backend.worker
        chosen = _list_group(job, now)[: choice.count]
        reason = (
            f"placed: {choice.reason},"
            f" configuration {self._configuration.version}"
        )
        placed = {
            task.index: attrs.evolve(
                task,
                state=model.TaskState.PLACED,
                attempt=task.attempt + 1,
                worker=worker,
                not_before=None,
                reason=reason,
            )
            for task in chosen
        }
        new_job = attrs.evolve(
            job,
            tasks=tuple(placed.get(task.index, task) for task in job.tasks),
        )
        new_record = _add_commitments(
            choice.candidate.record, spec, tuple(placed.values()), now
        )
        team = self._teams[spec.team]
        new_team = attrs.evolve(
            team.record,
            in_use=team.record.in_use + _multiply(spec.resources, len(placed)),
        )
        tables = platform.Table
        transaction = platform.Transaction(
            (
                platform.Condition(tables.JOBS, spec.job, queued.version),
                platform.Condition(tables.WORKERS, worker, known.version),
                platform.Condition(tables.TEAMS, spec.team, team.version),
            ),
            (
                platform.Write(
                    tables.WORKERS, worker, _rows.encode_row(new_record)
                ),
                platform.Write(
                    tables.TEAMS, spec.team, _rows.encode_row(new_team)
                ),
                *_rows.build_job_writes(job, new_job),
            ),
        )
        try:
            versions = await self._tables.commit(transaction)
        except platform.ConditionFailedError as error:
            logging.info(
                "placement: job %s on %s refused: %s", spec.job, worker, error
            )
            await self._read_again(error.failed)
            return
        except platform.StoreOutcomeUnknownError as error:
            logging.warning(
                "placement: job %s on %s is unknown, reading again: %s",
                spec.job,
                worker,
                error,
            )
            await self._read_again(transaction.conditions)
            # If the placement took effect, its owner must hear of it.
            self._notify_owner(worker)
            return
        self._cache.note_record(new_record, versions[0])
        read_at = self._clock.get_monotonic()
        self._teams[spec.team] = _KnownTeam(new_team, versions[1], read_at)
        self._keep_job(new_job, versions[2], queued.entry_version)
        logging.info(
            "placement: %d tasks of job %s on %s: %s",
            len(placed),
            spec.job,
            worker,
            reason,
        )
        self._notify_owner(worker)

    async def _read_again(
        self, conditions: Sequence[platform.Condition]
    ) -> None:
        """Reads rows again that a refused or unknown transaction named."""
        for condition in conditions:
            if condition.table is platform.Table.WORKERS:
                await self._read_worker(condition.key)
            elif condition.table is platform.Table.TEAMS:
                await self._read_team(condition.key)
            else:
                known = self._jobs.get(condition.key)
                if known is not None:
                    await self._read_job(condition.key, known.entry_version)

    def _note_wait(self, spec: model.JobSpec, reason: str) -> None:
        text = f"{reason}, configuration {self._configuration.version}"
        if self._reasons.get(spec.job) != text:
            self._reasons[spec.job] = text
            logging.info("placement: job %s waits: %s", spec.job, text)

    async def _refresh_workers(
        self, waiting: Sequence[_QueuedJob], has_placed: bool
    ) -> None:
        """Reads rows again while jobs wait for room, the oldest first."""
        # Reading more pays only while it finds room.
        if has_placed:
            self._refresh_count = min(self._refresh_count * 2, _MAX_REFRESH)
        else:
            self._refresh_count = max(self._refresh_count // 2, _MIN_REFRESH)
        count = self._refresh_count
        if any(item.job.spec.urgent for item in waiting):
            count = max(count, _URGENT_REFRESH)
        jobs = {item.job.spec.job for item in waiting}
        reserved: list[str] = []
        aged: list[tuple[datetime.timedelta, str]] = []
        oldest = self._clock.get_monotonic() - _FRESH_FOR
        for candidate in self._listed:
            worker = candidate.backend.worker
            reservation = candidate.record.reservation
            known = self._cache.get_worker(worker)
            if reservation is not None and reservation.job in jobs:
                reserved.append(worker)
            elif known is not None and known.read_at < oldest:
                aged.append((known.read_at, worker))
        aged.sort()
        chosen = reserved + [worker for _, worker in aged[:count]]
        for start in range(0, len(chosen), _READS_AT_ONCE):
            await asyncio.gather(
                *(
                    self._read_worker(worker)
                    for worker in chosen[start : start + _READS_AT_ONCE]
                )
            )

    async def _preempt(self, queued: _QueuedJob) -> None:
        """Asks owners to evict batch tasks in favour of an urgent job."""
        spec = queued.job.spec
        now = self._clock.get_utc()
        due = _list_due(queued.job, now)
        room = self._count_quota(spec) if spec.team in self._teams else 0
        if not due or room == 0:
            return
        wanted = min(len(due), room) - self._count_reserved(spec, now)
        if wanted <= 0:
            return
        self._list_candidates()
        demand = self._build_demand(queued.job, min(wanted, _MAX_PREEMPTIONS))
        if self._policy.choose_worker(demand, self._listed, now) is not None:
            # Rows read since the placement failed show room.
            return
        preemptions = self._policy.choose_victims(demand, self._listed, now)
        if not preemptions:
            self._note_wait(spec, "no room, and no batch task to evict")
        for preemption in preemptions:
            await self._commit_preemption(spec, preemption, now)

    def _count_reserved(
        self, spec: model.JobSpec, now: datetime.datetime
    ) -> int:
        count = 0
        for candidate in self._listed:
            reservation = candidate.record.reservation
            if (
                reservation is not None
                and reservation.job == spec.job
                and now < reservation.until
            ):
                count += 1
        return count

    async def _commit_preemption(
        self,
        spec: model.JobSpec,
        preemption: _policy.Preemption,
        now: datetime.datetime,
    ) -> None:
        worker = preemption.candidate.backend.worker
        known = self._cache.get_worker(worker)
        built = self._candidates.get(worker)
        if (
            known is None
            or built is None
            or built.record is not known.record
            or built.candidate is not preemption.candidate
        ):
            # The row was read again since; the next pass chooses anew.
            return
        record = attrs.evolve(
            preemption.candidate.record,
            reservation=model.Reservation(
                spec.job,
                spec.resources,
                tuple(
                    (victim.task, victim.attempt)
                    for victim in preemption.victims
                ),
                now + RESERVATION,
            ),
        )
        condition = platform.Condition(
            platform.Table.WORKERS, worker, known.version
        )
        write = platform.Write(
            platform.Table.WORKERS, worker, _rows.encode_row(record)
        )
        try:
            versions = await self._tables.commit(
                platform.Transaction((condition,), (write,))
            )
        except (
            platform.ConditionFailedError,
            platform.StoreOutcomeUnknownError,
        ):
            await self._read_worker(worker)
            self._notify_owner(worker)
            return
        self._cache.note_record(record, versions[0])
        logging.info(
            "placement: %d tasks on %s are evicted for urgent job %s,"
            " configuration %d",
            len(preemption.victims),
            worker,
            spec.job,
            self._configuration.version,
        )
        self._notify_owner(worker)


def _list_due(
    job: model.Job, now: datetime.datetime
) -> tuple[model.Task, ...]:
    """Returns the pending tasks whose retry delay has passed."""
    if job.state is not model.JobState.ACTIVE:
        return ()
    return tuple(
        task
        for task in job.tasks
        if task.state is model.TaskState.PENDING
        and (task.not_before is None or task.not_before <= now)
    )


def _list_group(
    job: model.Job, now: datetime.datetime
) -> tuple[model.Task, ...]:
    """Returns due tasks that failed on the same workers, or on none.

    One list of excluded workers then holds for the whole group.
    """
    due = _list_due(job, now)
    return tuple(
        task for task in due if task.failed_workers == due[0].failed_workers
    )


def _multiply(resources: model.Resources, count: int) -> model.Resources:
    return model.Resources(
        resources.processors * count,
        resources.memory_mb * count,
        resources.accelerators * count,
    )


def _add_commitments(
    record: model.WorkerRecord,
    spec: model.JobSpec,
    tasks: tuple[model.Task, ...],
    now: datetime.datetime,
) -> model.WorkerRecord:
    added = tuple(
        model.Commitment(
            model.TaskId(spec.job, task.index),
            task.attempt,
            spec.team,
            spec.kind,
            spec.urgent,
            spec.resources,
            task.checkpoint,
            spec.command,
        )
        for task in tasks
    )
    reservation = record.reservation
    if reservation is not None and (
        reservation.job == spec.job or now >= reservation.until
    ):
        reservation = None
    return attrs.evolve(
        record,
        commitments=record.commitments + added,
        reservation=reservation,
    )
