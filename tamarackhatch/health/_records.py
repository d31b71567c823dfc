"""What is known of the health of each runner."""

import collections
from collections.abc import Iterable
import datetime
import enum
import sys

import attrs

from tamarackhatch import model

FIRST_PAUSE = datetime.timedelta(seconds=1)
MAX_PAUSE = datetime.timedelta(seconds=8)
# Two failures without a success suffice where 3 % of the runs fail: each has
# a log-likelihood ratio of 2.6 there.
EJECTION_SCORE = 5.0
# A readmitted runner that fails once more is ejected again.
RESIDUAL_SCORE = EJECTION_SCORE / 2
UNLIMITED = sys.maxsize
# Starts in flight on a runner without a known exit, or just readmitted.
START_LIMIT = 4
_SECOND = datetime.timedelta(seconds=1)
# A limit doubles each second and ends after this time: capacity beside which
# a task waits for 3 s is a fault.
_MAX_LIMIT_TIME = datetime.timedelta(seconds=2.5)
# Without a task that may serve as a probe, a runner returns after this time.
_MAX_WAIT_FOR_PROBE = datetime.timedelta(seconds=30)
# A task that only ejected runners can serve waits no longer for a probe:
# capacity beside which a task waits for 3 s is a fault.
_MAX_WAIT_OF_STRANDED_TASK = datetime.timedelta(milliseconds=2500)
_PROBE_RETRY = datetime.timedelta(milliseconds=50)
# A runner that stops answering so often in this time counts as unproven.
_FLAPPING_TIME = datetime.timedelta(seconds=10)
_FLAPPING_LOSSES = 3
# After one failure, about three successes in a row make up half of it.
_MAX_PROVEN_SCORE = 1.3

RunName = tuple[model.TaskKey, int]


class Standing(enum.Enum):
    """How far a runner is trusted.

    Attributes:
        UNPROVEN: None of its runs is known to have ended well.
        TRUSTED: Starts there are not limited.
        EJECTED: Only probes start there.
        READMITTED: Its probes ended well; starts there are limited.
    """

    UNPROVEN = "unproven"
    TRUSTED = "trusted"
    EJECTED = "ejected"
    READMITTED = "readmitted"


class EjectionReason(enum.Enum):
    """Why a runner is avoided; the values are labels of a metric."""

    FAILURES = "failures"
    NO_PROGRESS = "no progress"
    FLAPPING = "flapping"


@attrs.frozen
class RunOutcome:
    """How a run ended.

    Attributes:
        runner: Identifier of the runner.
        service: Service of the runner.
        name: Task and number of the run.
        queue: Name of the job's queue.
        is_failure: Whether the run failed, rather than succeeded.
        started: Monotonic time at which it was placed or adopted.
        is_long_running: Whether the task runs until its job is cancelled.
    """

    runner: str
    service: str
    name: RunName
    queue: str
    is_failure: bool
    started: datetime.timedelta
    is_long_running: bool = False

    @property
    def job(self) -> str:
        """Identifier of the job."""
        return self.name[0].job


@attrs.frozen
class HealthEvent:
    """A change that an operator has to see.

    Attributes:
        name: Name of the event in the log.
        runner: Identifier of the runner.
        reason: Why.
        score: Evidence that the runner is failing, as a log-likelihood ratio.
        failed_jobs: Number of jobs with failures there.
        usual_rate: Failure rate of the queue on other runners; None if it did
            not matter.
        pause: Time until the next probe; None if there is none.
    """

    name: str
    runner: str
    reason: str
    score: float
    failed_jobs: int
    usual_rate: float | None = None
    pause: datetime.timedelta | None = None


