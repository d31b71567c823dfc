"""What both ends of a stream share: bounded reads and queued writes."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
import enum
import typing

import attrs
from google.protobuf import message as protobuf_message
import grpclib.exceptions
import h2.exceptions

from tamarackhatch import clock as clocks
from tamarackhatch.peer import _budget
from tamarackhatch.peer import _errors
from tamarackhatch.peer import _timing

_Message = typing.TypeVar("_Message", bound=protobuf_message.Message)
_Result = typing.TypeVar("_Result")

STREAM_ERRORS = (
    OSError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    h2.exceptions.H2Error,
)


class StreamClosedError(Exception):
    """The other side has ended the stream, or it was found silent."""


class Priority(enum.IntEnum):
    """Order of sending; a heartbeat never waits behind a large body."""

    CONTROL = 0
    SERVICE = 1


@attrs.define(eq=False)
class Outgoing(typing.Generic[_Message]):
    """Messages to be sent in order, as one item of the queue.

    Attributes:
        messages: What is left to send.
        is_last_begun: Whether sending of the last message has begun; before
            that the other side cannot have the whole of it.
        on_send: Called when the first message is about to be sent.
    """

    messages: collections.deque[_Message]
    is_last_begun: bool = False
    on_send: Callable[[], None] | None = None


class Outbox(typing.Generic[_Message]):
    """Messages that wait for the writer of one stream."""

    def __init__(self) -> None:
        self._queues: dict[Priority, collections.deque[Outgoing[_Message]]] = {
            priority: collections.deque() for priority in Priority
        }
        self._is_filled = asyncio.Event()
        self._is_idle = asyncio.Event()
        self._is_idle.set()

    def add(
        self,
        messages: typing.Iterable[_Message],
        priority: Priority,
        on_send: Callable[[], None] | None = None,
    ) -> Outgoing[_Message]:
        """Queues messages that belong together."""
        item = Outgoing(collections.deque(messages), on_send=on_send)
        self._queues[priority].append(item)
        self._is_filled.set()
        self._is_idle.clear()
        return item

    def withdraw(self, item: Outgoing[_Message]) -> None:
        """Takes back what has not been sent of an item."""
        for queue in self._queues.values():
            if item in queue:
                queue.remove(item)

    async def take_next(self) -> tuple[Outgoing[_Message], _Message]:
        """Returns the next message, in turn from all items.

        Bodies take turns chunk by chunk, so that a large one does not hold
        up the small ones behind it.
        """
        while True:
            for queue in self._queues.values():
                if not queue:
                    continue
                item = queue.popleft()
                message = item.messages.popleft()
                if item.messages:
                    queue.append(item)
                return item, message
            self._is_filled.clear()
            self._is_idle.set()
            await self._is_filled.wait()

    async def wait_idle(self) -> None:
        """Returns once everything has been handed to the transport."""
        await self._is_idle.wait()


@attrs.frozen
class Meter:
    """Counts the bytes of a stream, and limits them between regions.

    Attributes:
        counter: Where bytes are counted.
        bucket: Budget of the link between regions, or None within a region.
    """

    counter: _budget.ByteCounter
    bucket: _budget.TokenBucket | None

    def count_received(self, message: protobuf_message.Message) -> None:
        """Counts a received message."""
        size = message.ByteSize() + _timing.OVERHEAD_BYTES
        self.counter.count_received(size, self.bucket is not None)

    async def pay(
        self,
        clock: clocks.Clock,
        message: protobuf_message.Message,
        priority_size: int,
    ) -> None:
        """Counts a message and waits until the budget allows it.

        Args:
            clock: Source of time.
            message: What is to be sent.
            priority_size: Messages up to this size do not wait; heartbeats
                must go even when the budget is used up.
        """
        size = message.ByteSize() + _timing.OVERHEAD_BYTES
        self.counter.count_sent(size, self.bucket is not None)
        if self.bucket is None:
            return
        while size > priority_size and not self.bucket.has_tokens(size):
            await clock.sleep(self.bucket.get_wait(size))
        self.bucket.take_tokens(size)


# Messages up to this size are sent at once even when the budget is used up.
_SMALL_BYTES = 1_024


async def write_messages(
    clock: clocks.Clock,
    outbox: Outbox[_Message],
    send: Callable[[_Message], Awaitable[None]],
    meter: Meter,
) -> typing.NoReturn:
    """Sends what is queued; it ends by an error of the stream."""
    while True:
        item, message = await outbox.take_next()
        await meter.pay(clock, message, _SMALL_BYTES)
        if item.on_send is not None:
            item.on_send()
            item.on_send = None
        item.is_last_begun = not item.messages
        await send(message)


async def receive_message(
    receive: Callable[[], Awaitable[_Message | None]], meter: Meter
) -> _Message:
    """Returns the next message.

    Raises:
        BadPeerMessageError: The bytes are no message.
        StreamClosedError: The stream has ended.
    """
    try:
        message = await receive()
    except protobuf_message.DecodeError as error:
        raise _errors.BadPeerMessageError("message", "undecodable") from error
    except NotImplementedError as error:
        raise _errors.BadPeerMessageError("message", "compressed") from error
    except AssertionError as error:
        # The library asserts that a message is whole when its stream ends.
        raise StreamClosedError("ended within a message") from error
    if message is None:
        raise StreamClosedError("ended")
    meter.count_received(message)
    return message


class MessageLimit:
    """Bounds the size of the messages that a stream accepts.

    The library reads a message of any announced length into memory. This
    wraps the read of the stream below, where the length is first known.
    """

    def __init__(self, stream: typing.Any, limit: int) -> None:
        below = stream._stream
        self._limit = limit
        self._read = below.recv_data
        below.recv_data = self._receive_data

    def set_limit(self, limit: int) -> None:
        """Changes the largest size, in bytes."""
        self._limit = limit

    async def _receive_data(self, size: int) -> bytes:
        if size > self._limit:
            raise _errors.BadPeerMessageError(
                "message", f"{size} bytes, more than {self._limit}"
            )
        data: bytes = await self._read(size)
        return data


async def run_until_first(*coroutines: Coroutine[None, None, None]) -> None:
    """Runs coroutines until one ends; cancels the rest, raises its error."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        done = [task for task in tasks if task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()


async def run_within(
    clock: clocks.Clock,
    awaitable: Awaitable[_Result],
    duration: datetime.timedelta,
) -> _Result:
    """Returns the result; raises TimeoutError after a time by the clock."""
    work = asyncio.ensure_future(awaitable)
    timer = asyncio.ensure_future(clock.sleep(duration))
    try:
        await asyncio.wait({work, timer}, return_when=asyncio.FIRST_COMPLETED)
        if work.done():
            return work.result()
        raise TimeoutError(f"not done within {duration.total_seconds()} s")
    finally:
        for task in (work, timer):
            task.cancel()
        await asyncio.gather(work, timer, return_exceptions=True)
