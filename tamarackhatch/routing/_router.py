"""Routing of requests: entry side and owner side."""

import asyncio
from collections.abc import Coroutine
import datetime
import random as random_module
import typing

from absl import logging
import attrs

from tamarackhatch import clock as clock_module
from tamarackhatch import declarations
from tamarackhatch import errors
from tamarackhatch import membership
from tamarackhatch import model
from tamarackhatch import peer
from tamarackhatch import platform
from tamarackhatch.routing import _answers
from tamarackhatch.routing import _budget
from tamarackhatch.routing import _choice
from tamarackhatch.routing import _decisions
from tamarackhatch.routing import _directory
from tamarackhatch.routing import _errors
from tamarackhatch.routing import _journal
from tamarackhatch.routing import _limits
from tamarackhatch.routing import _waiting

_T = typing.TypeVar("_T")

# Runners tried for one request, counted over all rounds.
_MAX_ATTEMPTS = 6
# Pause before the runners are tried once more. Ownership moves to another
# instance, and its loads arrive here, within about a second.
_ROUND_PAUSE = datetime.timedelta(milliseconds=300)
_MAX_ROUNDS = 3
# A peer that gives up at the deadline needs this long to say so; its answer
# is more exact than "unknown".
_ANSWER_DELAY = datetime.timedelta(milliseconds=100)
_RETRY_AFTER = datetime.timedelta(seconds=1)
_LEAVING_RETRY_AFTER = datetime.timedelta(seconds=2)
_ZERO = datetime.timedelta()

# Refusals that may be over within a second, or that hold for one runner only.
_PASSING_CODES = frozenset(
    {
        errors.ErrorCode.LEAVING,
        errors.ErrorCode.NO_AUTHORITY,
        errors.ErrorCode.NO_RUNNER,
        errors.ErrorCode.PEER_UNAVAILABLE,
        errors.ErrorCode.RUNNER_UNAVAILABLE,
    }
)


