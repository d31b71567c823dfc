"""Tests that valid bodies are decoded and malformed ones rejected."""

import datetime
import typing

import orjson
import pytest

from tamarackhatch import model
from tamarackhatch import platform

_RUNNER_ENTRY: dict[str, typing.Any] = {
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
    "news": True,
}
_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_QUEUE = model.Queue("q", "h", "/p/", "office")


def _make_runner_row(entry: object) -> model.Row:
    return model.Row(
        model.RowRef(platform.RUNNERS_TABLE, "", "i-1"),
        orjson.dumps(entry),
        1,
    )


def test_runner_entry_is_decoded() -> None:
    """Guards against unread published fields, and failures on unknown ones."""
    runner = platform.decode_runner(_make_runner_row(_RUNNER_ENTRY))
    assert runner.is_draining
    assert runner.remaining == datetime.timedelta(seconds=2)
    assert runner.capacity == model.Resources(16000, 32768, 1)
    assert runner.rack == "r1-3"
    assert runner.incarnation == 17


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": 5},
        {"service": None},
        {"address": "nowhere"},
        {"capacity": 7},
        {"capacity": {"cpu": -1}},
        {"capacity": {"cpu": "many"}},
        {"capacity": {"cpu": 1, "mem_mb": 1}},
        {"capacity": {"cpu": 2**31, "mem_mb": 1, "gpu": 0}},
        {"capacity": {"cpu": 1, "mem_mb": 1e300, "gpu": 0}},
        {"capacity": {"cpu": 1, "mem_mb": 1, "gpu": True}},
        {"labels": [1]},
        {"labels": None},
        {"labels": {}},
        {"labels": ["x" * 201]},
        {"labels": ["x"] * 33},
        {"service": ""},
        {"service": "x" * 201},
        {"version": 1},
        {"slots": "8"},
        {"slots": 8.5},
        {"seq": None},
        {"seq": 2**54},
        {"cold_remaining_ms": "0"},
        {"cold_remaining_ms": -1e300},
        {"remaining_ms": 2**54},
        {"remaining_ms": "soon"},
        {"born": "today"},
        {"born": 17.5},
        {"born": 2**54},
        {"zone": None},
        {"zone": "x" * 201},
        {"address": "a" * 64 + ":80"},
        {"address": ("a" * 63 + ".") * 4 + "a:80"},
        {"address": "10.0.0.9:00080"},
        {"address": "10.0.0.09:80"},
        {"address": "10.0.9:80"},
        {"address": "0x7f000001:80"},
        {"address": "-a:80"},
        {"address": "a..b:80"},
        {"address": "a.:80"},
        {"address": "255.255.255.255:80"},
        {"address": "224.0.0.1:80"},
    ],
)
def test_malformed_runner_entry_is_rejected(
    change: dict[str, typing.Any],
) -> None:
    """Guards against starting tasks at an entry that describes no runner."""
    with pytest.raises(platform.MalformedBodyError):
        platform.decode_runner(_make_runner_row({**_RUNNER_ENTRY, **change}))


@pytest.mark.parametrize("name", sorted(_RUNNER_ENTRY))
def test_runner_entry_without_a_field_names_no_runner(name: str) -> None:
    """Guards against a guess at what an incomplete entry means."""
    entry = {**_RUNNER_ENTRY}
    del entry[name]
    row = _make_runner_row(entry)
    if name in ("news", "born", "remaining_ms"):
        platform.decode_runner(row)
        return
    with pytest.raises(platform.MalformedBodyError, match=name):
        platform.decode_runner(row)


@pytest.mark.parametrize(
    "change",
    [
        {"address": "a:1"},
        {"address": "runner_1.example-2.net:65535"},
        {"address": "10.0.0.9:1"},
        {"capacity": {"cpu": 0, "mem_mb": 2**30, "gpu": 0}},
        {"capacity": {"cpu": 16000.0, "mem_mb": 1, "gpu": 0}},
        {"labels": []},
        {"zone": ""},
        {"remaining_ms": 0.5},
        {"clock_ms": 1e300, "more": [[[]]]},
    ],
)
def test_unusual_runner_entry_is_decoded(
    change: dict[str, typing.Any],
) -> None:
    """Guards against rejecting a sound runner."""
    platform.decode_runner(_make_runner_row({**_RUNNER_ENTRY, **change}))


@pytest.mark.parametrize(
    "change, seconds",
    [
        ({"clock_ms": 482113}, 482.113),
        ({"clock_ms": 0}, 0),
        ({"clock_ms": -1}, None),
        ({"clock_ms": 1e300}, None),
        ({"clock_ms": "482113"}, None),
        ({"clock_ms": True}, None),
        ({"clock_ms": None}, None),
        ({}, None),
    ],
)
def test_clock_of_a_runner_entry_is_decoded(
    change: dict[str, typing.Any], seconds: float | None
) -> None:
    """Guards against proofs from a clock that the entry does not state."""
    entry = {**_RUNNER_ENTRY, **change}
    if not change:
        entry.pop("clock_ms", None)
    reading = platform.decode_runner(_make_runner_row(entry)).clock_reading
    expected = None if seconds is None else datetime.timedelta(seconds=seconds)
    assert reading == expected


