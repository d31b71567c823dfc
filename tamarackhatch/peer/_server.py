"""The listener for the streams that peers dial."""

import asyncio
from collections.abc import Callable
import datetime
import socket
import typing

from absl import logging
import grpclib
import grpclib.server

from tamarackhatch import clock as clocks
from tamarackhatch import errors
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
    "grpclib.server.Stream[peer_pb2.PeerRequest, peer_pb2.PeerReply]"
)
_BACKLOG = 128
# Room for the fields around the content of the largest message.
_SLACK_BYTES = 1_024


def bind_listener(host: str, port: int) -> socket.socket:
    """Returns a listening socket, so that the address is known early.

    Its connections wait until the server starts. The session must be created
    after this, because a refused connection counts as proof that the process
    behind an address has ended.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(_BACKLOG)
    listener.setblocking(False)
    return listener


def get_address(listener: socket.socket) -> str:
    """Returns ``host:port`` of a bound socket."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


class _Session:
    """State of one accepted stream."""

    def __init__(
        self,
        own: model.SessionRecord,
        peer: model.SessionRecord,
        timing: _timing.PeerTiming,
    ) -> None:
        self.own = own
        self.peer = peer
        self.outbox: _streams.Outbox[peer_pb2.PeerReply] = _streams.Outbox()
        self.assembler = _messages.Assembler(
            timing.max_body, timing.max_pending
        )
        self.serving = 0
        self.heard_at = datetime.timedelta()


