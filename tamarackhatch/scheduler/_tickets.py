"""Requests and caches tickets of the placement policy service."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import placement
from tamarackhatch import platform

StepName = tuple[str, int, int]
# A ticket that expires sooner may expire before a start reaches its runner.
_MIN_REMAINING_VALIDITY = datetime.timedelta(milliseconds=300)
# The latency objective assumes one request about 30 runners for each step.
_MAX_RUNNERS_PER_REQUEST = 30
_RETRY_PAUSE = datetime.timedelta(milliseconds=200)


@attrs.frozen
class _Ticket:
    """A ticket for one incarnation of a runner.

    Attributes:
        text: The ticket.
        expires: Monotonic time until which it is valid.
    """

    text: str
    expires: datetime.timedelta


@attrs.frozen
class _TicketRequest:
    """A request that is not sent yet."""

    step: StepName
    runners: tuple[str, ...]
    timing: model.AdviceTiming


class TicketCache:
    """Requests tickets for one step at a time and caches them."""

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
        self._requests: collections.OrderedDict[StepName, _TicketRequest]
        self._requests = collections.OrderedDict()
        self._requested_step: StepName | None = None
        self._wake = asyncio.Event()

    def get_ticket(self, step: StepName, runner: str) -> str | None:
        """Returns a valid ticket of a step for a runner, or None."""
        ticket = self._tickets.get(step, {}).get(runner)
        if ticket is None:
            return None
        remaining = ticket.expires - self._clock.get_monotonic()
        return ticket.text if remaining > _MIN_REMAINING_VALIDITY else None

    def is_denied(self, step: StepName, runner: str) -> bool:
        """Returns whether the policy denied a runner for a step."""
        return runner in self._denied.get(step, ())

    def discard_ticket(self, step: StepName, runner: str) -> None:
        """Removes a ticket that a runner refused."""
        self._tickets.get(step, {}).pop(runner, None)

    def discard_job(self, job: str) -> None:
        """Removes all tickets, denials and requests of a finished job."""
        for table in (self._tickets, self._denied, self._requests):
            for step in [name for name in table if name[0] == job]:
                del table[step]

    def request_for_candidates(
        self,
        key: model.TaskKey,
        definition: model.Step,
        candidates: Iterable[placement.CandidateRunner],
        timing: model.AdviceTiming,
    ) -> None:
        """Requests tickets for runners with capacity that lack one.

        Args:
            key: A task of the step.
            definition: The step.
            candidates: Runners that may get its tasks.
            timing: Expected duration of the policy's answer.
        """
        step = (key.job, key.occurrence, key.step)
        runners = [
            candidate.load
            for candidate in candidates
            if candidate.load.has_capacity(definition)
            and placement.is_allowed(candidate.load, key, definition)
            and not self.is_denied(step, candidate.load.identifier)
            and not self.get_ticket(step, candidate.load.identifier)
        ]
        runners.sort(key=lambda load: load.reserved_cpu)
        self.request_tickets(
            step, [load.identifier for load in runners], timing
        )

    def request_tickets(
        self,
        step: StepName,
        runners: Sequence[str],
        timing: model.AdviceTiming,
    ) -> None:
        """Requests tickets for a step, unless a request for it is pending.

        Args:
            step: The step.
            runners: Identifiers of runners; those beyond the maximum of a
                request are ignored.
            timing: Expected duration of the policy's answer.
        """
        if (
            not runners
            or step in self._requests
            or step == self._requested_step
        ):
            return
        chosen = tuple(runners[:_MAX_RUNNERS_PER_REQUEST])
        self._requests[step] = _TicketRequest(step, chosen, timing)
        self._wake.set()

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            self._wake.clear()
            if not self._requests:
                await self._wake.wait()
                continue
            step, request = self._requests.popitem(last=False)
            self._requested_step = step
            try:
                await self._send_request(request)
            finally:
                self._requested_step = None
            self._on_answer()

    async def _send_request(self, request: _TicketRequest) -> None:
        if self._client is None:
            self._log.error(
                "policy_service_not_configured",
                job=request.step[0],
                step=request.step[2],
            )
            await self._clock.sleep(_RETRY_PAUSE)
            return
        duration = estimate_duration(request.timing, len(request.runners))
        asked = self._clock.get_monotonic()
        try:
            advice = await self._client.request_tickets(
                request.step, request.runners, duration
            )
        except platform.AdviceUnavailableError as error:
            self._log.warning(
                "policy_service_unavailable",
                job=request.step[0],
                step=request.step[2],
                reason=error.message,
            )
            await self._clock.sleep(_RETRY_PAUSE)
            return
        self._log.info(
            "tickets_received",
            job=request.step[0],
            step=request.step[2],
            requested=len(request.runners),
            granted=len(advice.tickets),
            unreadable=advice.unreadable,
        )
        # The validity starts at some moment after the request was sent.
        expires = asked + advice.validity
        tickets = self._tickets.setdefault(request.step, {})
        denied = self._denied.setdefault(request.step, set())
        for runner in request.runners:
            text = advice.tickets.get(runner)
            if text is None:
                denied.add(runner)
            else:
                tickets[runner] = _Ticket(text, expires)


def estimate_duration(
    timing: model.AdviceTiming, runners: int
) -> datetime.timedelta:
    """Returns how long the policy service takes for one request.

    Args:
        timing: Its response times.
        runners: Number of runners to ask about; those beyond the maximum of a
            request are ignored.
    """
    asked = min(runners, _MAX_RUNNERS_PER_REQUEST)
    return timing.decision + asked * timing.per_runner
