"""The state of the platform stand-in: tables, objects, instance list."""

from collections.abc import Mapping
import time
import typing

import attrs

Place: typing.TypeAlias = tuple[str, str]


class BadTransactionError(Exception):
    """A transaction that does not follow the protocol."""


class ConditionsFailedError(Exception):
    """A transaction whose conditions did not hold."""

    def __init__(self, failed: list[dict[str, typing.Any]]) -> None:
        super().__init__("conditions failed")
        self.failed = failed


@attrs.frozen
class StoredRow:
    """A row and its version."""

    version: int
    value: Mapping[str, typing.Any]


class TableStore:
    """Rows with versions, changed by transactions."""

    def __init__(self) -> None:
        self._rows: dict[Place, StoredRow] = {}
        # Versions go on rising after a delete.
        self._last_versions: dict[Place, int] = {}

    def get_row(self, table: str, key: str) -> StoredRow | None:
        """Returns a row, or None."""
        return self._rows.get((table, key))

    def list_rows(
        self, table: str, prefix: str
    ) -> list[tuple[str, StoredRow]]:
        """Returns the rows whose key has the prefix, by key."""
        return sorted(
            (key, row)
            for (in_table, key), row in self._rows.items()
            if in_table == table and key.startswith(prefix)
        )

    def apply(self, transaction: Mapping[str, typing.Any]) -> list[int]:
        """Applies a transaction entirely or not at all.

        Returns:
            The new version of each written row; 0 for a deleted one.

        Raises:
            BadTransactionError: It does not follow the protocol.
            ConditionsFailedError: Nothing was changed.
        """
        conditions, writes = _parse(transaction)
        failed = [
            {"table": place[0], "key": place[1], "version": version}
            for place, version in conditions
            if self._get_version(place) != version
        ]
        if failed:
            raise ConditionsFailedError(failed)
        return [self._write(place, value) for place, value in writes]

    def _get_version(self, place: Place) -> int:
        row = self._rows.get(place)
        return row.version if row else 0

    def _write(
        self, place: Place, value: Mapping[str, typing.Any] | None
    ) -> int:
        version = self._last_versions.get(place, 0) + 1
        self._last_versions[place] = version
        if value is None:
            self._rows.pop(place, None)
            return 0
        self._rows[place] = StoredRow(version, value)
        return version


def _parse(
    transaction: Mapping[str, typing.Any],
) -> tuple[
    list[tuple[Place, int]],
    list[tuple[Place, Mapping[str, typing.Any] | None]],
]:
    try:
        conditions = [
            ((str(item["table"]), str(item["key"])), int(item["version"]))
            for item in transaction["conditions"]
        ]
        writes = [
            ((str(item["table"]), str(item["key"])), item["value"])
            for item in transaction["writes"]
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise BadTransactionError(f"malformed: {error!r}") from error
    places = [place for place, _ in writes]
    if len(set(places)) < len(places):
        raise BadTransactionError("a row is written twice")
    if not all(isinstance(value, dict | None) for _, value in writes):
        raise BadTransactionError("a value is no object")
    return conditions, writes


class InstanceBoard:
    """The instances, shown with a lag."""

    def __init__(self, lag_seconds: float) -> None:
        self._lag = lag_seconds
        self._current: dict[str, dict[str, typing.Any]] = {}
        self._history: list[tuple[float, list[dict[str, typing.Any]]]] = []

    def set_lag(self, lag_seconds: float) -> None:
        """Changes the lag."""
        self._lag = lag_seconds

    def change(
        self,
        entries: list[dict[str, typing.Any]],
        states: Mapping[str, str],
        removed: list[str],
    ) -> None:
        """Sets whole entries, states of entries, and removes entries."""
        for entry in entries:
            self._current[entry["id"]] = dict(entry)
        for name, state in states.items():
            self._current[name]["state"] = state
        for name in removed:
            self._current.pop(name, None)
        shown = [dict(entry) for entry in self._current.values()]
        # The first content is shown at once; only changes lag.
        at = time.time() if self._history else 0.0
        self._history.append((at, shown))

    def get_shown(self) -> tuple[float, list[dict[str, typing.Any]]]:
        """Returns the time that the list is as of, and the list."""
        as_of = time.time() - self._lag
        shown: list[dict[str, typing.Any]] = []
        for at, entries in self._history:
            if at <= as_of:
                shown = entries
        return as_of, shown
