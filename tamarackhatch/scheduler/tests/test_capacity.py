"""Tests that no start brings a runner over its capacity (rule LIMIT).

The runners do not enforce their capacity unless a test says so.
"""

import asyncio
import base64
import datetime
import random

import attrs
import orjson
import pytest

from standins import fleet as standin_fleet
from standins import history
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import records

_CAPACITY = model.Resources(16_000, 64_000, 4)
_TASK = model.Resources(2_000, 8_000, 0)
_LONG_S = 600.0
_KINDS = {
    "batch": model.Step(4, _TASK),
    "best-effort": model.Step(4, _TASK, is_best_effort=True, image="filler"),
    "serving": model.Step(
        4,
        _TASK,
        is_long_running=True,
        image="watch",
        tail_latency_target=datetime.timedelta(milliseconds=50),
    ),
    "accelerators": model.Step(4, model.Resources(1_000, 1_000, 1)),
}


def _start_fleet(
    runners: int = 1, plan: runner.Plan = lambda task, run: (_LONG_S, "done")
) -> standin_fleet.VirtualFleet:
    # Best-effort tasks are to run, even before their interference factor is
    # known, and to stay.
    policy = placement.PlacementPolicy(
        full_speed_wait=datetime.timedelta(),
        min_speed=0.0,
        starvation_wait=datetime.timedelta(hours=1),
    )
    fleet = standin_fleet.VirtualFleet(runners, plan, policy=policy)
    fleet.enforces_capacity = False
    for stand_in in fleet.runners:
        stand_in.capacity = _CAPACITY
    for name in ("a", "b"):
        fleet.start_instance(name)
    return fleet


def _kill_leader(fleet: standin_fleet.VirtualFleet) -> None:
    leader = fleet.get_leader()
    assert leader is not None
    leader.kill()
    del fleet.instances[leader.name]


async def _wait_for_runs(
    fleet: standin_fleet.VirtualFleet, count: int, timeout_s: float = 10.0
) -> None:
    await fleet.wait_until(lambda: len(fleet.history.runs) >= count, timeout_s)


