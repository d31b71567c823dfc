"""The transactional table store and its rows."""

from collections.abc import Sequence
import datetime
import typing

import attrs

from tamarackhatch import errors


class StoreUnavailableError(errors.CodedError):
    """The store did not carry out a request, and will not do so later."""

    def __init__(
        self,
        message: str,
        code: errors.ErrorCode = errors.ErrorCode.STORE_UNAVAILABLE,
    ) -> None:
        super().__init__(code, message)


class StoreBusyError(StoreUnavailableError):
    """The store refused a request because there are too many at present."""


class StoreRejectedError(StoreUnavailableError):
    """The store rejected a request as such, and would do so again."""

    def __init__(self, message: str) -> None:
        super().__init__(message, errors.ErrorCode.STORE_REJECTED)


class StoreOutcomeUnknownError(errors.CodedError):
    """A write got no answer; it may be applied, now or later."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.STORE_OUTCOME_UNKNOWN, message)


class HistoryLostError(errors.CodedError):
    """The store has discarded some changes since the given version."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.STORE_HISTORY_LOST, message)


@attrs.frozen
class RowRef:
    """Name of a row: its table, its partition and its key."""

    table: str
    partition: str
    key: str


@attrs.frozen
class Row:
    """A row in the store, or a change of it.

    Attributes:
        ref: Name of the row.
        value: Content of the row.
        version: Version of the row's last change. Versions rise with every
            transaction of the store.
        is_deleted: Whether this is a change that removed the row.
    """

    ref: RowRef
    value: bytes
    version: int
    is_deleted: bool = False


@attrs.frozen
class Put:
    """A row to write."""

    ref: RowRef
    value: bytes


@attrs.frozen
class Committed:
    """Result of a transaction that was applied.

    Attributes:
        version: New version of all rows that the transaction wrote.
    """

    version: int


@attrs.frozen
class Conflict:
    """Result of a transaction that failed because a row's version differed.

    Attributes:
        rows: Current state of those rows of the condition that exist.
    """

    rows: tuple[Row, ...]


@attrs.frozen
class StoreMoment:
    """A moment in the history of the store.

    Instances have no clock in common. They compare moments, and tell how old
    one is, by the store's own clock.

    Attributes:
        version: Newest version of the store at that moment.
        time: Reading of the store's clock.
    """

    version: int
    time: datetime.timedelta


@attrs.frozen
class RowPage:
    """Part of a table, as it was at one moment.

    Attributes:
        rows: Rows in ascending order of keys.
        has_more: Whether the range that was read has further rows.
        version: Newest version of the store at that moment.
        time: Reading of the store's clock then; None if it gave none.
    """

    rows: tuple[Row, ...]
    has_more: bool
    version: int
    time: datetime.timedelta | None = None

    @property
    def moment(self) -> StoreMoment | None:
        """The moment at which the page was read; None if not known."""
        return _make_moment(self.version, self.time)


@attrs.frozen
class FeedPage:
    """Changes of a table.

    Attributes:
        rows: Changed rows in ascending order of their versions.
        version: Version after which the next request continues.
        receive_time: Time for which they occupied the network, from the first
            byte to the last one.
        time: Reading of the store's clock when the changes were read; None if
            it gave none.
    """

    rows: tuple[Row, ...]
    version: int
    receive_time: datetime.timedelta = datetime.timedelta()
    time: datetime.timedelta | None = None

    @property
    def moment(self) -> StoreMoment | None:
        """The moment up to which changes are known; None if not known."""
        return _make_moment(self.version, self.time)


def _make_moment(
    version: int, time: datetime.timedelta | None
) -> StoreMoment | None:
    return None if time is None else StoreMoment(version, time)


class TableStore(typing.Protocol):
    """The transactional table store."""

    async def write(
        self,
        expected: Sequence[tuple[RowRef, int]],
        puts: Sequence[Put],
        removals: Sequence[RowRef],
        timeout: datetime.timedelta,
        *,
        is_hedge: bool = False,
    ) -> Committed | Conflict:
        """Applies all changes if each row has its expected version.

        Args:
            expected: Rows with the versions they must have; 0 for a row
                that must be absent.
            puts: Rows to write.
            removals: Rows to remove.
            timeout: Maximum time to wait for the answer.
            is_hedge: Whether the same write was sent before and still waits
                for its answer. It then goes over a new connection.

        Returns:
            Committed if the changes were applied, else Conflict.

        Raises:
            StoreUnavailableError: Nothing was applied or will be. It is a
                StoreBusyError if the store serves other requests.
            StoreOutcomeUnknownError: The changes may be applied, now or
                later.
        """
        ...

    async def read(
        self,
        table: str,
        partition: str,
        timeout: datetime.timedelta,
        first: str = "",
        end: str = "",
        *,
        is_hedge: bool = False,
    ) -> RowPage:
        """Reads rows of one partition in ascending order of keys.

        Args:
            table: The table.
            partition: The partition.
            timeout: Maximum time to wait for the answer.
            first: First key of the range; empty for the start.
            end: Key at which the range ends, exclusive; empty for no end.
            is_hedge: As for a write.

        Raises:
            StoreUnavailableError: The rows could not be read.
        """
        ...

    async def follow(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> FeedPage:
        """Returns changes of a table after a version.

        Args:
            table: The table.
            after: Version after which changes are returned.
            wait: Maximum time to wait for a change if there is none yet.

        Raises:
            HistoryLostError: The store has discarded changes since the
                version.
            StoreUnavailableError: The changes could not be read.
        """
        ...
