"""Health of an instance, and forwarding of requests between instances."""

from tamarackhatch.entry._discovery import Discovery
from tamarackhatch.entry._fitness import Cause
from tamarackhatch.entry._fitness import FitnessMonitor
from tamarackhatch.entry._fitness import Reading
from tamarackhatch.entry._forwarder import Forwarder
from tamarackhatch.entry._node import CallCounter
from tamarackhatch.entry._node import EntryNode
from tamarackhatch.entry._peers import PeerDirectory
from tamarackhatch.entry._peers import ReadInstance
from tamarackhatch.entry._receiver import MAX_BODY_BYTES
from tamarackhatch.entry._receiver import Receiver
from tamarackhatch.entry._trigger import ForwardingTrigger

__all__ = [
    "CallCounter",
    "Cause",
    "Discovery",
    "EntryNode",
    "FitnessMonitor",
    "Forwarder",
    "ForwardingTrigger",
    "MAX_BODY_BYTES",
    "PeerDirectory",
    "ReadInstance",
    "Reading",
    "Receiver",
]
