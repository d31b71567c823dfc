"""Decides when a call to the store is repeated, and when it is given up.

Pure code: the caller passes in the monotonic time. docs/design/slow-store.md
explains the rules.
"""

import datetime
import enum

import attrs

_SECOND = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_NO_TIME = datetime.timedelta()

# Most attempts of one call that wait for an answer at the same time.
MAX_PENDING_ATTEMPTS = 2
# The store normally answers within 4 to 40 ms, depending on the region.
_MIN_HEDGE_DELAY = 150 * _MILLISECOND
# The leader heartbeat gives every instance that reaches the store an answer
# about every 0.7 s.
_MAX_SILENCE = 800 * _MILLISECOND
# A store that refuses everything answers at once, so that waiting for longer
# would only keep the caller from asking another instance.
_MAX_REFUSAL_TIME = 500 * _MILLISECOND
# An attempt is replaced after half of the caller's time, within these bounds.
_MIN_ATTEMPT_TIMEOUT = 1000 * _MILLISECOND
_MAX_ATTEMPT_TIMEOUT = 2500 * _MILLISECOND
_MIN_PAUSE = 50 * _MILLISECOND
_MAX_PAUSE = 400 * _MILLISECOND
_MAX_PAUSE_DOUBLINGS = 8
# Weights of a new sample as in the retransmission timer of RFC 6298.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATION_FACTOR = 4
# Answers that take this much longer than the mean are usual.
_MEAN_FACTOR = 1.5
# After this time without a sample, nothing is known about the latency.
_MAX_SAMPLE_AGE = 10 * _SECOND
# Repeated attempts of an instance that may be sent in a burst, and for each
# second after it. A store that recovers gets at most this much more than one
# attempt for each new request.
_MAX_SAVED_REPEATS = 10.0
_REPEATS_PER_S = 10.0
# Repeats that each successful call adds, so that a store that answers again
# serves all that wait, at a rate that rises with its answers.
_REPEATS_PER_SUCCESS = 0.5


class Failure(enum.Enum):
    """How an attempt failed."""

    LOST = "lost"
    REFUSED = "refused"
    BUSY = "busy"


class GiveUpReason(enum.Enum):
    """Why a call is given up; the values are labels of a metric."""

    DEADLINE = "deadline"
    SILENT = "silent"
    REFUSED = "refused"


@attrs.frozen
class SendAttempt:
    """Decision to send an attempt, with its timeout."""

    timeout: datetime.timedelta


@attrs.frozen
class Wait:
    """Decision to wait for an answer, at most until a monotonic time."""

    until: datetime.timedelta


@attrs.frozen
class GiveUp:
    """Decision to give up."""

    reason: GiveUpReason


Decision = SendAttempt | Wait | GiveUp


@attrs.frozen
class StoreOutlook:
    """What an instance knows of the store; times are monotonic.

    Attributes:
        last_answer: When it last answered any call of the instance, refusals
            excepted; None for never.
        expected_latency: Time within which most answers arrive; 0 if that is
            not known.
        next_repeat_at: When the retry budget permits a repeated attempt.
    """

    last_answer: datetime.timedelta | None = None
    expected_latency: datetime.timedelta = _NO_TIME
    next_repeat_at: datetime.timedelta = _NO_TIME


@attrs.frozen
class CallProgress:
    """A call and its attempts so far; times are monotonic.

    Attributes:
        started_at: When the call began.
        deadline: When its caller stops waiting.
        pending: When the attempts without a result were sent.
        attempts: Number of attempts.
        failures: Number of attempts that failed.
        last_failure: How the latest of them failed; None if none did.
        failed_at: When it failed.
        retry_at: When another attempt may be sent after the latest failure.
    """

    started_at: datetime.timedelta
    deadline: datetime.timedelta
    pending: tuple[datetime.timedelta, ...] = ()
    attempts: int = 0
    failures: int = 0
    last_failure: Failure | None = None
    failed_at: datetime.timedelta = _NO_TIME
    retry_at: datetime.timedelta = _NO_TIME

    def add_attempt(self, now: datetime.timedelta) -> "CallProgress":
        """Returns the call after an attempt was sent."""
        return attrs.evolve(
            self, pending=(*self.pending, now), attempts=self.attempts + 1
        )

    def add_failure(
        self,
        sent_at: datetime.timedelta,
        failure: Failure,
        now: datetime.timedelta,
        draw: float,
    ) -> "CallProgress":
        """Returns the call after an attempt has failed.

        Args:
            sent_at: When the attempt was sent.
            failure: How it failed.
            now: Monotonic time.
            draw: Random number, 0 to 1, that spreads the attempts of several
                callers.
        """
        pending = list(self.pending)
        pending.remove(sent_at)
        doublings = min(self.failures, _MAX_PAUSE_DOUBLINGS)
        pause = min(_MAX_PAUSE, _MIN_PAUSE * 2**doublings) * (1 + draw) / 2
        return attrs.evolve(
            self,
            pending=tuple(pending),
            failures=self.failures + 1,
            last_failure=failure,
            failed_at=now,
            retry_at=now + pause,
        )


def decide(
    call: CallProgress, outlook: StoreOutlook, now: datetime.timedelta
) -> Decision:
    """Decides what to do next for a call that has no result yet."""
    if now >= call.deadline:
        return GiveUp(GiveUpReason.DEADLINE)
    if not call.attempts:
        return SendAttempt(_compute_attempt_timeout(call, outlook, now))
    if call.pending:
        return _decide_while_pending(call, outlook, now)
    return _decide_after_failure(call, outlook, now)


