"""How often runners are asked while the scheduler's event loop is late."""

import asyncio
import datetime

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch.scheduler import _renewal_pace

_MS = datetime.timedelta(milliseconds=1)


@pytest.mark.parametrize(
    ("lateness_ms", "interval_ms"),
    [(0, 100), (8, 100), (20, 200), (50, 500), (80, 800), (2000, 800)],
)
def test_interval_follows_the_lateness_of_timers(
    lateness_ms: int, interval_ms: int
) -> None:
    """Guards against reports that keep placements waiting."""
    pace = _renewal_pace.RenewalPace()
    for _ in range(500):
        pace.record_timer(lateness_ms * _MS)
    assert abs(pace.interval - interval_ms * _MS) < 5 * _MS
    for _ in range(500):
        pace.record_timer(0 * _MS)
    assert pace.interval == 100 * _MS


def test_single_late_timer_changes_nothing() -> None:
    """Guards against exits that are known late after one long pass."""
    pace = _renewal_pace.RenewalPace()
    pace.record_timer(200 * _MS)
    assert pace.interval == 100 * _MS


class _LateClock(virtual_time.VirtualClock):
    """Clock of a process whose timers are late, as on a busy processor."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        await super().sleep(duration + 160 * _MS)


def _plan_run(task: str, _run: int) -> tuple[float, str]:
    return 0.15 + int(task.rsplit(".", 1)[1]) % 7 / 30, "done"


@pytest.mark.parametrize(
    ("is_late", "most"),
    [pytest.param(False, 10.0, id="idle"), pytest.param(True, 2.2, id="busy")],
)
def test_busy_scheduler_asks_each_runner_less_often(
    is_late: bool, most: float
) -> None:
    """Guards against a report for each exit when there are too many."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(10, _plan_run)
        if is_late:
            fleet.clock = _LateClock(asyncio.get_running_loop())
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(4)
        step = model.Step(600, model.Resources(4000, 10))
        await fleet.submit("00", step)
        await asyncio.sleep(3)
        leader = fleet.get_leader()
        assert leader is not None
        renewals = leader.metrics.commands.labels("renew", "accepted")
        before = renewals._value.get()
        await asyncio.sleep(2)
        rate = (renewals._value.get() - before) / 2 / len(fleet.runners)
        assert 1.0 <= rate <= most
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 120)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("late_timers", "lateness_ms", "timers", "gap_ms"),
    [
        pytest.param(500, 80, 4, 5000, id="quiet fleet after a busy time"),
        pytest.param(500, 2000, 100, 100, id="busy fleet after a stall"),
        pytest.param(3, 5000, 1, 800, id="small fleet after a stall"),
    ],
)
def test_interval_is_usual_again_within_seconds(
    late_timers: int, lateness_ms: int, timers: int, gap_ms: int
) -> None:
    """Guards against reports that stay rare where few timers are set."""
    pace = _renewal_pace.RenewalPace()
    now = 1000 * _MS
    for _ in range(late_timers):
        pace.record_timer(lateness_ms * _MS, now)
    for _ in range(timers):
        now += gap_ms * _MS
        pace.record_timer(0 * _MS, now)
    assert pace.interval == 100 * _MS
