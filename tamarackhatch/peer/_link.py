"""The stream that this instance dials to one peer."""

import asyncio
import datetime
import random
import typing

from absl import logging
import attrs
import grpclib.client

from tamarackhatch import clock as clocks
from tamarackhatch import model
from tamarackhatch.peer import _authentication
from tamarackhatch.peer import _errors
from tamarackhatch.peer import _messages
from tamarackhatch.peer import _seams
from tamarackhatch.peer import _streams
from tamarackhatch.peer import _timing
from tamarackhatch.peer import peer_grpc
from tamarackhatch.peer import peer_pb2

_Stream: typing.TypeAlias = (
    "grpclib.client.Stream[peer_pb2.PeerRequest, peer_pb2.PeerReply]"
)
_JITTER = 0.5


@attrs.define(eq=False)
class _Pending:
    """A forwarded request that waits for its answer."""

    answer: asyncio.Future[model.ServiceAnswer]
    item: _streams.Outgoing[peer_pb2.PeerRequest]


class _Session:
    """State of one open stream; a new stream starts with a new one."""

    def __init__(
        self,
        own: model.SessionRecord,
        peer: model.SessionRecord,
        timing: _timing.PeerTiming,
    ) -> None:
        self.own = own
        self.peer = peer
        self.outbox: _streams.Outbox[peer_pb2.PeerRequest] = _streams.Outbox()
        self.assembler = _messages.Assembler(
            timing.max_body, timing.max_pending
        )
        # Times of unanswered heartbeats; the first is the oldest.
        self.sent_at: dict[int, datetime.timedelta] = {}
        self.loads: dict[str, model.RunnerLoad] = {}
        self.pending: dict[int, _Pending] = {}
        self.copies: dict[int, list[asyncio.Future[bytes | None]]] = {}
        self.is_accepted = False


