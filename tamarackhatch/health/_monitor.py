"""Decides which runners are failing, and what may start there."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import datetime

from tamarackhatch.health import _failed_jobs
from tamarackhatch.health import _rates
from tamarackhatch.health import _records

# Further starts on a runner that has failed since its last success.
_SUSPECT_START_LIMIT = 4
# With this many starts in flight, a readmitted runner is as busy as others.
_TRUSTED_START_LIMIT = 32
_PROBES_TO_READMIT = 2
# A last attempt waits this long for a runner that is known to be sound.
_LAST_ATTEMPT_WAIT = datetime.timedelta(seconds=1)
# Where many runners appear to fail, ejections are limited and evidence grows.
_MAX_FAILED_JOBS = 50

_Standing = _records.Standing
_Reason = _records.EjectionReason


class HealthMonitor:
    """Health of all runners of one scheduler, in this term."""

    def __init__(self) -> None:
        self._records: dict[str, _records.RunnerRecord] = {}
        self._rates = _rates.QueueRates()
        self._failed_jobs = _failed_jobs.FailedJobs(self._records)
        self._limits: dict[str, int] = {}
        # Derived from the records, so that a placement pass needs one look-up.
        self._unrestricted: set[str] = set()
        self._proven: set[str] = set()
        self._ejected: dict[str, None] = {}
        self._events: list[_records.HealthEvent] = []
        # Number of changes of what is known of a runner, by identifier.
        self._changes: collections.Counter[str] = collections.Counter()

    @property
    def ejected(self) -> list[str]:
        """Identifiers of the ejected runners."""
        return list(self._ejected)

    def take_events(self) -> list[_records.HealthEvent]:
        """Returns the changes since the last call."""
        events, self._events = self._events, []
        return events

    def trust(self, runner: str) -> None:
        """Records that an earlier scheduler has used a runner.

        Its runs go on, so that a takeover must not slow down starts there.
        """
        record = self._get_record(runner)
        if record.standing is _Standing.UNPROVEN:
            record.standing = _Standing.TRUSTED
            self._refresh(runner)

    def forget(self, runner: str) -> None:
        """Forgets a runner that has restarted or was removed."""
        self._records.pop(runner, None)
        self._ejected.pop(runner, None)
        self._unrestricted.discard(runner)
        self._proven.discard(runner)

    def set_limits(
        self, limits: Mapping[str, int], now: datetime.timedelta
    ) -> None:
        """Sets how many runners of each service may be ejected.

        The least suspicious ones above that are readmitted.
        """
        self._limits = dict(limits)
        for service in {
            self._records[runner].service for runner in self._ejected
        }:
            ejected = self._list_ejected(service)
            excess = len(ejected) - self._limits.get(service, 0)
            ejected.sort(key=self.compute_score)
            for runner in ejected[: max(0, excess)]:
                self._readmit(runner, "limit", now)

    def has_limit(self, service: str) -> bool:
        """Returns whether it is set how many runners may be ejected."""
        return service in self._limits

    def record_start(self, runner: str, now: datetime.timedelta) -> None:
        """Records that a run starts on a runner."""
        if runner in self._unrestricted:
            return
        record = self._get_record(runner)
        if (
            record.limited_since is None
            and record.standing is _Standing.UNPROVEN
        ):
            record.limited_since = now
            record.start_limit = _records.START_LIMIT
            self._changes[runner] += 1

    def record_probe(self, runner: str, name: _records.RunName) -> None:
        """Records that a run starts on an ejected runner."""
        self._records[runner].probe = name
        reason = self._records[runner].reason.value
        self._add_event("runner_probed", runner, reason)

    def defer_probe(self, runner: str, now: datetime.timedelta) -> None:
        """Records that there was no task to probe a runner with."""
        if self._records[runner].defer_probe(now):
            self._readmit(runner, "no task to probe with", now)

    def abandon_probe(self, runner: str, now: datetime.timedelta) -> None:
        """Records that a probe ended without saying how sound a runner is."""
        self._records[runner].abandon_probe(now)

    def record_exit(
        self, outcome: _records.RunOutcome, now: datetime.timedelta
    ) -> None:
        """Records the exit of a run that failed or succeeded."""
        record = self._get_record(outcome.runner)
        record.service = outcome.service
        if outcome.is_failure:
            self._record_failure(record, outcome, now)
        elif not outcome.is_long_running:
            self._record_success(record, outcome, now)
        self._refresh(outcome.runner)

    def record_progress(
        self, runner: str, name: _records.RunName, now: datetime.timedelta
    ) -> None:
        """Records that a long-running probe is ready and keeps running."""
        record = self._records.get(runner)
        if record is not None and record.is_ejected and record.probe == name:
            record.has_failed_last = False
            self._readmit(runner, "long-running probe", now)

    def record_stall(
        self, runner: str, service: str, now: datetime.timedelta
    ) -> None:
        """Records that the runs on a runner make no progress."""
        record = self._get_record(runner)
        record.service = service
        record.has_failed_last = True
        record.failed_start = now
        if record.is_ejected:
            if record.probe is not None:
                record.schedule_probe(now)
        else:
            record.residual = _records.EJECTION_SCORE
            self._eject(runner, _Reason.NO_PROGRESS, now)
        self._refresh(runner)

    def record_loss(self, runner: str, now: datetime.timedelta) -> None:
        """Records that a runner has stopped answering."""
        record = self._get_record(runner)
        if not record.record_loss(now):
            return
        was_proven = record.has_success or runner in self._unrestricted
        record.has_success = False
        if record.standing is _Standing.TRUSTED:
            record.standing = _Standing.UNPROVEN
            record.limited_since = None
        if was_proven:
            self._add_event("runner_unproven", runner, _Reason.FLAPPING.value)
        self._refresh(runner)

    def is_ejected(self, runner: str) -> bool:
        """Returns whether only probes start on a runner."""
        return runner in self._ejected

    def is_unrestricted(self, runner: str) -> bool:
        """Returns whether nothing limits starts on a runner."""
        return runner in self._unrestricted

    def count_changes(self, runner: str) -> int:
        """Returns how often what limits starts on a runner has changed."""
        return self._changes[runner]

    def is_proven(self, runner: str) -> bool:
        """Returns whether last attempts may start on a runner at once."""
        return runner in self._proven

    def may_start(
        self, runner: str, is_last_attempt: bool, waited: datetime.timedelta
    ) -> bool:
        """Returns whether a task may start on a runner.

        Args:
            runner: Identifier of the runner.
            is_last_attempt: Whether another failure fails the task's job.
            waited: How long the task has waited.
        """
        if runner in self._ejected:
            return False
        return (
            not is_last_attempt
            or runner in self._proven
            or waited >= _LAST_ATTEMPT_WAIT
        )

    def count_allowed(
        self,
        runner: str,
        started: Iterable[datetime.timedelta],
        now: datetime.timedelta,
    ) -> int:
        """Returns how many more runs may start on a runner that is limited.

        Args:
            runner: Identifier of the runner.
            started: Start times of the batch runs in flight there.
            now: Monotonic time.
        """
        return self._get_record(runner).count_allowed(started, now)

    def list_due_probes(self, now: datetime.timedelta) -> list[str]:
        """Returns the ejected runners that need a probe."""
        return [
            runner
            for runner in self._ejected
            if self._records[runner].is_probe_due(now)
        ]

    def list_overdue_probes(self, now: datetime.timedelta) -> list[str]:
        """Returns the ejected runners to probe for tasks that need them."""
        return [
            runner
            for runner in self._ejected
            if self._records[runner].is_probe_overdue(now)
        ]

    def readmit_needed(self, runner: str, now: datetime.timedelta) -> None:
        """Readmits a runner for tasks that cannot probe, nor run elsewhere."""
        self._readmit(runner, "no other runner", now)

    def get_probes(self) -> dict[str, _records.RunName]:
        """Returns the probes in flight, by runner."""
        probes = {
            runner: self._records[runner].probe for runner in self._ejected
        }
        return {runner: probe for runner, probe in probes.items() if probe}

    def compute_score(self, runner: str) -> float:
        """Returns the evidence that a runner is failing.

        Its sum of log-likelihood ratios; 0 without evidence.
        """
        record = self._records.get(runner)
        if record is None or not record.is_suspect:
            return 0.0
        failures = sum(
            weight
            for job, weight in record.failed.items()
            if not self._failed_jobs.is_failing(job)
        )
        return max(0.0, record.residual + failures - record.credit)

    def compute_penalty(self, runner: str) -> float:
        """Returns how much worse a runner is for a task, 0 to 2."""
        record = self._records.get(runner)
        if record is None or not record.is_suspect:
            return 0.0
        # What is left from an ejection limits starts instead.
        score = self.compute_score(runner) - record.residual
        return 2.0 * min(1.0, max(0.0, score) / _records.EJECTION_SCORE)

    def _get_record(self, runner: str) -> _records.RunnerRecord:
        record = self._records.get(runner)
        if record is None:
            record = self._records[runner] = _records.RunnerRecord()
        return record

    def _list_ejected(self, service: str) -> list[str]:
        records = self._records
        return [
            name for name in self._ejected if records[name].service == service
        ]

    def _record_success(
        self,
        record: _records.RunnerRecord,
        outcome: _records.RunOutcome,
        now: datetime.timedelta,
    ) -> None:
        if (
            record.failed_start is not None
            and outcome.started <= record.failed_start
        ):
            return
        if not record.is_ejected:
            self._rates.record_exit(outcome.queue, False)
        self._attribute_failure(record)
        record.has_success = True
        record.has_failed_last = False
        if record.is_suspect:
            rate = self._rates.estimate_rate(outcome.queue)
            record.credit += _rates.compute_weights(rate).success
            if not record.is_ejected and not self.compute_score(
                outcome.runner
            ):
                record.clear_evidence()
        if record.is_ejected:
            record.successes += 1
            record.probe = None
            if record.successes >= _PROBES_TO_READMIT:
                self._readmit(outcome.runner, "probes succeeded", now)
        elif record.standing is _Standing.READMITTED:
            record.start_limit *= 2
            if record.start_limit >= _TRUSTED_START_LIMIT:
                record.standing = _Standing.TRUSTED
                record.pause = _records.FIRST_PAUSE
        elif record.standing is _Standing.UNPROVEN:
            record.standing = _Standing.TRUSTED
            if not record.is_suspect:
                record.limited_since = None

    def _record_failure(
        self,
        record: _records.RunnerRecord,
        outcome: _records.RunOutcome,
        now: datetime.timedelta,
    ) -> None:
        rate = self._rates.estimate_rate(outcome.queue)
        weight = _rates.compute_weights(rate).failure
        if outcome.is_long_running:
            weight *= _rates.get_long_running_share(now - outcome.started)
        elif not record.is_ejected and not record.has_failed_last:
            # Failures in a row count once, and only if the runner turns out
            # to be sound, so that failing runners do not raise the rate with
            # which they are compared.
            record.unexplained = outcome.queue
        if not outcome.is_long_running:
            record.has_failed_last = True
            if not record.is_suspect:
                record.limited_since = now
                record.start_limit = _SUSPECT_START_LIMIT
            record.failed_start = max(
                record.failed_start or outcome.started, outcome.started
            )
        record.failed[outcome.job] = max(
            record.failed.get(outcome.job, 0.0), weight
        )
        if len(record.failed) > _MAX_FAILED_JOBS:
            del record.failed[next(iter(record.failed))]
        self._failed_jobs.add(outcome.job, outcome.runner)
        if record.is_ejected:
            record.successes = 0
            if record.probe == outcome.name:
                record.schedule_probe(now)
        elif self.compute_score(outcome.runner) >= _records.EJECTION_SCORE:
            self._eject(outcome.runner, _Reason.FAILURES, now, rate)
        if self._failed_jobs.is_failing(outcome.job):
            self._readmit_cleared(outcome.job, now)

    def _attribute_failure(self, record: _records.RunnerRecord) -> None:
        """Counts a failure as usual for its queue."""
        if record.unexplained:
            self._rates.record_exit(record.unexplained, True)
            record.unexplained = ""

    def _readmit_cleared(self, job: str, now: datetime.timedelta) -> None:
        """Readmits runners that were ejected for failures of a bad job."""
        for runner in self._failed_jobs.get_runners(job):
            record = self._records.get(runner)
            if record is None or job not in record.failed:
                continue
            if (
                record.is_ejected
                and record.reason is _Reason.FAILURES
                and self.compute_score(runner) < _records.EJECTION_SCORE
            ):
                self._readmit(runner, "job fails everywhere", now)
            self._refresh(runner)

    def _eject(
        self,
        runner: str,
        reason: _records.EjectionReason,
        now: datetime.timedelta,
        rate: float | None = None,
    ) -> None:
        record = self._records[runner]
        ejected = self._list_ejected(record.service)
        limit = self._limits.get(record.service, 0)
        if len(ejected) >= limit:
            # The runners are not the cause, unless this one is clearly worse.
            weakest = min(ejected, key=self.compute_score, default=None)
            margin = _records.EJECTION_SCORE / 2
            if (
                not limit
                or weakest is None
                or self.compute_score(runner)
                < self.compute_score(weakest) + margin
            ):
                self._attribute_failure(record)
                return
            self._readmit(weakest, "limit", now)
        record.unexplained = ""
        record.standing = _Standing.EJECTED
        record.reason = reason
        pause = record.pause
        record.schedule_probe(now)
        self._ejected[runner] = None
        self._add_event("runner_ejected", runner, reason.value, rate, pause)

    def _readmit(
        self, runner: str, reason: str, now: datetime.timedelta
    ) -> None:
        record = self._records[runner]
        self._add_event("runner_readmitted", runner, reason)
        del self._ejected[runner]
        record.clear_evidence()
        record.residual = _records.RESIDUAL_SCORE
        record.standing = _Standing.READMITTED
        record.probe = None
        record.limited_since = now
        record.start_limit = _records.START_LIMIT
        if reason == "job fails everywhere":
            record.residual = 0.0
            record.standing = _Standing.TRUSTED
            record.pause = _records.FIRST_PAUSE
        self._refresh(runner)

    def _refresh(self, runner: str) -> None:
        self._changes[runner] += 1
        record = self._records[runner]
        if record.standing is _Standing.TRUSTED and not record.is_suspect:
            self._unrestricted.add(runner)
        else:
            self._unrestricted.discard(runner)
        if record.is_proven(self.compute_score(runner)):
            self._proven.add(runner)
        else:
            self._proven.discard(runner)

    def _add_event(
        self,
        name: str,
        runner: str,
        reason: str,
        rate: float | None = None,
        pause: datetime.timedelta | None = None,
    ) -> None:
        self._events.append(
            _records.HealthEvent(
                name,
                runner,
                reason,
                self.compute_score(runner),
                len(self._records[runner].failed),
                rate,
                pause,
            )
        )
