"""Serves the stand-ins over HTTP on loopback."""

import asyncio
import typing

import orjson
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from standins import network

_PHRASES = {200: "OK", 404: "Not Found", 409: "Conflict"}


class StandInServer:
    """Serves one handler on a free loopback port."""

    def __init__(self, handler: network.Handler, port: int = 0) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = httpserver.HTTPServer(self._take)
        sockets = netutil.bind_sockets(port, "127.0.0.1")
        self._server.add_sockets(sockets)
        self._port = sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """``host:port`` of the server."""
        return f"127.0.0.1:{self._port}"

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        for task in self._tasks:
            task.cancel()
        await self._server.close_all_connections()

    def _take(self, request: httputil.HTTPServerRequest) -> None:
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
                    request.method or "GET", request.path, query, body
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
        line = httputil.ResponseStartLine(
            "HTTP/1.1", response.status, _PHRASES.get(response.status, "-")
        )
        connection.write_headers(line, headers, content)
        connection.finish()
