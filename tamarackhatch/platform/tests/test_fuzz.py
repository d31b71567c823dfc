"""Fuzzes the decoders of everything that other systems send or store.

Each decoder may return a value or raise its declared error, and nothing else.
The examples are derived from the tests alone, so that CI repeats them.
"""

import asyncio
from collections.abc import Callable
import copy
import datetime
import json
import typing
import zlib

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch import transport

_SECOND = datetime.timedelta(seconds=1)
_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_QUEUE = model.Queue("q", "h", "/p/", "office")
_RUNNER = model.Runner(
    "i-1", "office", "10.0.0.9:8080", "z", False, model.Resources()
)
_AUTHORITY = platform.Authority(1, lambda: True)
_COMMAND = platform.RunCommand(model.TaskKey("00", 0, 0, 0), 1)
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.sampled_from([1e308, 2**53, -1, "", "ready", "00.0.0.0"])
    | strategies.text(max_size=12),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    max_leaves=8,
)

_STEP = {
    "count": 2,
    "cpu": 500,
    "mem_mb": 256,
    "est_runtime_ms": 900,
    "after": [0],
    "target_ms": 50,
}
_JOB_BODY = {
    "spec": "text",
    "steps": [{"count": 1, "cpu": 1}, _STEP],
    "repeat_count": 3,
    "first_run_ms": 1_000,
    "interval_ms": 500,
}
_CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/p/",
            "priority": 1,
            "service": "office",
            "max_attempts": 4,
            "stretch": 1.5,
            "target_latency_ms": 400,
            "advice": {"decision_ms": 1, "period_ms": 2, "validity_ms": 3},
        }
    ],
    "services": [{"name": "office", "enforces_capacity": True}],
    "limits": {"max_header_bytes": 1, "header_timeout_ms": 3000},
}
_REGISTRY_ENTRY = {
    "service": "office",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "seq": 4,
    "cold_remaining_ms": 0,
    "state": "draining",
    "remaining_ms": 2000,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "born": 17,
}
_REPORT = {
    "born": 17,
    "clock_ms": 482113,
    "running": [["00.0.0.0", 1, "checkpoint", 41, 12]],
    "ended": [[58, "00.0.0.1", 1, "done", ""]],
}
_REJECTION = {"clock_ms": 1, "reason": "old"}
_ADVICE = {"allowed": [["i-1", "ticket"]], "validity_ms": 3000}
_ROWS = {
    "rows": [
        {
            "table": "jobs",
            "part": "a",
            "key": "00",
            "value": "eA==",
            "schema_version": 5,
            "deleted": False,
        }
    ],
    "has_more": False,
    "schema_version": 7,
    "now_ms": 5,
}
_PROGRESS = {
    "s": "running",
    "f": 1,
    "o": {"1": {"d": {"0": "f"}, "t": [[0, 1, 2, [1], "x"]]}},
}
_HEARTBEAT = {
    "instance": "a",
    "incarnation": "b",
    "term": 3,
    "count": 1,
    "is_released": False,
    "pending": {"q": 1},
}


def _replace_part(
    value: typing.Any, path: list[int], replacement: typing.Any
) -> typing.Any:
    """Replaces the part of a JSON value to which a path of indices leads."""
    if not path or not isinstance(value, (dict, list)) or not value:
        return replacement
    changed = copy.copy(value)
    keys = list(value) if isinstance(value, dict) else range(len(value))
    key = keys[path[0] % len(keys)]
    if replacement is None and len(path) == 1:
        del changed[key]
        return changed
    changed[key] = _replace_part(value[key], path[1:], replacement)
    return changed


def _make_bodies(valid: object) -> strategies.SearchStrategy[bytes]:
    """Returns a strategy of bodies that are similar to a valid one."""
    paths = strategies.lists(strategies.integers(0, 9), max_size=5)
    changed = strategies.builds(
        lambda path, part: json.dumps(_replace_part(valid, path, part)),
        paths,
        _JSON,
    ).map(str.encode)
    cut = strategies.integers(0, 40).map(
        lambda length: orjson.dumps(valid)[:length]
    )
    return changed | cut | strategies.binary(max_size=20)


class _FixedClient:
    """Answers every call with the same status and body."""

    def __init__(self, status: int, body: bytes) -> None:
        self._answer = transport.Answer(status, body)

    async def send(self, call: transport.Call) -> transport.Answer:
        return self._answer


def _make_client(status: int, body: bytes) -> typing.Any:
    return _FixedClient(status, body)


def _decode_registry_entry(body: bytes) -> object:
    row = model.Row(model.RowRef(platform.RUNNERS_TABLE, "", "i"), body, 1)
    return platform.decode_runner(row)


def _renew(status: int) -> Callable[[bytes], object]:
    return lambda body: asyncio.run(
        platform.RunnerClient(_make_client(status, body)).renew(
            _RUNNER, _AUTHORITY, 0, _SECOND, _SECOND
        )
    )


