"""Tests evacuations during takeovers and faults of the store and links."""

import asyncio
import random

import pytest

from standins import fleet as standin_fleet
from standins import history
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.scheduler.tests import evacuation_trial


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
        fleet = await evacuation_trial.start_fleet(evacuation_trial.plan_long)
        await fleet.submit("00", model.Step(8, evacuation_trial.TASK))
        await asyncio.sleep(1)
        kept = fleet.runners[0].running
        fleet.evacuate(evacuation_trial.EAST)
        if discards_history:
            fleet.store.discard_history()
        leader = fleet.get_leader()
        assert leader is not None
        if is_planned:
            await leader.stop()
            del fleet.instances[leader.name]
        else:
            evacuation_trial.kill_leader(fleet)
        began = evacuation_trial.get_time()
        await fleet.submit("01", model.Step(8, evacuation_trial.TASK))
        await asyncio.sleep(20)
        assert not fleet.history.list_runs_in(evacuation_trial.EAST, began)
        started = fleet.history.list_runs_in(evacuation_trial.WEST, began)[
            0
        ].started
        assert started - began < (0.5 if is_planned else 2.5)
        assert fleet.runners[0].running == kept
        fleet.end_evacuation(evacuation_trial.EAST)
        await fleet.wait_until(
            lambda: bool(
                fleet.history.list_runs_in(evacuation_trial.EAST, began)
            ),
            evacuation_trial.GOAL_S,
        )
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_lost_history_of_the_feed_does_not_end_an_evacuation() -> None:
    """Guards against orders that are known from the feed only."""

    async def simulate() -> None:
        fleet = await evacuation_trial.start_fleet()
        for moment in range(4):
            fleet.store.discard_history()
            if moment == 1:
                fleet.evacuate(evacuation_trial.EAST)
            if moment == 3:
                fleet.end_evacuation(evacuation_trial.EAST)
            fleet.store.discard_history()
            await evacuation_trial.submit_steadily(fleet, f"{moment}-", 4)
        assert fleet.history.list_runs_in(
            evacuation_trial.EAST, evacuation_trial.get_time() - 1
        )
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
        fleet = await evacuation_trial.start_fleet()
        await fleet.submit("00", *_make_chain(30))
        fleet.evacuate(evacuation_trial.EAST)
        await asyncio.sleep(evacuation_trial.GOAL_S)
        ordered = evacuation_trial.get_time()
        if is_answered:
            fleet.store.is_down = True
        else:
            fleet.store.is_unresponsive = True
        await asyncio.sleep(2.5)
        assert fleet.history.list_runs_in(evacuation_trial.WEST, ordered + 1.5)
        await asyncio.sleep(5)
        fleet.store.is_down = fleet.store.is_unresponsive = False
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 90)
        assert not fleet.history.list_runs_in(evacuation_trial.EAST, ordered)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def _make_chain(length: int) -> list[model.Step]:
    """Makes steps of two tasks, each of which waits for the one before."""
    return [
        model.Step(
            2, evacuation_trial.TASK, after=(index - 1,) if index else ()
        )
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
        fleet = await evacuation_trial.start_fleet()
        leader = fleet.get_leader()
        _lose_reads(fleet)
        fleet.evacuate(evacuation_trial.EAST)
        began = evacuation_trial.get_time()
        await evacuation_trial.submit_steadily(fleet, "0", 2)
        assert fleet.history.list_runs_in(evacuation_trial.WEST, began + 1)
        await evacuation_trial.submit_steadily(fleet, "1", 8)
        closed = began + history.EVACUATION_BOUND_S
        assert not fleet.history.list_runs_in(evacuation_trial.WEST, closed)
        assert fleet.get_leader() is leader
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.lost_reads.clear()
        restored = evacuation_trial.get_time()
        await asyncio.sleep(evacuation_trial.GOAL_S)
        assert fleet.history.list_runs_in(evacuation_trial.WEST, restored)
        assert not fleet.history.list_runs_in(evacuation_trial.EAST, closed)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_first_start_of_a_term_waits_for_the_first_read() -> None:
    """Guards against a successor that takes a failed read for no evacuation.

    Meanwhile it renews the leases of the runs that it has adopted.
    """

    async def simulate() -> None:
        fleet = await evacuation_trial.start_fleet(evacuation_trial.plan_long)
        await fleet.submit("00", model.Step(8, evacuation_trial.TASK))
        await asyncio.sleep(1)
        fleet.evacuate(evacuation_trial.EAST)
        _lose_reads(fleet)
        evacuation_trial.kill_leader(fleet)
        began = evacuation_trial.get_time()
        await fleet.submit("01", model.Step(4, evacuation_trial.TASK))
        await asyncio.sleep(20)
        assert len(fleet.history.runs) == 8
        assert sum(len(item.running) for item in fleet.runners) == 8
        faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        faults.lost_reads.clear()
        await asyncio.sleep(evacuation_trial.GOAL_S)
        assert (
            len(fleet.history.list_runs_in(evacuation_trial.WEST, began)) == 4
        )
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
        fleet = await evacuation_trial.start_fleet(evacuation_trial.plan_long)
        east = fleet.runners[0]
        faults = fleet.network.get_faults(east.address)
        if is_executed:
            faults.lost_answer_share = 1.0
        else:
            faults.unreachable_from.add("*")
        await fleet.submit("00", model.Step(8, evacuation_trial.TASK))
        await asyncio.sleep(0.2)
        started_before = east.running
        assert len(started_before) == (4 if is_executed else 0)
        fleet.evacuate(evacuation_trial.EAST)
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
        fleet = await evacuation_trial.start_fleet(
            data_centres=(
                "north",
                evacuation_trial.EAST,
                evacuation_trial.WEST,
            )
            * 2,
            seed=self._seed,
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
            data_centre = draw.choice(
                ("north", evacuation_trial.EAST, evacuation_trial.WEST)
            )
            self._evacuated ^= {data_centre}
            if data_centre in self._evacuated:
                fleet.evacuate(data_centre)
            else:
                fleet.end_evacuation(data_centre)
        elif action == 4 and leader is not None:
            evacuation_trial.kill_leader(fleet)
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
