"""Decides which connections are closed when a process has too many.

Answers the load in which clients send more at once than the process can keep,
or open connections that they do not use: those that use most go first, so that
an ordinary request is served beside any number of them.
"""

import collections
from collections.abc import Collection
import enum

import attrs

from tamarackhatch.connections import _connection


class DropReason(enum.Enum):
    """Why a connection is closed before its request is complete.

    Attributes:
        MEMORY: The requests of all connections need too much memory.
        CONNECTIONS: There are too many connections.
        TIMEOUT: The connection has used up its time.
    """

    MEMORY = "memory"
    CONNECTIONS = "connections"
    TIMEOUT = "timeout"


@attrs.frozen
class ConnectionBudget:
    """What the clients of all servers may use together.

    Attributes:
        max_connections: Number of connections.
        max_bytes: What their requests may count for, in bytes.
    """

    max_connections: int
    max_bytes: int

    def choose_for_memory(
        self, connections: Collection[_connection.Connection]
    ) -> list[_connection.Connection]:
        """Returns the connections to close so that the others fit.

        Of the requests that have not arrived completely, the largest go
        first, and of equal ones the oldest.

        Args:
            connections: All connections.
        """
        excess = sum(item.charge for item in connections) - self.max_bytes
        chosen: list[_connection.Connection] = []
        if excess <= 0:
            return chosen
        incomplete = [item for item in connections if item.is_droppable]
        incomplete.sort(key=lambda item: (-item.charge, item.since))
        for item in incomplete:
            if excess <= 0 or not item.charge:
                break
            excess -= item.charge
            chosen.append(item)
        return chosen

    def choose_for_admission(
        self, connections: Collection[_connection.Connection]
    ) -> _connection.Connection | None:
        """Returns the connection to close before another one is accepted.

        It is one of the server with the most connections, so that a crowd at
        one server closes no connections of the others.

        Args:
            connections: All connections, not fewer than the limit.

        Returns:
            The connection from which nothing has arrived for the longest
            time; None if all are in use.
        """
        droppable = [item for item in connections if item.is_droppable]
        if not droppable:
            return None
        counts = collections.Counter(item.server for item in droppable)
        largest = max(counts, key=lambda server: counts[server])
        return min(
            (item for item in droppable if item.server == largest),
            key=lambda item: item.last_read,
        )

    def may_receive(
        self, connections: Collection[_connection.Connection], size: int
    ) -> bool:
        """Returns whether a body fits beside the requests being handled.

        Args:
            connections: All connections.
            size: Announced size of the body, in bytes.
        """
        handled = sum(
            item.charge for item in connections if not item.is_droppable
        )
        return handled + size <= self.max_bytes