class RequestRouter:
    """Routes the requests of callers, and serves those that peers forward.

    Args:
        clock: Source of time.
        roster: The entry instances in contact.
        instances: The instance list as last read.
        configuration: Policies in force.
        limits: The runners owned by this instance.
        directory: All known runners.
        journal: The at-most-once journal.
        forwarder: Sends requests to the owners of other runners.
        runners: Sends requests to the runners owned here.
        random: Source of random numbers for the choice of runners.
        decisions: Keeps the decisions.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        roster: membership.RosterView,
        instances: platform.InstanceView,
        configuration: declarations.ConfigurationView,
        limits: _limits.RunnerLimits,
        directory: _directory.RunnerDirectory,
        journal: _journal.RequestJournal,
        forwarder: peer.Forwarder,
        runners: platform.RunnerClient,
        random: random_module.Random,
        decisions: _decisions.DecisionStore,
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._instances = instances
        self._configuration = configuration
        self._limits = limits
        self._directory = directory
        self._journal = journal
        self._forwarder = forwarder
        self._runners = runners
        self._random = random
        self._decisions = decisions
        self._budgets: dict[str, _budget.RetryBudget] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._leaving = asyncio.Event()

    @property
    def is_leaving(self) -> bool:
        """Whether new requests of callers are refused."""
        return self._leaving.is_set()

    def start_leaving(self) -> None:
        """Refuses new requests of callers and ends their watches early."""
        self._leaving.set()

    async def wait_idle(self) -> None:
        """Returns once no request is in flight and no row is unsettled."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    async def route_request(
        self, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        """Routes a caller's request and returns its outcome.

        A request that was begun goes on when the call is cancelled, unless
        it is a watch.
        """
        request = self._clamp_deadline(request)
        refusal = self._find_refusal(request)
        if refusal is not None:
            self._decide(request, None, f"refused: {refusal.reason}")
            return refusal
        if request.is_watch:
            return await self._route_watch(request)
        if request.is_repeatable:
            task = self._start(self._try_runners(request))
        else:
            task = self._start(self._route_once(request))
        return await asyncio.shield(task)

    async def serve_forwarded(
        self, worker: str, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        """Sends a request to a runner owned here, at most once."""
        request = self._clamp_deadline(request)
        try:
            permit = await self._limits.acquire(worker, request)
        except _errors.RequestRefusedError as error:
            return _answers.build_error_refusal(error)
        send = self._start(self._send(permit, request))

        def release_unstarted(_: object) -> None:
            # A task that is cancelled before its first step runs no code.
            if not permit.is_released:
                permit.release(_limits.SendResult.WITHDRAWN, request.deadline)

        send.add_done_callback(release_unstarted)
        if request.is_watch:
            return await self._serve_watch(worker, request, send)
        await _waiting.wait_bounded(
            self._clock, send, self._get_remaining(request) + _ANSWER_DELAY
        )
        if send.done():
            return send.result()
        # The slot stays in use until the sending has ended.
        return _answers.build_unknown(
            errors.ErrorCode.RUNNER_OUTCOME_UNKNOWN,
            f"the runner on {worker} did not answer before the deadline",
        )

    def _find_refusal(
        self, request: model.ServiceRequest
    ) -> model.ServiceAnswer | None:
        if self._leaving.is_set():
            return _answers.build_refusal(
                errors.ErrorCode.LEAVING,
                "this entry instance is leaving",
                _LEAVING_RETRY_AFTER,
            )
        if self._get_remaining(request) <= _ZERO:
            return _answers.build_refusal(
                errors.ErrorCode.DEADLINE_PASSED, "the deadline has passed"
            )
        if request.is_watch and not request.is_repeatable:
            return _answers.build_refusal(
                errors.ErrorCode.BAD_REQUEST, "a watch must be repeatable"
            )
        return None

    async def _route_watch(
        self, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        task = self._start(self._try_runners(request))
        leaving = asyncio.ensure_future(self._leaving.wait())
        try:
            await asyncio.wait(
                (task, leaving), return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                return task.result()
            self._decide(request, None, "watch ended: instance is leaving")
            return _answers.build_no_change(request)
        finally:
            leaving.cancel()
            task.cancel()

    async def _route_once(
        self, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        """Routes a request that may run only once."""
        intent = self._journal.create_intent(request)
        begin = self._start(self._journal.begin_request(intent))
        if not await _waiting.wait_bounded(
            self._clock, begin, self._get_remaining(request)
        ):
            answer = _answers.build_refusal(
                errors.ErrorCode.DEADLINE_PASSED,
                "the store did not answer before the deadline",
                _RETRY_AFTER,
            )
            self._decide(request, None, f"refused: {answer.reason}")
            self._start(self._withdraw_late(intent, begin))
            return answer
        begun = begin.result()
        if isinstance(begun, _journal.JournalRefusal):
            answer = begun.answer
            self._decide(
                request,
                None,
                f"journal: {answer.outcome.value} {answer.reason}".rstrip(),
            )
            if begun.may_have_written:
                self._start(self._journal.withdraw_request(intent))
            return answer
        answer = await self._try_runners(request)
        settle = self._start(self._journal.settle_request(begun, answer))
        # The outcome is recorded before the caller learns it, so that a
        # repetition through another instance finds it. A slow store does
        # not hold the answer back beyond the deadline.
        await _waiting.wait_bounded(
            self._clock, settle, self._get_remaining(request)
        )
        return answer

    async def _withdraw_late(
        self,
        intent: _journal.Intent,
        begin: "asyncio.Task[_journal.Intent | _journal.JournalRefusal]",
    ) -> None:
        begun = await begin
        if isinstance(begun, _journal.Intent):
            await self._journal.withdraw_request(begun)
        elif begun.may_have_written:
            await self._journal.withdraw_request(intent)

    async def _try_runners(
        self, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        policy = self._configuration.get_service_policy(request.service)
        budget = self._budgets.setdefault(
            request.service, _budget.RetryBudget(self._clock)
        )
        budget.note_request()
        tried: set[str] = set()
        last: model.ServiceAnswer | None = None
        uncertain: model.ServiceAnswer | None = None
        rounds = 1
        for attempt in range(_MAX_ATTEMPTS):
            chosen = self._choose(request, policy, tried)
            while chosen is None:
                if not self._may_pause(request, last, rounds):
                    break
                rounds += 1
                await self._clock.sleep(_ROUND_PAUSE)
                tried.clear()
                chosen = self._choose(request, policy, tried)
            if chosen is None or self._get_remaining(request) <= _ZERO:
                break
            tried.add(chosen.worker)
            last = await self._try_runner(request, chosen, attempt + 1)
            if last.outcome is model.Outcome.ANSWERED:
                return last
            if last.outcome is model.Outcome.NOT_RUN:
                continue
            uncertain = last
            if not request.is_repeatable:
                break
            if not budget.has_retry(policy.retry_ratio):
                self._decide(request, chosen, "no retry: budget is used up")
                break
            budget.note_retry()
        # A request is "not run" only if no attempt may have run.
        answer = uncertain or last or self._refuse_unroutable(request)
        self._decide(
            request, None, f"ended: {answer.outcome.value}: {answer.reason}"
        )
        return answer

    def _may_pause(
        self,
        request: model.ServiceRequest,
        last: model.ServiceAnswer | None,
        rounds: int,
    ) -> bool:
        return (
            last is not None
            and (
                last.code in _PASSING_CODES
                or last.outcome is model.Outcome.UNKNOWN
            )
            and rounds < _MAX_ROUNDS
            and self._get_remaining(request) > _ROUND_PAUSE
        )

    def _choose(
        self,
        request: model.ServiceRequest,
        policy: declarations.ServicePolicy,
        tried: set[str],
    ) -> _directory.Candidate | None:
        return _choice.choose_runner(
            [
                candidate
                for candidate in self._directory.list_candidates(
                    request.service
                )
                if candidate.worker not in tried
            ],
            2 * policy.slots,
            self._random,
        )

    async def _try_runner(
        self,
        request: model.ServiceRequest,
        chosen: _directory.Candidate,
        attempt: int,
    ) -> model.ServiceAnswer:
        self._decide(
            request,
            chosen,
            f"attempt {attempt}: distance {chosen.distance}, "
            f"load {chosen.load}",
        )
        if chosen.instance == self._roster.instance:
            answer = await self.serve_forwarded(chosen.worker, request)
        else:
            answer = await self._forward(request, chosen)
        if answer.outcome is not model.Outcome.ANSWERED:
            self._decide(
                request,
                chosen,
                f"attempt {attempt}: {answer.outcome.value}: {answer.reason}",
            )
        return answer

    async def _forward(
        self, request: model.ServiceRequest, chosen: _directory.Candidate
    ) -> model.ServiceAnswer:
        self._directory.note_forward(chosen.worker, 1)
        forward = asyncio.ensure_future(
            self._forwarder.forward_request(
                chosen.instance, chosen.worker, request
            )
        )
        try:
            await _waiting.wait_bounded(
                self._clock,
                forward,
                self._get_remaining(request) + _ANSWER_DELAY,
            )
            if not forward.done():
                return _answers.build_unknown(
                    errors.ErrorCode.PEER_OUTCOME_UNKNOWN,
                    f"{chosen.instance} did not answer before the deadline",
                )
            answer = forward.result()
        except peer.PeerUnavailableError as error:
            return _answers.build_error_refusal(error, _RETRY_AFTER)
        except peer.PeerOutcomeUnknownError as error:
            return _answers.build_unknown(error.code, error.message)
        finally:
            forward.cancel()
            self._directory.note_forward(chosen.worker, -1)
        if answer.outcome is model.Outcome.ANSWERED:
            mismatch = _answers.find_mismatch(
                request, answer.headers, answer.body
            )
            if mismatch is not None:
                return _answers.build_unknown(
                    errors.ErrorCode.PEER_OUTCOME_UNKNOWN, mismatch
                )
        return answer

    async def _serve_watch(
        self,
        worker: str,
        request: model.ServiceRequest,
        send: "asyncio.Task[model.ServiceAnswer]",
    ) -> model.ServiceAnswer:
        stop = asyncio.ensure_future(self._limits.wait_stop(worker))
        timer = asyncio.ensure_future(
            self._clock.sleep(self._get_remaining(request))
        )
        try:
            await asyncio.wait(
                (send, stop, timer), return_when=asyncio.FIRST_COMPLETED
            )
            if send.done():
                return send.result()
            return _answers.build_no_change(request)
        finally:
            stop.cancel()
            timer.cancel()
            # The connection counts until the client has closed it.
            send.cancel()

    async def _send(
        self, permit: _limits.Permit, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        result = _limits.SendResult.WITHDRAWN
        started = self._clock.get_monotonic()
        try:
            # Time has passed since the permit was asked for. There is no
            # suspension between this check and the call of the client.
            refusal = self._limits.find_refusal(permit.worker, request)
            if refusal is not None:
                return _answers.build_error_refusal(refusal)
            if self._get_remaining(request) <= _ZERO:
                return _answers.build_refusal(
                    errors.ErrorCode.DEADLINE_PASSED,
                    "the deadline has passed",
                )
            address = self._get_address(permit.worker)
            result = _limits.SendResult.UNKNOWN
            received = await self._runners.send_request(address, request)
            result = _limits.SendResult.ANSWERED
            return self._check_answer(request, received)
        except platform.RunnerUnavailableError as error:
            result = _limits.SendResult.NOT_SENT
            if self._was_cut_short(request, started):
                result = _limits.SendResult.WITHDRAWN
            return _answers.build_error_refusal(error, _RETRY_AFTER)
        except platform.RunnerOutcomeUnknownError as error:
            if request.is_watch or self._was_cut_short(request, started):
                result = _limits.SendResult.UNANSWERED
            return _answers.build_unknown(error.code, error.message)
        except asyncio.CancelledError:
            if result is _limits.SendResult.UNKNOWN:
                result = _limits.SendResult.UNANSWERED
            raise
        except Exception as error:
            # A fault in a client must not hide that the request may have
            # run.
            logging.exception(
                "routing: request=%s sending failed", request.request_id
            )
            return _answers.build_unknown(
                errors.ErrorCode.RUNNER_OUTCOME_UNKNOWN, repr(error)
            )
        finally:
            permit.release(result, request.deadline)

    def _check_answer(
        self, request: model.ServiceRequest, received: platform.RunnerAnswer
    ) -> model.ServiceAnswer:
        mismatch = _answers.find_mismatch(
            request, received.headers, received.body
        )
        if mismatch is not None:
            return _answers.build_unknown(
                errors.ErrorCode.RUNNER_OUTCOME_UNKNOWN, mismatch
            )
        policy = self._configuration.get_service_policy(request.service)
        if len(received.body) > policy.max_body:
            return _answers.build_unknown(
                errors.ErrorCode.BODY_TOO_LARGE,
                f"the answer has {len(received.body)} bytes, "
                f"allowed are {policy.max_body}",
            )
        return model.ServiceAnswer(
            model.Outcome.ANSWERED,
            received.status,
            received.headers,
            received.body,
        )

    def _was_cut_short(
        self, request: model.ServiceRequest, started: datetime.timedelta
    ) -> bool:
        """Tells whether a short deadline is the likely cause of a failure.

        Otherwise a caller with very short deadlines could have every runner
        ejected.
        """
        policy = self._configuration.get_service_policy(request.service)
        elapsed = self._clock.get_monotonic() - started
        return (
            self._get_remaining(request) <= _ZERO
            and elapsed < policy.latency_bound
        )

    def _get_address(self, worker: str) -> str:
        backend = self._instances.get_backend(worker)
        assert backend is not None and backend.runner_address is not None
        return backend.runner_address

    def _refuse_unroutable(
        self, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        if self._get_remaining(request) <= _ZERO:
            return _answers.build_refusal(
                errors.ErrorCode.DEADLINE_PASSED, "the deadline has passed"
            )
        snapshot = self._instances.snapshot
        if snapshot is not None and all(
            backend.service != request.service for backend in snapshot.backends
        ):
            return _answers.build_refusal(
                errors.ErrorCode.UNKNOWN_SERVICE,
                f"no backend server runs service {request.service}",
            )
        return _answers.build_refusal(
            errors.ErrorCode.NO_RUNNER,
            f"no runner of {request.service} takes requests",
            _RETRY_AFTER,
        )

    def _clamp_deadline(
        self, request: model.ServiceRequest
    ) -> model.ServiceRequest:
        # After a takeover the next owner waits for the longest deadline, so
        # no request may have a later one.
        policy = self._configuration.get_service_policy(request.service)
        length = policy.max_deadline
        if request.is_watch:
            length = policy.watch_length
        latest = self._clock.get_utc() + length
        if request.deadline <= latest:
            return request
        return attrs.evolve(request, deadline=latest)

    def _get_remaining(
        self, request: model.ServiceRequest
    ) -> datetime.timedelta:
        return request.deadline - self._clock.get_utc()

    def _decide(
        self,
        request: model.ServiceRequest,
        chosen: _directory.Candidate | None,
        reason: str,
    ) -> None:
        self._decisions.add_decision(
            _decisions.Decision(
                self._clock.get_utc(),
                request.request_id,
                request.service,
                chosen.worker if chosen else None,
                chosen.instance if chosen else None,
                reason,
                self._configuration.version,
            )
        )

    def _start(
        self, coroutine: "Coroutine[typing.Any, typing.Any, _T]"
    ) -> "asyncio.Task[_T]":
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
