"""Limits of what clients may use of a process: memory and connections."""

from tamarackhatch.connections._budget import ConnectionBudget
from tamarackhatch.connections._budget import DropReason
from tamarackhatch.connections._connection import Connection
from tamarackhatch.connections._connection import Phase
from tamarackhatch.connections._connection import ServerLimits
from tamarackhatch.connections._delegate import RequestReceiver
from tamarackhatch.connections._guard import ConnectionGuard
from tamarackhatch.connections._server import GuardedServer
from tamarackhatch.connections._server import Handler
from tamarackhatch.connections._stream import MeteredStream

__all__ = [
    "Connection",
    "ConnectionBudget",
    "ConnectionGuard",
    "DropReason",
    "GuardedServer",
    "Handler",
    "MeteredStream",
    "Phase",
    "RequestReceiver",
    "ServerLimits",
]
