"""Interface of the platform's transactional table service."""

from collections.abc import Mapping
import enum
import typing

import attrs

JsonValue: typing.TypeAlias = Mapping[str, typing.Any]


class Table(enum.Enum):
    """The tables in use."""

    SESSIONS = "sessions"
    OWNERS = "owners"
    WORKERS = "workers"
    JOBS = "jobs"
    TEAMS = "teams"
    REQUESTS = "requests"
    CONFIGURATION = "configuration"


@attrs.frozen
class Row:
    """A row as read; a version is at least 1 and rises with each write."""

    key: str
    version: int
    value: JsonValue


@attrs.frozen
class Condition:
    """Requires a row to have this version; 0 means that it is absent."""

    table: Table
    key: str
    version: int


@attrs.frozen
class Write:
    """Sets a row's value, or deletes the row when the value is None."""

    table: Table
    key: str
    value: JsonValue | None


@attrs.frozen
class Transaction:
    """Writes that take effect together if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class TableService(typing.Protocol):
    """The table service.

    Reads raise StoreUnavailableError. ``commit`` raises
    StoreUnavailableError (nothing was written), StoreOutcomeUnknownError
    (it may have been written) or ConditionFailedError (nothing was written).
    """

    async def read_row(self, table: Table, key: str) -> Row | None:
        """Returns the row, or None if there is none."""
        ...

    async def scan_rows(self, table: Table, prefix: str) -> tuple[Row, ...]:
        """Returns all rows whose key starts with the prefix, by key."""
        ...

    async def commit(self, transaction: Transaction) -> tuple[int, ...]:
        """Commits; returns the new version of each written row, in order.

        The version of a deleted row is 0.
        """
        ...
