"""Tests the row of cordoned runners."""

import pytest

from tamarackhatch import model
from tamarackhatch import records

_TASK = model.TaskKey("5c0e7a21d94b36f8", 0, 1, 17)


def test_row_keeps_its_form() -> None:
    """Guards against a row that schedulers of other builds cannot read."""
    runners = (records.CordonedRunner("i-1", (_TASK,)),)
    value = b'{"runners":[["i-1",[["5c0e7a21d94b36f8",0,1,17]]]]}'
    assert records.encode_cordons(runners) == value
    assert records.decode_cordons(value) == runners


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b"{}",
        b'{"runners":[["i-1"]]}',
        b'{"runners":[["i-1",[["job",0,1]]]]}',
        b'{"runners":[["i-1",[["job",0,1,"17"]]]]}',
        b'{"runners":[[1,[]]]}',
        b'{"runners":null}',
    ],
)
def test_malformed_row_is_refused(value: bytes) -> None:
    """Guards against an unexpected error at a takeover."""
    with pytest.raises(records.MalformedRowError):
        records.decode_cordons(value)


def test_runners_with_most_tasks_are_left_out() -> None:
    """Guards against a row that the store refuses for its size."""
    runners = tuple(
        records.CordonedRunner(
            f"i-{number}",
            tuple(model.TaskKey("f" * 16, 0, 0, i) for i in range(number)),
        )
        for number in range(120)
    )
    value = records.encode_cordons(runners)
    assert len(value) < 65_536
    kept = records.decode_cordons(value)
    assert 50 < len(kept) < len(runners)
    assert kept == runners[: len(kept)]
