"""Stand-in for the platform's metadata store."""

import asyncio
import bisect
import typing

from standins import network

Key = tuple[str, str, str]
_MAX_WAIT_S = 30.0
# Unlike the clocks of its clients, so that nobody can take one for another.
_CLOCK_START_MS = 5_000_000
# Usual time of a read and of a transaction, in seconds.
_USUAL_LATENCY_S = 0.004
_USUAL_WRITE_LATENCY_S = 0.0066


class StoreStandIn:
    """Tables of rows with one version counter and a change feed.

    Attributes:
        is_down: Whether every call is answered with 503.
        is_unresponsive: Whether calls get no answer; they are not executed.
        latency_s: Delay before a call is executed, in seconds.
        write_latency_s: Delay before a transaction is executed, in seconds;
            None for ``latency_s``.
        max_writes_per_s: Transactions beyond this rate are refused with 429;
            None for no limit.
        row_bytes: Longest value of a row, in bytes of its base64 text; a
            transaction with a longer one is refused.
        writes: Number of transactions applied.
        received_writes: Number of transactions received, also if refused.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.is_unresponsive = False
        self.latency_s = 0.003
        self.write_latency_s: float | None = None
        self.max_writes_per_s: float | None = None
        self.row_bytes = 65_536
        self.writes = 0
        self.received_writes = 0
        self._window_start_s = 0.0
        self._writes_in_window = 0
        self._rows: dict[Key, tuple[str, int]] = {}
        self._names: dict[tuple[str, str], list[str]] = {}
        self._changes: list[tuple[int, Key, str | None]] = []
        self._version = 0
        self._oldest_version = 0
        self._changed = asyncio.Event()

    def slow_down(self, factor: float) -> None:
        """Answers this many times slower than a store usually does."""
        self.latency_s = _USUAL_LATENCY_S * factor
        self.write_latency_s = _USUAL_WRITE_LATENCY_S * factor

    def put(
        self, table: str, key: str, value: str, partition: str = ""
    ) -> int:
        """Writes a row without a transaction and returns the store's version.

        The value is base64 text.
        """
        return self._apply([((table, partition, key), value)], [])

    def remove(self, table: str, key: str, partition: str = "") -> None:
        """Removes a row without a transaction."""
        self._apply([], [(table, partition, key)])

    def get(self, table: str, key: str, partition: str = "") -> str | None:
        """Returns the value of a row as base64 text, or None."""
        row = self._rows.get((table, partition, key))
        return None if row is None else row[0]

    def discard_history(self) -> None:
        """Discards past changes; feeds from an older version get 410."""
        self._oldest_version = self._version
        self._changes.clear()

    async def handle(self, request: network.Request) -> network.Response:
        """Answers one call."""
        is_write = request.path == "/-/rows-tx"
        self.received_writes += is_write
        if is_write and not self.is_down and not self._admit_write():
            await asyncio.sleep(self.latency_s)
            return network.Response(429)
        if is_write and self.write_latency_s is not None:
            await asyncio.sleep(self.write_latency_s)
        else:
            await asyncio.sleep(self.latency_s)
        if self.is_unresponsive:
            raise network.NoResponseError
        if self.is_down:
            return network.Response(503)
        if is_write:
            return self._transact(request.body)
        if request.path == "/-/rows-get":
            return self._read_rows(request.query)
        if request.path == "/-/rows-feed":
            return await self._wait_for_changes(request.query)
        return network.Response(404)

    def _read_clock(self) -> int:
        """Returns a steady clock of the store's own, in milliseconds."""
        return _CLOCK_START_MS + round(
            asyncio.get_running_loop().time() * 1000
        )

    def _admit_write(self) -> bool:
        """Counts a transaction, and returns whether the rate permits it."""
        if self.max_writes_per_s is None:
            return True
        now = asyncio.get_running_loop().time()
        if now - self._window_start_s >= 1:
            self._window_start_s, self._writes_in_window = now, 0
        self._writes_in_window += 1
        return self._writes_in_window <= self.max_writes_per_s

    def _transact(self, body: network.Body) -> network.Response:
        expected = body.get("expected_rev", [])
        for item in expected:
            row = self._rows.get(_get_key(item))
            if (0 if row is None else row[1]) != item["schema_version"]:
                current = [
                    self._make_row(_get_key(entry))
                    for entry in expected
                    if _get_key(entry) in self._rows
                ]
                return network.Response(412, {"rows": current})
        puts = [(_get_key(item), item["value"]) for item in body["puts"]]
        if any(len(value) > self.row_bytes for _, value in puts):
            return network.Response(400, {"error": "a value is too long"})
        removals = [_get_key(item) for item in body.get("remove", [])]
        partitions = {key[1] for key, _ in puts} | {key[1] for key in removals}
        if len(partitions | {_get_key(item)[1] for item in expected}) > 1:
            return network.Response(400, {"error": "several partitions"})
        version = self._apply(puts, removals)
        self.writes += 1
        return network.Response(
            200, {"schema_version": version, "now_ms": self._read_clock()}
        )

    def _apply(self, puts: list[tuple[Key, str]], removals: list[Key]) -> int:
        self._version += 1
        for key, value in puts:
            if key not in self._rows:
                bisect.insort(self._names.setdefault(key[:2], []), key[2])
            self._rows[key] = (value, self._version)
            self._changes.append((self._version, key, value))
        for key in removals:
            if self._rows.pop(key, None) is not None:
                self._names[key[:2]].remove(key[2])
                self._changes.append((self._version, key, None))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    def _read_rows(self, query: dict[str, str]) -> network.Response:
        group = (query["table"], query.get("part", ""))
        names = self._names.get(group, [])
        first = bisect.bisect_left(names, query.get("from", ""))
        last = len(names)
        if query.get("to"):
            last = bisect.bisect_left(names, query["to"])
        keys = [(*group, name) for name in names[first:last]]
        limit = min(500, int(query.get("limit", "500")))
        return network.Response(
            200,
            {
                "rows": [self._make_row(key) for key in keys[:limit]],
                "has_more": len(keys) > limit,
                "schema_version": self._version,
                "now_ms": self._read_clock(),
            },
        )

    async def _wait_for_changes(
        self, query: dict[str, str]
    ) -> network.Response:
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        wait_s = min(_MAX_WAIT_S, int(query.get("wait_ms", "0")) / 1000)
        deadline = loop.time() + wait_s
        while True:
            if after < self._oldest_version:
                return network.Response(410)
            rows = self._list_changes(query["table"], after)
            remaining_s = deadline - loop.time()
            if rows or remaining_s <= 0:
                return network.Response(
                    200,
                    {
                        "rows": rows,
                        "schema_version": self._version,
                        "now_ms": self._read_clock(),
                    },
                )
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _list_changes(
        self, table: str, after: int
    ) -> list[dict[str, typing.Any]]:
        latest: dict[Key, dict[str, typing.Any]] = {}
        first = bisect.bisect_right(
            self._changes, after, key=lambda change: change[0]
        )
        for version, key, value in self._changes[first:]:
            if key[0] != table:
                continue
            row = {"table": key[0], "part": key[1], "key": key[2]}
            latest[key] = {
                **row,
                "value": value,
                "schema_version": version,
                "deleted": value is None,
            }
        return sorted(latest.values(), key=lambda row: row["schema_version"])

    def _make_row(self, key: Key) -> dict[str, typing.Any]:
        value, version = self._rows[key]
        return {
            "table": key[0],
            "part": key[1],
            "key": key[2],
            "value": value,
            "schema_version": version,
        }


def _get_key(item: network.Body) -> Key:
    return (item["table"], item["part"], item["key"])
