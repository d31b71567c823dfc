"""How long starts wait for their record where tasks start all the time."""

import asyncio
import datetime
import statistics

import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch.scheduler import _transaction_pace

_MS = datetime.timedelta(milliseconds=1)
_INTERVAL_MS = _transaction_pace.INTERVAL // _MS


@pytest.mark.parametrize(
    ("has_starts", "has_urgent", "gaps_ms"),
    [
        pytest.param(False, False, [70] * 8, id="no starts"),
        pytest.param(True, False, [0] * 3 + [70] * 5, id="starts"),
        pytest.param(True, True, [0] * 7 + [70], id="urgent starts"),
    ],
)
def test_early_transactions_are_limited(
    has_starts: bool, has_urgent: bool, gaps_ms: list[int]
) -> None:
    """Guards against a transaction for each start, and against waits."""
    pace = _transaction_pace.TransactionPace()
    now = 1000 * _MS
    gaps = []
    for _ in gaps_ms:
        pace.record_transaction(now)
        due = max(now, pace.compute_due(has_starts, has_urgent))
        gaps.append((due - now) // _MS)
        now = due
    assert gaps == gaps_ms


def test_store_that_has_failed_gets_no_early_transactions() -> None:
    """Guards against a store that fails again under waiting starts."""
    pace = _transaction_pace.TransactionPace()
    now = 1000 * _MS
    pace.record_failure(now)
    pace.record_transaction(now + 250 * _MS)
    due = pace.compute_due(True, True)
    assert due == now + 320 * _MS
    pace.record_transaction(now + 2000 * _MS)
    assert pace.compute_due(True, True) <= now + 2000 * _MS


def test_rate_of_transactions_is_bounded() -> None:
    """Guards against calls to the store that grow with the starts."""
    pace = _transaction_pace.TransactionPace()
    now, count = 1000 * _MS, 0
    while now < 11_000 * _MS:
        pace.record_transaction(now)
        count += 1
        now = max(now + 5 * _MS, pace.compute_due(True, True))
    assert count <= 2 * (10_000 / _INTERVAL_MS + 4)


def _plan_run(task: str, _run: int) -> tuple[float, str]:
    return (0.4 if task.startswith("fill") else 0.1), "done"


def test_urgent_task_does_not_wait_behind_records_of_others() -> None:
    """Guards against urgent tasks that wait with hundreds of other starts.

    Without any other start, the record takes two answers of the store.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(20, _plan_run)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        filling = asyncio.create_task(_fill(fleet))
        await asyncio.sleep(2)
        waits = []
        for number in range(20):
            identifier = f"urgent{number}"
            step = model.Step(3, model.Resources(500, 10))
            await fleet.submit(identifier, step)
            accepted = asyncio.get_running_loop().time()
            await asyncio.sleep(0.25)
            starts = [
                run.started
                for run in fleet.history.runs
                if run.task.startswith(identifier + ".")
            ]
            waits.append(max(starts) - accepted)
        filling.cancel()
        assert statistics.median(waits) <= 0.02
        assert max(waits) <= 0.04

    virtual_time.run_virtually(simulate())


async def _fill(fleet: standin_fleet.VirtualFleet) -> None:
    """Starts some 200 best-effort tasks a second."""
    step = model.Step(4, model.Resources(200, 10), is_best_effort=True)
    number = 0
    while True:
        number += 1
        await fleet.submit(f"fill{number}", step)
        await asyncio.sleep(0.01)
