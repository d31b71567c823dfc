"""Network between clients and stand-ins, without sockets, with faults."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import random
import typing
import urllib.parse

import attrs
import orjson

from tamarackhatch import transport

Body = dict[str, typing.Any]


@attrs.frozen
class Request:
    """A received call: method, path, query and decoded body.

    Attributes:
        expected_instance: Identifier of the runner that the call is for;
            empty for any.
        is_late: Whether it is carried out after its client has given it up.
    """

    method: str
    path: str
    query: dict[str, str]
    body: Body
    expected_instance: str = ""
    is_late: bool = False


@attrs.frozen
class Response:
    """An answer: HTTP status and body.

    Attributes:
        status: HTTP status.
        body: Body, before encoding.
        encoded: Body as it is sent; None encodes ``body``.
    """

    status: int
    body: Body = attrs.field(factory=dict)
    encoded: bytes | None = None


Handler = Callable[[Request], Awaitable[Response]]


class NoResponseError(Exception):
    """The stand-in gives no answer."""


class SharedLink:
    """A link that carries one message after the other, in one direction.

    Attributes:
        sent_bytes: Bytes of all messages so far.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.sent_bytes = 0
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Waits until a message of ``size`` bytes has crossed the link."""
        now = asyncio.get_running_loop().time()
        self.sent_bytes += size
        self._free_at = max(self._free_at, now) + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)


class BrokenConnectionError(Exception):
    """The stand-in ends, and with it the connection."""


@attrs.define
class Faults:
    """Faults between clients and one server.

    Attributes:
        unreachable_from: Names of clients that cannot reach it; "*" stands
            for all.
        lost_answers_to: Names of clients whose calls are executed, but whose
            answers are lost.
        refused_clients: Status with which the calls of a client are refused,
            by its name.
        reset_clients: Names of clients whose connections are reset.
        late_clients: Names of clients whose calls get no answer and are
            executed after a delay.
        lost_writes: Names of clients whose transactions never reach it.
        lost_feeds: Names of clients whose requests for changes of a table
            never reach it, with the table.
        lost_reads: The same for reads of a table.
        lost_answer_share: Share of the calls, 0 to 1, that are executed but
            get no answer.
        late_call_share: Share of the calls, 0 to 1, that get no answer and are
            executed after a delay.
        late_delay_range_s: Shortest and longest such delay, in seconds.
        executes_abandoned_calls: Whether a call that its client has given up
            is still executed, as a server does that has received it.
        delay_s: Delay in each direction, in seconds.
        request_links: Links that requests to it cross, by client.
        answer_links: Links that its answers cross, by client.
    """

    unreachable_from: set[str] = attrs.field(factory=set)
    lost_answers_to: set[str] = attrs.field(factory=set)
    refused_clients: dict[str, int] = attrs.field(factory=dict)
    reset_clients: set[str] = attrs.field(factory=set)
    late_clients: set[str] = attrs.field(factory=set)
    lost_writes: set[str] = attrs.field(factory=set)
    lost_feeds: set[tuple[str, str]] = attrs.field(factory=set)
    lost_reads: set[tuple[str, str]] = attrs.field(factory=set)
    lost_answer_share: float = 0.0
    late_call_share: float = 0.0
    late_delay_range_s: tuple[float, float] = (2.0, 12.0)
    executes_abandoned_calls: bool = False
    delay_s: float = 0.002
    request_links: dict[str, SharedLink] = attrs.field(factory=dict)
    answer_links: dict[str, SharedLink] = attrs.field(factory=dict)


class Network:
    """Handlers by address, and the faults of each address."""

    def __init__(self, seed: int = 0) -> None:
        self._handlers: dict[str, Handler] = {}
        self._faults: dict[str, Faults] = {}
        self._random = random.Random(seed)
        self._late_tasks: set[asyncio.Task[None]] = set()
        self._abandonable_tasks: set[asyncio.Future[Response]] = set()
        # Loop time at which the connection between a client and an address
        # was opened.
        self._connections: dict[tuple[str, str], float] = {}

    def serve(self, address: str, handler: Handler) -> None:
        """Sends calls for an address to a handler from now on."""
        self._handlers[address] = handler

    def remove(self, address: str) -> None:
        """Refuses connections to an address from now on."""
        self._handlers.pop(address, None)

    def get_faults(self, address: str) -> Faults:
        """Returns the faults of an address, to be changed in place."""
        return self._faults.setdefault(address, Faults())

    def reset_connections(self, address: str) -> None:
        """Ends the connections to an address, whose process has ended."""
        for name in [name for name in self._connections if name[1] == address]:
            del self._connections[name]

    def make_client(self, name: str) -> "NetworkClient":
        """Returns a client with the name by which faults select it."""
        return NetworkClient(self, name)

    async def send_call(
        self, name: str, call: transport.Call
    ) -> transport.Answer:
        """Delivers a client's call and returns the answer.

        Raises:
            CallNotSentError: No byte was sent.
            CallLostError: No answer came; the call may still be executed.
        """
        faults = self.get_faults(call.address)
        # A call is sent at once here.
        timeout = (call.answer_timeout or call.timeout).total_seconds()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        is_connected = False
        try:
            async with asyncio.timeout(timeout) as limit:
                await asyncio.sleep(faults.delay_s)
                if faults.unreachable_from & {name, "*"}:
                    await asyncio.sleep(timeout)
                if name in faults.lost_writes and "rows-tx" in call.path:
                    await asyncio.sleep(timeout)
                if any(
                    client == name
                    and kind in call.path
                    and f"table={table}&" in call.path
                    for kind, lost in (
                        ("rows-feed", faults.lost_feeds),
                        ("rows-get", faults.lost_reads),
                    )
                    for client, table in lost
                ):
                    await asyncio.sleep(timeout)
                if name in faults.request_links:
                    size = len(call.path) + len(call.body or b"")
                    await faults.request_links[name].carry(size)
                handler = self._handlers.get(call.address)
                if handler is None:
                    raise transport.CallNotSentError("connection refused")
                if not call.is_permitted():
                    raise transport.CallNotSentError("not permitted")
                if name in faults.reset_clients:
                    raise BrokenConnectionError
                # The fault may end while the answer is on its way.
                refusal = faults.refused_clients.get(name)
                if refusal is not None:
                    await asyncio.sleep(faults.delay_s)
                    return transport.Answer(refusal, b"")
                opened = self._connections.setdefault(
                    (name, call.address), loop.time()
                )
                request = _decode(call, opened)
                fault_draw = self._random.random()
                is_late = name in faults.late_clients
                if is_late or fault_draw < faults.late_call_share:
                    self._schedule_late_call(handler, request, faults)
                    await asyncio.sleep(timeout)
                is_connected = True
                response = await self._execute(handler, request, faults)
                is_connected = False
                is_lost = name in faults.lost_answers_to
                if is_lost or fault_draw > 1 - faults.lost_answer_share:
                    await asyncio.sleep(timeout)
                await asyncio.sleep(faults.delay_s)
                if faults.unreachable_from & {name, "*"}:
                    await asyncio.sleep(timeout)
                body = response.encoded
                if body is None:
                    body = orjson.dumps(response.body)
                began = loop.time()
                limit.reschedule(deadline + call.transfer_time.total_seconds())
                if name in faults.answer_links:
                    await faults.answer_links[name].carry(len(body))
                receive_time = datetime.timedelta(seconds=loop.time() - began)
                return transport.Answer(response.status, body, receive_time)
        except NoResponseError as error:
            await asyncio.sleep(max(0.0, deadline - loop.time()))
            raise transport.CallLostError("no answer") from error
        except BrokenConnectionError as error:
            raise transport.CallLostError("connection reset") from error
        except TimeoutError as error:
            raise transport.CallLostError("timed out", is_connected) from error

    async def _execute(
        self, handler: Handler, request: Request, faults: Faults
    ) -> Response:
        if not faults.executes_abandoned_calls:
            return await handler(request)
        task = asyncio.ensure_future(handler(request))
        self._abandonable_tasks.add(task)
        task.add_done_callback(self._forget_task)
        return await asyncio.shield(task)

    def _forget_task(self, task: asyncio.Future[Response]) -> None:
        self._abandonable_tasks.discard(task)
        if not task.cancelled():
            # Nobody waits for the exception of an abandoned call.
            task.exception()

    def _schedule_late_call(
        self, handler: Handler, request: Request, faults: Faults
    ) -> None:
        delay = self._random.uniform(*faults.late_delay_range_s)
        task = asyncio.get_running_loop().create_task(
            _call_later(handler, request, delay)
        )
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)


class NetworkClient:
    """Stand-in for transport.HttpClient.

    Attributes:
        traffic: Counts no calls.
    """

    def __init__(self, network: Network, name: str) -> None:
        self.traffic = transport.Traffic()
        self._network = network
        self._name = name
        self._is_closed = False

    async def send(self, call: transport.Call) -> transport.Answer:
        """Sends a call, as transport.HttpClient.send does.

        Raises:
            CallNotSentError: No byte was sent.
            CallLostError: No answer came; the call may still be executed.
        """
        if self._is_closed:
            raise transport.CallNotSentError("the client is closed")
        return await self._network.send_call(self._name, call)

    def close(self) -> None:
        """Closes the client; later calls raise CallNotSentError."""
        self._is_closed = True


async def _call_later(
    handler: Handler, request: Request, delay: float
) -> None:
    await asyncio.sleep(delay)
    try:
        await handler(attrs.evolve(request, is_late=True))
    except (NoResponseError, BrokenConnectionError):
        return


def _decode(call: transport.Call, opened: float) -> Request:
    url = urllib.parse.urlsplit(call.path)
    query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
    encoded = call.body
    if call.opened_before is not None:
        if opened >= call.opened_before.total_seconds():
            encoded = call.other_body
    body = orjson.loads(encoded) if encoded else {}
    prefix = "X-Expect-Instance: "
    expected_instance = next(
        (
            header.removeprefix(prefix)
            for header in call.headers
            if header.startswith(prefix)
        ),
        "",
    )
    return Request(call.method, url.path, query, body, expected_instance)
