"""Tests what an operator learns from the log of a takeover."""

import asyncio
import pathlib

import orjson

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model


def test_log_names_the_runners_that_a_takeover_waits_for(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against waiting tasks without a logged reason."""
    path = tmp_path / "log"

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(2, log_path=str(path))
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        runner_faults = fleet.network.get_faults(fleet.runners[1].address)
        runner_faults.unreachable_from.add("*")
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        await fleet.submit("00", model.Step(1, model.Resources(1000, 100)))
        await asyncio.sleep(15)

    virtual_time.run_virtually(simulate())
    lines = [orjson.loads(line) for line in path.read_bytes().splitlines()]
    events = {line["event"]: line for line in lines if "count" in line}
    for event in ("takeover_waits_for_runners", "runners_unreconciled"):
        found = events[event]
        assert found["count"] == 1
        assert found["runners"][0]["runner"] == "i-1"
        assert found["runners"][0]["missed_renewals"]
    assert events["takeover_waits_for_runners"]["paused_tasks"] == 1
    loads = [line for line in lines if line["event"] == "scheduler_load"]
    assert any(line["awaited_runners"] for line in loads)
    finished = [line for line in lines if line["event"] == "takeover_finished"]
    assert finished[-1]["waited_ms"] > 10_000
