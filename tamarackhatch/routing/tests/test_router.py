"""Tests of the router under failures of runners, peers and owners."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import typing

import pytest

from tamarackhatch import declarations
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch.routing.tests import harness

_MS = harness.MS
_SECOND = harness.SECOND
_Change: typing.TypeAlias = Callable[[harness.Fleet], None]


def _run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(typing.cast(typing.Any, test()))


_LOST = harness.Run(lost_after=5 * _MS)
_REFUSED = harness.Run(is_refused=True)
_MIXED = harness.Run(changes={"headers": (("Request-Id", "other"),)})
_SHORT = harness.Run(
    changes={"headers": (("Request-Id", "q0"), ("Content-Length", "99"))}
)
_HANG = harness.Run(length=60 * _SECOND)
_LARGE = harness.Run(changes={"body": b"x" * 2_000_000})


@pytest.mark.parametrize("entry", ["a", "b"])
@pytest.mark.parametrize(
    ("script", "repeatable", "once"),
    [
        ([], ("answered", 1), ("answered", 1)),
        ([_LOST], ("answered", 2), ("unknown", 1)),
        ([_MIXED], ("answered", 2), ("unknown", 1)),
        ([_SHORT], ("answered", 2), ("unknown", 1)),
        ([_LARGE], ("answered", 2), ("unknown", 1)),
        ([_HANG], ("unknown", 1), ("unknown", 1)),
        ([_REFUSED], ("answered", 1), ("answered", 1)),
        ([_REFUSED, _LOST], ("answered", 2), ("unknown", 1)),
        ([_LOST, _REFUSED], ("answered", 2), ("unknown", 1)),
        ([_LOST] + [_REFUSED] * 9, ("unknown", 1), ("unknown", 1)),
        ([_REFUSED] * 9, ("not-run", 0), ("not-run", 0)),
    ],
)
def test_outcome_of_runner_failures(
    entry: str,
    script: list[harness.Run],
    repeatable: tuple[str, int],
    once: tuple[str, int],
) -> None:
    """Guards against wrong outcomes and against second runs."""

    async def test() -> None:
        for is_repeatable, expected in ((True, repeatable), (False, once)):
            fleet = harness.Fleet({"a": ("w1", "w2"), "b": ()})
            fleet.runners.script = iter(script)
            request = fleet.make_request(is_repeatable=is_repeatable)
            answer = await fleet.route(entry, request)
            assert (
                answer.outcome.value,
                fleet.runners.count_runs(request.request_id),
            ) == expected
            if answer.outcome is model.Outcome.ANSWERED:
                assert answer.body.startswith(request.request_id.encode())
            else:
                assert answer.code is not None and answer.reason
            await fleet.settle()

    _run(test)


@pytest.mark.parametrize(
    ("script", "outcome", "runs"),
    [
        (["unavailable"], "answered", 1),
        (["unavailable"] * 9, "not-run", 0),
        (["lost"], "unknown", 1),
        (["hang"], "unknown", 1),
        (["mixed up"], "unknown", 1),
        (["unavailable", "lost"], "unknown", 1),
    ],
)
def test_outcome_of_peer_failures(
    script: list[str], outcome: str, runs: int
) -> None:
    """Guards against a repetition after a forward that may have arrived."""

    async def test() -> None:
        fleet = harness.Fleet({"a": ("w1", "w2"), "b": ()})
        fleet.forwarder.script = iter(script)
        request = fleet.make_request(is_repeatable=False)
        answer = await fleet.route("b", request)
        assert answer.outcome.value == outcome
        await fleet.settle()
        assert fleet.runners.count_runs(request.request_id) == runs

    _run(test)


def _withdraw(fleet: harness.Fleet) -> None:
    fleet.instances["a"].ownership.set_authority(False)


def _drop(fleet: harness.Fleet) -> None:
    fleet.instances["a"].ownership.drop_worker("w1")


def _leave(fleet: harness.Fleet) -> None:
    fleet.list.set_backend(
        harness.make_backend("w1", model.ServerState.LEAVING)
    )


def _remove(fleet: harness.Fleet) -> None:
    fleet.list.remove_backend("w1")


def _take_over(fleet: harness.Fleet) -> None:
    fleet.instances["a"].ownership.set_claimed_at(
        "w1", fleet.clock.get_monotonic()
    )


@pytest.mark.parametrize("is_queued", [True, False])
@pytest.mark.parametrize(
    ("change", "code"),
    [
        (_withdraw, errors.ErrorCode.NO_AUTHORITY),
        (_drop, errors.ErrorCode.NO_AUTHORITY),
        (_leave, errors.ErrorCode.LEAVING),
        (_remove, errors.ErrorCode.NO_RUNNER),
        (_take_over, errors.ErrorCode.NO_RUNNER),
    ],
)
def test_right_to_send_is_checked_before_each_send(
    is_queued: bool, change: _Change, code: errors.ErrorCode
) -> None:
    """Guards against sending on a right that was lost while queueing."""

    async def test() -> None:
        policy = declarations.ServicePolicy(slots=1)
        fleet = harness.Fleet({"a": ("w1",)}, policy)
        router = fleet.instances["a"].router
        fleet.runners.default = harness.Run(length=100 * _MS)
        if is_queued:
            first = asyncio.create_task(
                router.serve_forwarded("w1", fleet.make_request())
            )
            await asyncio.sleep(0)
        request = fleet.make_request(is_repeatable=False)
        second = asyncio.create_task(router.serve_forwarded("w1", request))
        await fleet.clock.advance(_MS if is_queued else 0 * _MS)
        change(fleet)
        answer = await fleet.finish(asyncio.wait_for(second, None))
        if is_queued:
            assert (answer.outcome, answer.code) == (
                model.Outcome.NOT_RUN,
                code,
            )
            assert fleet.runners.count_runs(request.request_id) == 0
            done = await fleet.finish(asyncio.wait_for(first, None))
            assert done.outcome is model.Outcome.ANSWERED
        late = await router.serve_forwarded("w1", fleet.make_request())
        assert (late.outcome, late.code) == (model.Outcome.NOT_RUN, code)

    _run(test)


def test_refusal_moves_request_to_another_owner() -> None:
    """Guards against giving up on a request that another runner can take."""

    async def test() -> None:
        fleet = harness.Fleet({"a": ("w1", "w2"), "b": ("w3",), "c": ()})
        # The loads that c knows are older than this loss.
        _withdraw(fleet)
        for _ in range(8):
            request = fleet.make_request(is_repeatable=False)
            answer = await fleet.route("c", request)
            assert answer.outcome is model.Outcome.ANSWERED
            assert fleet.runners.runs[-1][:2] == ("w3:80", request.request_id)
            kept = fleet.instances["c"].decisions.list_decisions(
                request.request_id
            )
            assert kept[-1].worker == "w3" and kept[-1].configuration == 1

    _run(test)


def test_late_owner_is_waited_for() -> None:
    """Guards against refusals while ownership moves to another instance."""

    async def test() -> None:
        fleet = harness.Fleet({"a": ("w1",), "b": ()})
        _withdraw(fleet)
        routed = asyncio.create_task(
            fleet.instances["b"].router.route_request(fleet.make_request())
        )
        await fleet.clock.advance(100 * _MS)
        fleet.instances["a"].ownership.set_authority(True)
        answer = await fleet.finish(asyncio.wait_for(routed, None))
        assert answer.outcome is model.Outcome.ANSWERED

    _run(test)


def test_retry_budget_bounds_load_on_a_failing_service() -> None:
    """Guards against retries that multiply the load of an overload."""

    async def test() -> None:
        policy = declarations.ServicePolicy(eject_failures=1000, slots=1000)
        fleet = harness.Fleet({"a": ("w1", "w2", "w3")}, policy)
        fleet.runners.default = _LOST
        for _ in range(100):
            await fleet.route("a", fleet.make_request())
        assert 105 <= len(fleet.runners.runs) <= 111

    _run(test)


@pytest.mark.parametrize("entry", ["a", "b"])
def test_drain_loses_no_request(entry: str) -> None:
    """Guards against requests that a planned stop cuts off or refuses."""

    async def test() -> None:
        policy = declarations.ServicePolicy(slots=2)
        fleet = harness.Fleet({"a": ("w1", "w2"), "b": ("w3",)}, policy)
        fleet.runners.default = harness.Run(length=60 * _MS)
        answers: list[asyncio.Task[model.ServiceAnswer]] = []
        drain: asyncio.Task[None] | None = None
        for step in range(60):
            answers.append(
                asyncio.create_task(
                    fleet.instances[entry].router.route_request(
                        fleet.make_request(is_repeatable=step % 2 == 0)
                    )
                )
            )
            if step == 30:
                drain = asyncio.create_task(
                    fleet.instances["a"].limits.drain_all()
                )
            await fleet.clock.advance(10 * _MS)
        await fleet.settle()
        assert drain is not None and drain.done()
        outcomes = {task.result().outcome for task in answers}
        assert outcomes == {model.Outcome.ANSWERED}
        assert fleet.runners.most_active <= 2
        ends = [request for address, _, request in fleet.runners.runs[-20:]]
        assert len(ends) == 20
        assert {item[0] for item in fleet.runners.runs[-15:]} == {"w3:80"}

    _run(test)


@pytest.mark.parametrize(
    "stop",
    [
        lambda fleet: asyncio.ensure_future(
            fleet.instances["a"].limits.drain_worker("w1")
        ),
        lambda fleet: fleet.instances["b"].router.start_leaving(),
        _leave,
        lambda fleet: None,
    ],
)
def test_watch_ends_early_on_a_planned_stop(stop: _Change) -> None:
    """Guards against watches that are cut off, or that hold up a stop."""

    async def test() -> None:
        fleet = harness.Fleet({"a": ("w1",), "b": ()})
        fleet.runners.default = harness.Run(length=60 * _SECOND)
        started = fleet.clock.get_monotonic()
        watch = asyncio.create_task(
            fleet.instances["b"].router.route_request(
                fleet.make_request(5 * _SECOND, is_watch=True)
            )
        )
        await fleet.clock.advance(_SECOND)
        assert fleet.runners.watches["w1:80"] == 1
        load = fleet.instances["a"].limits.list_loads()[0]
        assert load.busy_slots == 0
        stop(fleet)
        answer = await fleet.finish(asyncio.wait_for(watch, None))
        assert (answer.outcome, answer.status) == (
            model.Outcome.ANSWERED,
            204,
        )
        elapsed = fleet.clock.get_monotonic() - started
        has_stop = (
            fleet.runners.watches["w1:80"] == 0 and elapsed < 4 * _SECOND
        )
        assert has_stop or elapsed >= 5 * _SECOND
        await fleet.settle()
        await fleet.finish(fleet.instances["a"].limits.drain_all())
        assert fleet.runners.watches["w1:80"] == 0

    _run(test)


@pytest.mark.parametrize("is_watch", [False, True])
def test_cancelled_call_ends_only_watches(is_watch: bool) -> None:
    """Guards against renewals cut off when their caller disconnects."""

    async def test() -> None:
        fleet = harness.Fleet({"a": ("w1",)})
        fleet.runners.default = harness.Run(length=_SECOND)
        request = fleet.make_request(is_watch=is_watch, is_repeatable=is_watch)
        router = fleet.instances["a"].router
        task = asyncio.create_task(router.route_request(request))
        await fleet.clock.advance(100 * _MS)
        task.cancel()
        await fleet.clock.advance(400 * _MS)
        active = fleet.runners.active + fleet.runners.watches
        assert active.total() == (0 if is_watch else 1)
        await fleet.settle()
        if not is_watch:
            again = await fleet.route("a", request)
            assert again.body == b"q0#1"

    _run(test)


@pytest.mark.parametrize(
    ("service", "is_leaving", "timeout", "code"),
    [
        ("other", False, 1, errors.ErrorCode.UNKNOWN_SERVICE),
        ("s", True, 1, errors.ErrorCode.LEAVING),
        ("s", False, -1, errors.ErrorCode.DEADLINE_PASSED),
    ],
)
def test_refusals_at_entry(
    service: str, is_leaving: bool, timeout: int, code: errors.ErrorCode
) -> None:
    """Guards against refusals without a code that tells the cause."""

    async def test() -> None:
        fleet = harness.Fleet({"a": ("w1",)})
        if is_leaving:
            fleet.instances["a"].router.start_leaving()
        answer = await fleet.route(
            "a", fleet.make_request(timeout * _SECOND, service=service)
        )
        assert (answer.outcome, answer.code) == (model.Outcome.NOT_RUN, code)

    _run(test)


def test_deadline_is_clamped() -> None:
    """Guards against requests that outlast the wait after a takeover."""

    async def test() -> None:
        fleet = harness.Fleet({"a": ("w1",)})
        await fleet.route("a", fleet.make_request(1000 * _SECOND))
        deadline = fleet.runners.runs[0][2].deadline
        assert deadline - fleet.clock.get_utc() <= datetime.timedelta(
            seconds=10
        )

    _run(test)
