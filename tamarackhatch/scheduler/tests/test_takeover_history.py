"""Random takeovers while a runner is silent, drains, leaves and returns.

All faults are lifted afterwards, and all accepted batch jobs must complete.
"""

import asyncio
import random
import typing

import pytest

from standins import fleet as standin_fleet
from standins import history
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch.scheduler import _cordons
from tamarackhatch.scheduler import _fleet

_TASK = model.Resources(processors=4000, memory_mb=100)
_NAMES = ("a", "b", "c")
_RUNNERS = 3
_PHASES = 8
_RECOVERY_S = 120.0


class _TakeoverSimulation:
    """Plays random phases, in which one runner and the store have faults.

    Most phases end with the scheduler of the term.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._fleet = standin_fleet.VirtualFleet(
            _RUNNERS, self._plan, seed=seed
        )
        self._runner = self._fleet.runners[0]
        self._runner_faults = self._fleet.network.get_faults(
            self._runner.address
        )
        self._store_faults = self._fleet.network.get_faults(
            standin_fleet.STORE_ADDRESS
        )
        # No fencing token keeps a late start from the next incarnation of its
        # runner, so a simulation has either crashes or late commands.
        self._has_crashes = self._random.random() < 0.3
        self._jobs: list[str] = []
        self._submissions: list[asyncio.Task[None]] = []
        for name in _NAMES:
            self._fleet.start_instance(name)

    def _plan(self, task: str, run: int) -> tuple[float, str]:
        draw = random.Random(f"{task} {run}").random()
        if task.startswith("long"):
            return 1000.0, "done"
        return 0.2 + draw * 5, "failed" if draw < 0.1 else "done"

    async def run(self) -> list[history.Violation]:
        """Plays all phases, lifts all faults, and returns broken rules."""
        fleet = self._fleet
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        for _ in range(_PHASES):
            await self._play_phase()
        self._lift_faults()
        await asyncio.gather(*self._submissions)
        for job in self._jobs:
            await self._wait_for_final_state(job)
        return fleet.check()

    async def _play_phase(self) -> None:
        fleet, choices = self._fleet, self._random
        leader = fleet.get_leader()
        name = "" if leader is None else leader.name
        self._set_runner_faults(name)
        self._submit_jobs()
        if self._runner_faults.unreachable_from & {name, "*"}:
            # Renewals wait for up to 1.5 s.
            await asyncio.sleep(choices.uniform(1.0, 4.0))
        else:
            await self._pause()
        self._set_store_faults(name)
        await asyncio.sleep(choices.uniform(0.05, 1.2))
        if choices.random() < 0.7:
            # The runner is back for this scheduler only.
            self._runner_faults.unreachable_from = set(_NAMES) - {name}
            if choices.random() < 0.7:
                self._restore_store()
            self._submit_jobs()
            await self._pause()
        if choices.random() < 0.7:
            await self._end_term()
        for name in _NAMES:
            if name not in fleet.instances and choices.random() < 0.8:
                fleet.start_instance(name)
        await self._pause()

    async def _pause(self) -> None:
        await asyncio.sleep(0.05 * 60 ** self._random.random())

    def _submit_jobs(self) -> None:
        for _ in range(self._random.randint(0, 2)):
            self._submit_job()

    def _set_runner_faults(self, leader: str) -> None:
        choices, runner = self._random, self._runner
        self._runner_faults.unreachable_from = choices.choice(
            (set(), {"*"}, {"*"}, {leader}, set(_NAMES) - {leader})
        )
        if not self._has_crashes:
            share = choices.choice((0.0, 0.0, 0.3))
            self._runner_faults.lost_answer_share = share
            self._runner_faults.late_call_share = share
        elif choices.random() < 0.2:
            runner.crash()
        runner.state = choices.choice(("ready", "ready", "draining"))
        runner.is_registering = choices.random() < 0.85
        if not runner.is_registering:
            self._fleet.store.remove("servers", runner.identifier)

    def _set_store_faults(self, leader: str) -> None:
        self._restore_store()
        faults, choices = self._store_faults, self._random
        fault = choices.choice(("", "", "", "writes", "answers", "late"))
        if fault == "writes":
            faults.lost_writes.add(leader)
        elif fault == "answers":
            faults.lost_answers_to.add(leader)
        elif fault == "late":
            faults.late_call_share = 0.2

    async def _end_term(self) -> None:
        """Ends the active scheduler, and mostly waits for its successor."""
        fleet, choices = self._fleet, self._random
        leader = fleet.get_leader()
        if leader is None:
            return
        how = choices.choice(("kill", "kill", "stop", "cut"))
        if how == "cut":
            self._store_faults.unreachable_from.add(leader.name)
            await asyncio.sleep(2.5)
            return
        if how == "kill":
            leader.kill()
        else:
            await asyncio.wait_for(leader.stop(), 10)
        del fleet.instances[leader.name]
        if choices.random() < 0.8 and fleet.instances:
            try:
                await fleet.wait_until(
                    lambda: fleet.get_leader() is not None, 4
                )
            except TimeoutError:
                return

    def _submit_job(self) -> None:
        job = f"{len(self._submissions):02}"
        steps: tuple[model.Step, ...] = (
            model.Step(self._random.randint(1, 6), _TASK),
            model.Step(2, _TASK, after=(0,)),
        )
        if self._random.random() < 0.1:
            job = f"long{job}"
            steps = (model.Step(1, _TASK, is_long_running=True),)
        else:
            self._jobs.append(job)
        self._submissions.append(asyncio.create_task(self._submit(job, steps)))

    async def _submit(self, job: str, steps: tuple[model.Step, ...]) -> None:
        names = list(self._fleet.instances)
        if names:
            instance = self._random.choice(names)
            await self._fleet.submit(job, *steps, instance=instance)

    async def _wait_for_final_state(self, job: str) -> None:
        fleet, ref = self._fleet, records.get_job_ref(job)
        async with asyncio.timeout(_RECOVERY_S):
            while job in fleet.history.accepted:
                state = await fleet.read_state(job)
                if state is not None and state.is_final:
                    return
                if state is None and not fleet.store.get(
                    ref.table, ref.key, ref.partition
                ):
                    # The submission had an unknown outcome.
                    return
                await asyncio.sleep(0.2)

    def _restore_store(self) -> None:
        faults = self._store_faults
        faults.unreachable_from.clear()
        faults.lost_writes.clear()
        faults.lost_answers_to.clear()
        faults.late_call_share = 0.0

    def _lift_faults(self) -> None:
        self._restore_store()
        self._runner_faults.unreachable_from.clear()
        self._runner_faults.lost_answer_share = 0.0
        self._runner_faults.late_call_share = 0.0
        self._runner.state = "ready"
        self._runner.is_registering = True
        for name in _NAMES:
            if name not in self._fleet.instances:
                self._fleet.start_instance(name)


def _play(seed: int) -> list[history.Violation]:
    async def simulate() -> list[history.Violation]:
        return await _TakeoverSimulation(seed).run()

    return virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("seed", [*range(12), 39, 91])
def test_random_takeovers_break_no_rule(seed: int) -> None:
    """Guards against runs that a successor does not wait for."""
    assert _play(seed) == []


def _start_on_cordoned_runners(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets cordoned runners get tasks before the list without them."""

    def prepare(self: typing.Any, *args: bool) -> model.Put | None:
        put = original(self, *args)
        for entry in self._fleet.values():
            entry.is_cordoned = False
        return put

    original = _cordons.CordonList.prepare_write
    monkeypatch.setattr(_cordons.CordonList, "prepare_write", prepare)


def _omit_one_task(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leaves one task of each cordoned runner out of the list."""

    def list_tasks(
        self: _fleet.RunnerEntry,
    ) -> tuple[model.TaskKey, ...]:
        return original(self)[1:]

    original = _fleet.RunnerEntry.list_possible_tasks
    monkeypatch.setattr(_fleet.RunnerEntry, "list_possible_tasks", list_tasks)


@pytest.mark.parametrize(
    ("inject_fault", "first_seed"),
    [(_start_on_cordoned_runners, 4), (_omit_one_task, 24)],
)
def test_simulation_catches_deliberate_faults(
    inject_fault: typing.Callable[[pytest.MonkeyPatch], None],
    first_seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a simulation that misses faults of the list."""
    inject_fault(monkeypatch)
    assert any(_play(first_seed + offset) for offset in range(12))
