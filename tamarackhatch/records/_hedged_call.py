"""Sends calls to the store in several attempts, as `_hedging` decides."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import random
import typing

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch.records import _hedging
from tamarackhatch.records import _store_liveness

Result = typing.TypeVar("Result")
_SentResult = typing.TypeVar("_SentResult", covariant=True)


class Send(typing.Protocol[_SentResult]):
    """Sends one attempt of a call."""

    def __call__(
        self, timeout: datetime.timedelta, *, is_hedge: bool
    ) -> Awaitable[_SentResult]:
        """Sends the attempt and returns its result.

        Args:
            timeout: Maximum time to wait for the answer.
            is_hedge: Whether an earlier attempt still waits for its answer.
        """
        ...


@attrs.frozen
class CallReport:
    """How a call to the store went.

    Attributes:
        kind: Kind of the call: ``submit``, ``cancel`` or ``read``.
        job: Identifier of the job.
        attempts: Number of attempts.
        hedges: How many of them were sent while another was pending.
        winner: Which attempt was answered, from 1; None if none was.
        give_up_reason: Why the call was given up; None if it succeeded.
        last_failure: How the latest attempt failed; empty if none did.
        duration: Time of the whole call.
    """

    kind: str
    job: str
    attempts: int
    hedges: int
    winner: int | None
    give_up_reason: _hedging.GiveUpReason | None
    last_failure: str
    duration: datetime.timedelta


class CallGivenUpError(Exception):
    """A call was given up; attempts of it may still be carried out."""


class _Attempt(typing.NamedTuple):
    """An attempt in progress: when it was sent, and its number from 1."""

    sent_at: datetime.timedelta
    number: int


class HedgedCaller:
    """Repeats idempotent calls that are slow, lost or refused.

    The calls share a retry budget. At most two attempts of a call are in
    progress; the first answer wins, and the other attempt is abandoned.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        liveness: _store_liveness.StoreLiveness,
        record: Callable[[CallReport], None],
    ) -> None:
        """Creates a caller.

        Args:
            time_source: Source of time.
            liveness: Signs of life of the store.
            record: Called with a report after each call.
        """
        self._clock = time_source
        self._liveness = liveness
        self._record = record
        self._budget = _hedging.RetryBudget()
        self._random = random.Random()
        self._probe: asyncio.Task[typing.Any] | None = None

    async def call(
        self,
        kind: str,
        job: str,
        send: Send[Result],
        deadline: datetime.timedelta,
    ) -> Result:
        """Makes a call and returns the result of the first attempt answered.

        Args:
            kind: Kind of the call, for the report.
            job: Identifier of the job, for the report.
            send: Sends one attempt; its failures are StoreUnavailableError and
                StoreOutcomeUnknownError.
            deadline: Monotonic time at which the caller stops waiting.

        Raises:
            CallGivenUpError: No attempt was answered.
        """
        call = _Call(self, send, deadline)
        try:
            return await call.run()
        finally:
            self._record(call.make_report(kind, job))

    @property
    def outlook(self) -> _hedging.StoreOutlook:
        """What is known of the store now."""
        return _hedging.StoreOutlook(
            self._liveness.last_answer,
            self._liveness.expected_latency,
            self._budget.get_next_time(self.now),
        )

    @property
    def now(self) -> datetime.timedelta:
        """Monotonic time."""
        return self._clock.get_monotonic()

    def draw(self) -> float:
        """Returns a random number, 0 to 1."""
        return self._random.random()

    def record_repeat(self) -> None:
        """Records that an attempt is repeated."""
        self._budget.record_repeat(self.now)

    def record_success(self) -> None:
        """Records that a call has succeeded."""
        self._budget.record_success(self.now)

    async def send_attempt(
        self, send: Send[Result], timeout: datetime.timedelta, is_hedge: bool
    ) -> Result:
        """Sends one attempt, and records how long its answer took."""
        began = self.now
        result = await send(timeout, is_hedge=is_hedge)
        self._liveness.record_latency(self.now - began)
        return result

    async def wait(
        self,
        attempts: typing.Collection[asyncio.Task[Result]],
        until: datetime.timedelta,
    ) -> None:
        """Waits until an attempt has ended, or until a monotonic time."""
        duration = until - self.now
        if attempts:
            await asyncio.wait(
                attempts,
                timeout=duration.total_seconds(),
                return_when=asyncio.FIRST_COMPLETED,
            )
        else:
            await self._clock.sleep(duration)

    def abandon(
        self,
        attempts: typing.Iterable[asyncio.Task[Result]],
        is_silent: bool,
    ) -> None:
        """Ends attempts whose answers are not needed.

        Args:
            attempts: The attempts, the oldest first.
            is_silent: Whether the store seems to be silent. Then one attempt
                of all calls goes on, because a late answer tells that the
                store is slow and does not fail.
        """
        for attempt in attempts:
            attempt.add_done_callback(_discard_result)
            if is_silent and (self._probe is None or self._probe.done()):
                self._probe = attempt
            else:
                attempt.cancel()


