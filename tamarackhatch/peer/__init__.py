"""Protocol between entry instances."""

from tamarackhatch.peer._errors import PeerOutcomeUnknownError
from tamarackhatch.peer._errors import PeerUnavailableError
from tamarackhatch.peer._seams import Forwarder
from tamarackhatch.peer._seams import PeerHandlers

__all__ = [
    "Forwarder",
    "PeerHandlers",
    "PeerOutcomeUnknownError",
    "PeerUnavailableError",
]
