"""Questions to an address without a lasting stream."""

import asyncio
import typing

import grpclib.client

from tamarackhatch import clock as clocks
from tamarackhatch import model
from tamarackhatch.peer import _authentication
from tamarackhatch.peer import _errors
from tamarackhatch.peer import _messages
from tamarackhatch.peer import _streams
from tamarackhatch.peer import _timing
from tamarackhatch.peer import peer_grpc
from tamarackhatch.peer import peer_pb2

_Stream: typing.TypeAlias = (
    "grpclib.client.Stream[peer_pb2.PeerRequest, peer_pb2.PeerReply]"
)


async def is_refused(
    clock: clocks.Clock,
    address: str,
    timing: _timing.PeerTiming = _timing.PeerTiming(),
) -> bool:
    """Tells whether nothing listens at an address of a machine that answers.

    Silence, and any other failure, proves nothing and gives False.
    """
    host, _, port = address.rpartition(":")
    try:
        _, writer = await _streams.run_within(
            clock,
            asyncio.open_connection(host, int(port)),
            timing.handshake_within,
        )
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        return False
    writer.close()
    return False


async def verify_address(
    clock: clocks.Clock,
    own: model.SessionRecord,
    key: bytes,
    timing: _timing.PeerTiming = _timing.PeerTiming(),
) -> None:
    """Checks that the address given to the peers leads to this process.

    Peers take a refused connection as proof that a process has ended, so a
    wrong address would let them claim the workers of a live owner.

    Raises:
        PeerUnavailableError: Another process answers there, or none.
    """
    host, _, port = own.peer_address.rpartition(":")
    channel = grpclib.client.Channel(host, int(port))
    try:
        async with peer_grpc.PeerStub(channel).Connect.open() as stream:
            peer = await _streams.run_within(
                clock, _ask_name(stream, own, key), timing.handshake_within
            )
            await stream.cancel()
    except (
        TimeoutError,
        _streams.StreamClosedError,
        *_streams.STREAM_ERRORS,
    ) as error:
        raise _errors.PeerUnavailableError(
            f"own address {own.peer_address}: {error}"
        ) from error
    finally:
        channel.close()
    if peer.incarnation != own.incarnation:
        raise _errors.PeerUnavailableError(
            f"own address {own.peer_address} leads to {peer.instance}"
        )


async def _ask_name(
    stream: _Stream, own: model.SessionRecord, key: bytes
) -> model.SessionRecord:
    """Makes the first half of a handshake; returns who answered."""
    await stream.send_request()
    _streams.MessageLimit(stream, _timing.MAX_HELLO_BYTES)
    hello = _messages.build_hello(own, _authentication.make_nonce())
    await stream.send_message(peer_pb2.PeerRequest(hello=hello))
    reply = await stream.recv_message()
    if reply is None:
        raise _streams.StreamClosedError("ended")
    _authentication.check_proof(
        key, _authentication.Side.LISTENER, reply.hello, hello
    )
    return _messages.parse_hello(reply.hello)
