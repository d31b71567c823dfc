"""Counts the calls to the store and the bytes of their answers."""

import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch.observability import _log
from tamarackhatch.observability import _metrics

_INTERVAL = datetime.timedelta(seconds=1)
# A second with less traffic than this is logged only if calls failed.
_MIN_LOGGED_BYTES = 65_536


@attrs.define
class _Traffic:
    """Calls of one kind since the last log line."""

    calls: int = 0
    unanswered: int = 0
    answer_bytes: int = 0


class StoreTraffic:
    """Counts calls to the store by kind and table, and logs busy seconds.

    Whoever shares a link with bulk reads waits for them, so the log tells
    which reads filled it.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        log: _log.Log,
        metrics: _metrics.Metrics,
    ) -> None:
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._traffic: dict[tuple[str, str], _Traffic] = {}

    def record_call(
        self, kind: str, table: str, answer_bytes: int | None
    ) -> None:
        """Counts one finished call.

        Args:
            kind: ``read``, ``feed`` or ``write``.
            table: The table; for a write the table of its first row.
            answer_bytes: Size of the answer's body in bytes; None if no
                answer arrived.
        """
        traffic = self._traffic.setdefault((kind, table), _Traffic())
        traffic.calls += 1
        if answer_bytes is None:
            traffic.unanswered += 1
            outcome = "unanswered"
        else:
            traffic.answer_bytes += answer_bytes
            outcome = "answered"
            self._metrics.store_bytes.labels(kind, table).inc(answer_bytes)
        self._metrics.store_calls.labels(kind, table, outcome).inc()

    async def run(self) -> None:
        """Logs once a second, if there is much to tell, until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            self._log_second()

    def _log_second(self) -> None:
        traffic, self._traffic = self._traffic, {}
        total = sum(item.answer_bytes for item in traffic.values())
        unanswered = sum(item.unanswered for item in traffic.values())
        if total < _MIN_LOGGED_BYTES and not unanswered:
            return
        self._log.summary(
            "store_traffic",
            answer_bytes=total,
            unanswered=unanswered,
            by_kind={
                f"{kind} {table}": [
                    item.calls,
                    item.unanswered,
                    item.answer_bytes,
                ]
                for (kind, table), item in sorted(traffic.items())
            },
        )
