"""A socket stream that tells how much arrives on it."""

from collections.abc import Callable
import socket
import typing

from tornado import iostream

from tamarackhatch.connections import _connection


class MeteredStream(iostream.IOStream):
    """Stream of a client's connection.

    Attributes:
        connection: The connection.
    """

    def __init__(
        self,
        client_socket: socket.socket,
        connection: _connection.Connection,
        on_read: Callable[["MeteredStream", int], None],
        **arguments: typing.Any,
    ) -> None:
        """Creates the stream.

        Args:
            client_socket: The connected socket.
            connection: The connection.
            on_read: Called with the number of bytes that have arrived.
            **arguments: Further arguments of Tornado's stream.
        """
        super().__init__(client_socket, **arguments)
        self.connection = connection
        self._on_read = on_read

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads what has arrived; Tornado calls this."""
        size = super().read_from_fd(buf)
        if size:
            self._on_read(self, size)
        return size
