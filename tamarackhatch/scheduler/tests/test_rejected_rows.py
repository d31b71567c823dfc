"""Tests transactions that the store rejects because of some of their rows."""

import asyncio
from collections.abc import Callable
import datetime

import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import virtual_time
from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch.scheduler import _rejected_rows

_TASK = model.Resources(processors=500, memory_mb=100)
_SECOND = datetime.timedelta(seconds=1)


@pytest.mark.parametrize("at_fault", [set(), {"00"}, {"07"}, {"03", "11"}])
@pytest.mark.parametrize("groups", [1, 2, 12])
def test_isolator_finds_the_groups_at_fault(
    groups: int, at_fault: set[str]
) -> None:
    """Guards against sound rows that are never written beside faulty ones."""
    names = [f"{number:02}" for number in range(groups)]
    isolator = _rejected_rows.RejectionIsolator(clock.ManualClock())
    open_names = set(names)
    found = set()
    for _ in range(40):
        isolator.begin_transaction(not isolator.is_trial)
        included = [name for name in names if name in open_names]
        included = [name for name in included if isolator.may_include(name)]
        if at_fault.isdisjoint(included):
            isolator.record_commit(included)
            open_names.difference_update(included)
            continue
        name = isolator.record_rejection(included)
        if name is not None:
            found.add(name)
    assert open_names == found == at_fault & set(names)


def test_rejected_group_is_tried_again_by_itself() -> None:
    """Guards against a group that is given up, or poisons others again."""

    async def simulate() -> None:
        time_source = clock.ManualClock()
        isolator = _rejected_rows.RejectionIsolator(time_source)
        trials = []
        for _ in range(100):
            isolator.begin_transaction(not isolator.is_trial)
            included = [it for it in "ab" if isolator.may_include(it)]
            if "a" in included:
                trials.append(time_source.get_monotonic() / _SECOND)
                assert included == ["a"] or not trials[1:]
                isolator.record_rejection(included)
            else:
                isolator.record_commit(included)
            await time_source.advance(0.5 * _SECOND)
        # Two seconds, then twice as long each time, up to a minute.
        pauses = [
            later - earlier for earlier, later in zip(trials, trials[1:])
        ]
        assert len(trials) in (5, 6)
        assert all(pause >= 2.0 for pause in pauses[1:])

    asyncio.run(simulate())


class _StrictStore:
    """Rejects transactions with certain rows.

    Attributes:
        rejects: Returns whether a row is not accepted.
        rejections: Number of rejected transactions.
    """

    def __init__(
        self,
        fleet: standin_fleet.VirtualFleet,
        rejects: Callable[[network.Body], bool],
    ) -> None:
        self.rejects = rejects
        self.rejections = 0
        self._store = fleet.store
        fleet.network.serve(standin_fleet.STORE_ADDRESS, self._handle)

    async def _handle(self, request: network.Request) -> network.Response:
        if request.path == "/-/rows-tx" and any(
            map(self.rejects, request.body["puts"])
        ):
            self.rejections += 1
            return network.Response(400, {"error": "not accepted"})
        return await self._store.handle(request)


def _is_progress_of(job: str) -> Callable[[network.Body], bool]:
    return lambda put: (put["table"], put["key"]) == (
        records.PROGRESS_TABLE,
        job,
    )


def _is_row(ref: model.RowRef) -> Callable[[network.Body], bool]:
    return lambda put: (put["table"], put["key"]) == (ref.table, ref.key)


@pytest.mark.parametrize(
    ("rejects", "completed"),
    [
        pytest.param(_is_progress_of("00"), range(1, 12), id="a-job"),
        pytest.param(
            _is_row(records.INTERFERENCE), range(12), id="interference"
        ),
        # Runners that are tracked already serve jobs on.
        pytest.param(_is_row(records.CORDONS), range(12), id="cordons"),
    ],
)
def test_rejected_row_costs_nothing_but_itself(
    rejects: Callable[[network.Body], bool], completed: range
) -> None:
    """Guards against a term, and jobs, that are lost with a rejected row.

    The scheduler repeated the same transaction, and wrote neither a heartbeat
    nor the progress of any other job.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(4)
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        leader = fleet.get_leader()
        await asyncio.sleep(2)
        strict = _StrictStore(fleet, rejects)
        # It is cordoned.
        fleet.runners[3].state = "draining"
        for number in range(12):
            await fleet.submit(f"{number:02}", model.Step(4, _TASK))
            await asyncio.sleep(0.1)
        for number in completed:
            job = f"{number:02}"
            await fleet.wait_for_state(job, model.JobState.COMPLETED, 8)
        await asyncio.sleep(10)
        assert fleet.get_leader() is leader
        assert leader is not None and leader.role.term == 1
        assert strict.rejections
        rejections = strict.rejections
        await asyncio.sleep(10)
        assert strict.rejections - rejections <= 5
        strict.rejects = lambda put: False
        await asyncio.sleep(35)
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 30)
        await asyncio.sleep(2)
        assert all(run.acknowledged for run in fleet.history.runs)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_takeover_beside_a_rejected_row_repeats_no_task() -> None:
    """Guards against exits that are acknowledged without being stored."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(2)
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        _StrictStore(fleet, _is_progress_of("00"))
        for job in ("00", "01"):
            await fleet.submit(job, model.Step(4, _TASK))
        await asyncio.sleep(5)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        await asyncio.sleep(20)
        assert fleet.get_leader() is not None
        assert len(fleet.history.runs) == 8
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
