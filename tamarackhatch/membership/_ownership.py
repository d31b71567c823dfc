"""Ownership of the workers of this data centre."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import datetime

from absl import logging
import attrs

from tamarackhatch import clock as clocks
from tamarackhatch.membership import _authority
from tamarackhatch.membership import _fencing
from tamarackhatch.membership import _rendezvous
from tamarackhatch.membership import _roster
from tamarackhatch.membership import _session
from tamarackhatch.membership import _timing
from tamarackhatch import model
from tamarackhatch import platform

# Rows in one transaction; a takeover of 300 workers takes 10 writes.
_CLAIM_BATCH = 32


@attrs.frozen
class _OwnerRow:
    """An ownership row as read."""

    version: int
    record: model.OwnerRecord


@attrs.frozen
class _Owned:
    """A worker that this session owns.

    Attributes:
        epoch: Epoch of the ownership.
        version: Version of its row.
        claimed_at: Monotonic time of an unclean takeover, else None.
    """

    epoch: int
    version: int
    claimed_at: datetime.timedelta | None


async def _drain_nothing(worker: str) -> None:
    return


async def _notify_nobody(workers: tuple[str, ...]) -> None:
    return


class OwnershipKeeper:
    """Implements OwnershipView; fences, claims, moves and releases.

    Args:
        clock: Source of time.
        store: The table service.
        session: The session of this instance.
        roster: Members of all data centres.
        authority: The holder's side of the fencing rule.
        fencing: The fencer's side of the fencing rule.
        instances: The newest instance list.
        drain: Returns when a worker has no request or task in flight that
            its next owner could not take over; called before a release.
        notify: Tells the peers that the rows of workers changed.
        timing: Durations of the rules.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        store: platform.TableService,
        session: _session.SessionKeeper,
        roster: _roster.Roster,
        authority: _authority.Authority,
        fencing: _fencing.FencingRule,
        instances: platform.InstanceView,
        drain: Callable[[str], Awaitable[None]] = _drain_nothing,
        notify: Callable[[tuple[str, ...]], Awaitable[None]] = _notify_nobody,
        timing: _timing.Timing = _timing.Timing(),
    ) -> None:
        self._clock = clock
        self._store = store
        self._session = session
        self._roster = roster
        self._authority = authority
        self._fencing = fencing
        self._instances = instances
        self._drain = drain
        self._notify = notify
        self._timing = timing
        self._lock = asyncio.Lock()
        self._notices: asyncio.Queue[tuple[str, ...]] = asyncio.Queue()
        self._incarnation = session.incarnation
        self._owned: dict[str, _Owned] = {}
        self._releasing: set[str] = set()
        self._rows: dict[str, _OwnerRow] = {}
        self._sessions: dict[str, _fencing.SessionRow] = {}
        self._ended_rows: dict[str, datetime.timedelta] = {}
        self._owners_read: datetime.timedelta | None = None
        self._must_read_owners = True
        self._unowned_since: dict[str, datetime.timedelta] = {}
        self._unlisted_since: dict[str, datetime.timedelta] = {}

    def list_owned(self) -> tuple[str, ...]:
        return tuple(sorted(self._get_owned()))

    def get_owner(self, worker: str) -> str | None:
        if worker in self._get_owned():
            return self._roster.instance
        row = self._rows.get(worker)
        return row.record.instance if row else None

    def get_epoch(self, worker: str) -> int:
        return self._get_owned()[worker].epoch

    def has_authority(self, worker: str) -> bool:
        return self.find_doubt(worker) is None

    def get_claimed_at(self, worker: str) -> datetime.timedelta | None:
        owned = self._get_owned().get(worker)
        return owned.claimed_at if owned else None

    def find_doubt(self, worker: str) -> str | None:
        """Returns why there is no authority over a worker, or None."""
        if worker not in self._get_owned():
            return "not owned"
        if worker in self._releasing:
            return "being released"
        if (
            self._instances.snapshot is not None
            and self._instances.get_backend(worker) is None
        ):
            return "not on the instance list"
        return self._authority.find_doubt()

    async def run(self) -> None:
        """Scans, claims and moves workers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.run_scans())
            group.create_task(self.run_notices())
            group.create_task(self.run_rebalancing())

    async def run_scans(self) -> None:
        """Scans at the fixed interval."""
        while True:
            await self.scan()
            await self._clock.sleep(self._timing.scan_every)

    async def run_notices(self) -> None:
        """Claims workers that peers have just released."""
        while True:
            await self.take_notice(await self._notices.get())

    async def run_rebalancing(self) -> None:
        """Moves surplus workers to other members, one at a time."""
        while True:
            await self._clock.sleep(self._timing.rebalance_every)
            await self.move_surplus()

    def note_work(self, workers: tuple[str, ...]) -> None:
        """Learns from a peer that the rows of workers changed."""
        foreign = tuple(w for w in workers if w not in self._get_owned())
        if foreign and not self._session.is_leaving:
            self._notices.put_nowait(foreign)

    async def scan(self) -> None:
        """Reads the store once, then fences and claims what it may.

        The sessions are read after the owners: a session that is not live
        never is again, so an owner of the older reading whose session the
        newer one does not show as live has certainly ended.
        """
        async with self._lock:
            try:
                if self._is_owners_scan_due():
                    await self._read_owners()
                await self._read_sessions()
            except platform.StoreUnavailableError as error:
                logging.warning("membership: store not read: %s", error)
                return
            self._note_instances()
            await self._fence_silent()
            await self._forget_sessions()
            await self._claim_workers(self._list_claimable())
        await self._release_unlisted()

    async def take_notice(self, workers: tuple[str, ...]) -> None:
        """Reads the rows of some workers and claims the released ones."""
        async with self._lock:
            try:
                for worker in workers:
                    row = await self._store.read_row(
                        platform.Table.OWNERS, worker
                    )
                    if row:
                        self._take_owner_rows((row,))
            except platform.StoreUnavailableError as error:
                logging.warning("membership: notice not followed: %s", error)
                return
            # The sessions were read before these rows, so they do not tell
            # whether a named owner is live: only released rows are claimed.
            released = [
                worker
                for worker in workers
                if worker in self._rows
                and self._rows[worker].record.instance is None
            ]
            claimable = set(self._list_claimable())
            await self._claim_workers(
                [worker for worker in released if worker in claimable]
            )

    async def move_surplus(self) -> None:
        """Releases one worker that another live member should own."""
        if (
            self._session.is_leaving
            or not self._authority.is_certain()
            or not self._is_store_read()
        ):
            return
        owners = self._roster.list_owners(self._timing.join_delay)
        if self._roster.instance not in owners:
            return
        assigned = self._assign(owners)
        for worker in self.list_owned():
            target = assigned.get(worker)
            if target is None or target == self._roster.instance:
                continue
            logging.info("membership: moving %s to %s", worker, target)
            await self._drain(worker)
            await self._release_worker(worker, True, False)
            return

    async def release_all(self) -> None:
        """Releases every worker as it drains, for a planned stop.

        The session must be leaving, so that nothing is claimed meanwhile. It
        retries until the store has taken each release; the caller bounds it.
        """
        async with asyncio.TaskGroup() as group:
            for worker in self.list_owned():
                group.create_task(self._drain_and_release(worker))

    async def _drain_and_release(self, worker: str) -> None:
        await self._drain(worker)
        await self._release_worker(worker, True, True)

    def _get_owned(self) -> dict[str, _Owned]:
        """Returns the owned workers; none after the session was replaced."""
        if self._incarnation != self._session.incarnation:
            return {}
        return self._owned

    def _follow_session(self) -> None:
        if self._incarnation != self._session.incarnation:
            if self._owned:
                logging.error(
                    "membership: %d workers lost with session %s",
                    len(self._owned),
                    self._incarnation,
                )
            self._incarnation = self._session.incarnation
            self._owned = {}
            self._releasing = set()
            self._must_read_owners = True

    def _is_store_read(self) -> bool:
        """Tells whether the store has answered lately.

        A worker is not drained when its release could not be written.
        """
        last = self._fencing.last_read
        now = self._clock.get_monotonic()
        return last is not None and now - last <= self._timing.read_gap

    def _is_owners_scan_due(self) -> bool:
        self._follow_session()
        now = self._clock.get_monotonic()
        return (
            self._must_read_owners
            or self._owners_read is None
            or now - self._owners_read >= self._timing.owners_every
        )

    async def _read_owners(self) -> None:
        begun = self._clock.get_monotonic()
        rows = await self._store.scan_rows(platform.Table.OWNERS, "")
        self._follow_session()
        self._must_read_owners = False
        self._owners_read = begun
        self._take_owner_rows(rows)

    def _take_owner_rows(self, rows: Iterable[platform.Row]) -> None:
        for row in rows:
            try:
                record = platform.decode_row(row.value, model.OwnerRecord)
            except platform.BadPlatformAnswerError as error:
                logging.error("membership: owner row %s: %s", row.key, error)
                continue
            known = self._rows.get(row.key)
            if known is None or known.version <= row.version:
                self._rows[row.key] = _OwnerRow(row.version, record)
                self._take_owner_row(row.key, self._rows[row.key])

    def _take_owner_row(self, worker: str, row: _OwnerRow) -> None:
        """Compares a row with what this session believes to own."""
        is_own = (
            row.record.instance == self._roster.instance
            and row.record.incarnation == self._session.incarnation
        )
        owned = self._owned.get(worker)
        if owned and owned.version >= row.version:
            return
        if owned and not is_own:
            logging.error("membership: %s was claimed by another", worker)
            del self._owned[worker]
        if is_own and worker not in self._releasing:
            logging.info("membership: claim of %s found in the store", worker)
            self._note_owned(worker, row)

    def _note_owned(self, worker: str, row: _OwnerRow) -> None:
        now = self._clock.get_monotonic()
        is_clean = row.record.released_clean
        self._owned[worker] = _Owned(
            row.record.epoch, row.version, None if is_clean else now
        )
        self._unowned_since.pop(worker, None)

    async def _read_sessions(self) -> None:
        rows = await self._store.scan_rows(platform.Table.SESSIONS, "")
        before = self._sessions
        found = []
        for row in rows:
            try:
                record = platform.decode_row(row.value, model.SessionRecord)
            except platform.BadPlatformAnswerError as error:
                logging.error("membership: session row: %s", error)
                continue
            found.append(_fencing.SessionRow(row.version, record))
            if record.state is model.SessionState.FENCED:
                self._session.note_fenced(record.incarnation)
        self._sessions = {row.record.instance: row for row in found}
        self._follow_session()
        self._fencing.note_rows(tuple(found))
        self._roster.note_rows(found)
        if any(
            row.record.data_centre == self._roster.data_centre
            and not self._is_live(name, row.record.incarnation)
            for name, row in before.items()
        ):
            self._must_read_owners = True

    def _note_instances(self) -> None:
        snapshot = self._instances.snapshot
        if snapshot is not None:
            self._roster.note_instances(snapshot)

    async def _fence_silent(self) -> None:
        for row in self._sessions.values():
            record = row.record
            if (
                record.instance != self._roster.instance
                and record.data_centre == self._roster.data_centre
                and record.state is not model.SessionState.FENCED
                and self._session.is_established
                and not self._session.is_leaving
                and self._fencing.may_fence(
                    row, self._roster.is_down(record.incarnation)
                )
            ):
                await self._fence_session(row)

    async def _fence_session(self, row: _fencing.SessionRow) -> None:
        """Marks a session as fenced.

        The second condition binds the write to this instance's own session:
        a fencer that was itself fenced or replaced cannot fence any more,
        even with a write that was delayed on its way.
        """
        record = row.record
        fenced = attrs.evolve(record, state=model.SessionState.FENCED)
        transaction = platform.Transaction(
            (
                platform.Condition(
                    platform.Table.SESSIONS, record.instance, row.version
                ),
                platform.Condition(
                    platform.Table.SESSIONS,
                    self._roster.instance,
                    self._session.version,
                ),
            ),
            (
                platform.Write(
                    platform.Table.SESSIONS,
                    record.instance,
                    platform.encode_value(fenced),
                ),
            ),
        )
        self._fencing.begin_fence(row)
        try:
            await self._store.commit(transaction)
        except (
            platform.StoreUnavailableError,
            platform.ConditionFailedError,
        ) as error:
            self._fencing.end_fence(row, False)
            logging.info(
                "membership: %s not fenced: %s", record.instance, error
            )
        except platform.StoreOutcomeUnknownError as error:
            logging.warning(
                "membership: fencing of %s unknown: %s", record.instance, error
            )
        else:
            self._fencing.end_fence(row, True)
            self._must_read_owners = True
            logging.warning(
                "membership: fenced session %s of %s",
                record.incarnation,
                record.instance,
            )

    async def _forget_sessions(self) -> None:
        """Deletes rows of sessions that were fenced long ago."""
        now = self._clock.get_monotonic()
        fenced = {
            row.record.incarnation: row
            for row in self._sessions.values()
            if row.record.state is model.SessionState.FENCED
            and row.record.data_centre == self._roster.data_centre
        }
        self._ended_rows = {
            incarnation: self._ended_rows.get(incarnation, now)
            for incarnation in fenced
        }
        for incarnation, row in fenced.items():
            since = self._ended_rows[incarnation]
            if now - since < self._timing.forget_after:
                continue
            key = row.record.instance
            try:
                await self._store.commit(
                    platform.Transaction(
                        (
                            platform.Condition(
                                platform.Table.SESSIONS, key, row.version
                            ),
                        ),
                        (platform.Write(platform.Table.SESSIONS, key, None),),
                    )
                )
            except (
                platform.StoreUnavailableError,
                platform.StoreOutcomeUnknownError,
                platform.ConditionFailedError,
            ) as error:
                logging.info("membership: row of %s kept: %s", key, error)

    def _is_live(self, instance: str, incarnation: str | None) -> bool:
        row = self._sessions.get(instance)
        return (
            row is not None
            and row.record.incarnation == incarnation
            and row.record.state is not model.SessionState.FENCED
        )

    def _list_local(self) -> tuple[str, ...]:
        return tuple(
            backend.worker
            for backend in self._instances.list_backends()
            if backend.data_centre == self._roster.data_centre
        )

    def _assign(self, owners: Sequence[str]) -> dict[str, str]:
        return _rendezvous.assign_workers(self._list_local(), owners)

    def _list_claimable(self) -> list[str]:
        """Returns the workers without a live owner that are this one's turn.

        The assigned member claims at once. If it does not, for example
        because it is cut off from the store, the members of the worker's
        ranking follow one after another.
        """
        now = self._clock.get_monotonic()
        unowned = [w for w in self._list_local() if self._is_unowned(w)]
        self._unowned_since = {
            worker: self._unowned_since.get(worker, now) for worker in unowned
        }
        if (
            self._owners_read is None
            or self._session.is_leaving
            or not self._authority.is_certain()
        ):
            return []
        me = self._roster.instance
        owners = self._roster.list_owners(datetime.timedelta())
        assigned = self._assign(owners)
        claimable = []
        for worker in unowned:
            waited = now - self._unowned_since[worker]
            turn = _rendezvous.rank_members(worker, owners).index(me) + 1
            patience = turn * self._timing.claim_patience
            if assigned[worker] == me or waited >= patience:
                claimable.append(worker)
        return claimable

    def _is_unowned(self, worker: str) -> bool:
        if worker in self._owned:
            return False
        row = self._rows.get(worker)
        if row is None or row.record.instance is None:
            return True
        return not self._is_live(row.record.instance, row.record.incarnation)

    async def _claim_workers(self, workers: Sequence[str]) -> None:
        for start in range(0, len(workers), _CLAIM_BATCH):
            await self._claim_batch(workers[start : start + _CLAIM_BATCH])

    async def _claim_batch(self, workers: Sequence[str]) -> None:
        """Claims workers in one transaction; after a conflict, the rest."""
        claims = [self._build_claim(worker) for worker in workers]
        try:
            await self._commit_claims(claims)
        except platform.ConditionFailedError as error:
            self._must_read_owners = True
            lost = {condition.key for condition in error.failed}
            rest = [claim for claim in claims if claim.worker not in lost]
            logging.info("membership: lost the claims of %s", sorted(lost))
            if not rest or not lost:
                return
            try:
                await self._commit_claims(rest)
            except platform.ConditionFailedError as second:
                logging.info("membership: claims put off: %s", second)

    def _build_claim(self, worker: str) -> model.OwnerRecord:
        row = self._rows.get(worker)
        is_clean = row is None or (
            row.record.instance is None and row.record.released_clean
        )
        return model.OwnerRecord(
            worker=worker,
            instance=self._roster.instance,
            incarnation=self._session.incarnation,
            epoch=row.record.epoch + 1 if row else 1,
            released_clean=is_clean,
        )

    async def _commit_claims(self, claims: list[model.OwnerRecord]) -> None:
        incarnation = self._session.incarnation
        conditions = tuple(
            platform.Condition(
                platform.Table.OWNERS,
                claim.worker,
                (
                    self._rows[claim.worker].version
                    if claim.worker in self._rows
                    else 0
                ),
            )
            for claim in claims
        )
        writes = tuple(
            platform.Write(
                platform.Table.OWNERS,
                claim.worker,
                platform.encode_value(claim),
            )
            for claim in claims
        )
        try:
            versions = await self._store.commit(
                platform.Transaction(conditions, writes)
            )
        except platform.StoreUnavailableError as error:
            logging.warning("membership: claims not written: %s", error)
            return
        except platform.StoreOutcomeUnknownError as error:
            # The next scan finds the rows, if they were written.
            self._must_read_owners = True
            logging.warning("membership: claims unknown: %s", error)
            return
        self._follow_session()
        for claim, version in zip(claims, versions, strict=True):
            row = _OwnerRow(version, claim)
            self._rows[claim.worker] = row
            if incarnation == self._session.incarnation:
                self._note_owned(claim.worker, row)
                logging.info(
                    "membership: claimed %s, epoch %d",
                    claim.worker,
                    claim.epoch,
                )

    async def _release_unlisted(self) -> None:
        """Drops workers that the instance list has stopped showing."""
        if self._instances.snapshot is None:
            return
        now = self._clock.get_monotonic()
        unlisted = [
            worker
            for worker in self.list_owned()
            if self._instances.get_backend(worker) is None
        ]
        self._unlisted_since = {
            worker: self._unlisted_since.get(worker, now)
            for worker in unlisted
        }
        for worker in unlisted:
            since = self._unlisted_since[worker]
            if now - since >= self._timing.drop_after:
                logging.info("membership: %s is off the list", worker)
                await self._release_worker(worker, False, False)

    async def _release_worker(
        self, worker: str, is_drained: bool, must_finish: bool
    ) -> None:
        """Gives up a worker and tells the peers.

        Authority over it ends before the write is sent, and returns only if
        the write certainly did not and will not take effect.

        Args:
            worker: An owned worker.
            is_drained: Whether nothing runs on it any more.
            must_finish: Whether to go on while the store is out.
        """
        if worker in self._releasing or worker not in self._get_owned():
            return
        incarnation = self._session.incarnation
        self._releasing.add(worker)
        is_released = False
        while worker in self._get_owned():
            try:
                await self._write_release(worker, is_drained)
                is_released = True
                break
            except platform.StoreUnavailableError as error:
                logging.warning(
                    "membership: %s not released: %s", worker, error
                )
                if not must_finish:
                    break
            except (
                platform.ConditionFailedError,
                platform.StoreOutcomeUnknownError,
            ) as error:
                logging.warning("membership: release of %s: %s", worker, error)
                # The write may be delayed, and takes effect unless another
                # change of the row comes first.
                must_finish = True
                is_released = await self._resolve_release(worker)
                if is_released:
                    break
            await self._clock.sleep(self._timing.retry_every)
        if incarnation != self._session.incarnation:
            return
        if is_released:
            self._owned.pop(worker, None)
        self._releasing.discard(worker)
        if is_released:
            logging.info("membership: released %s", worker)
            await self._notify((worker,))

    async def _write_release(self, worker: str, is_drained: bool) -> None:
        owned = self._owned[worker]
        now = self._clock.get_monotonic()
        # An older owner's requests may still run if this ownership is short.
        is_settled = (
            owned.claimed_at is None
            or now - owned.claimed_at >= self._timing.settle_for
        )
        released = model.OwnerRecord(
            worker=worker,
            instance=None,
            incarnation=None,
            epoch=owned.epoch + 1,
            released_clean=is_drained and is_settled,
        )
        versions = await self._store.commit(
            platform.Transaction(
                (
                    platform.Condition(
                        platform.Table.OWNERS, worker, owned.version
                    ),
                ),
                (
                    platform.Write(
                        platform.Table.OWNERS,
                        worker,
                        platform.encode_value(released),
                    ),
                ),
            )
        )
        self._rows[worker] = _OwnerRow(versions[0], released)

    async def _resolve_release(self, worker: str) -> bool:
        """Tells whether the row shows that this session gave it up."""
        while True:
            try:
                row = await self._store.read_row(platform.Table.OWNERS, worker)
                break
            except platform.StoreUnavailableError as error:
                logging.warning("membership: %s not read: %s", worker, error)
                await self._clock.sleep(self._timing.retry_every)
        if row is None:
            return True
        record = platform.decode_row(row.value, model.OwnerRecord)
        if record.incarnation == self._session.incarnation:
            if worker in self._owned:
                self._owned[worker] = attrs.evolve(
                    self._owned[worker],
                    version=row.version,
                    epoch=record.epoch,
                )
            return False
        self._rows[worker] = _OwnerRow(row.version, record)
        return True
