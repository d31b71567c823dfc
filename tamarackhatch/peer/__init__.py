"""Protocol between entry instances."""

from tamarackhatch.peer._budget import ByteCounter
from tamarackhatch.peer._budget import TokenBucket
from tamarackhatch.peer._errors import BadPeerMessageError
from tamarackhatch.peer._errors import PeerOutcomeUnknownError
from tamarackhatch.peer._errors import PeerUnauthenticatedError
from tamarackhatch.peer._errors import PeerUnavailableError
from tamarackhatch.peer._link import PeerLink
from tamarackhatch.peer._network import PeerNetwork
from tamarackhatch.peer._probe import is_refused
from tamarackhatch.peer._probe import verify_address
from tamarackhatch.peer._seams import Forwarder
from tamarackhatch.peer._seams import PeerHandlers
from tamarackhatch.peer._seams import PeerMembership
from tamarackhatch.peer._server import bind_listener
from tamarackhatch.peer._server import get_address
from tamarackhatch.peer._server import PeerServer
from tamarackhatch.peer._timing import PeerTiming

__all__ = [
    "BadPeerMessageError",
    "ByteCounter",
    "Forwarder",
    "PeerHandlers",
    "PeerLink",
    "PeerMembership",
    "PeerNetwork",
    "PeerOutcomeUnknownError",
    "PeerServer",
    "PeerTiming",
    "PeerUnauthenticatedError",
    "PeerUnavailableError",
    "TokenBucket",
    "bind_listener",
    "get_address",
    "is_refused",
    "verify_address",
]
