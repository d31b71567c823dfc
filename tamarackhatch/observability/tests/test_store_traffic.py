"""Tests of StoreTraffic."""

import asyncio
import os
import pathlib

import orjson
import pytest

from standins import virtual_time
from tamarackhatch import observability


@pytest.mark.parametrize(
    ("answers", "logged"),
    [
        ([100, 200], None),
        ([70_000, 500], [2, 0, 70_500]),
        ([100, None], [2, 1, 100]),
    ],
    ids=["little", "bulk", "unanswered"],
)
def test_busy_seconds_are_logged_by_kind_and_table(
    tmp_path: pathlib.Path,
    answers: list[int | None],
    logged: list[int] | None,
) -> None:
    """Guards against a full link of which the log does not name the cause."""
    path = tmp_path / "log"
    metrics = observability.Metrics()

    async def run_scenario() -> None:
        time_source = virtual_time.VirtualClock(asyncio.get_running_loop())
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
        sink = observability.LineSink(descriptor, time_source, 1000)
        log = observability.Log(sink, time_source, observability.LevelFilter())
        traffic = observability.StoreTraffic(time_source, log, metrics)
        task = asyncio.create_task(traffic.run())
        for answer_bytes in answers:
            traffic.record_call("feed", "op", answer_bytes)
        await asyncio.sleep(1.5)
        task.cancel()
        os.close(descriptor)

    virtual_time.run_virtually(run_scenario())
    lines = [orjson.loads(line) for line in path.read_bytes().splitlines()]
    expected = [] if logged is None else [{"feed op": logged}]
    assert [line["by_kind"] for line in lines] == expected
    total = sum(answer for answer in answers if answer is not None)
    name = 'tamarackhatch_store_answer_bytes_total{kind="feed",table="op"}'
    assert f"{name} {float(total)}".encode() in metrics.render()
