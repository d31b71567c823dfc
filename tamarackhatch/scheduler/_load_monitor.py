"""Logs once a second how much work the scheduler has, and how late it is."""

import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import observability
from tamarackhatch import transport

_INTERVAL = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define
class LoadCounters:
    """Work of the scheduler since the last log line.

    Attributes:
        passes: Number of placement passes.
        pass_time: Time that they took.
        placed: Number of tasks that they placed.
        renewals: Number of answered renewals.
        missed_renewals: Number of renewals without an answer.
        recorded: Number of starts that were recorded before they were sent.
        record_time: Time for which they waited for that.
        longest_record: Longest such time.
        unrecorded: Number of starts that were sent without a record.
        reports: Number of reports of runners that were applied.
        report_time: Time that this took.
        transactions: Number of transactions that the store has confirmed.
        transaction_time: Time until they were confirmed.
        transaction_bytes: Bytes of the rows in all transactions.
        timers: Number of timers that were measured.
        lateness: Time by which they were late.
        longest_lateness: Longest such time.
    """

    passes: int = 0
    pass_time: datetime.timedelta = datetime.timedelta()
    placed: int = 0
    renewals: int = 0
    missed_renewals: int = 0
    recorded: int = 0
    record_time: datetime.timedelta = datetime.timedelta()
    longest_record: datetime.timedelta = datetime.timedelta()
    unrecorded: int = 0
    reports: int = 0
    report_time: datetime.timedelta = datetime.timedelta()
    transactions: int = 0
    transaction_time: datetime.timedelta = datetime.timedelta()
    transaction_bytes: int = 0
    timers: int = 0
    lateness: datetime.timedelta = datetime.timedelta()
    longest_lateness: datetime.timedelta = datetime.timedelta()

    def add_timer(self, lateness: datetime.timedelta) -> None:
        """Counts a timer that fired late by some time."""
        self.timers += 1
        self.lateness += lateness
        self.longest_lateness = max(self.longest_lateness, lateness)

    def add_transaction(self, elapsed: datetime.timedelta, size: int) -> None:
        """Counts a transaction with rows of ``size`` bytes."""
        self.transactions += 1
        self.transaction_time += elapsed
        self.transaction_bytes += size

    def add_record(self, waited: datetime.timedelta) -> None:
        """Counts a start that has waited for its record."""
        self.recorded += 1
        self.record_time += waited
        self.longest_record = max(self.longest_record, waited)


@attrs.define
class WaitingTasks:
    """Tasks that the last placement pass did not place, by the reason.

    Attributes:
        paused: Starts are paused after a takeover, or until a start command
            without an answer cannot be carried out elsewhere.
        grouped: Long-running tasks that wait for others of their image.
        held_back: Enough starts are in progress.
        reserving: No runner has capacity for them.
        suspects: They may have crashed a runner, and wait to be observed.
        best_effort: No runner has memory and headroom for them.
    """

    paused: int = 0
    grouped: int = 0
    held_back: int = 0
    suspects: int = 0
    reserving: int = 0
    best_effort: int = 0


class LoadMonitor:
    """Counts the scheduler's work and logs it.

    Attributes:
        counters: Work since the last log line; components add to it.
        waiting: Result of the last placement pass.
        open_starts: Tasks with a start command without an answer, which may
            still be carried out.
        start_limit: Number of starts that may be in progress.
        awaited_runners: Runners that have to answer before starts that a
            takeover paused go on.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
        traffic: transport.Traffic,
    ) -> None:
        self.counters = LoadCounters()
        self.waiting = WaitingTasks()
        self.awaited_runners = 0
        self.open_starts = 0
        self.start_limit = 0
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._traffic = traffic

    async def run(self) -> None:
        """Logs until cancelled."""
        self._traffic.take()
        while True:
            due = self._clock.get_monotonic() + _INTERVAL
            await self._clock.sleep(_INTERVAL)
            lateness = self._clock.get_monotonic() - due
            self._metrics.loop_lateness.set(lateness.total_seconds())
            self.counters.add_timer(lateness)
            counters, self.counters = self.counters, LoadCounters()
            waiting = self.waiting
            self._metrics.paused.set(waiting.paused)
            self._metrics.open_starts.set(self.open_starts)
            self._log.summary(
                "scheduler_load",
                late_ms=counters.lateness / counters.timers // _MILLISECOND,
                longest_late_ms=counters.longest_lateness // _MILLISECOND,
                passes=counters.passes,
                pass_ms=counters.pass_time // _MILLISECOND,
                placed=counters.placed,
                renewals=counters.renewals,
                missed_renewals=counters.missed_renewals,
                reports=counters.reports,
                report_ms=counters.report_time // _MILLISECOND,
                transactions=counters.transactions,
                transaction_ms=counters.transaction_time
                / max(1, counters.transactions)
                // _MILLISECOND,
                transaction_bytes=counters.transaction_bytes,
                unrecorded=counters.unrecorded,
                record_ms=counters.record_time
                / max(1, counters.recorded)
                // _MILLISECOND,
                longest_record_ms=counters.longest_record // _MILLISECOND,
                paused=waiting.paused,
                awaited_runners=self.awaited_runners,
                open_starts=self.open_starts,
                grouped=waiting.grouped,
                held_back=waiting.held_back,
                start_limit=self.start_limit,
                suspects=waiting.suspects,
                reserving=waiting.reserving,
                best_effort=waiting.best_effort,
            )
            self._log_traffic()

    def _log_traffic(self) -> None:
        traffic = self._traffic.take()
        self._log.summary(
            "runner_traffic",
            opened_connections=traffic.opened_connections,
            by_purpose={
                purpose: [
                    calls.calls,
                    calls.request_bytes,
                    calls.answer_bytes,
                    calls.unsent,
                    calls.unanswered,
                    calls.longest_unsent // _MILLISECOND,
                ]
                for purpose, calls in sorted(traffic.by_purpose.items())
            },
        )