def _stop(body: bytes) -> object:
    client = platform.RunnerClient(_make_client(409, body))
    return asyncio.run(client.stop(_RUNNER, _AUTHORITY, _COMMAND))


def _request_tickets(body: bytes) -> object:
    client = platform.AdviceClient(_make_client(200, body), "h:1")
    return asyncio.run(client.request_tickets(("00", 0, 0), ["i"], _SECOND))


def _read(body: bytes) -> object:
    store = platform.PlatformStore(_make_client(200, body), "h:1")
    return asyncio.run(store.read("jobs", "a", _SECOND))


def _follow(body: bytes) -> object:
    store = platform.PlatformStore(_make_client(200, body), "h:1")
    return asyncio.run(store.follow("jobs", 1, _SECOND))


def _write(status: int) -> Callable[[bytes], object]:
    return lambda body: asyncio.run(
        platform.PlatformStore(_make_client(status, body), "h:1").write(
            [], [], [], _SECOND
        )
    )


_CASES: list[tuple[str, object, Callable[[bytes], object], typing.Any]] = [
    (
        "job body",
        _JOB_BODY,
        lambda body: platform.decode_job("00", _QUEUE, body, _NOW),
        platform.MalformedJobError,
    ),
    (
        "configuration",
        _CONFIGURATION,
        platform.decode_configuration,
        platform.MalformedBodyError,
    ),
    (
        "registry entry",
        _REGISTRY_ENTRY,
        _decode_registry_entry,
        platform.MalformedBodyError,
    ),
    ("report", _REPORT, _renew(200), platform.MalformedBodyError),
    (
        "rejected renewal",
        _REJECTION,
        _renew(409),
        (
            platform.MalformedBodyError,
            platform.FencedError,
            platform.RunnerUnavailableError,
        ),
    ),
    (
        "rejected command",
        _REJECTION,
        _stop,
        platform.RunnerOutcomeUnknownError,
    ),
    ("advice", _ADVICE, _request_tickets, platform.AdviceUnavailableError),
    ("rows", _ROWS, _read, model.StoreUnavailableError),
    ("feed", _ROWS, _follow, model.StoreUnavailableError),
    ("write", _ROWS, _write(200), model.StoreOutcomeUnknownError),
    ("conflict", _ROWS, _write(412), model.StoreOutcomeUnknownError),
    (
        "progress row",
        _PROGRESS,
        records.decode_progress,
        records.MalformedRowError,
    ),
    (
        "own row of divided progress",
        {"parts": 4, "state": "running", "finished": 2, "open": [2, 3]},
        records.decode_progress_row,
        records.MalformedRowError,
    ),
    (
        "part of a progress",
        {"u": [[3, 1, 2, "5", [[5, 7, [7], "0b", [[7, 1]]]]]]},
        records.decode_part,
        records.MalformedRowError,
    ),
    (
        "heartbeat row",
        _HEARTBEAT,
        records.decode_leader_heartbeat,
        records.MalformedRowError,
    ),
    (
        "tracked runners row",
        [["i-1", "10.0.0.9:8080", "office", 17]],
        lambda value: records.decode_tracked_runners(
            [model.Row(records.TRACKED_RUNNERS, value, 1)]
        ),
        records.MalformedRowError,
    ),
    (
        "open starts row",
        {"starts": [["00", 0, 1, 2, 1003, "i-1", 8500]]},
        records.decode_open_starts,
        records.MalformedRowError,
    ),
    (
        "interference row",
        {
            "factors": [["a", "b", 0.5, 0.1]],
            "lowest_tails": {"a": 10},
            "peaks": {"a": 0.5},
        },
        records.decode_interference,
        records.MalformedRowError,
    ),
    (
        "part of a configuration change",
        {"base": 6, "version": 7, "part": 0, "parts": 2},
        records.decode_change_part,
        records.MalformedRowError,
    ),
    (
        "configuration change",
        [
            [["q", "h", "/p/", "office", 1, 3, 1.5, 400.0, [20, 1.5, 3000]]],
            ["old"],
            [["office", True, False]],
            [16384, 262144, 3000.0, 15000.0],
        ],
        lambda body: records.decode_change(
            [records.ChangePart(6, 7, 0, 1, zlib.compress(body))]
        ),
        records.MalformedRowError,
    ),
    (
        "job row",
        orjson.loads(
            records.encode_job(
                platform.decode_job(
                    "00", _QUEUE, orjson.dumps(_JOB_BODY), _NOW
                )
            )
        ),
        lambda body: records.decode_job("00", body),
        records.MalformedRowError,
    ),
]


@pytest.mark.parametrize(
    ("valid", "decode", "error"),
    [case[1:] for case in _CASES],
    ids=[case[0] for case in _CASES],
)
def test_decoder_raises_only_its_declared_error(
    valid: object, decode: Callable[[bytes], object], error: typing.Any
) -> None:
    """Guards against an unexpected error that ends a task of the process."""

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(body=_make_bodies(valid))
    def run_examples(body: bytes) -> None:
        try:
            decode(body)
        except error:
            return

    run_examples()
