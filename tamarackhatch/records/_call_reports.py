"""Logs and counts calls to the store that needed several attempts."""

import datetime

from tamarackhatch import observability
from tamarackhatch.records import _hedged_call

_MILLISECOND = datetime.timedelta(milliseconds=1)


class CallReporter:
    """Counts all calls to the store on behalf of callers.

    Calls with one attempt that succeeded are not logged.
    """

    def __init__(
        self, log: observability.Log, metrics: observability.Metrics
    ) -> None:
        self._log = log
        self._metrics = metrics

    def record(self, report: _hedged_call.CallReport) -> None:
        """Records one call."""
        reason = report.give_up_reason and report.give_up_reason.value
        self._metrics.store_attempts.labels(report.kind).observe(
            report.attempts
        )
        if report.hedges:
            self._metrics.hedged_store_calls.labels(
                report.kind, str(report.winner or "none")
            ).inc()
        if reason is not None:
            self._metrics.given_up_store_calls.labels(
                report.kind, reason
            ).inc()
        if report.attempts <= 1 and reason is None:
            return
        self._log.info(
            "store_call_repeated",
            kind=report.kind,
            job=report.job,
            attempts=report.attempts,
            hedges=report.hedges,
            winner=report.winner,
            given_up=reason,
            last_failure=report.last_failure or None,
            duration_ms=report.duration // _MILLISECOND,
        )
