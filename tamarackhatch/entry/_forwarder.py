"""Forwards requests of callers that the store does not answer here."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import typing

from tamarackhatch import admission
from tamarackhatch import clock
from tamarackhatch.entry import _messages
from tamarackhatch.entry import _peers
from tamarackhatch.entry import _trigger
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records
from tamarackhatch import transport

_MILLISECOND = datetime.timedelta(milliseconds=1)
_OK = 200
# With more, a request would put the load of four on the deployment.
_MAX_PEERS_PER_REQUEST = 3
# An instance answers within two attempts of a write, if its store answers.
_ANSWER_TIME = 400 * _MILLISECOND
# Time for the answer on its way back, so that it is ready for the caller.
_TRANSMISSION_TIME = 50 * _MILLISECOND
# With less time left, no instance could carry out a request.
_MIN_TIMEOUT = 100 * _MILLISECOND
_LOCAL_RETRY_PAUSE = 200 * _MILLISECOND
# Share of the caller's time for which a write is tried here although no
# instance has carried it out. A store that refuses all instances does so at
# once, and a caller that retries four times would lose its job in an outage
# of four seconds. The other half is left for another instance.
_HOLD_SHARE = 0.5
# An instance serves a few requests a second; a burst of them at the beginning
# of an outage is forwarded as a whole.
_MAX_REQUESTS_IN_FLIGHT = 64
_CALL_BURST = 60
_CALLS_PER_S = 30
# A tenth of the slowest link between data centres (10 Mbit/s), with bursts of
# several of the largest jobs.
_DISTANT_BYTE_BURST = 524_288
_DISTANT_BYTES_PER_S = 131_072

RunHere = Callable[[], Awaitable[model.JobLookup]]


class Forwarder:
    """Carries out requests here and, if that takes long, at other instances.

    All attempts of a request are the same conditional write or the same read,
    so that they may run side by side. The first definite outcome is the
    answer; the other attempts are abandoned.
    """

    def __init__(
        self,
        client: transport.HttpClient,
        directory: _peers.PeerDirectory,
        liveness: records.StoreLiveness,
        time_source: clock.Clock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the forwarder of an instance.

        Args:
            client: HTTP client for calls to other instances.
            directory: The other instances.
            liveness: Signs of life of the store.
            time_source: Source of time.
            log: Logger of the forwarder.
            metrics: Metrics of the instance.
        """
        self._client = client
        self.directory = directory
        self._liveness = liveness
        self._clock = time_source
        self._log = log
        self._metrics = metrics
        self._trigger = _trigger.ForwardingTrigger()
        self._calls = admission.TokenBucket(_CALL_BURST, _CALLS_PER_S)
        self._distant_bytes = admission.TokenBucket(
            _DISTANT_BYTE_BURST, _DISTANT_BYTES_PER_S
        )
        self._in_flight = 0

    @property
    def now(self) -> datetime.timedelta:
        """Monotonic time."""
        return self._clock.get_monotonic()

    @property
    def is_store_failing(self) -> bool:
        """Whether a request that begins now is likely to fail here."""
        return self._trigger.is_failing(self.now, self._liveness.last_answer)

    async def submit(
        self,
        job: model.Job,
        store_version: int,
        deadline: datetime.timedelta,
        run_here: RunHere,
    ) -> model.JobLookup:
        """Submits a job; see `carry_out`."""
        request = _messages.make_submission(job, store_version)
        return await self.carry_out(request, deadline, run_here)

    async def cancel(
        self,
        identifier: str,
        deadline: datetime.timedelta,
        run_here: RunHere,
    ) -> model.Outcome:
        """Cancels a job; see `carry_out`."""
        request = _messages.ForwardedRequest(
            _messages.Kind.CANCELLATION, identifier
        )
        return (await self.carry_out(request, deadline, run_here)).outcome

    async def get_state(
        self,
        identifier: str,
        deadline: datetime.timedelta,
        run_here: RunHere,
    ) -> model.JobLookup:
        """Reads the state of a job; see `carry_out`."""
        request = _messages.ForwardedRequest(_messages.Kind.STATE, identifier)
        return await self.carry_out(request, deadline, run_here)

    async def carry_out(
        self,
        request: _messages.ForwardedRequest,
        deadline: datetime.timedelta,
        run_here: RunHere,
    ) -> model.JobLookup:
        """Carries out a request here or at another instance.

        Args:
            request: The request.
            deadline: Monotonic time until which the answer must be ready.
            run_here: Carries it out here; it may be called several times.
        """
        if deadline <= self.now:
            return await run_here()
        forward_at = self._trigger.begin(
            self.now,
            self._liveness.last_answer,
            self._liveness.expected_latency,
        )
        may_forward = (
            not self.directory.is_empty
            and self._in_flight < _MAX_REQUESTS_IN_FLIGHT
        )
        race = _Race(
            self, request, deadline, run_here, forward_at, may_forward
        )
        self._in_flight += 1
        try:
            return await race.run()
        finally:
            self._in_flight -= 1

    def record_success_here(self) -> None:
        """Records that the store has carried out a request from here."""
        self._trigger.record_success()

    def permits_call(
        self, peer: records.InstanceRecord, body_bytes: int
    ) -> bool:
        """Spends the budget of a call; returns whether there was enough."""
        if not self._calls.try_spend(1, self.now):
            return False
        return self.directory.is_near(peer) or self._distant_bytes.try_spend(
            body_bytes, self.now
        )

    def encode(
        self, request: _messages.ForwardedRequest, timeout: datetime.timedelta
    ) -> bytes:
        """Returns the body of a call."""
        return _messages.encode_request(
            request, timeout, self._clock.get_utc()
        )

    async def call_peer(
        self,
        peer: records.InstanceRecord,
        request: _messages.ForwardedRequest,
        body: bytes,
        timeout: datetime.timedelta,
    ) -> model.JobLookup | None:
        """Asks another instance to carry out a request.

        Returns:
            Its result; None if it certainly has not tried. A call without an
            answer has the outcome UNKNOWN.
        """
        call = transport.Call(
            "POST", peer.address, request.path, timeout, body
        )
        result: model.JobLookup | None = None
        try:
            answer = await self._client.send(call)
        except transport.CallNotSentError as error:
            self._record_failed_call(peer, request, "not sent", str(error))
            return None
        except transport.CallLostError as error:
            self._record_failed_call(peer, request, "no answer", str(error))
            return model.JobLookup(model.Outcome.UNKNOWN)
        try:
            if answer.status != _OK:
                raise _messages.MalformedMessageError(
                    f"status {answer.status}: {answer.body[:200]!r}"
                )
            result = _messages.decode_answer(request.kind, answer.body)
        except _messages.MalformedMessageError as error:
            # An instance of another build may not know such requests.
            self._record_failed_call(peer, request, "malformed", error.message)
            return model.JobLookup(model.Outcome.UNKNOWN)
        if result is not None and result.outcome in _messages.DEFINITE:
            self.directory.record_success(peer.name)
        else:
            self.directory.record_refusal(peer.name, self.now)
        outcome = "not here" if result is None else result.outcome.value
        self._record_call(peer, request, outcome, None)
        return result

    def _record_failed_call(
        self,
        peer: records.InstanceRecord,
        request: _messages.ForwardedRequest,
        outcome: str,
        reason: str,
    ) -> None:
        self.directory.record_silence(peer.name, self.now)
        self._record_call(peer, request, outcome, reason)

    def _record_call(
        self,
        peer: records.InstanceRecord,
        request: _messages.ForwardedRequest,
        outcome: str,
        reason: str | None,
    ) -> None:
        kind = request.kind.name.lower()
        self._metrics.forwarded_requests.labels(kind, outcome).inc()
        self._log.info(
            f"{kind}_forwarded",
            job=request.identifier,
            to=peer.name,
            outcome=outcome,
            reason=reason,
        )


