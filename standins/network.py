"""Carries calls between clients and stand-ins, with faults."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import typing
import urllib.parse

import attrs
import orjson

from tamarackhatch import transport

Body = dict[str, typing.Any]


@attrs.frozen
class Request:
    """A call as it arrives: method, path, query and decoded body."""

    method: str
    path: str
    query: dict[str, str]
    body: Body


@attrs.frozen
class Response:
    """An answer: status and body."""

    status: int
    body: Body = attrs.field(factory=dict)


Handler = Callable[[Request], Awaitable[Response]]


class NoResponseError(Exception):
    """The stand-in gives no answer."""


@attrs.define
class Faults:
    """Faults on the way to a server.

    Attributes:
        cut: Clients that cannot reach it; "*" stands for all of them.
        lost_writes: Clients whose transactions are lost on the way.
        lost_answers: Share of the calls that are carried out, unanswered.
        late_calls: Share of the calls that get no answer and are carried out
            seconds later.
        late_s: Shortest and longest such delay, in seconds.
        delay_s: Time of one way, in seconds.
    """

    cut: set[str] = attrs.field(factory=set)
    lost_writes: set[str] = attrs.field(factory=set)
    lost_answers: float = 0.0
    late_calls: float = 0.0
    late_s: tuple[float, float] = (2.0, 12.0)
    delay_s: float = 0.002


class Network:
    """Handlers by address, and the faults on the way to each."""

    def __init__(self, seed: int = 0) -> None:
        self._handlers: dict[str, Handler] = {}
        self._faults: dict[str, Faults] = {}
        self._random = random.Random(seed)
        self._late: set[asyncio.Task[None]] = set()

    def serve(self, address: str, handler: Handler) -> None:
        """Lets a handler answer at an address."""
        self._handlers[address] = handler

    def remove(self, address: str) -> None:
        """Lets nothing answer at an address."""
        self._handlers.pop(address, None)

    def get_faults(self, address: str) -> Faults:
        """Returns the faults of an address, to be changed in place."""
        return self._faults.setdefault(address, Faults())

    def make_client(self, name: str) -> "NetworkClient":
        """Returns a client; faults may name it."""
        return NetworkClient(self, name)

    async def carry(self, name: str, call: transport.Call) -> transport.Answer:
        """Carries one call and its answer.

        Raises:
            CallNotSentError: No byte was sent.
            CallLostError: The call may be carried out.
        """
        faults = self.get_faults(call.address)
        timeout = call.timeout.total_seconds()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(faults.delay_s)
                if faults.cut & {name, "*"}:
                    await asyncio.sleep(timeout)
                if name in faults.lost_writes and "rows-tx" in call.path:
                    await asyncio.sleep(timeout)
                handler = self._handlers.get(call.address)
                if handler is None:
                    raise transport.CallNotSentError("connection refused")
                request = _decode(call)
                draw = self._random.random()
                if draw < faults.late_calls:
                    self._carry_late(handler, request, faults)
                    await asyncio.sleep(timeout)
                response = await handler(request)
                if draw > 1 - faults.lost_answers:
                    await asyncio.sleep(timeout)
                await asyncio.sleep(faults.delay_s)
                if faults.cut & {name, "*"}:
                    await asyncio.sleep(timeout)
                return transport.Answer(
                    response.status, orjson.dumps(response.body)
                )
        except NoResponseError as error:
            await asyncio.sleep(max(0.0, deadline - loop.time()))
            raise transport.CallLostError("no answer") from error
        except TimeoutError as error:
            raise transport.CallLostError("timed out") from error

    def _carry_late(
        self, handler: Handler, request: Request, faults: Faults
    ) -> None:
        delay = self._random.uniform(*faults.late_s)
        task = asyncio.get_running_loop().create_task(
            _call_later(handler, request, delay)
        )
        self._late.add(task)
        task.add_done_callback(self._late.discard)


class NetworkClient:
    """Stands in for transport.HttpClient."""

    def __init__(self, network: Network, name: str) -> None:
        self._network = network
        self._name = name
        self._is_closed = False

    async def send(self, call: transport.Call) -> transport.Answer:
        """Sends a call; see transport.HttpClient."""
        if self._is_closed:
            raise transport.CallNotSentError("the client is closed")
        return await self._network.carry(self._name, call)

    def close(self) -> None:
        """Refuses further calls."""
        self._is_closed = True


async def _call_later(
    handler: Handler, request: Request, delay: float
) -> None:
    await asyncio.sleep(delay)
    try:
        await handler(request)
    except NoResponseError:
        return


def _decode(call: transport.Call) -> Request:
    parts = urllib.parse.urlsplit(call.path)
    query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
    body = orjson.loads(call.body) if call.body else {}
    return Request(call.method, parts.path, query, body)