@pytest.mark.parametrize("kind", _KINDS)
@pytest.mark.parametrize(
    "shrunk",
    [
        model.Resources(4_000, 64_000, 4),
        model.Resources(16_000, 10_000, 4),
        model.Resources(16_000, 64_000, 1),
        model.Resources(0, 64_000, 4),
        model.Resources(16_000, 0, 4),
        model.Resources(16_000, 64_000, 0),
        model.Resources(),
    ],
)
def test_shrunk_runner_keeps_its_runs_and_gets_no_others(
    kind: str, shrunk: model.Resources
) -> None:
    """Guards against starts on a shrunk runner, and a scheduler that fails.

    The runner grows again later, and then gets the waiting tasks.
    """

    async def simulate() -> None:
        fleet = _start_fleet()
        (stand_in,) = fleet.runners
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        leader = fleet.get_leader()
        for number, step in enumerate(_KINDS.values()):
            await fleet.submit(f"0{number}", attrs.evolve(step, count=1))
        await _wait_for_runs(fleet, 4)
        stand_in.capacity = shrunk
        stand_in.register(fleet.store)
        await asyncio.sleep(6)
        reserved = model.Resources(5_000, 25_000, 1)
        await fleet.submit("10", _KINDS[kind])
        await asyncio.sleep(20)
        if not reserved.fits_in(shrunk):
            assert len(fleet.history.runs) == 4
        assert len(stand_in.running) == len(fleet.history.runs)
        stand_in.capacity = _CAPACITY + _CAPACITY
        await _wait_for_runs(fleet, 8)
        assert len(stand_in.running) == 8
        assert fleet.get_leader() is leader
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_best_effort_task_without_cpu_does_not_end_the_scheduler() -> None:
    """Guards against a job that takes down every scheduler that reads it."""

    async def simulate() -> None:
        fleet = _start_fleet()
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        leader = fleet.get_leader()
        best_effort = _KINDS["best-effort"]
        await fleet.submit("00", attrs.evolve(_KINDS["serving"], count=1))
        await _wait_for_runs(fleet, 1)
        # The runner's processors are in use several times over.
        large = model.Resources(30_000, 1_000)
        await fleet.submit("01", attrs.evolve(best_effort, resources=large))
        await _wait_for_runs(fleet, 5)
        nothing = model.Resources(0, 1_000)
        await fleet.submit("02", attrs.evolve(best_effort, resources=nothing))
        await _wait_for_runs(fleet, 9)
        assert fleet.get_leader() is leader

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("is_job_known", [True, False])
def test_runs_of_a_cancelled_job_count_after_a_takeover(
    is_job_known: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against starts beside runs that are still being stopped.

    The successor knows them only from the runner's report: their job was
    cancelled while no scheduler ran, or its rows are gone.
    """
    monkeypatch.setattr(runner, "_STOP_DURATION_S", 1.0)

    async def simulate() -> None:
        fleet = _start_fleet()
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(8, _TASK))
        await _wait_for_runs(fleet, 8)
        _kill_leader(fleet)
        (survivor,) = fleet.instances.values()
        deadline = fleet.clock.get_monotonic() + datetime.timedelta(seconds=3)
        await survivor.jobs.cancel("00", deadline)
        if not is_job_known:
            for ref in (
                records.get_job_ref("00"),
                records.get_cancel_ref("00"),
            ):
                fleet.store.remove(ref.table, ref.key, ref.partition)
        await fleet.submit("01", model.Step(8, _TASK))
        await _wait_for_runs(fleet, 16)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("pause_s", [0.0, 0.25, 0.5, 0.75])
def test_restarted_runner_is_used_with_its_new_capacity(
    pause_s: float,
) -> None:
    """Guards against starts by the capacity of an earlier incarnation.

    The runner keeps its identifier. Its registry row lags behind its reports.
    """

    async def simulate() -> None:
        fleet = _start_fleet()
        (stand_in,) = fleet.runners
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("00", model.Step(6, _TASK))
        await _wait_for_runs(fleet, 6)
        await asyncio.sleep(1 + pause_s)
        stand_in.capacity = model.Resources(4_000, 64_000)
        stand_in.crash()
        await _wait_for_runs(fleet, 8)
        await asyncio.sleep(3)
        assert len(stand_in.running) == 2
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("is_executed", [True, False])
def test_start_is_not_repeated_on_a_shrunk_runner(is_executed: bool) -> None:
    """Guards against starts that are repeated although the runner shrank.

    The answers to the starts were lost, or the starts themselves.
    """

    async def simulate() -> None:
        fleet = _start_fleet()
        (stand_in,) = fleet.runners
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        faults = fleet.network.get_faults(stand_in.address)
        stand_in.register(fleet.store)
        await asyncio.sleep(0.1)
        # The registry is read again only after 0.4 s.
        stand_in.capacity = model.Resources(4_000, 64_000)
        stand_in.register(fleet.store)
        if is_executed:
            faults.lost_answer_share = 1.0
        else:
            faults.unreachable_from.add("*")
        await fleet.submit("00", model.Step(4, _TASK))
        await asyncio.sleep(1)
        assert len(stand_in.running) == (4 if is_executed else 0)
        faults.lost_answer_share = 0.0
        faults.unreachable_from.clear()
        await asyncio.sleep(6)
        assert len(stand_in.running) == (4 if is_executed else 2)
        assert len(fleet.history.runs) == (4 if is_executed else 2)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("silence_s", [1.0, 2.0, 3.0])
def test_start_is_not_repeated_on_a_draining_runner(silence_s: float) -> None:
    """Guards against starts on a runner that began to drain seconds ago."""

    async def simulate() -> None:
        fleet = _start_fleet(2)
        stand_in = fleet.runners[0]
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        faults = fleet.network.get_faults(stand_in.address)
        faults.unreachable_from.add("*")
        await fleet.submit("00", model.Step(8, _TASK))
        await asyncio.sleep(0.2)
        stand_in.state = "draining"
        stand_in.register(fleet.store)
        await asyncio.sleep(silence_s)
        faults.unreachable_from.clear()
        # The starts without an answer may arrive for 12 s.
        await _wait_for_runs(fleet, 8, 15.0)
        assert {run.runner for run in fleet.history.runs} == {"i-1"}

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    "capacity",
    [
        None,
        7,
        [],
        {"cpu": -1},
        {"cpu": "64000"},
        {"cpu": 1e300},
        {"cpu": 10**18, "mem_mb": True},
        {"cpu": 1.5},
    ],
)
def test_malformed_capacity_does_not_change_it(capacity: object) -> None:
    """Guards against a malformed row that sets the capacity to nonsense."""

    async def simulate() -> None:
        fleet = _start_fleet()
        (stand_in,) = fleet.runners
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        stand_in.is_registering = False
        row = {
            "service": stand_in.service,
            "address": stand_in.address,
            "state": "ready",
            "capacity": capacity,
            "born": 1,
        }
        value = base64.b64encode(orjson.dumps(row)).decode()
        fleet.store.put("servers", stand_in.identifier, value)
        await asyncio.sleep(1)
        await fleet.submit("00", model.Step(9, _TASK))
        await asyncio.sleep(3)
        assert len(fleet.history.runs) in (0, 8)
        stand_in.is_registering = True
        await _wait_for_runs(fleet, 8)
        await asyncio.sleep(2)
        assert len(fleet.history.runs) == 8
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_runner_that_refuses_starts_is_asked_less_and_less() -> None:
    """Guards against a loop of refused starts, each of which has a price.

    The runner accepts less than its registry row says.
    """

    async def simulate() -> None:
        fleet = _start_fleet(2)
        full, other = fleet.runners
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        full.is_registering = False
        full.enforces_capacity = True
        full.capacity = model.Resources()
        await fleet.submit("00", model.Step(16, _TASK))
        await asyncio.sleep(20)
        assert len(other.running) == 8
        assert full.starts_without_capacity <= 8 * 10
        full.enforces_capacity = False
        await _wait_for_runs(fleet, 16)

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("enforces_capacity", [False, True])
def test_outdated_registry_allows_starts_only_where_runners_check(
    enforces_capacity: bool,
) -> None:
    """Guards against starts by a capacity that was read long ago."""

    async def simulate() -> None:
        fleet = _start_fleet()
        fleet.enforces_capacity = enforces_capacity
        (stand_in,) = fleet.runners
        stand_in.enforces_capacity = enforces_capacity
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        store_faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
        store_faults.lost_feeds |= {(name, "servers") for name in ("a", "b")}
        await asyncio.sleep(2)
        stand_in.capacity = model.Resources(4_000, 64_000)
        await asyncio.sleep(7)
        await fleet.submit("00", model.Step(4, _TASK))
        await asyncio.sleep(5)
        assert len(stand_in.running) == (2 if enforces_capacity else 0)
        store_faults.lost_feeds.clear()
        await asyncio.sleep(5)
        assert len(stand_in.running) == 2
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


class _ShrinkingFleet:
    """Kills schedulers, loses answers and changes capacities at random."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._fleet = standin_fleet.VirtualFleet(3, self._plan, seed=seed)
        self._fleet.enforces_capacity = False
        for name in ("a", "b", "c"):
            self._fleet.start_instance(name)

    def _plan(self, task: str, run: int) -> tuple[float, str]:
        return 1 + random.Random(f"{task} {run}").random() * 6, "done"

    async def run(self) -> list[history.Violation]:
        """Returns the broken rules of one minute."""
        fleet, draw = self._fleet, self._random
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        for number in range(20):
            size = model.Resources(draw.choice([1_000, 3_000, 5_000]), 9_000)
            if fleet.instances:
                await fleet.submit(f"{number:02}", model.Step(6, size))
            self._inject_fault()
            await asyncio.sleep(draw.uniform(0.2, 3))
        return fleet.check()

    def _inject_fault(self) -> None:
        fleet, draw = self._fleet, self._random
        stand_in = draw.choice(fleet.runners)
        faults = fleet.network.get_faults(stand_in.address)
        action = draw.randrange(6)
        if action == 0 and fleet.get_leader() is not None:
            _kill_leader(fleet)
            fleet.start_instance(f"n{fleet.incarnations}")
        elif action == 1:
            faults.lost_answer_share = 0.4 - faults.lost_answer_share
        elif action == 2:
            stand_in.crash()
        elif action == 3:
            faults.unreachable_from ^= {"*"}
        else:
            stand_in.capacity = model.Resources(
                draw.choice([0, 4_000, 8_000, 16_000]),
                draw.choice([9_000, 64_000]),
            )


@pytest.mark.parametrize("seed", range(40))
def test_random_faults_bring_no_runner_over_its_capacity(seed: int) -> None:
    """Guards against overcommitted runners after kills and lost answers."""

    async def simulate() -> list[history.Violation]:
        return await _ShrinkingFleet(seed).run()

    violations = virtual_time.run_virtually(simulate())
    # A start without an answer is repeated with its number after a restart of
    # the runner.
    assert [item for item in violations if item.rule != "NUMBER"] == []
