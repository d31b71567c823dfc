"""Tests evacuations during takeovers and faults of the store and links."""

import asyncio
import datetime
import random

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import history
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import platform

_SECOND = datetime.timedelta(seconds=1)
_BOUND = history.EVACUATION_BOUND_S * _SECOND
_GOAL_S = history.EVACUATION_BOUND_S / 2
_TASK = model.Resources(2_000, 8_000)
_LONG_S = 600.0
_EAST, _WEST = "east", "west"


def _plan_second(task: str, run: int) -> tuple[float, str]:
    return 1.0, "done"


def _plan_long(task: str, run: int) -> tuple[float, str]:
    return _LONG_S, "done"


async def _start_fleet(
    plan: runner.Plan = _plan_second,
    data_centres: tuple[str, ...] = (_EAST, _WEST),
    seed: int = 0,
) -> standin_fleet.VirtualFleet:
    """Starts three instances and one runner in each data centre."""
    fleet = standin_fleet.VirtualFleet(
        len(data_centres), plan, seed, data_centres=data_centres
    )
    fleet.bounds = attrs.evolve(fleet.bounds, evacuation=_BOUND)
    for name in ("a", "b", "c"):
        fleet.start_instance(name)
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    # Until the runners are tracked.
    await asyncio.sleep(1)
    return fleet


def _kill_leader(fleet: standin_fleet.VirtualFleet) -> None:
    leader = fleet.get_leader()
    assert leader is not None
    leader.kill()
    del fleet.instances[leader.name]


def _get_time() -> float:
    return asyncio.get_running_loop().time()


async def _submit_steadily(
    fleet: standin_fleet.VirtualFleet, prefix: str, duration_s: float
) -> None:
    """Submits four tasks every tenth of a second."""
    for number in range(round(duration_s * 10)):
        await fleet.submit(f"{prefix}{number}", model.Step(4, _TASK))
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("is_planned", [True, False])
@pytest.mark.parametrize("discards_history", [True, False])
def test_successor_starts_nothing_in_an_evacuated_data_centre(
    is_planned: bool, discards_history: bool
) -> None:
    """Guards against a successor that starts before it knows evacuations.

    Without the feed's history it has to learn of an order from the rows.
    Runs of the term before are adopted there. The first read of the
    evacuations must not delay the takeover.
    """

    async def simulate() -> None:
        fleet = await _start_fleet(_plan_long)
        await fleet.submit("00", model.Step(8, _TASK))
        await asyncio.sleep(1)
        kept = fleet.runners[0].running
        fleet.evacuate(_EAST)
        if discards_history:
            fleet.store.discard_history()
        leader = fleet.get_leader()
        assert leader is not None
        if is_planned:
            await leader.stop()
            del fleet.instances[leader.name]
        else:
            _kill_leader(fleet)
        began = _get_time()
        await fleet.submit("01", model.Step(8, _TASK))
        await asyncio.sleep(20)
        assert not fleet.history.list_runs_in(_EAST, began)
        started = fleet.history.list_runs_in(_WEST, began)[0].started
        assert started - began < (0.5 if is_planned else 2.5)
        assert fleet.runners[0].running == kept
        fleet.end_evacuation(_EAST)
        await fleet.wait_until(
            lambda: bool(fleet.history.list_runs_in(_EAST, began)), _GOAL_S
        )
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_lost_history_of_the_feed_does_not_end_an_evacuation() -> None:
    """Guards against orders that are known from the feed only."""

    async def simulate() -> None:
        fleet = await _start_fleet()
        for moment in range(4):
            fleet.store.discard_history()
            if moment == 1:
                fleet.evacuate(_EAST)
            if moment == 3:
                fleet.end_evacuation(_EAST)
            fleet.store.discard_history()
            await _submit_steadily(fleet, f"{moment}-", 4)
        assert fleet.history.list_runs_in(_EAST, _get_time() - 1)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("is_answered", [True, False])
