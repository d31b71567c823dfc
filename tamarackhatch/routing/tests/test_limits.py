"""Tests of slots, connections, ejection and takeover."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import typing

import pytest

from tamarackhatch import declarations
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import routing
from tamarackhatch.routing.tests import harness

_SECOND = harness.SECOND
_ANSWERED = routing.SendResult.ANSWERED
_NOT_SENT = routing.SendResult.NOT_SENT
_UNANSWERED = routing.SendResult.UNANSWERED
_UNKNOWN = routing.SendResult.UNKNOWN


def _run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(typing.cast(typing.Any, test()))


class _One:
    """One instance with one runner."""

    def __init__(self, policy: declarations.ServicePolicy) -> None:
        self.fleet = harness.Fleet({"a": ("w1",)}, policy)
        self.limits = self.fleet.instances["a"].limits
        self.ownership = self.fleet.instances["a"].ownership

    @property
    def load(self) -> model.RunnerLoad:
        return self.limits.list_loads()[0]

    async def acquire(self, **changes: typing.Any) -> routing.Permit:
        return await self.limits.acquire(
            "w1", self.fleet.make_request(**changes)
        )

    async def find_code(self, **changes: typing.Any) -> errors.ErrorCode:
        with pytest.raises(routing.RequestRefusedError) as caught:
            await self.fleet.finish(self.acquire(**changes))
        return caught.value.code

    async def send(
        self, result: routing.SendResult, **changes: typing.Any
    ) -> None:
        permit = await self.acquire(**changes)
        # A deadline in the past leaves no slot in use.
        deadline = self.fleet.clock.get_utc() - 2 * _SECOND
        permit.release(result, deadline)


@pytest.mark.parametrize(
    ("result", "held"),
    [(_ANSWERED, 0), (_NOT_SENT, 0), (_UNKNOWN, 3), (_UNANSWERED, 3)],
)
def test_slot_is_held_while_the_runner_may_work(
    result: routing.SendResult, held: int
) -> None:
    """Guards against a ninth request beside one with a lost answer."""

    async def test() -> None:
        one = _One(declarations.ServicePolicy(slots=1))
        permit = await one.acquire()
        deadline = one.fleet.clock.get_utc() + 2 * _SECOND
        permit.release(result, deadline)
        with pytest.raises(ValueError):
            permit.release(result, deadline)
        start = one.fleet.clock.get_monotonic()
        await one.fleet.finish(one.acquire(timeout=9 * _SECOND))
        waited = one.fleet.clock.get_monotonic() - start
        assert held * _SECOND <= waited <= (held + 0.1) * _SECOND

    _run(test)


def test_queue_has_a_bound_and_deadlines() -> None:
    """Guards against a queue without bound and waits without end."""

    async def test() -> None:
        one = _One(declarations.ServicePolicy(slots=1, max_queue=2))
        permit = await one.acquire()
        order: list[int] = []

        async def wait(number: int) -> None:
            await one.acquire()
            order.append(number)

        waiting = [asyncio.create_task(wait(number)) for number in range(2)]
        await asyncio.sleep(0)
        assert (one.load.busy_slots, one.load.waiting) == (1, 2)
        assert await one.find_code() is errors.ErrorCode.QUEUE_FULL
        permit.release(_ANSWERED, one.fleet.clock.get_utc())
        await one.fleet.clock.advance(_SECOND)
        assert (order, one.load.waiting) == ([0], 1)
        # A cancelled wait gives its place back, granted or not.
        waiting[1].cancel()
        await asyncio.sleep(0)
        assert (one.load.busy_slots, one.load.waiting) == (1, 0)
        assert await one.find_code() is errors.ErrorCode.DEADLINE_PASSED

    _run(test)


def test_cancelled_wait_returns_a_granted_slot() -> None:
    """Guards against a slot that leaks when grant and cancel coincide."""

    async def test() -> None:
        one = _One(declarations.ServicePolicy(slots=1))
        permit = await one.acquire()
        waiting = asyncio.create_task(one.acquire())
        await asyncio.sleep(0)
        permit.release(_ANSWERED, one.fleet.clock.get_utc())
        waiting.cancel()
        await asyncio.wait([waiting])
        assert waiting.cancelled()
        assert one.load.busy_slots == 0

    _run(test)


def test_watches_leave_connections_for_requests() -> None:
    """Guards against a 65th connection, and slots that watches use up."""

    async def test() -> None:
        one = _One(declarations.ServicePolicy())
        permits = [await one.acquire(is_watch=True) for _ in range(40)]
        assert await one.find_code(is_watch=True) is (
            errors.ErrorCode.QUEUE_FULL
        )
        for _ in range(8):
            await one.acquire()
        assert one.load.busy_slots == 8
        permits[0].release(_UNANSWERED, one.fleet.clock.get_utc() + _SECOND)
        # The closed connection counts until the runner has noticed.
        assert await one.find_code(is_watch=True) is (
            errors.ErrorCode.QUEUE_FULL
        )
        await one.fleet.clock.advance(_SECOND)
        await one.acquire(is_watch=True)

    _run(test)


@pytest.mark.parametrize(
    ("results", "is_usable"),
    [
        ([_UNKNOWN, _NOT_SENT], True),
        ([_UNKNOWN, _NOT_SENT, _UNKNOWN], False),
        ([_UNKNOWN, _NOT_SENT, _ANSWERED, _UNKNOWN], True),
        ([_UNANSWERED] * 5, True),
    ],
)
def test_ejection_after_failures(
    results: list[routing.SendResult], is_usable: bool
) -> None:
    """Guards against ejection for other reasons than failures in a row."""

    async def test() -> None:
        one = _One(declarations.ServicePolicy())
        for result in results:
            await one.send(result)
        assert one.load.is_usable is is_usable

    _run(test)


def test_probes_back_off() -> None:
    """Guards against a stream of requests to a runner that fails them."""

    async def test() -> None:
        one = _One(declarations.ServicePolicy())
        advance = one.fleet.clock.advance
        for _ in range(3):
            await one.send(_UNKNOWN)
        for delay in (1, 2, 4, 8, 16, 32, 60, 60):
            await advance((delay - 0.1) * _SECOND)
            assert not one.load.is_usable
            assert await one.find_code() is errors.ErrorCode.NO_RUNNER
            await advance(0.2 * _SECOND)
            assert one.load.is_usable
            # A probe is one request, and rather not a non-repeatable one.
            code = await one.find_code(is_repeatable=False)
            assert code is errors.ErrorCode.NO_RUNNER
            probe = await one.acquire()
            assert probe.is_probe and not one.load.is_usable
            assert await one.find_code() is errors.ErrorCode.NO_RUNNER
            past = one.fleet.clock.get_utc() - 2 * _SECOND
            probe.release(_UNKNOWN, past)
        await advance(120.1 * _SECOND)
        await one.send(_ANSWERED, is_repeatable=False)
        assert one.load.is_usable
        assert not (await one.acquire()).is_probe

    _run(test)


def test_ejection_frees_the_queue() -> None:
    """Guards against requests that wait for a runner known to fail."""

    async def test() -> None:
        one = _One(declarations.ServicePolicy(slots=3))
        permits = [await one.acquire() for _ in range(3)]
        waiting = asyncio.create_task(one.find_code())
        await asyncio.sleep(0)
        for permit in permits:
            permit.release(_UNKNOWN, one.fleet.clock.get_utc() + _SECOND)
        await one.fleet.clock.advance(0.3 * _SECOND)
        assert waiting.done()
        assert waiting.result() is errors.ErrorCode.NO_RUNNER

    _run(test)


def test_unclean_takeover_waits_for_the_previous_owner() -> None:
    """Guards against more than 8 requests over two owners in a row."""

    async def test() -> None:
        one = _One(declarations.ServicePolicy())
        await one.fleet.clock.advance(100 * _SECOND)
        one.ownership.set_claimed_at("w1", one.fleet.clock.get_monotonic())
        await one.fleet.clock.advance(10.9 * _SECOND)
        assert await one.find_code() is errors.ErrorCode.NO_RUNNER
        await one.fleet.clock.advance(0.2 * _SECOND)
        await one.acquire()

    _run(test)


@pytest.mark.parametrize("is_resumed", [False, True])
def test_drained_worker_serves_again_under_a_new_epoch(
    is_resumed: bool,
) -> None:
    """Guards against workers that refuse for ever after a drain."""

    async def test() -> None:
        one = _One(declarations.ServicePolicy())
        permit = await one.acquire()
        drain = asyncio.create_task(one.limits.drain_worker("w1"))
        await asyncio.sleep(0)
        assert await one.find_code() is errors.ErrorCode.LEAVING
        permit.release(_UNKNOWN, one.fleet.clock.get_utc() + _SECOND)
        # The runner may work on the request until its deadline.
        await one.fleet.clock.advance(1.9 * _SECOND)
        assert not drain.done() and not one.load.is_usable
        await one.fleet.clock.advance(0.2 * _SECOND)
        assert drain.done()
        if is_resumed:
            one.limits.resume_worker("w1")
        else:
            one.ownership.set_epoch("w1", 3)
        assert one.load.is_usable
        await one.acquire()

    _run(test)
