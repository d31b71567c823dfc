"""Gauges of an instance whose scheduler has ended."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model

_GAUGES = (
    "is_scheduler",
    "waiting_tasks",
    "paused_tasks",
    "open_starts",
    "ejected_runners",
    "evacuated_data_centres",
    "loop_lateness_seconds",
)


def _read_gauges(rendered: bytes) -> dict[str, float]:
    values = dict(
        line.rsplit(" ", 1)
        for line in rendered.decode().splitlines()
        if not line.startswith("#")
    )
    return {name: float(values[f"tamarackhatch_{name}"]) for name in _GAUGES}


@pytest.mark.parametrize("is_stopped", [False, True])
def test_gauges_of_a_scheduler_end_with_its_term(is_stopped: bool) -> None:
    """Guards against the last figures of a term beside those of the next."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=0)
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        leader = fleet.get_leader()
        assert leader is not None
        step = model.Step(3, model.Resources(1000, 100))
        await fleet.submit("0a", step, instance=leader.name)
        await asyncio.sleep(3)
        assert _read_gauges(leader.metrics.render())["waiting_tasks"] == 3
        # Stands for figures that this deployment does not have.
        leader.metrics.open_starts.set(2)
        leader.metrics.loop_lateness.set(0.5)
        if is_stopped:
            leader.role.stop()
        else:
            faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
            faults.unreachable_from.add(leader.name)
            await asyncio.sleep(8)
            faults.unreachable_from.clear()
        await fleet.wait_until(lambda: not leader.role.is_active, 10)
        assert _read_gauges(leader.metrics.render()) == dict.fromkeys(
            _GAUGES, 0
        )

    virtual_time.run_virtually(simulate())
