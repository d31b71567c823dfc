"""A raw TCP server in threads, whose handlers decide what it sends."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import threading

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"
BODY = b"x" * 40

# Answers one request that was read from a connection.
Handler = Callable[[socket.socket], None]
# Serves a connection until it ends.
ConnectionHandler = Callable[[socket.socket], None]


@contextlib.contextmanager
def serve(handle: Handler) -> Iterator[str]:
    """Serves each connection in a thread, and yields the server's address."""

    def serve_connection(connection: socket.socket) -> None:
        while connection.recv(65536):
            handle(connection)

    with serve_connections(serve_connection) as address:
        yield address


@contextlib.contextmanager
def serve_connections(handle: ConnectionHandler) -> Iterator[str]:
    """Does the same, with a handler that also reads the requests."""
    listener = socket.create_server(("127.0.0.1", 0))
    is_stopped = threading.Event()
    connections: list[socket.socket] = []

    def serve_connection(connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            handle(connection)

    def accept() -> None:
        while not is_stopped.is_set():
            with contextlib.suppress(OSError):
                connection, _ = listener.accept()
                connections.append(connection)
                threading.Thread(
                    target=serve_connection, args=(connection,), daemon=True
                ).start()

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        is_stopped.set()
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for connection in connections:
            connection.close()
        thread.join(5)


def answer_at_once(connection: socket.socket) -> None:
    connection.sendall(HEAD + BODY)
