"""The waits that the heartbeats have reported to an instance."""

import collections
import datetime

import attrs

from tamarackhatch import model

# Time that a slow answer of the store takes beyond two intervals.
_SLOW_ANSWER = datetime.timedelta(milliseconds=200)
_MAX_REPORTS = 16
# Greatest age of a summary when it is sent, so that it is known to be no older
# than the heartbeat by more than this.
MAX_SUMMARY_AGE = datetime.timedelta(milliseconds=500)

Waits = tuple[model.WaitSummary, ...]


@attrs.frozen
class _Report:
    term: int
    waits: Waits
    received_at: datetime.timedelta


class WaitFigures:
    """Keeps the reports of the latest heartbeats of one term."""

    def __init__(self, heartbeat_interval: datetime.timedelta) -> None:
        """Creates an empty collection.

        Args:
            heartbeat_interval: Time between two leader heartbeats.
        """
        self._max_age = 2 * heartbeat_interval + _SLOW_ANSWER - MAX_SUMMARY_AGE
        # A scheduler that publishes configurations sends heartbeats in quick
        # succession, which say no more than one of them.
        self._min_span = heartbeat_interval / 2
        self._reports: collections.deque[_Report]
        self._reports = collections.deque(maxlen=_MAX_REPORTS)

    def record_heartbeat(
        self, term: int, waits: Waits, now: datetime.timedelta
    ) -> None:
        """Records a heartbeat that certainly is new.

        Args:
            term: Term of its scheduler.
            waits: What it reports; empty if nothing.
            now: Monotonic time.
        """
        reports = self._reports
        # A successor has seen too little to confirm its predecessor.
        if not waits or (reports and reports[-1].term != term):
            reports.clear()
        if not waits:
            return
        if reports and now - reports[-1].received_at > self._max_age:
            reports.clear()
        reports.append(_Report(term, waits, now))

    def list_current(self, now: datetime.timedelta) -> list[Waits]:
        """Returns the reports that a refusal has to be based on.

        Returns:
            The latest reports, which all have to agree; nothing if they are
            too old, or too few.
        """
        if not self._reports or now - self._reports[-1].received_at > (
            self._max_age
        ):
            return []
        latest = self._reports[-1].received_at
        found: list[Waits] = []
        for report in reversed(self._reports):
            found.append(report.waits)
            if len(found) > 1 and latest - report.received_at >= (
                self._min_span
            ):
                return found
        return []