def test_published_example_of_a_runner_entry_is_decoded() -> None:
    """Guards against rejecting what the users' runners write."""
    value = (
        b'{"service":"huvo11a","address":"10.128.0.9:8080","zone":"tay-a",'
        b'"version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,'
        b'"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},'
        b'"labels":["a","r1-3"],"clock_ms":482113,"seq":4}'
    )
    ref = model.RowRef(platform.RUNNERS_TABLE, "", "i-7f3a91c2")
    runner = platform.decode_runner(model.Row(ref, value, 1))
    assert runner.capacity == model.Resources(16000, 32768, 0)
    assert runner.incarnation == 0
    assert runner.clock_reading == datetime.timedelta(seconds=482.113)


@pytest.mark.parametrize(
    "key", ["", " ", "i 1", "i\n", "i\0", "i-\xe9", "\ud800", "x" * 201]
)
def test_odd_key_names_no_runner(key: str) -> None:
    """Guards against an identifier that no header can hold."""
    row = model.Row(
        model.RowRef(platform.RUNNERS_TABLE, "", key),
        orjson.dumps(_RUNNER_ENTRY),
        1,
    )
    with pytest.raises(platform.MalformedBodyError, match="key"):
        platform.decode_runner(row)


@pytest.mark.parametrize("size", [10, 1_000, 100_000])
def test_reason_of_an_unusable_entry_is_short(size: int) -> None:
    """Guards against log lines as long as what another writer stores."""
    text = "x" * size
    for change in (
        {"state": text},
        {"address": text},
        {"service": [text]},
        {"labels": [text] * 40},
        {"capacity": {text: text}},
    ):
        with pytest.raises(platform.MalformedBodyError) as caught:
            platform.decode_runner(
                _make_runner_row({**_RUNNER_ENTRY, **change})
            )
        assert len(caught.value.message) < 100


def _decode_job(document: object) -> model.Job:
    return platform.decode_job("00", _QUEUE, orjson.dumps(document), _NOW)


def test_job_is_decoded() -> None:
    """Guards against wire fields that end in the wrong attribute."""
    job = _decode_job(
        {
            "spec": "text",
            "steps": [
                {"count": 2, "cpu": 500, "mem_mb": 1, "long_running": True},
                {"count": 1, "after": [0], "fills": True, "image": "x"},
            ],
            "repeat_count": 3,
            "first_run_ms": 1000,
            "interval_ms": 500,
        }
    )
    assert job.steps[0].is_long_running and job.steps[1].is_best_effort
    assert job.steps[1].after == (0,)
    assert job.schedule is not None and job.schedule.count == 3
    assert job.occurrences == 3


@pytest.mark.parametrize(
    ("document", "message"),
    [
        ([], "not a JSON object"),
        ({"steps": []}, "at least one step"),
        ({"steps": [{"count": 0}]}, r"steps\[0\].count"),
        ({"steps": [{"count": 1, "after": [0]}]}, r"steps\[0\].after"),
        ({"steps": [{"count": 1, "cpu": -5}]}, "negative"),
        ({"spec": "x" * 4001, "steps": [{"count": 1}]}, "4000 bytes"),
        ({"steps": [{"count": 99999}]}, "tasks"),
    ],
)
def test_malformed_job_is_rejected_with_the_location(
    document: object, message: str
) -> None:
    """Guards against errors that do not say what is wrong, and where."""
    with pytest.raises(platform.MalformedJobError, match=message):
        _decode_job(document)


def test_longest_prefix_selects_the_queue() -> None:
    """Guards against a choice of the shorter prefix when two routes match."""
    routes = [
        {"name": "a", "host": "h", "path_prefix": "/p/", "service": "s"},
        {"name": "b", "host": "h", "path_prefix": "/p/q/", "service": "s"},
    ]
    configuration = platform.decode_configuration(
        orjson.dumps({"version": 3, "routes": routes, "services": []})
    )
    queue = configuration.find_queue("h", "/p/q/00")
    assert queue is not None and queue.name == "b"
    assert configuration.find_queue("other", "/p/q/00") is None


@pytest.mark.parametrize(
    ("key", "data_centre"),
    [
        ("evacuate/z-1", "z-1"),
        ("evacuate/a/b", "a/b"),
        ("evacuate/", None),
        ("evacuate", None),
        ("evacuate0", None),
        ("config", None),
    ],
)
def test_key_of_an_evacuation_is_decoded(
    key: str, data_centre: str | None
) -> None:
    """Guards against missed orders, and other rows taken for orders."""
    assert platform.get_evacuated_data_centre(key) == data_centre
    is_in_range = (
        platform.FIRST_EVACUATION_KEY <= key < platform.EVACUATION_KEYS_END
    )
    assert is_in_range or data_centre is None
