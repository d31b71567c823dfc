"""Tests of the at-most-once journal under faults of the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import typing

import pytest

from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch import routing
from tamarackhatch.routing.tests import harness
from tamarackhatch import testing

_FAULTS = testing.StoreFault
_DOWN = _FAULTS.UNAVAILABLE
_LOST_ANSWER = _FAULTS.LOST_ANSWER
_LOST_REQUEST = _FAULTS.LOST_REQUEST
_ANSWERED = model.Outcome.ANSWERED
_NOT_RUN = model.Outcome.NOT_RUN
_UNKNOWN = model.Outcome.UNKNOWN


def _run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(typing.cast(typing.Any, test()))


def _build_fleet() -> harness.Fleet:
    return harness.Fleet({"a": ("w1", "w2"), "b": ()})


@pytest.mark.parametrize(
    ("faults", "outcome"),
    [
        ([], _ANSWERED),
        ([_DOWN], _NOT_RUN),
        ([_LOST_ANSWER], _ANSWERED),
        ([_LOST_REQUEST], _ANSWERED),
        ([_LOST_REQUEST, _LOST_REQUEST, _LOST_ANSWER], _ANSWERED),
        ([_LOST_REQUEST, _DOWN], _NOT_RUN),
        # Faults of the second write, which records the answer.
        ([None, _DOWN], _ANSWERED),
        ([None, _LOST_ANSWER], _ANSWERED),
        ([None, _LOST_REQUEST], _ANSWERED),
        ([None, _LOST_REQUEST, _LOST_ANSWER], _ANSWERED),
    ],
)
def test_faults_at_each_write(
    faults: list[testing.StoreFault | None], outcome: model.Outcome
) -> None:
    """Guards against a second run, or a lost ID, after any store fault."""

    async def test() -> None:
        fleet = _build_fleet()
        fleet.tables.add_commit_faults(*faults)
        request = fleet.make_request(is_repeatable=False)
        answer = await fleet.route("a", request)
        assert answer.outcome is outcome
        runs = 1 if outcome is _ANSWERED else 0
        assert fleet.runners.count_runs("q0") == runs
        await fleet.settle()
        again = await fleet.route("b", request)
        assert again.outcome is _ANSWERED
        assert fleet.runners.count_runs("q0") == 1
        if outcome is _ANSWERED:
            assert again == answer

    _run(test)


@pytest.mark.parametrize("size", [10, 100_000])
def test_answer_is_recorded_whole(size: int) -> None:
    """Guards against a replay that differs from the first answer."""

    async def test() -> None:
        fleet = _build_fleet()
        body = bytes(range(256)) * (size // 256) + b"end"
        fleet.runners.default.changes["body"] = body
        request = fleet.make_request(is_repeatable=False)
        first = await fleet.route("a", request)
        assert first.body == body
        assert bool(fleet.objects.content) is (size > 32 * 1024)
        assert await fleet.route("b", request) == first
        if size > 32 * 1024:
            fleet.objects.is_down = True
            assert (await fleet.route("b", request)).outcome is _UNKNOWN
            fleet.objects.is_down = False
            for key in fleet.objects.content:
                fleet.objects.content[key] = body[:-1]
            assert (await fleet.route("b", request)).outcome is _UNKNOWN

    _run(test)


def test_outage_of_the_store() -> None:
    """Guards against false "not run", and against IDs lost to an outage."""

    async def test() -> None:
        fleet = _build_fleet()
        request = fleet.make_request(100 * harness.SECOND, is_repeatable=False)
        fleet.tables.set_down(True)
        refused = await fleet.route("a", request)
        assert (refused.outcome, refused.code) == (
            _NOT_RUN,
            errors.ErrorCode.STORE_UNAVAILABLE,
        )
        assert refused.retry_after is not None
        query = await fleet.route("a", fleet.make_request())
        assert query.outcome is _ANSWERED
        fleet.tables.set_down(False)
        # The write takes effect, then the store goes out for ten seconds.
        fleet.tables.add_commit_faults(_LOST_ANSWER)
        task = asyncio.create_task(
            fleet.instances["a"].router.route_request(request)
        )
        while not fleet.tables.commit_count:
            await asyncio.sleep(0)
        fleet.tables.set_down(True)
        assert (await task).outcome is _NOT_RUN
        await fleet.clock.advance(10 * harness.SECOND)
        fleet.tables.set_down(False)
        await fleet.settle()
        assert (await fleet.route("b", request)).outcome is _ANSWERED

    _run(test)


def test_unfinished_request_is_unknown_and_re_used_id_is_refused() -> None:
    """Guards against double charges by impatient or faulty callers."""

    async def test() -> None:
        fleet = _build_fleet()
        fleet.runners.default = harness.Run(length=harness.SECOND)
        request = fleet.make_request(is_repeatable=False)
        first = asyncio.create_task(
            fleet.instances["a"].router.route_request(request)
        )
        await fleet.clock.advance(100 * harness.MS)
        assert (await fleet.route("b", request)).outcome is _UNKNOWN
        other = fleet.make_request(
            is_repeatable=False, request_id="q0", body=b"other"
        )
        for _ in range(2):
            answer = await fleet.route("b", other)
            assert (answer.outcome, answer.code, answer.status) == (
                _NOT_RUN,
                errors.ErrorCode.DUPLICATE_REQUEST,
                409,
            )
            done = await fleet.finish(asyncio.wait_for(first, None))
            assert done.outcome is _ANSWERED
        assert fleet.runners.count_runs("q0") == 1

    _run(test)


def test_concurrent_submissions_run_once() -> None:
    """Guards against two entry instances that both run a request."""

    async def test() -> None:
        fleet = _build_fleet()
        request = fleet.make_request(is_repeatable=False)
        answers = await fleet.finish(
            asyncio.wait_for(
                asyncio.gather(
                    *(
                        fleet.instances[name].router.route_request(request)
                        for name in "abab"
                    )
                ),
                None,
            )
        )
        outcomes = [answer.outcome for answer in answers]
        assert outcomes.count(_ANSWERED) == 1
        assert outcomes.count(_UNKNOWN) == 3
        assert fleet.runners.count_runs("q0") == 1

    _run(test)


def test_id_is_usable_again_after_not_run() -> None:
    """Guards against IDs that stay "unknown" after a true refusal."""

    async def test() -> None:
        fleet = _build_fleet()
        fleet.runners.script = iter([harness.Run(is_refused=True)] * 6)
        request = fleet.make_request(is_repeatable=False)
        assert (await fleet.route("a", request)).outcome is _NOT_RUN
        await fleet.clock.advance(10 * harness.SECOND)
        retry = fleet.make_request(is_repeatable=False, request_id="q0")
        assert (await fleet.route("b", retry)).outcome is _ANSWERED
        assert (await fleet.route("a", retry)).body == b"q0#1"

    _run(test)


def test_rows_expire() -> None:
    """Guards against a table that grows for ever, and early removal."""

    async def test() -> None:
        fleet = _build_fleet()
        fleet.runners.default.changes["body"] = b"x" * 40_000
        journal = routing.RequestJournal(
            fleet.clock, fleet.tables, fleet.objects
        )
        request = fleet.make_request(is_repeatable=False)
        await fleet.route("a", request)
        broken = platform.Write(
            platform.Table.REQUESTS, "broken", {"state": "?"}
        )
        await fleet.tables.commit(platform.Transaction((), (broken,)))
        answer = await fleet.route(
            "a", fleet.make_request(is_repeatable=False, request_id="broken")
        )
        assert answer.outcome is _UNKNOWN
        assert await journal.remove_expired() == 0
        await fleet.clock.advance(datetime.timedelta(hours=25))
        later = fleet.make_request(is_repeatable=False, request_id="q0")
        await fleet.route("a", later)
        assert fleet.runners.count_runs("q0") == 2
        await fleet.clock.advance(datetime.timedelta(hours=25))
        assert await journal.remove_expired() == 1
        rows = await fleet.tables.scan_rows(platform.Table.REQUESTS, "")
        assert [row.key for row in rows] == ["broken"]

    _run(test)
