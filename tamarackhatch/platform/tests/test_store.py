"""Tests that the store client tells failed writes from unknown outcomes."""

import asyncio
import contextlib
import datetime
import typing

import orjson
import pytest

from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch import transport

_TIMEOUT = datetime.timedelta(seconds=1)
_REF = model.RowRef("jobs", "a", "00")


class _FixedClient:
    """Answers every call with the same result, and records the calls."""

    def __init__(self, result: transport.Answer | Exception) -> None:
        self._result = result
        self.calls: list[transport.Call] = []

    async def send(self, call: transport.Call) -> transport.Answer:
        self.calls.append(call)
        if isinstance(self._result, Exception):
            raise self._result
        return self._result


def _make_store(
    result: transport.Answer | Exception,
) -> tuple[platform.PlatformStore, _FixedClient]:
    client = _FixedClient(result)
    return (
        platform.PlatformStore(typing.cast(typing.Any, client), "h:1"),
        client,
    )


def _write(
    result: transport.Answer | Exception,
) -> model.Committed | model.Conflict:
    store, _ = _make_store(result)
    return asyncio.run(
        store.write([(_REF, 0)], [model.Put(_REF, b"x")], [], _TIMEOUT)
    )


@pytest.mark.parametrize(
    ("result", "error"),
    [
        (transport.Answer(503, b""), model.StoreUnavailableError),
        (transport.Answer(429, b""), model.StoreBusyError),
        (transport.Answer(507, b""), model.StoreUnavailableError),
        (transport.CallNotSentError("-"), model.StoreUnavailableError),
        (transport.CallLostError("-"), model.StoreOutcomeUnknownError),
        (transport.Answer(200, b"{"), model.StoreOutcomeUnknownError),
    ],
)
def test_failed_write_says_whether_it_may_be_applied(
    result: transport.Answer | Exception, error: type[Exception]
) -> None:
    """Guards against reporting a write as failed that may be applied."""
    with pytest.raises(error):
        _write(result)


def test_write_encodes_conditions_and_values() -> None:
    """Guards against transaction bodies without the published form."""
    store, client = _make_store(
        transport.Answer(200, b'{"schema_version":7,"now_ms":1}')
    )
    result = asyncio.run(
        store.write([(_REF, 3)], [model.Put(_REF, b"x")], [_REF], _TIMEOUT)
    )
    assert result == model.Committed(7)
    name = {"table": "jobs", "part": "a", "key": "00"}
    assert orjson.loads(client.calls[0].body or b"") == {
        "expected_rev": [{**name, "schema_version": 3}],
        "puts": [{**name, "value": "eA=="}],
        "remove": [name],
    }


def test_conflict_returns_the_current_rows() -> None:
    """Guards against conflicts that lose the value or version of a row."""
    row = {
        "table": "jobs",
        "part": "a",
        "key": "00",
        "value": "eA==",
        "schema_version": 5,
    }
    result = _write(transport.Answer(412, orjson.dumps({"rows": [row]})))
    assert result == model.Conflict((model.Row(_REF, b"x", 5),))


def test_lost_history_and_outage_raise_different_errors() -> None:
    """Guards against retrying a feed whose history the store has dropped.

    The table has to be read again instead.
    """
    store, _ = _make_store(transport.Answer(410, b""))
    with pytest.raises(model.HistoryLostError):
        asyncio.run(store.follow("jobs", 5, _TIMEOUT))


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"rows":5}', b'{"rows":[{"value":"%"}]}']
)
def test_malformed_answer_raises_store_unavailable(body: bytes) -> None:
    """Guards against a crash on a body that breaks the protocol."""
    store, _ = _make_store(transport.Answer(200, body))
    with pytest.raises(model.StoreUnavailableError):
        asyncio.run(store.read("jobs", "a", _TIMEOUT))


@pytest.mark.parametrize(
    "value", ["%", "eA=", "\u0665", "eA==\n", 7, [], {"a": [[]]}, True, None]
)
@pytest.mark.parametrize("is_feed", [False, True])
def test_row_of_unreadable_bytes_does_not_hide_the_others(
    value: object, is_feed: bool
) -> None:
    """Guards against a feed that stays at a version for ever.

    Such a row has no value, which its reader takes for a malformed one.
    """
    rows = [
        {
            "table": "servers",
            "part": "",
            "key": key,
            "value": content,
            "schema_version": 5,
        }
        for key, content in (("i-0", "eA=="), ("i-1", value), ("i-2", "eQ=="))
    ]
    body = orjson.dumps({"rows": rows, "schema_version": 7})
    store, _ = _make_store(transport.Answer(200, body))
    page: model.RowPage | model.FeedPage
    if is_feed:
        page = asyncio.run(store.follow("servers", 1, _TIMEOUT))
    else:
        page = asyncio.run(store.read("servers", "", _TIMEOUT))
    assert [(row.ref.key, row.value) for row in page.rows] == [
        ("i-0", b"x"),
        ("i-1", b""),
        ("i-2", b"y"),
    ]
    assert page.version == 7


@pytest.mark.parametrize(
    ("result", "is_alive"),
    [
        (transport.Answer(200, b'{"schema_version":7}'), True),
        (transport.Answer(412, b'{"rows":[]}'), True),
        (transport.Answer(429, b""), False),
        (transport.Answer(503, b""), False),
        (transport.Answer(502, b""), False),
        (transport.CallNotSentError("-"), False),
        (transport.CallLostError("-"), False),
    ],
)
def test_only_answers_that_serve_are_signs_of_life(
    result: transport.Answer | Exception, is_alive: bool
) -> None:
    """Guards against waiting for a store that serves this instance nothing."""
    answers = 0

    def count_answer() -> None:
        nonlocal answers
        answers += 1

    store = platform.PlatformStore(
        typing.cast(typing.Any, _FixedClient(result)),
        "h:1",
        on_answer=count_answer,
    )
    with contextlib.suppress(
        model.StoreUnavailableError, model.StoreOutcomeUnknownError
    ):
        asyncio.run(
            store.write([(_REF, 0)], [model.Put(_REF, b"x")], [], _TIMEOUT)
        )
    assert answers == int(is_alive)


def test_second_attempt_needs_a_new_connection() -> None:
    """Guards against two attempts that wait on dead connections."""
    store, client = _make_store(
        transport.Answer(200, b'{"schema_version":7,"rows":[]}')
    )

    async def call_twice(is_hedge: bool) -> None:
        put = model.Put(_REF, b"x")
        await store.write([(_REF, 0)], [put], [], _TIMEOUT, is_hedge=is_hedge)
        await store.read("jobs", "a", _TIMEOUT, is_hedge=is_hedge)

    asyncio.run(call_twice(False))
    asyncio.run(call_twice(True))
    needed = [call.needs_new_connection for call in client.calls]
    assert needed == [False, False, True, True]
