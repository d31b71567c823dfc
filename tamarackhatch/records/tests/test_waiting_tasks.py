"""Tests the row of tasks that run nowhere when a term is handed over."""

import pytest

from tamarackhatch import model
from tamarackhatch import records

_TASK = model.TaskKey("5c0e7a21d94b36f8", 0, 1, 17)


def test_row_keeps_its_form() -> None:
    """Guards against a row that schedulers of other builds cannot read."""
    value = b'{"term":7,"tasks":[["5c0e7a21d94b36f8",0,1,17]]}'
    assert records.encode_waiting_tasks(7, [_TASK]) == value
    decoded = records.decode_waiting_tasks(value)
    assert decoded == records.WaitingTasks(7, (_TASK,))


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"tasks":[]}',
        b'{"term":"7","tasks":[]}',
        b'{"term":7,"tasks":[["job",0,1]]}',
        b'{"term":7,"tasks":[["job",0,1,"17"]]}',
        b'{"term":7,"tasks":null}',
    ],
)
def test_malformed_row_is_refused(value: bytes) -> None:
    """Guards against an unexpected error at a takeover."""
    with pytest.raises(records.MalformedRowError):
        records.decode_waiting_tasks(value)


def test_last_tasks_are_left_out_of_a_full_row() -> None:
    """Guards against a row that the store refuses for its size."""
    tasks = [model.TaskKey("f" * 16, 0, 0, index) for index in range(4_000)]
    value = records.encode_waiting_tasks(1, tasks)
    assert len(value) < 65_536
    kept = records.decode_waiting_tasks(value).tasks
    assert 1_000 < len(kept) < len(tasks)
    assert list(kept) == tasks[: len(kept)]
