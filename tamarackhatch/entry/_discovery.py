"""Keeps the row of this instance, and reads the rows of the others."""

from collections.abc import Callable
import datetime
import random

from tamarackhatch import clock
from tamarackhatch.entry import _peers
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records

_SECOND = datetime.timedelta(seconds=1)
_WRITE_INTERVAL = 10 * _SECOND
_READ_INTERVAL = 5 * _SECOND
# Share by which reads are earlier or later, so that the instances of a
# deployment that starts do not read all at once.
_READ_JITTER = 0.2
# Before a failed write is repeated; nobody waits for it.
_RETRY_DELAY = 2 * _SECOND
_CHECK_INTERVAL = 0.5 * _SECOND
_CALL_TIMEOUT = 1.5 * _SECOND
# Entries of a transaction are limited to 100.
_MAX_REMOVALS = 20


class Discovery:
    """Publishes this instance and discovers the others.

    All calls are made one after the other. Each costs as much as any call to
    the store, so that the removal of rows of instances that are gone shares
    the transaction of this instance's own row.
    """

    def __init__(
        self,
        store: model.TableStore,
        directory: _peers.PeerDirectory,
        make_record: Callable[[], records.InstanceRecord],
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the discovery of an instance.

        Args:
            store: The table store.
            directory: Gets what is read.
            make_record: Returns the present state of this instance.
            time_source: Source of time.
            log: Logger of the discovery.
            metrics: Metrics of the instance.
        """
        self._store = store
        self._directory = directory
        self._make_record = make_record
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._random = random.Random()
        self._written: records.InstanceRecord | None = None
        self._write_at = datetime.timedelta()
        self._read_at = datetime.timedelta()
        self._malformed: set[str] = set()

    async def run(self) -> None:
        """Writes and reads rows until cancelled."""
        while True:
            now = self._clock.get_monotonic()
            is_changed = self._make_record() != self._written
            if now >= self._write_at or (
                self._written is not None and is_changed
            ):
                await self._write()
            if now >= self._read_at:
                await self._read()
            await self._clock.sleep(_CHECK_INTERVAL)

    async def _write(self) -> None:
        record = self._make_record()
        stale = self._directory.list_stale()[:_MAX_REMOVALS]
        refs = [records.get_instance_ref(row.record.name) for row in stale]
        put = model.Put(
            records.get_instance_ref(record.name),
            records.encode_instance(record),
        )
        expected = [
            (ref, row.version) for ref, row in zip(refs, stale, strict=True)
        ]
        try:
            result = await self._store.write(
                expected, [put], refs, _CALL_TIMEOUT
            )
            if isinstance(result, model.Conflict):
                # Another instance has removed a row, or it is in use again.
                await self._store.write([], [put], [], _CALL_TIMEOUT)
        except (
            model.StoreUnavailableError,
            model.StoreOutcomeUnknownError,
        ) as error:
            self._written = None
            self._write_at = self._clock.get_monotonic() + _RETRY_DELAY
            self._log.debug("instance_row_not_written", reason=error.message)
            return
        self._written = record
        self._write_at = self._clock.get_monotonic() + _WRITE_INTERVAL
        for row in stale:
            self._log.info("instance_row_removed", instance=row.record.name)

    async def _read(self) -> None:
        spread = 1 + self._random.uniform(-_READ_JITTER, _READ_JITTER)
        self._read_at = self._clock.get_monotonic() + _READ_INTERVAL * spread
        try:
            page = await self._store.read(
                records.INSTANCES_TABLE, "", _CALL_TIMEOUT
            )
        except model.StoreUnavailableError as error:
            self._log.debug("instance_rows_not_read", reason=error.message)
            return
        rows = []
        malformed = set()
        for row in page.rows:
            try:
                record = records.decode_instance(row.ref.key, row.value)
            except records.MalformedRowError as error:
                malformed.add(row.ref.key)
                if row.ref.key not in self._malformed:
                    self._metrics.unreadable_entries.labels("instances").inc()
                    self._log.warning(
                        "instance_row_unreadable",
                        code=error.code.value,
                        reason=error.message,
                    )
                continue
            rows.append(_peers.ReadInstance(record, row.version))
        self._malformed = malformed
        self._directory.update(rows, self._clock.get_monotonic())
