"""Tests of HttpTableService against the stand-in and scripted answers."""

import asyncio
import datetime
import json
import typing

import pytest

from standins import platform as standin
from tamarackhatch import platform
from tamarackhatch.platform.tests import loopback

_JOBS = platform.Table.JOBS
_SHORT = datetime.timedelta(milliseconds=300)


def _build_write(key: str, version: int) -> platform.Transaction:
    return platform.Transaction(
        (platform.Condition(_JOBS, key, version),),
        (platform.Write(_JOBS, key, {"n": version}),),
    )


@pytest.mark.parametrize("key", ["a", "a/b", "..", "%2F", "é ?#&", "a+b"])
def test_rows_round_trip_with_any_key(key: str) -> None:
    """Guards against keys that reach another row after encoding."""

    async def scenario(server: loopback.Loopback) -> None:
        service = platform.HttpTableService(server.pool, server.address)
        assert await service.read_row(_JOBS, key) is None
        assert await service.commit(_build_write(key, 0)) == (1,)
        row = platform.Row(key, 1, {"n": 0})
        assert await service.read_row(_JOBS, key) == row
        assert await service.scan_rows(_JOBS, key[:1]) == (row,)
        with pytest.raises(platform.ConditionFailedError) as caught:
            await service.commit(_build_write(key, 0))
        assert caught.value.failed == (platform.Condition(_JOBS, key, 0),)
        deletion = platform.Transaction(
            (), (platform.Write(_JOBS, key, None),)
        )
        assert await service.commit(deletion) == (0,)
        assert await service.commit(_build_write(key, 0)) == (3,)

    state = standin.PlatformState()
    loopback.run_with_server(standin.build_server(state), scenario)


@pytest.mark.parametrize(
    ("faults", "error", "is_applied"),
    [
        ({"outage": "refuse"}, platform.StoreUnavailableError, False),
        ({"outage": "close"}, platform.StoreOutcomeUnknownError, False),
        ({"outage": "silent"}, platform.StoreOutcomeUnknownError, False),
        ({"slow_ms": 500}, platform.StoreOutcomeUnknownError, True),
        ({"lose_before": 1}, platform.StoreOutcomeUnknownError, False),
        ({"lose_after": 1}, platform.StoreOutcomeUnknownError, True),
    ],
)
def test_commit_tells_not_done_from_unknown(
    faults: dict[str, typing.Any], error: type[Exception], is_applied: bool
) -> None:
    """Guards against a lost answer being taken for a refusal.

    The first commit leaves a connection open. libcurl would send the second
    again after the connection closed, and report a failed condition.
    """

    async def scenario(server: loopback.Loopback) -> None:
        service = platform.HttpTableService(
            server.pool, server.address, _SHORT
        )
        await service.commit(_build_write("first", 0))
        state.faults = standin.Faults(
            **{
                **faults,
                "outage": standin.Outage(faults.get("outage", "none")),
            }
        )
        with pytest.raises(error):
            await service.commit(_build_write("second", 0))
        # A slow store goes on after its caller gave up.
        await asyncio.sleep(0.4)

    state = standin.PlatformState()
    loopback.run_with_server(standin.build_server(state), scenario)
    assert (state.tables.get_row("jobs", "second") is not None) is is_applied
    assert state.counts.writes == 2


_FAILED = {"table": "jobs", "key": "k", "version": 4}


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (200, b"", platform.StoreOutcomeUnknownError),
        (200, b"\xff", platform.StoreOutcomeUnknownError),
        (200, b"[" * 100_000, platform.StoreOutcomeUnknownError),
        (200, b"[5]", platform.StoreOutcomeUnknownError),
        (200, {}, platform.StoreOutcomeUnknownError),
        (200, {"versions": []}, platform.StoreOutcomeUnknownError),
        (200, {"versions": [5, 6]}, platform.StoreOutcomeUnknownError),
        (200, {"versions": [4]}, platform.StoreOutcomeUnknownError),
        (200, {"versions": [True]}, platform.StoreOutcomeUnknownError),
        (200, {"versions": ["5"]}, platform.StoreOutcomeUnknownError),
        (200, b'{"versions": [NaN]}', platform.StoreOutcomeUnknownError),
        (409, {"failed": [_FAILED]}, platform.ConditionFailedError),
        (409, {"failed": []}, platform.StoreOutcomeUnknownError),
        (409, {}, platform.StoreOutcomeUnknownError),
        (
            409,
            {"failed": [{**_FAILED, "key": "other"}]},
            platform.StoreOutcomeUnknownError,
        ),
        (
            409,
            {"failed": [{**_FAILED, "table": "other"}]},
            platform.StoreOutcomeUnknownError,
        ),
        (400, {}, platform.StoreOutcomeUnknownError),
        (302, {}, platform.StoreOutcomeUnknownError),
        (500, {}, platform.StoreOutcomeUnknownError),
        (503, {}, platform.StoreUnavailableError),
    ],
)
def test_commit_refuses_malformed_answers(
    status: int, body: typing.Any, error: type[Exception]
) -> None:
    """Guards against a malformed answer being taken for an outcome."""

    async def scenario(server: loopback.Loopback) -> None:
        service = platform.HttpTableService(server.pool, server.address)
        with pytest.raises(error):
            await service.commit(_build_write("k", 4))

    loopback.run_with_server(_build_server(status, body), scenario)


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (200, b"{", platform.BadPlatformAnswerError),
        (200, {}, platform.BadPlatformAnswerError),
        (
            200,
            {"key": "other", "version": 1, "value": {}},
            platform.BadPlatformAnswerError,
        ),
        (
            200,
            {"key": "k", "version": 0, "value": {}},
            platform.BadPlatformAnswerError,
        ),
        (
            200,
            {"key": "k", "version": 1, "value": []},
            platform.BadPlatformAnswerError,
        ),
        (404, b"<html>no such page</html>", platform.BadPlatformAnswerError),
        (404, {"key": "x", "version": 0}, platform.BadPlatformAnswerError),
        (500, {}, platform.StoreUnavailableError),
        (503, {}, platform.StoreUnavailableError),
    ],
)
def test_read_refuses_malformed_answers(
    status: int, body: typing.Any, error: type[Exception]
) -> None:
    """Guards against a row that appears absent or is another row."""

    async def scenario(server: loopback.Loopback) -> None:
        service = platform.HttpTableService(server.pool, server.address)
        with pytest.raises(error):
            await service.read_row(_JOBS, "k")

    loopback.run_with_server(_build_server(status, body), scenario)


@pytest.mark.parametrize(
    "rows",
    [
        None,
        [1],
        [{"key": "x1", "version": 1, "value": {}}],
        [{"key": "k1", "version": 1, "value": {}}] * 2,
    ],
)
def test_scan_refuses_malformed_answers(rows: typing.Any) -> None:
    """Guards against rows outside the prefix, or twice the same row."""

    async def scenario(server: loopback.Loopback) -> None:
        service = platform.HttpTableService(server.pool, server.address)
        with pytest.raises(platform.BadPlatformAnswerError):
            await service.scan_rows(_JOBS, "k")

    loopback.run_with_server(_build_server(200, {"rows": rows}), scenario)


def _build_server(status: int, body: typing.Any) -> loopback.ScriptedServer:
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return loopback.ScriptedServer([loopback.build_answer(status, body)])