def _decide_while_pending(
    call: CallProgress, outlook: StoreOutlook, now: datetime.timedelta
) -> Decision:
    give_up_at = _get_quiet_since(call, outlook) + _get_max_silence(
        call, outlook
    )
    if now >= give_up_at:
        return GiveUp(GiveUpReason.SILENT)
    wake_at = min(give_up_at, call.deadline)
    if len(call.pending) >= MAX_PENDING_ATTEMPTS:
        return Wait(wake_at)
    sent_at = call.pending[-1]
    # There has to be time for the answer to the second attempt.
    delay = min(outlook.expected_latency, (call.deadline - sent_at) / 2)
    due = max(
        sent_at + max(_MIN_HEDGE_DELAY, delay),
        call.retry_at,
        outlook.next_repeat_at,
    )
    if now >= due:
        return SendAttempt(_compute_attempt_timeout(call, outlook, now))
    return Wait(min(wake_at, due))


def _decide_after_failure(
    call: CallProgress, outlook: StoreOutlook, now: datetime.timedelta
) -> Decision:
    limit = _get_max_silence(call, outlook)
    if call.last_failure is Failure.REFUSED:
        limit = _MAX_REFUSAL_TIME
    give_up_at = _get_quiet_since(call, outlook) + limit
    # One more attempt follows at that time, which bridges any shorter outage.
    due = max(min(call.retry_at, give_up_at), outlook.next_repeat_at)
    if call.failed_at < give_up_at and now >= due:
        return SendAttempt(_compute_attempt_timeout(call, outlook, now))
    if now >= give_up_at:
        if call.last_failure is Failure.LOST:
            return GiveUp(GiveUpReason.SILENT)
        return GiveUp(GiveUpReason.REFUSED)
    return Wait(min(due, give_up_at, call.deadline))


def _get_quiet_since(
    call: CallProgress, outlook: StoreOutlook
) -> datetime.timedelta:
    if outlook.last_answer is None:
        return call.started_at
    return max(call.started_at, outlook.last_answer)


def _get_max_silence(
    call: CallProgress, outlook: StoreOutlook
) -> datetime.timedelta:
    # Answers of a store that is known to be slow are far apart. The other
    # half of the time is left for a caller to ask another instance.
    half = (call.deadline - call.started_at) / 2
    return max(_MAX_SILENCE, min(2 * outlook.expected_latency, half))


def _compute_attempt_timeout(
    call: CallProgress, outlook: StoreOutlook, now: datetime.timedelta
) -> datetime.timedelta:
    half = (call.deadline - call.started_at) / 2
    timeout = max(
        min(half, _MAX_ATTEMPT_TIMEOUT),
        _MIN_ATTEMPT_TIMEOUT,
        outlook.expected_latency,
    )
    return min(timeout, call.deadline - now)


class LatencyEstimate:
    """Estimates the time within which most answers arrive.

    Follows a rise with the first sample, as a retransmission timer does, and
    a fall over about twenty samples.
    """

    def __init__(self) -> None:
        self._mean = _NO_TIME
        self._deviation = _NO_TIME
        self._sampled_at: datetime.timedelta | None = None

    def get_expected(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the estimate; 0 without a recent sample."""
        if self._is_unknown(now):
            return _NO_TIME
        return max(
            self._mean * _MEAN_FACTOR,
            self._mean + self._deviation * _DEVIATION_FACTOR,
        )

    def record(
        self, latency: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Records how long an answer took."""
        if self._is_unknown(now):
            self._mean, self._deviation = latency, latency / 2
        else:
            error = latency - self._mean
            self._deviation += _DEVIATION_WEIGHT * (
                abs(error) - self._deviation
            )
            self._mean += _MEAN_WEIGHT * error
        self._sampled_at = now

    def _is_unknown(self, now: datetime.timedelta) -> bool:
        return (
            self._sampled_at is None
            or now - self._sampled_at > _MAX_SAMPLE_AGE
        )


class RetryBudget:
    """Limits the repeated attempts of all calls of an instance."""

    def __init__(self) -> None:
        self._saved = _MAX_SAVED_REPEATS
        self._updated_at = _NO_TIME

    def get_next_time(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns when a repeated attempt is permitted; now for at once."""
        missing = 1 - self._count_saved(now)
        if missing <= 0:
            return now
        # Rounded up, so that the attempt is permitted at that time.
        return now + _SECOND * (missing / _REPEATS_PER_S) + _MILLISECOND

    def record_repeat(self, now: datetime.timedelta) -> None:
        """Records that an attempt is repeated."""
        self._saved = self._count_saved(now) - 1
        self._updated_at = now

    def record_success(self, now: datetime.timedelta) -> None:
        """Records that a call has succeeded."""
        self._saved = min(
            _MAX_SAVED_REPEATS, self._count_saved(now) + _REPEATS_PER_SUCCESS
        )
        self._updated_at = now

    def _count_saved(self, now: datetime.timedelta) -> float:
        elapsed_s = (now - self._updated_at) / _SECOND
        return min(
            _MAX_SAVED_REPEATS, self._saved + elapsed_s * _REPEATS_PER_S
        )