@attrs.define(eq=False)
class RunnerRecord:
    """What is known of one runner in this term.

    Attributes:
        service: Its service.
        standing: How far it is trusted.
        has_success: Whether a run ended well there, since it joined or
            restarted.
        has_failed_last: Whether the latest known exit is a failure.
        failed: Weight of the failures of each job that count, by job.
        unexplained: Queue of a failure that becomes part of the queue's usual
            rate unless the runner is ejected; empty for none.
        credit: Weight of the successes since.
        residual: Weight that is left from an earlier ejection.
        failed_start: Latest start of a run that failed. Successes of runs
            that started earlier don't show that the runner is sound again.
        limited_since: Monotonic time of the first start that was limited;
            None before.
        start_limit: Starts in flight that were allowed then.
        reason: Why it was ejected last.
        pause: Pause before the next probe.
        closed_since: Monotonic time of the ejection, or of the last failed
            probe.
        ejected_until: Monotonic time until which it is not probed.
        retry_at: Monotonic time until which no task for a probe is sought.
        probe: The probe in flight; None without one.
        successes: Successes in a row since it was ejected.
        losses: Monotonic times at which it stopped answering.
    """

    service: str = ""
    standing: Standing = Standing.UNPROVEN
    has_success: bool = False
    has_failed_last: bool = False
    failed: dict[str, float] = attrs.field(factory=dict)
    unexplained: str = ""
    credit: float = 0.0
    residual: float = 0.0
    failed_start: datetime.timedelta | None = None
    limited_since: datetime.timedelta | None = None
    start_limit: int = 0
    reason: EjectionReason = EjectionReason.FAILURES
    pause: datetime.timedelta = FIRST_PAUSE
    closed_since: datetime.timedelta = datetime.timedelta()
    ejected_until: datetime.timedelta = datetime.timedelta()
    retry_at: datetime.timedelta = datetime.timedelta()
    probe: RunName | None = None
    successes: int = 0
    losses: collections.deque[datetime.timedelta] = attrs.field(
        factory=collections.deque
    )

    @property
    def is_ejected(self) -> bool:
        """Whether only probes start there."""
        return self.standing is Standing.EJECTED

    @property
    def is_suspect(self) -> bool:
        """Whether failures there are not made up for."""
        return bool(self.failed or self.residual)

    def is_proven(self, score: float) -> bool:
        """Returns whether last attempts may start there at once.

        Args:
            score: Evidence that the runner is failing.
        """
        return (
            self.has_success
            and not self.has_failed_last
            and not self.is_ejected
            and score <= _MAX_PROVEN_SCORE
        )

    def count_allowed(
        self, started: Iterable[datetime.timedelta], now: datetime.timedelta
    ) -> int:
        """Returns how many more runs may start there.

        Args:
            started: Start times of the batch runs in flight.
            now: Monotonic time.
        """
        since = self.limited_since
        if since is None and self.standing is Standing.TRUSTED:
            return UNLIMITED
        if since is not None and now - since >= _MAX_LIMIT_TIME:
            return UNLIMITED
        if self.failed_start is not None:
            started = [start for start in started if start > self.failed_start]
        in_flight = sum(1 for _ in started)
        if since is None:
            return max(0, START_LIMIT - in_flight)
        limit: int = self.start_limit << ((now - since) // _SECOND)
        return max(0, limit - in_flight)

    def clear_evidence(self) -> None:
        """Forgets failures that successes have made up for."""
        self.failed.clear()
        self.credit = self.residual = 0.0
        self.failed_start = None
        if self.standing is Standing.TRUSTED:
            self.limited_since = None

    def schedule_probe(self, now: datetime.timedelta) -> None:
        """Schedules the next probe, and doubles the pause after it."""
        self.closed_since = now
        self.ejected_until = now + self.pause
        self.pause = min(2 * self.pause, MAX_PAUSE)
        self.probe = None
        self.successes = 0

    def is_probe_due(self, now: datetime.timedelta) -> bool:
        """Returns whether a task for the next probe is to be sought."""
        return (
            self.probe is None
            and now >= self.ejected_until
            and now >= self.retry_at
        )

    def is_probe_overdue(self, now: datetime.timedelta) -> bool:
        """Returns whether a task that needs the runner has to probe it."""
        return (
            self.probe is None
            and now >= self.retry_at
            and now - self.closed_since >= _MAX_WAIT_OF_STRANDED_TASK
        )

    def defer_probe(self, now: datetime.timedelta) -> bool:
        """Records that no task can probe it; returns whether to give that up.

        It is then readmitted without a probe.
        """
        self.retry_at = now + _PROBE_RETRY
        return now - self.ejected_until >= _MAX_WAIT_FOR_PROBE

    def abandon_probe(self, now: datetime.timedelta) -> None:
        """Records that a probe ended without an outcome."""
        self.probe = None
        self.retry_at = now + _PROBE_RETRY

    def record_loss(self, now: datetime.timedelta) -> bool:
        """Records that it stopped answering; returns whether it often does."""
        self.losses.append(now)
        while now - self.losses[0] > _FLAPPING_TIME:
            self.losses.popleft()
        return len(self.losses) >= _FLAPPING_LOSSES