class _Race:
    """One request with its attempts in progress."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: _messages.ForwardedRequest,
        deadline: datetime.timedelta,
        run_here: RunHere,
        forward_at: datetime.timedelta,
        may_forward: bool,
    ) -> None:
        self._forwarder = forwarder
        self._request = request
        self._deadline = deadline
        self._hold_until = (
            forwarder.now + (deadline - forwarder.now) * _HOLD_SHARE
        )
        self._run_here = run_here
        self._forward_at = forward_at
        self._may_forward = may_forward
        self._asked: list[records.InstanceRecord] = []
        self._calls: dict[
            asyncio.Task[model.JobLookup | None], records.InstanceRecord
        ] = {}
        self._here: asyncio.Task[model.JobLookup] | None = None
        self._retry_at: datetime.timedelta | None = None
        self._is_unknown = False

    async def run(self) -> model.JobLookup:
        """Returns the first definite result, or that there is none."""
        self._start_here()
        try:
            while True:
                self._forward_if_due()
                self._retry_if_due()
                if not self._is_in_progress:
                    return self._make_indefinite_result()
                await self._wait()
                result = self._collect_results()
                if result is not None:
                    return result
                if self._forwarder.now >= self._deadline:
                    self._is_unknown |= bool(self._calls)
                    if self._here is None:
                        return self._make_indefinite_result()
                    self._end_calls()
        finally:
            self._end_calls()
            if self._here is not None:
                self._here.cancel()

    def _start_here(self) -> None:
        self._retry_at = None
        self._here = asyncio.ensure_future(self._run_here())

    @property
    def _is_in_progress(self) -> bool:
        return self._here is not None or bool(self._calls) or self._is_held

    @property
    def _is_held(self) -> bool:
        """Whether to try again here though no other instance has the request.

        Only where others are known: if nothing is forwarded, the caller had
        better ask elsewhere. A read is worth no such wait, because its caller
        asks again.
        """
        return (
            not self._forwarder.directory.is_empty
            and self._request.kind is not _messages.Kind.STATE
            and self._retry_at is not None
            and self._retry_at < self._hold_until
        )

    def _retry_if_due(self) -> None:
        """Tries again here while another instance has the request."""
        if self._retry_at is None or not (self._calls or self._is_held):
            return
        now = self._forwarder.now
        if self._retry_at <= now < self._deadline - _MIN_TIMEOUT:
            self._start_here()

    def _forward_if_due(self) -> None:
        forwarder = self._forwarder
        now = forwarder.now
        while self._may_forward and now >= self._forward_at:
            timeout = self._deadline - now
            peer = self._choose_peer()
            if peer is None or timeout < _MIN_TIMEOUT:
                self._may_forward = False
                return
            body = forwarder.encode(
                self._request, timeout - _TRANSMISSION_TIME
            )
            if not forwarder.permits_call(peer, len(body)):
                self._may_forward = False
                return
            self._asked.append(peer)
            task = asyncio.ensure_future(
                forwarder.call_peer(peer, self._request, body, timeout)
            )
            self._calls[task] = peer
            self._forward_at = now + _ANSWER_TIME
            if len(self._asked) >= _MAX_PEERS_PER_REQUEST:
                self._may_forward = False

    def _choose_peer(self) -> records.InstanceRecord | None:
        """Returns the next instance to ask, or None.

        The instance asked before it has not answered in time.
        """
        now = self._forwarder.now
        for peer in self._calls.values():
            self._forwarder.directory.record_silence(peer.name, now)
        names = {peer.name for peer in self._asked}
        candidates = self._forwarder.directory.list_candidates(now)
        return next((p for p in candidates if p.name not in names), None)

    async def _wait(self) -> None:
        attempts = self._list_attempts()
        timeout_s = self._compute_wait_s()
        if attempts:
            await asyncio.wait(
                attempts,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        else:
            assert timeout_s is not None
            await asyncio.sleep(timeout_s)

    def _list_attempts(self) -> list[asyncio.Task[typing.Any]]:
        attempts: list[asyncio.Task[typing.Any]] = list(self._calls)
        if self._here is not None:
            attempts.append(self._here)
        return attempts

    def _compute_wait_s(self) -> float | None:
        now = self._forwarder.now
        if now >= self._deadline:
            # The attempt here ends by itself at the deadline.
            return None
        until = self._deadline
        if self._may_forward:
            until = min(until, self._forward_at)
        if self._retry_at is not None and self._retry_at > now:
            until = min(until, self._retry_at)
        return max(0.0, (until - now).total_seconds())

    def _collect_results(self) -> model.JobLookup | None:
        """Handles the attempts that have ended.

        Returns:
            A definite result; None if there is none.
        """
        if self._here is not None and self._here.done():
            here, self._here = self._here, None
            result = here.result()
            if result.outcome in _messages.DEFINITE:
                self._forwarder.record_success_here()
                return result
            self._is_unknown |= result.outcome is model.Outcome.UNKNOWN
            now = self._forwarder.now
            self._retry_at = now + _LOCAL_RETRY_PAUSE
            if not self._asked:
                # The store has failed, and waiting for it helps nobody.
                self._forward_at = min(self._forward_at, now)
        for task in [task for task in self._calls if task.done()]:
            del self._calls[task]
            answer = task.result()
            if answer is not None and answer.outcome in _messages.DEFINITE:
                return answer
            if answer is not None:
                self._is_unknown |= answer.outcome is model.Outcome.UNKNOWN
            if not self._calls:
                self._forward_at = self._forwarder.now
        return None

    def _make_indefinite_result(self) -> model.JobLookup:
        """Returns that the request may be carried out, or that it is not.

        A read changes nothing, so that its outcome is never unknown.
        """
        is_read = self._request.kind is _messages.Kind.STATE
        if self._is_unknown and not is_read:
            return model.JobLookup(model.Outcome.UNKNOWN)
        return model.JobLookup(model.Outcome.NOT_DONE)

    def _end_calls(self) -> None:
        for task in self._calls:
            task.cancel()
        self._calls.clear()
