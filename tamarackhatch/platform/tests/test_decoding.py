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
        {"labels": [1]},
        {"born": "today"},
    ],
)
def test_malformed_runner_entry_is_rejected(
    change: dict[str, typing.Any],
) -> None:
    """Guards against starting tasks at an entry that describes no runner."""
    with pytest.raises(platform.MalformedBodyError):
        platform.decode_runner(_make_runner_row({**_RUNNER_ENTRY, **change}))


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
