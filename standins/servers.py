"""Serves stand-ins over HTTP on a loopback address."""

import asyncio
import typing

import orjson
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from standins import network

_REASON_PHRASES = {200: "OK", 404: "Not Found", 409: "Conflict"}


class StandInServer:
    """HTTP server for one handler, by default on a free port."""

    def __init__(self, handler: network.Handler, port: int = 0) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = httpserver.HTTPServer(self._start_answer)
        sockets = netutil.bind_sockets(port, "127.0.0.1")
        self._server.add_sockets(sockets)
        self._port = sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Address of the server, as ``host:port``."""
        return f"127.0.0.1:{self._port}"

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        for task in self._tasks:
            task.cancel()
        await self._server.close_all_connections()

    def _start_answer(self, request: httputil.HTTPServerRequest) -> None:
        task = asyncio.get_running_loop().create_task(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: httputil.HTTPServerRequest) -> None:
        query = {
            name: values[-1].decode()
            for name, values in request.query_arguments.items()
        }
        body: dict[str, typing.Any] = {}
        if request.body:
            body = orjson.loads(request.body)
        try:
            response = await self._handler(
                network.Request(
                    request.method or "GET",
                    request.path,
                    query,
                    body,
                    request.headers.get("X-Expect-Instance", ""),
                )
            )
        except network.NoResponseError:
            return
        connection = request.connection
        if connection is None:
            return
        content = orjson.dumps(response.body)
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(content)),
            }
        )
        start_line = httputil.ResponseStartLine(
            "HTTP/1.1",
            response.status,
            _REASON_PHRASES.get(response.status, "-"),
        )
        connection.write_headers(start_line, headers, content)
        connection.finish()
