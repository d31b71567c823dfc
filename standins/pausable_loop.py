"""A virtual event loop in which single instances can be stopped."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextvars
import enum
import random
import typing

from standins import network
from standins import virtual_time
from tamarackhatch import transport

Result = typing.TypeVar("Result")

# Instance to which a task or a callback belongs.
_owner: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    "owner", default=None
)


class ResumeOrder(enum.Enum):
    """Order in which a resumed instance handles what has come meanwhile.

    Attributes:
        ARRIVAL: As it came.
        ANSWERS_FIRST: Answers and other events before timers.
        TIMERS_FIRST: Timers before the other events.
        RANDOM: At random; answers on different connections overtake others.
    """

    ARRIVAL = "arrival"
    ANSWERS_FIRST = "answers first"
    TIMERS_FIRST = "timers first"
    RANDOM = "random"


class HeldCallback:
    """A callback of an instance, which waits while the instance is stopped.

    Attributes:
        handle: Its handle in the loop.
        is_timer: Whether a timer calls it.
        context: Context in which it runs.
    """

    def __init__(
        self,
        loop: "PausableLoop",
        owner: str,
        function: Callable[..., object],
        arguments: tuple[typing.Any, ...],
        is_timer: bool,
        context: contextvars.Context,
    ) -> None:
        self.handle: asyncio.Handle | None = None
        self.is_timer = is_timer
        self.context = context
        self._loop = loop
        self._owner = owner
        self._function = function
        self._arguments = arguments

    def run(self) -> None:
        """Calls the function, or keeps it until the instance is resumed."""
        if self.handle is not None and self.handle.cancelled():
            return
        if not self._loop.hold(self._owner, self):
            self.execute()

    def execute(self) -> None:
        """Calls the function."""
        try:
            self._function(*self._arguments)
        finally:
            self._loop.record_end(self._owner)


class PausableLoop(virtual_time.VirtualLoop):
    """Virtual loop that stops and resumes the processes of instances."""

    def __init__(self) -> None:
        super().__init__()
        self._held: dict[str, list[HeldCallback]] = {}

    def run_as(
        self, owner: str, function: Callable[..., Result], *args: typing.Any
    ) -> Result:
        """Calls a function, with all that it starts, as an instance."""
        context = contextvars.copy_context()
        context.run(_owner.set, owner)
        return context.run(function, *args)

    def pause(self, owner: str) -> None:
        """Stops an instance, as SIGSTOP does."""
        self._held.setdefault(owner, [])

    def resume(
        self,
        owner: str,
        order: ResumeOrder,
        source: random.Random,
    ) -> None:
        """Continues an instance, as SIGCONT does.

        Args:
            owner: Name of the instance.
            order: Order of what it handles first.
            source: Source of random orders.
        """
        callbacks = self._held.pop(owner, [])
        if order is ResumeOrder.RANDOM:
            source.shuffle(callbacks)
        elif order is not ResumeOrder.ARRIVAL:
            is_first = order is ResumeOrder.TIMERS_FIRST
            callbacks.sort(key=lambda item: item.is_timer is not is_first)
        for callback in callbacks:
            handle = callback.handle
            assert handle is not None
            super().call_soon(callback.run)

    def hold(self, owner: str, callback: HeldCallback) -> bool:
        """Keeps a callback if its instance is stopped; returns whether."""
        held = self._held.get(owner)
        if held is None:
            return False
        held.append(callback)
        return True

    def record_end(self, owner: str) -> None:
        """Records that a callback of an instance has run."""

    # The arguments of these methods are typed in typeshed by type variables
    # that a subclass cannot repeat for all versions of Python.
    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        used = contextvars.copy_context() if context is None else context
        owner = used.get(_owner)
        if owner is None:
            return super().call_soon(callback, *args, context=used)
        kept = HeldCallback(self, owner, callback, args, False, used)
        kept.handle = super().call_soon(kept.run, context=used)
        return kept.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        used = contextvars.copy_context() if context is None else context
        owner = used.get(_owner)
        if owner is None:
            return super().call_at(when, callback, *args, context=used)
        kept = HeldCallback(self, owner, callback, args, True, used)
        handle = super().call_at(when, kept.run, context=used)
        kept.handle = handle
        return handle


class IndependentNetwork(network.Network):
    """Network whose servers go on while their clients are stopped.

    Attributes:
        overtaking_s: Longest time by which an answer may be late, so that
            others overtake it, in seconds.
    """

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.overtaking_s = 0.0
        self._delays = random.Random(seed)

    async def send_call(
        self, name: str, call: transport.Call
    ) -> transport.Answer:
        delivery = asyncio.get_running_loop().create_task(
            self._deliver(name, call), context=contextvars.Context()
        )
        try:
            return await asyncio.shield(delivery)
        except asyncio.CancelledError:
            delivery.cancel()
            raise

    async def _deliver(
        self, name: str, call: transport.Call
    ) -> transport.Answer:
        answer = await super().send_call(name, call)
        if self.overtaking_s:
            await asyncio.sleep(self._delays.uniform(0, self.overtaking_s))
        return answer


def run_pausably(
    main: Coroutine[typing.Any, typing.Any, Result],
    loop: PausableLoop | None = None,
) -> Result:
    """Runs a coroutine as `virtual_time.run_virtually` does.

    Args:
        main: The coroutine.
        loop: Loop to use; None for a new one.
    """
    return virtual_time.run_virtually(main, loop or PausableLoop())