class PeerServer(peer_grpc.PeerBase):
    """Accepts streams of peers that prove the shared key.

    Args:
        clock: Source of time.
        membership: Where news of peers go.
        handlers: What serves requests and takes loads and notices.
        key: The shared key.
        get_meter: Returns the meter for a peer of a region.
        timing: Durations and limits.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        membership: _seams.PeerMembership,
        handlers: _seams.PeerHandlers,
        key: bytes,
        get_meter: Callable[[str], _streams.Meter],
        timing: _timing.PeerTiming = _timing.PeerTiming(),
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._handlers = handlers
        self._key = key
        self._get_meter = get_meter
        self._timing = timing
        self._server: grpclib.server.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()

    async def start(self, listener: socket.socket) -> None:
        """Starts to accept streams on a bound socket."""
        self._server = grpclib.server.Server([self])
        await self._server.start(sock=listener)

    async def close(self) -> None:
        """Closes the listener and all streams.

        The session must have ended before: from now on peers take this
        process as one that cannot fence or own anything.
        """
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        for task in tuple(self._serving):
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def Connect(self, stream: _Stream) -> None:
        """Serves one stream until it ends."""
        name = "an unknown peer"
        try:
            session = await _streams.run_within(
                self._clock,
                self._shake_hands(stream),
                self._timing.handshake_within,
            )
            name = session.peer.instance
            meter = self._get_meter(session.peer.region)
            await _streams.run_until_first(
                self._read(stream, session, meter),
                self._watch(session),
                _streams.write_messages(
                    self._clock, session.outbox, stream.send_message, meter
                ),
            )
        except _errors.PeerUnauthenticatedError as error:
            logging.warning("peer: stream refused: %s", error)
            raise grpclib.GRPCError(
                grpclib.Status.UNAUTHENTICATED, error.message
            ) from error
        except _errors.BadPeerMessageError as error:
            logging.warning("peer: stream of %s closed: %s", name, error)
            raise grpclib.GRPCError(
                grpclib.Status.INVALID_ARGUMENT, error.message
            ) from error
        except TimeoutError as error:
            raise grpclib.GRPCError(
                grpclib.Status.DEADLINE_EXCEEDED, "no hello"
            ) from error
        except (
            _streams.StreamClosedError,
            *_streams.STREAM_ERRORS,
        ) as error:
            logging.info("peer: stream of %s ended: %s", name, error)

    async def _shake_hands(self, stream: _Stream) -> _Session:
        limit = _streams.MessageLimit(stream, _timing.MAX_HELLO_BYTES)
        own = self._membership.get_own_record()
        meter = self._get_meter(own.region)
        first = await self._receive_hello(stream, meter)
        hello = _messages.build_hello(own, _authentication.make_nonce())
        hello.proof = _authentication.make_proof(
            self._key, _authentication.Side.LISTENER, hello, first
        )
        await stream.send_message(peer_pb2.PeerReply(hello=hello))
        second = await self._receive_hello(stream, meter)
        if second.nonce != first.nonce:
            raise _errors.BadPeerMessageError("Hello.nonce", "changed")
        _authentication.check_proof(
            self._key, _authentication.Side.DIALLER, second, hello
        )
        peer = _messages.parse_hello(second)
        limit.set_limit(_timing.MAX_MESSAGE_BYTES)
        self._membership.accept_hello(peer)
        logging.info("peer: accepted %s of %s", peer.instance, peer.region)
        return _Session(own, peer, self._timing)

    async def _receive_hello(
        self, stream: _Stream, meter: _streams.Meter
    ) -> peer_pb2.Hello:
        request = await _streams.receive_message(stream.recv_message, meter)
        if request.WhichOneof("message") != "hello":
            raise _errors.BadPeerMessageError("PeerRequest", "no hello")
        return request.hello

    async def _watch(self, session: _Session) -> None:
        """Ends a stream that is silent, or whose session was replaced."""
        session.heard_at = self._clock.get_monotonic()
        limit = self._timing.summary_every + self._timing.silent_after
        while True:
            await self._clock.sleep(self._timing.check_every)
            now = self._clock.get_monotonic()
            own = self._membership.get_own_record()
            if own.incarnation != session.own.incarnation:
                raise _streams.StreamClosedError("own session was replaced")
            if now - session.heard_at >= limit:
                raise _streams.StreamClosedError("silent")

    async def _read(
        self, stream: _Stream, session: _Session, meter: _streams.Meter
    ) -> None:
        while True:
            request = await _streams.receive_message(
                stream.recv_message, meter
            )
            session.heard_at = self._clock.get_monotonic()
            kind = request.WhichOneof("message")
            if kind == "heartbeat":
                self._take_heartbeat(session, request.heartbeat)
            elif kind == "forward":
                self._serve(
                    session, session.assembler.add_forward(request.forward)
                )
            elif kind == "forward_body":
                self._serve(
                    session,
                    session.assembler.add_request_body(request.forward_body),
                )
            elif kind == "work_notice":
                workers = tuple(request.work_notice.workers)
                self._membership.note_work(workers)
                self._handlers.note_work(workers)
            elif kind == "configuration_fetch":
                self._send_configuration(
                    session, request.configuration_fetch.version
                )
            elif kind == "goodbye":
                self._membership.note_goodbye(session.peer.incarnation)
                raise _streams.StreamClosedError("goodbye")
            else:
                raise _errors.BadPeerMessageError("PeerRequest", str(kind))

    def _take_heartbeat(
        self, session: _Session, heartbeat: peer_pb2.Heartbeat
    ) -> None:
        peer = session.peer
        state = _messages.parse_state(heartbeat.session_state)
        loads = _messages.parse_loads(heartbeat)
        self._membership.note_state(peer.instance, peer.incarnation, state)
        if loads or heartbeat.dropped_workers:
            self._handlers.update_loads(
                peer.instance, loads, tuple(heartbeat.dropped_workers)
            )
        self._handlers.note_configuration(
            peer.instance, heartbeat.configuration_version
        )
        age = self._membership.get_store_age()
        reply = peer_pb2.HeartbeatReply(
            sequence=heartbeat.sequence,
            promise=self._membership.give_promise(peer.incarnation),
            store_age_ms=int(age.total_seconds() * 1000) if age else 0,
        )
        session.outbox.add(
            [peer_pb2.PeerReply(heartbeat_reply=reply)],
            _streams.Priority.CONTROL,
        )

    def _send_configuration(self, session: _Session, version: int) -> None:
        content = self._handlers.read_configuration(version) or b""
        copy = peer_pb2.ConfigurationCopy(version=version, content=content)
        if copy.ByteSize() > _timing.MAX_MESSAGE_BYTES - _SLACK_BYTES:
            logging.error("peer: configuration %d is too large", version)
            copy.content = b""
        session.outbox.add(
            [peer_pb2.PeerReply(configuration_copy=copy)],
            _streams.Priority.SERVICE,
        )

    def _serve(
        self, session: _Session, forwarded: _messages.Forwarded | None
    ) -> None:
        """Starts to serve a whole request.

        Its task outlives the stream: a request that runs on a runner is not
        cut off because the peer that asked for it was lost.
        """
        if forwarded is None:
            return
        if session.serving >= self._timing.max_pending:
            answer = model.ServiceAnswer(
                model.Outcome.NOT_RUN,
                503,
                code=errors.ErrorCode.QUEUE_FULL,
                reason="too many forwarded requests",
            )
            self._send_answer(session, forwarded.correlation, answer)
            return
        session.serving += 1
        task = asyncio.get_running_loop().create_task(
            self._serve_request(session, forwarded)
        )
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve_request(
        self, session: _Session, forwarded: _messages.Forwarded
    ) -> None:
        try:
            answer = await self._handlers.serve_forwarded(
                forwarded.worker, forwarded.request
            )
        except errors.CodedError as error:
            logging.error("peer: forwarded request failed: %s", error)
            answer = model.ServiceAnswer(
                model.Outcome.UNKNOWN,
                502,
                code=error.code,
                reason=error.message,
            )
        finally:
            session.serving -= 1
        self._send_answer(session, forwarded.correlation, answer)

    def _send_answer(
        self,
        session: _Session,
        correlation: int,
        answer: model.ServiceAnswer,
    ) -> None:
        if len(answer.body) > self._timing.max_body:
            answer = model.ServiceAnswer(
                model.Outcome.UNKNOWN,
                502,
                code=errors.ErrorCode.BODY_TOO_LARGE,
                reason="answer too large to forward",
            )
        session.outbox.add(
            _messages.split_answer(correlation, answer),
            _streams.Priority.SERVICE,
        )
