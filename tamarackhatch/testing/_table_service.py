"""Table service in memory, with faults on demand."""

import asyncio
import collections
import enum

from tamarackhatch import platform


class StoreFault(enum.Enum):
    """A fault of one operation."""

    UNAVAILABLE = "unavailable"
    LOST_ANSWER = "lost answer"
    LOST_REQUEST = "lost request"


class FakeTableService:
    """Implements platform.TableService in memory."""

    def __init__(self) -> None:
        self._rows: dict[tuple[platform.Table, str], platform.Row] = {}
        self._versions: dict[tuple[platform.Table, str], int] = {}
        self._faults: collections.deque[StoreFault | None] = (
            collections.deque()
        )
        self._is_down = False
        self._commit_count = 0

    @property
    def commit_count(self) -> int:
        """Number of transactions that took effect."""
        return self._commit_count

    def set_down(self, is_down: bool) -> None:
        """Starts or ends an outage."""
        self._is_down = is_down

    def add_commit_faults(self, *faults: StoreFault | None) -> None:
        """Queues a fault, or None for success, for each coming commit."""
        self._faults.extend(faults)

    def clear_commit_faults(self) -> None:
        """Drops the queued faults that no commit has met yet."""
        self._faults.clear()

    async def read_row(
        self, table: platform.Table, key: str
    ) -> platform.Row | None:
        await self._enter()
        return self._rows.get((table, key))

    async def scan_rows(
        self, table: platform.Table, prefix: str
    ) -> tuple[platform.Row, ...]:
        await self._enter()
        found = [
            row
            for (in_table, key), row in self._rows.items()
            if in_table is table and key.startswith(prefix)
        ]
        return tuple(sorted(found, key=lambda row: row.key))

    async def commit(
        self, transaction: platform.Transaction
    ) -> tuple[int, ...]:
        await self._enter()
        fault = self._faults.popleft() if self._faults else None
        if fault is StoreFault.UNAVAILABLE:
            raise platform.StoreUnavailableError("injected")
        if fault is StoreFault.LOST_REQUEST:
            raise platform.StoreOutcomeUnknownError("injected")
        self._check_conditions(transaction)
        versions = tuple(self._apply(write) for write in transaction.writes)
        self._commit_count += 1
        if fault is StoreFault.LOST_ANSWER:
            raise platform.StoreOutcomeUnknownError("injected")
        return versions

    async def _enter(self) -> None:
        await asyncio.sleep(0)
        if self._is_down:
            raise platform.StoreUnavailableError("outage")

    def _check_conditions(self, transaction: platform.Transaction) -> None:
        failed = [
            condition
            for condition in transaction.conditions
            if self._get_version(condition) != condition.version
        ]
        if failed:
            raise platform.ConditionFailedError(failed)

    def _get_version(self, condition: platform.Condition) -> int:
        row = self._rows.get((condition.table, condition.key))
        return row.version if row else 0

    def _apply(self, write: platform.Write) -> int:
        place = (write.table, write.key)
        if write.value is None:
            self._rows.pop(place, None)
            return 0
        # Versions keep rising after a delete, so that a row that was
        # deleted and made anew never matches an old condition.
        version = self._versions.get(place, 0) + 1
        self._versions[place] = version
        self._rows[place] = platform.Row(write.key, version, write.value)
        return version
