"""Log lines on what the placement passes leave waiting."""

import asyncio
import pathlib
import typing

import orjson
import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model

_WIDE = model.Step(1, model.Resources(16_000, 100))
_HALF = model.Step(1, model.Resources(9_000, 100))
_SMALL = model.Step(1, model.Resources(1_000, 100))
_MEMORY_HOLDER = model.Step(
    1, model.Resources(1_000, 62_000), is_best_effort=True
)
_MEMORY_NEEDER = model.Step(1, model.Resources(1_000, 3_000))


@pytest.mark.parametrize(
    ("running", "waiting", "lacking", "pieces"),
    [
        pytest.param(
            [_WIDE, _WIDE], _WIDE, "processors", [0, 0, 0, 0, 0], id="full"
        ),
        pytest.param(
            [_HALF, _HALF],
            _WIDE,
            "processors",
            [0, 14_000, 0, 0, 0],
            id="what is free lies in two pieces",
        ),
    ],
)
def test_log_tells_what_waiting_tasks_lack(
    tmp_path: pathlib.Path,
    running: list[model.Step],
    waiting: model.Step,
    lacking: str,
    pieces: list[int],
) -> None:
    """Guards against a wait that the logs do not explain."""
    log = tmp_path / "log"

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            2, lambda _task, _number: (60.0, "done"), log_path=str(log)
        )
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        for number, step in enumerate(running):
            await fleet.submit(f"busy-{number}", step)
        await fleet.submit("waits", waiting)
        await asyncio.sleep(3)

    virtual_time.run_virtually(simulate())
    lines = [orjson.loads(line) for line in log.read_bytes().splitlines()]
    work = _find_last(lines, "waiting_work")
    assert work["queue"] == standin_fleet.QUEUE.name
    assert work["lacking"] == {lacking: 1}
    assert work["oldest_ms"] >= 1000
    room = _find_last(lines, "free_room")
    assert room["cpu_in_pieces"] == pieces
    assert room["batch_cpu"] == sum(
        step.resources.processors for step in running
    )


@pytest.mark.parametrize(
    ("is_draining", "occupying", "expected"),
    [
        pytest.param(
            True,
            _SMALL,
            {"large_cpu": 0, "closed_cpu": {"draining": 16_000}},
            id="draining",
        ),
        pytest.param(
            False,
            _MEMORY_HOLDER,
            {
                "large_cpu": 16_000,
                "large_memory_mb": 2_000,
                "best_effort_memory_mb": 62_000,
                "closed_cpu": {},
            },
            id="memory taken by a best-effort task",
        ),
    ],
)
def test_log_tells_what_keeps_tasks_from_large_pieces(
    tmp_path: pathlib.Path,
    is_draining: bool,
    occupying: model.Step,
    expected: dict[str, object],
) -> None:
    """Guards against free room that looks as if tasks could use it."""
    log = tmp_path / "log"

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            1, lambda _task, _number: (60.0, "done"), log_path=str(log)
        )
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        if is_draining:
            fleet.runners[0].state = "draining"
        await fleet.submit("busy", occupying)
        await asyncio.sleep(2)
        await fleet.submit("waits", _MEMORY_NEEDER)
        await asyncio.sleep(3)

    virtual_time.run_virtually(simulate())
    lines = [orjson.loads(line) for line in log.read_bytes().splitlines()]
    room = _find_last(lines, "free_room")
    assert {name: room[name] for name in expected} == expected


def _find_last(
    lines: list[dict[str, typing.Any]], event: str
) -> dict[str, typing.Any]:
    return next(line for line in reversed(lines) if line["event"] == event)