class PeerLink:
    """Keeps one stream to one peer open, in one task.

    Args:
        clock: Source of time.
        target: The peer; a new incarnation needs a new link.
        membership: Where news of the peer go.
        handlers: Source of loads and of the configuration version.
        key: The shared key.
        meter: Counter and budget of bytes.
        timing: Durations and limits.
        jitter: Source of randomness for the backoff.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        target: model.SessionRecord,
        membership: _seams.PeerMembership,
        handlers: _seams.PeerHandlers,
        key: bytes,
        meter: _streams.Meter,
        timing: _timing.PeerTiming = _timing.PeerTiming(),
        jitter: random.Random = random.Random(),
    ) -> None:
        self._clock = clock
        self._target = target
        self._membership = membership
        self._handlers = handlers
        self._key = key
        self._meter = meter
        self._timing = timing
        self._jitter = jitter
        self._session: _Session | None = None
        self._is_open = asyncio.Event()
        self._last_failure = "not dialled yet"
        self._correlation = 0
        self._sequence = 0
        self._used_at = clock.get_monotonic()

    @property
    def target(self) -> model.SessionRecord:
        """The peer, as its last hello described it."""
        return self._target

    @property
    def is_open(self) -> bool:
        """Whether the peer has accepted the stream."""
        return self._is_open.is_set()

    @property
    def is_busy(self) -> bool:
        """Whether requests wait for answers."""
        return bool(self._session and self._session.pending)

    @property
    def used_at(self) -> datetime.timedelta:
        """Monotonic time of the last forwarded request."""
        return self._used_at

    async def run(self) -> None:
        """Dials the peer again and again until cancelled."""
        backoff = self._timing.backoff_first
        while True:
            dialled_at = self._clock.get_monotonic()
            try:
                await self._keep_stream()
            except ConnectionRefusedError:
                self._note_failure("connection refused")
                self._membership.note_refused(self._target.incarnation)
            except _errors.PeerUnauthenticatedError as error:
                self._note_failure(str(error))
                backoff = self._timing.backoff_last
            except (
                _errors.BadPeerMessageError,
                _streams.StreamClosedError,
                TimeoutError,
                *_streams.STREAM_ERRORS,
            ) as error:
                self._note_failure(str(error) or type(error).__name__)
            lasted = self._clock.get_monotonic() - dialled_at
            if lasted > self._timing.backoff_last:
                backoff = self._timing.backoff_first
            spread = 1.0 - _JITTER * self._jitter.random()
            await self._clock.sleep(backoff * spread)
            backoff = min(2 * backoff, self._timing.backoff_last)

    async def forward_request(
        self, worker: str, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        """Sends a request to the peer and returns its answer.

        Raises:
            PeerUnavailableError: The request was not sent as a whole.
            PeerOutcomeUnknownError: The request may have run.
        """
        left = request.deadline - self._clock.get_utc()
        self._used_at = self._clock.get_monotonic()
        session = await self._wait_open(left)
        self._check_size(request)
        if len(session.pending) >= self._timing.max_pending:
            raise _errors.PeerUnavailableError(
                f"{self._target.instance}: too many requests in flight"
            )
        self._correlation += 1
        correlation = self._correlation
        item = session.outbox.add(
            _messages.split_forward(correlation, worker, request),
            _streams.Priority.SERVICE,
        )
        answer: asyncio.Future[model.ServiceAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        session.pending[correlation] = _Pending(answer, item)
        left = request.deadline - self._clock.get_utc()
        try:
            return await _streams.run_within(
                self._clock, answer, left + self._timing.answer_grace
            )
        except TimeoutError as error:
            self._raise_unanswered(item, "no answer by the deadline", error)
        finally:
            session.pending.pop(correlation, None)
            session.outbox.withdraw(item)

    async def fetch_configuration(self, version: int) -> bytes | None:
        """Returns a configuration version as the peer has it, or None.

        Raises:
            PeerUnavailableError: No answer came.
        """
        session = await self._wait_open(self._timing.handshake_within)
        copy: asyncio.Future[bytes | None] = (
            asyncio.get_running_loop().create_future()
        )
        session.copies.setdefault(version, []).append(copy)
        fetch = peer_pb2.ConfigurationFetch(version=version)
        session.outbox.add(
            [peer_pb2.PeerRequest(configuration_fetch=fetch)],
            _streams.Priority.CONTROL,
        )
        try:
            return await _streams.run_within(
                self._clock, copy, self._timing.handshake_within
            )
        except TimeoutError as error:
            raise _errors.PeerUnavailableError(
                f"{self._target.instance}: no configuration copy"
            ) from error

    def notify_work(self, workers: tuple[str, ...]) -> None:
        """Tells the peer that the rows of workers changed, if connected.

        A peer that misses the notice finds the change by its next scan.
        """
        if self._session is not None and self.is_open:
            notice = peer_pb2.WorkNotice(workers=workers)
            self._session.outbox.add(
                [peer_pb2.PeerRequest(work_notice=notice)],
                _streams.Priority.CONTROL,
            )

    async def say_goodbye(self, reason: str) -> None:
        """Tells the peer that this instance has ended its session."""
        session = self._session
        if session is None or not self.is_open:
            return
        goodbye = peer_pb2.Goodbye(reason=reason)
        session.outbox.add(
            [peer_pb2.PeerRequest(goodbye=goodbye)], _streams.Priority.CONTROL
        )
        await session.outbox.wait_idle()

    async def _keep_stream(self) -> None:
        """Dials, proves both identities, and serves until an error."""
        host, _, port = self._target.peer_address.rpartition(":")
        channel = grpclib.client.Channel(host, int(port))
        try:
            async with peer_grpc.PeerStub(channel).Connect.open() as stream:
                session = await _streams.run_within(
                    self._clock,
                    self._shake_hands(stream),
                    self._timing.handshake_within,
                )
                self._session = session
                try:
                    await _streams.run_until_first(
                        self._read(stream, session),
                        self._beat(session),
                        _streams.write_messages(
                            self._clock,
                            session.outbox,
                            stream.send_message,
                            self._meter,
                        ),
                    )
                finally:
                    self._close_session(session)
        finally:
            channel.close()

    async def _shake_hands(self, stream: _Stream) -> _Session:
        own = self._membership.get_own_record()
        await stream.send_request()
        _streams.MessageLimit(stream, _timing.MAX_MESSAGE_BYTES)
        hello = _messages.build_hello(own, _authentication.make_nonce())
        await stream.send_message(peer_pb2.PeerRequest(hello=hello))
        reply = await _streams.receive_message(
            stream.recv_message, self._meter
        )
        if reply.WhichOneof("message") != "hello":
            raise _errors.BadPeerMessageError("PeerReply", "no hello")
        _authentication.check_proof(
            self._key, _authentication.Side.LISTENER, reply.hello, hello
        )
        peer = _messages.parse_hello(reply.hello)
        self._membership.note_hello_answer(peer)
        if peer.instance != self._target.instance:
            raise _streams.StreamClosedError(
                f"{self._target.peer_address} is now {peer.instance}"
            )
        self._target = peer
        hello.proof = _authentication.make_proof(
            self._key, _authentication.Side.DIALLER, hello, reply.hello
        )
        await stream.send_message(peer_pb2.PeerRequest(hello=hello))
        return _Session(own, peer, self._timing)

    async def _beat(self, session: _Session) -> None:
        """Sends heartbeats, and ends a stream that is silent or outdated."""
        due = self._clock.get_monotonic()
        while True:
            now = self._clock.get_monotonic()
            own = self._membership.get_own_record()
            if own.incarnation != session.own.incarnation:
                raise _streams.StreamClosedError("own session was replaced")
            oldest = next(iter(session.sent_at.values()), None)
            if oldest is not None and (
                now - oldest >= self._timing.silent_after
            ):
                raise _streams.StreamClosedError("silent")
            if now >= due:
                self._queue_heartbeat(session, own)
                is_far = self._meter.bucket is not None
                due = now + (
                    self._timing.summary_every
                    if is_far
                    else self._timing.heartbeat_every
                )
            await self._clock.sleep(min(due - now, self._timing.check_every))

    def _queue_heartbeat(
        self, session: _Session, own: model.SessionRecord
    ) -> None:
        self._sequence += 1
        sequence = self._sequence
        heartbeat = peer_pb2.Heartbeat(
            sequence=sequence,
            session_counter=own.counter,
            configuration_version=self._handlers.get_configuration_version(),
            session_state=own.state.value,
        )
        self._add_loads(session, heartbeat)
        # The promise counts from before the heartbeat leaves this process.
        session.sent_at[sequence] = self._clock.get_monotonic()
        session.outbox.add(
            [peer_pb2.PeerRequest(heartbeat=heartbeat)],
            _streams.Priority.CONTROL,
        )

    def _add_loads(
        self, session: _Session, heartbeat: peer_pb2.Heartbeat
    ) -> None:
        """Adds what changed, unless service answers need the budget."""
        loads = {load.worker: load for load in self._handlers.list_loads()}
        changed = [
            load
            for worker, load in loads.items()
            if session.loads.get(worker) != load
        ]
        dropped = [worker for worker in session.loads if worker not in loads]
        summary = peer_pb2.Heartbeat(
            loads=[_messages.build_load(load) for load in changed],
            dropped_workers=dropped,
        )
        size = summary.ByteSize()
        bucket = self._meter.bucket
        if bucket is not None and not bucket.has_tokens(
            size, _timing.CHUNK_BYTES
        ):
            logging.info("peer: summary put off, %d bytes", size)
            return
        heartbeat.MergeFrom(summary)
        session.loads = loads

    async def _read(self, stream: _Stream, session: _Session) -> None:
        while True:
            reply = await _streams.receive_message(
                stream.recv_message, self._meter
            )
            kind = reply.WhichOneof("message")
            if kind == "heartbeat_reply":
                self._take_heartbeat_reply(session, reply.heartbeat_reply)
            elif kind == "forward_answer":
                self._take_answer(
                    session, session.assembler.add_answer(reply.forward_answer)
                )
            elif kind == "forward_body":
                self._take_answer(
                    session,
                    session.assembler.add_answer_body(reply.forward_body),
                )
            elif kind == "configuration_copy":
                copy = reply.configuration_copy
                for waiter in session.copies.pop(copy.version, []):
                    if not waiter.done():
                        waiter.set_result(copy.content or None)
            elif kind == "goodbye":
                self._membership.note_goodbye(session.peer.incarnation)
                raise _streams.StreamClosedError("goodbye")
            else:
                raise _errors.BadPeerMessageError("PeerReply", str(kind))

    def _take_heartbeat_reply(
        self, session: _Session, reply: peer_pb2.HeartbeatReply
    ) -> None:
        sent_at = session.sent_at.pop(reply.sequence, None)
        if sent_at is None:
            raise _errors.BadPeerMessageError(
                "HeartbeatReply.sequence", "no such heartbeat"
            )
        if not session.is_accepted:
            session.is_accepted = True
            self._membership.note_accepted(
                session.own.incarnation, session.peer.incarnation
            )
            self._is_open.set()
            logging.info("peer: stream to %s is open", session.peer.instance)
        if reply.promise:
            self._membership.note_promise(
                session.own.incarnation, session.peer.incarnation, sent_at
            )

    def _take_answer(
        self, session: _Session, answered: _messages.Answered | None
    ) -> None:
        if answered is None:
            return
        pending = session.pending.get(answered.correlation)
        # The caller of a late answer has gone.
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(answered.answer)

    async def _wait_open(self, within: datetime.timedelta) -> _Session:
        """Returns the open stream's state, or raises PeerUnavailableError."""
        limit = min(within, self._timing.handshake_within)
        if not self._is_open.is_set() and limit > datetime.timedelta():
            try:
                await _streams.run_within(
                    self._clock, self._is_open.wait(), limit
                )
            except TimeoutError:
                pass
        if self._session is None or not self._is_open.is_set():
            raise _errors.PeerUnavailableError(
                f"{self._target.instance}: {self._last_failure}"
            )
        return self._session

    def _check_size(self, request: model.ServiceRequest) -> None:
        header_bytes = sum(len(n) + len(v) for n, v in request.headers)
        if (
            len(request.body) > self._timing.max_body
            or header_bytes > _timing.MAX_HEADER_BYTES
        ):
            raise _errors.PeerUnavailableError(
                f"{self._target.instance}: request too large to forward"
            )

    def _close_session(self, session: _Session) -> None:
        self._session = None
        self._is_open.clear()
        for pending in session.pending.values():
            if pending.answer.done():
                continue
            reason = f"{self._target.instance}: stream lost"
            pending.answer.set_exception(
                _errors.PeerOutcomeUnknownError(reason)
                if pending.item.is_last_begun
                else _errors.PeerUnavailableError(reason)
            )
        for waiters in session.copies.values():
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def _note_failure(self, reason: str) -> None:
        if reason != self._last_failure:
            logging.info("peer: %s: %s", self._target.instance, reason)
        self._last_failure = reason

    def _raise_unanswered(
        self,
        item: _streams.Outgoing[peer_pb2.PeerRequest],
        reason: str,
        cause: BaseException,
    ) -> typing.NoReturn:
        text = f"{self._target.instance}: {reason}"
        if item.is_last_begun:
            raise _errors.PeerOutcomeUnknownError(text) from cause
        raise _errors.PeerUnavailableError(text) from cause
