"""Mutual authentication of peers by a shared key."""

import enum
import hashlib
import hmac
import secrets

from tamarackhatch.peer import _errors
from tamarackhatch.peer import peer_pb2

_NONCE_BYTES = 32


class Side(enum.Enum):
    """Which end of the stream proves itself.

    The proof covers the side, so that a proof cannot be sent back to the end
    that made it.
    """

    DIALLER = "dialler"
    LISTENER = "listener"


def make_nonce() -> bytes:
    """Returns a fresh random nonce."""
    return secrets.token_bytes(_NONCE_BYTES)


def make_proof(
    key: bytes, side: Side, own: peer_pb2.Hello, other: peer_pb2.Hello
) -> bytes:
    """Returns the HMAC-SHA256 over both hellos, without their proofs."""
    mac = hmac.new(key, digestmod=hashlib.sha256)
    fields = [side.value.encode()]
    for hello in (own, other):
        fields += [
            hello.nonce,
            hello.instance.encode(),
            hello.incarnation.encode(),
            hello.data_centre.encode(),
            hello.region.encode(),
            hello.peer_address.encode(),
        ]
    for field in fields:
        # The length keeps neighbouring fields apart.
        mac.update(len(field).to_bytes(4, "big"))
        mac.update(field)
    return mac.digest()


def check_proof(
    key: bytes, side: Side, sender: peer_pb2.Hello, receiver: peer_pb2.Hello
) -> None:
    """Checks the proof in the sender's hello.

    Raises:
        BadPeerMessageError: The nonce is too short.
        PeerUnauthenticatedError: The proof is wrong.
    """
    if len(sender.nonce) < _NONCE_BYTES:
        raise _errors.BadPeerMessageError("Hello.nonce", "too short")
    expected = make_proof(key, side, sender, receiver)
    if not hmac.compare_digest(expected, sender.proof):
        raise _errors.PeerUnauthenticatedError(
            f"{sender.instance or 'a peer'} does not know the shared key"
        )