def test_known_evacuation_is_kept_while_the_store_is_down(
    is_answered: bool,
) -> None:
    """Guards against a failed read that returns a data centre to service.

    Work elsewhere goes on meanwhile.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        await fleet.submit("00", *_make_chain(30))
        fleet.evacuate(_EAST)
        await asyncio.sleep(_GOAL_S)
        ordered = _get_time()
        if is_answered:
            fleet.store.is_down = True
        else:
            fleet.store.is_unresponsive = True
        await asyncio.sleep(2.5)
        assert fleet.history.list_runs_in(_WEST, ordered + 1.5)
        await asyncio.sleep(5)
        fleet.store.is_down = fleet.store.is_unresponsive = False
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 90)
        assert not fleet.history.list_runs_in(_EAST, ordered)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def _make_chain(length: int) -> list[model.Step]:
    """Makes steps of two tasks, each of which waits for the one before."""
    return [
        model.Step(2, _TASK, after=(index - 1,) if index else ())
        for index in range(length)
    ]


def _lose_reads(fleet: standin_fleet.VirtualFleet) -> None:
    faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
    faults.lost_reads |= {
        (name, platform.OPERATOR_TABLE) for name in fleet.instances
    }


def test_starts_end_when_the_last_read_is_too_old() -> None:
    """Guards against starts after an order that no read could show.

    The scheduler keeps its term and renews leases, because only its reads of
    the operator's table are lost.
    """

    async def simulate() -> None:
        fleet = await _start_fleet()
        leader = fleet.get_leader()
        _lose_reads(fleet)
        fleet.evacuate(_EAST)
        began = _get_time()
        await _submit_steadily(fleet, "0", 2)
        assert fleet.history.list_runs_in(_WEST, began + 1)
        await _submit_steadily(fleet, "1", 8)
        closed = began + history.EVACUATION_BOUND_S
        assert not fleet.history.list_runs_in(_WEST, closed)
        assert fleet.get_leader() is leader
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.lost_reads.clear()
        restored = _get_time()
        await asyncio.sleep(_GOAL_S)
        assert fleet.history.list_runs_in(_WEST, restored)
        assert not fleet.history.list_runs_in(_EAST, closed)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_first_start_of_a_term_waits_for_the_first_read() -> None:
    """Guards against a successor that takes a failed read for no evacuation.

    Meanwhile it renews the leases of the runs that it has adopted.
    """

    async def simulate() -> None:
        fleet = await _start_fleet(_plan_long)
        await fleet.submit("00", model.Step(8, _TASK))
        await asyncio.sleep(1)
        fleet.evacuate(_EAST)
        _lose_reads(fleet)
        _kill_leader(fleet)
        began = _get_time()
        await fleet.submit("01", model.Step(4, _TASK))
        await asyncio.sleep(20)
        assert len(fleet.history.runs) == 8
        assert sum(len(item.running) for item in fleet.runners) == 8
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.lost_reads.clear()
        await asyncio.sleep(_GOAL_S)
        assert len(fleet.history.list_runs_in(_WEST, began)) == 4
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("silence_s", [2.0, 3.0, 4.0])
@pytest.mark.parametrize("is_executed", [True, False])
def test_unanswered_start_is_not_repeated_after_the_order(
    is_executed: bool, silence_s: float
) -> None:
    """Guards against starts that are repeated in an evacuated data centre.

    The answers to the starts were lost, or the starts themselves. A run that
    has started before the order is kept.
    """

    async def simulate() -> None:
        fleet = await _start_fleet(_plan_long)
        east = fleet.runners[0]
        faults = fleet.network.get_faults(east.address)
        if is_executed:
            faults.lost_answer_share = 1.0
        else:
            faults.unreachable_from.add("*")
        await fleet.submit("00", model.Step(8, _TASK))
        await asyncio.sleep(0.2)
        started_before = east.running
        assert len(started_before) == (4 if is_executed else 0)
        fleet.evacuate(_EAST)
        await asyncio.sleep(silence_s)
        faults.lost_answer_share = 0.0
        faults.unreachable_from.clear()
        await asyncio.sleep(20)
        assert east.running == started_before
        assert len(fleet.history.runs) == 8
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


class _EvacuatingFleet:
    """Orders evacuations, kills schedulers and breaks links at random."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._random = random.Random(seed)
        self._evacuated: set[str] = set()

    async def run(self) -> list[history.Violation]:
        """Returns the broken rules of about one minute."""
        draw = self._random
        fleet = await _start_fleet(
            data_centres=("north", _EAST, _WEST) * 2, seed=self._seed
        )
        jobs = []
        for number in range(30):
            outcome = await fleet.submit(f"{number:02}", *_make_chain(3))
            if outcome is model.Outcome.DONE:
                jobs.append(f"{number:02}")
            self._act(fleet)
            await asyncio.sleep(draw.uniform(0.2, 3))
        for data_centre in self._evacuated:
            fleet.end_evacuation(data_centre)
        store = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store.unreachable_from.clear()
        fleet.store.is_down = False
        for stand_in in fleet.runners:
            faults = fleet.network.get_faults(stand_in.address)
            faults.unreachable_from.clear()
            faults.lost_answer_share = 0.0
        for job in jobs:
            await fleet.wait_for_state(job, model.JobState.COMPLETED, 120)
        return fleet.check()

    def _act(self, fleet: standin_fleet.VirtualFleet) -> None:
        draw = self._random
        leader = fleet.get_leader()
        stand_in = draw.choice(fleet.runners)
        faults = fleet.network.get_faults(stand_in.address)
        store = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        action = draw.randrange(9)
        if action <= 3 and not fleet.store.is_down:
            data_centre = draw.choice(("north", _EAST, _WEST))
            self._evacuated ^= {data_centre}
            if data_centre in self._evacuated:
                fleet.evacuate(data_centre)
            else:
                fleet.end_evacuation(data_centre)
        elif action == 4 and leader is not None:
            _kill_leader(fleet)
            fleet.start_instance(f"n{fleet.incarnations}")
        elif action == 5 and leader is not None:
            store.unreachable_from ^= {leader.name}
        elif action == 6:
            faults.lost_answer_share = 0.4 - faults.lost_answer_share
        elif action == 7:
            faults.unreachable_from ^= {"*"}
        elif action == 8:
            fleet.store.is_down = not fleet.store.is_down


@pytest.mark.parametrize("seed", range(25))
def test_random_faults_bring_no_start_after_the_bound(seed: int) -> None:
    """Guards against starts in evacuated data centres in any order of faults.

    The scheduler may be cut off from the store just before an order.
    """

    async def simulate() -> list[history.Violation]:
        return await _EvacuatingFleet(seed).run()

    assert virtual_time.run_virtually(simulate()) == []
