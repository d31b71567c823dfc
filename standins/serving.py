"""What all stand-ins share: options, listening, JSON, ending."""

import argparse
import asyncio
import contextlib
import functools
import json
import os
import signal
import typing

from tornado import httpserver
from tornado import netutil
from tornado import web

_PARENT_CHECK_SECONDS = 0.5
# Requests that are held without an answer end at last, so that a forgotten
# fault leaves no endless work behind.
_MAX_HELD_SECONDS = 60.0


class JsonHandler(web.RequestHandler):
    """Handler that reads and writes JSON objects."""

    def read_json(self) -> dict[str, typing.Any]:
        """Returns the body; answers 400 for anything but an object."""
        try:
            value = json.loads(self.request.body or b"{}")
        except ValueError as error:
            raise web.HTTPError(400) from error
        if not isinstance(value, dict):
            raise web.HTTPError(400)
        return value

    def write_json(self, value: typing.Any, status: int = 200) -> None:
        """Sends a whole answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def close_connection(self) -> None:
        """Closes the connection without an answer."""
        self.detach().close()
        # tornado goes on to the method of the handler unless it is finished.
        self._finished = True

    async def hold(self) -> None:
        """Gives no answer until the caller leaves, then closes."""
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.gone.wait(), _MAX_HELD_SECONDS)
        self.close_connection()

    def on_connection_close(self) -> None:
        self.gone.set()

    @functools.cached_property
    def gone(self) -> asyncio.Event:
        """Set when the caller has closed the connection."""
        return asyncio.Event()


def add_common_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options of every stand-in."""
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument(
        "--port", type=int, default=0, help="0: the kernel chooses"
    )
    parser.add_argument(
        "--exit-with-parent",
        action="store_true",
        help="ends when the process that started it is gone",
    )


def listen(server: httpserver.HTTPServer, host: str, port: int) -> int:
    """Starts listening; returns the port."""
    sockets = netutil.bind_sockets(port, host)
    server.add_sockets(sockets)
    return int(sockets[0].getsockname()[1])


async def serve_until_signal(
    server: httpserver.HTTPServer, options: argparse.Namespace
) -> None:
    """Prints ``{"port": N}`` once it listens, and serves until SIGTERM."""
    port = listen(server, options.host, options.port)
    print(json.dumps({"port": port}), flush=True)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    if options.exit_with_parent:
        watcher = asyncio.create_task(_watch_parent(ended))
        await ended.wait()
        watcher.cancel()
    else:
        await ended.wait()
    server.stop()


async def _watch_parent(ended: asyncio.Event) -> None:
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(_PARENT_CHECK_SECONDS)
    ended.set()
