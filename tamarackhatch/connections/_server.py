"""HTTP server whose connections are kept within the budget of the process."""

from collections.abc import Callable
import sys
import typing

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from tamarackhatch.connections import _connection
from tamarackhatch.connections import _delegate
from tamarackhatch.connections import _guard
from tamarackhatch.connections import _stream

# A header of up to so many times its limit is answered; beyond that the
# connection is closed.
_MAX_HEADER_FACTOR = 2
# A connection buffers no more than this beyond its header or body.
_READ_BYTES = 16_384

Handler = (
    httputil.HTTPServerConnectionDelegate
    | Callable[[httputil.HTTPServerRequest], None]
)


class GuardedServer(httpserver.HTTPServer):
    """HTTP server that passes on only whole requests within its limits."""

    def initialize(  # type: ignore[override]
        self,
        handler: Handler,
        name: str,
        guard: _guard.ConnectionGuard,
    ) -> None:
        """Initialises the server; Tornado calls this with its arguments.

        Args:
            handler: Handles the requests.
            name: Name of the server, under which the guard knows its limits.
            guard: Guard of the process.
        """
        super().initialize(
            handler,
            # Larger bodies are refused with an answer, by their receiver.
            max_body_size=sys.maxsize,
            chunk_size=_READ_BYTES,
        )
        self._name = name
        self._guard = guard

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[typing.Any, ...]
    ) -> None:
        """Serves a new connection, unless there are too many."""
        if not self._guard.may_accept():
            stream.close()
            return
        connection = _connection.Connection(self._name)
        self.conn_params.max_header_size = (
            _MAX_HEADER_FACTOR * self._guard.get_limits(connection).max_header
        )
        metered = _stream.MeteredStream(
            stream.socket,
            connection,
            self._guard.record_read,
            read_chunk_size=_READ_BYTES,
        )
        self._guard.add(metered)
        super().handle_stream(metered, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the receiver of a connection's next request."""
        stream = _get_stream(server_conn)
        self._guard.begin_request(stream.connection)
        return _delegate.RequestReceiver(
            super().start_request(server_conn, request_conn),
            request_conn,
            stream,
            self._guard,
        )

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection that is closed."""
        self._guard.remove(_get_stream(server_conn).connection)
        super().on_close(server_conn)


def _get_stream(server_conn: object) -> _stream.MeteredStream:
    stream = getattr(server_conn, "stream")
    assert isinstance(stream, _stream.MeteredStream)
    return stream