class _Call(typing.Generic[Result]):
    """One call with its attempts in progress."""

    def __init__(
        self,
        caller: HedgedCaller,
        send: Send[Result],
        deadline: datetime.timedelta,
    ) -> None:
        self._caller = caller
        self._send = send
        self._progress = _hedging.CallProgress(caller.now, deadline)
        self._attempts: dict[asyncio.Task[Result], _Attempt] = {}
        self._hedges = 0
        self._winner: int | None = None
        self._give_up_reason: _hedging.GiveUpReason | None = None
        self._last_failure = ""

    async def run(self) -> Result:
        """Makes the call; see `HedgedCaller.call`."""
        try:
            while True:
                decision = _hedging.decide(
                    self._progress, self._caller.outlook, self._caller.now
                )
                if isinstance(decision, _hedging.GiveUp):
                    self._give_up_reason = decision.reason
                    raise CallGivenUpError(self._describe_failure())
                if isinstance(decision, _hedging.SendAttempt):
                    self._start_attempt(decision.timeout)
                    continue
                await self._caller.wait(self._attempts, decision.until)
                winner = self._collect_results()
                if winner is not None:
                    return winner.result()
        finally:
            reason = self._give_up_reason
            self._caller.abandon(
                self._attempts, reason is _hedging.GiveUpReason.SILENT
            )

    def make_report(self, kind: str, job: str) -> CallReport:
        """Returns the report of the call."""
        return CallReport(
            kind,
            job,
            self._progress.attempts,
            self._hedges,
            self._winner,
            self._give_up_reason,
            self._last_failure,
            self._caller.now - self._progress.started_at,
        )

    def _start_attempt(self, timeout: datetime.timedelta) -> None:
        now = self._caller.now
        is_hedge = bool(self._attempts)
        self._hedges += is_hedge
        if self._progress.attempts:
            self._caller.record_repeat()
        self._progress = self._progress.add_attempt(now)
        task = asyncio.create_task(
            self._caller.send_attempt(self._send, timeout, is_hedge)
        )
        self._attempts[task] = _Attempt(now, self._progress.attempts)

    def _collect_results(self) -> asyncio.Task[Result] | None:
        """Handles the attempts that have ended.

        Returns:
            One that was answered; None if none was.
        """
        for task in [task for task in self._attempts if task.done()]:
            attempt = self._attempts.pop(task)
            error = task.exception()
            if isinstance(
                error,
                (model.StoreUnavailableError, model.StoreOutcomeUnknownError),
            ):
                self._last_failure = error.message
                self._progress = self._progress.add_failure(
                    attempt.sent_at,
                    _classify(error),
                    self._caller.now,
                    self._caller.draw(),
                )
                continue
            if error is None:
                self._winner = attempt.number
                self._caller.record_success()
            return task
        return None

    def _describe_failure(self) -> str:
        assert self._give_up_reason is not None
        text = f"given up ({self._give_up_reason.value})"
        text += f" after {self._progress.attempts} attempts"
        return f"{text}: {self._last_failure}" if self._last_failure else text


def _classify(
    error: model.StoreUnavailableError | model.StoreOutcomeUnknownError,
) -> _hedging.Failure:
    if isinstance(error, model.StoreBusyError):
        return _hedging.Failure.BUSY
    if isinstance(error, model.StoreUnavailableError):
        return _hedging.Failure.REFUSED
    return _hedging.Failure.LOST


def _discard_result(task: asyncio.Task[typing.Any]) -> None:
    """Reads the exception of an attempt that nobody waits for."""
    if not task.cancelled():
        task.exception()
