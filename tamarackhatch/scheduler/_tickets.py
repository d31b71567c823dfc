"""Tickets of the placement policy service for steps that need them."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform

StepName = tuple[str, int, int]
# A ticket that expires sooner may not outlast the way of a start.
_LEAST_VALIDITY = datetime.timedelta(milliseconds=300)
# The latency objective counts one question about 30 runners for a step.
MAX_RUNNERS = 30
_RETRY_PAUSE = datetime.timedelta(milliseconds=200)


@attrs.frozen
class _Ticket:
    """A ticket for a life of a runner.

    Attributes:
        text: The ticket.
        expires: Monotonic time until which it is valid.
    """

    text: str
    expires: datetime.timedelta


@attrs.frozen
class _Question:
    """A question that waits for its turn."""

    step: StepName
    runners: tuple[str, ...]
    timing: model.AdviceTiming


class TicketCache:
    """Asks one question at a time, and keeps the tickets."""

    def __init__(
        self,
        client: platform.AdviceClient | None,
        time_source: clock.Clock,
        on_answer: Callable[[], None],
        log: observability.Log,
    ) -> None:
        self._client = client
        self._clock = time_source
        self._on_answer = on_answer
        self._log = log
        self._tickets: dict[StepName, dict[str, _Ticket]] = {}
        self._denied: dict[StepName, set[str]] = {}
        self._questions: collections.OrderedDict[StepName, _Question]
        self._questions = collections.OrderedDict()
        self._asked: StepName | None = None
        self._wake = asyncio.Event()

    def get_ticket(self, step: StepName, runner: str) -> str | None:
        """Returns a valid ticket for a runner, or None."""
        ticket = self._tickets.get(step, {}).get(runner)
        if ticket is None:
            return None
        remaining = ticket.expires - self._clock.get_monotonic()
        return ticket.text if remaining > _LEAST_VALIDITY else None

    def is_denied(self, step: StepName, runner: str) -> bool:
        """Tells whether a runner may never run a step."""
        return runner in self._denied.get(step, ())

    def discard_ticket(self, step: StepName, runner: str) -> None:
        """Drops a ticket that a runner refused."""
        self._tickets.get(step, {}).pop(runner, None)

    def discard_job(self, job: str) -> None:
        """Drops everything about a job that is finished."""
        for table in (self._tickets, self._denied, self._questions):
            for step in [name for name in table if name[0] == job]:
                del table[step]

    def request(
        self,
        step: StepName,
        runners: Sequence[str],
        timing: model.AdviceTiming,
    ) -> None:
        """Asks about runners, unless a question about the step waits."""
        if not runners or step in self._questions or step == self._asked:
            return
        chosen = tuple(runners[:MAX_RUNNERS])
        self._questions[step] = _Question(step, chosen, timing)
        self._wake.set()

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            self._wake.clear()
            if not self._questions:
                await self._wake.wait()
                continue
            step, question = self._questions.popitem(last=False)
            self._asked = step
            try:
                await self._ask(question)
            finally:
                self._asked = None
            self._on_answer()

    async def _ask(self, question: _Question) -> None:
        if self._client is None:
            self._log.error(
                "advice_unset", job=question.step[0], step=question.step[2]
            )
            await self._clock.sleep(_RETRY_PAUSE)
            return
        timing = question.timing
        duration = timing.decision + len(question.runners) * timing.per_runner
        asked = self._clock.get_monotonic()
        try:
            advice = await self._client.ask(
                question.step, question.runners, duration
            )
        except platform.AdviceUnavailableError as error:
            self._log.warning(
                "advice_unavailable",
                job=question.step[0],
                step=question.step[2],
                reason=error.message,
            )
            await self._clock.sleep(_RETRY_PAUSE)
            return
        self._log.info(
            "advice_taken",
            job=question.step[0],
            step=question.step[2],
            asked=len(question.runners),
            allowed=len(advice.tickets),
        )
        # The validity counts from some moment after the question was sent.
        expires = asked + advice.validity
        tickets = self._tickets.setdefault(question.step, {})
        denied = self._denied.setdefault(question.step, set())
        for runner in question.runners:
            text = advice.tickets.get(runner)
            if text is None:
                denied.add(runner)
            else:
                tickets[runner] = _Ticket(text, expires)
