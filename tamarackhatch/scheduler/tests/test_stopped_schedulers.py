"""Active schedulers that are stopped for seconds, as by SIGSTOP, and go on."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random

import pytest

from standins import fleet as standin_fleet
from standins import history
from standins import pausable_loop
from tamarackhatch import model

_RUNNERS = 8
_JOBS = 60
_JOBS_PER_S = 5.0
_MAX_WIDTH = 8
_NAMES = ("a", "b", "c")
_TASK = model.Resources(processors=2300, memory_mb=460)
# Below and above the election timeout of 2 s and the leader lease of 5 s.
_STOPS_S = (0.1, 0.3, 0.7, 1.2, 2.0, 2.5, 3.0, 4.0, 4.7, 5.0, 6.0, 9.0, 12.0)
_OVERTAKING_S = 0.7


class _Play:
    """Jobs at a steady rate, and stops of the active scheduler."""

    def __init__(
        self, loop: pausable_loop.PausableLoop, seed: int, trouble: str
    ) -> None:
        self._loop = loop
        self._seed = seed
        self._trouble = trouble
        self._random = random.Random(seed)
        network = pausable_loop.IndependentNetwork(seed)
        if "overtaking" in trouble:
            network.overtaking_s = _OVERTAKING_S
        self._fleet = standin_fleet.VirtualFleet(
            _RUNNERS, self._plan, seed=seed, fleet_network=network
        )
        for name in _NAMES:
            loop.run_as(name, self._fleet.start_instance, name)

    def _plan(self, task: str, run: int) -> tuple[float, str]:
        draw = random.Random(f"{self._seed} {task} {run}")
        run_s = min(1.6, draw.lognormvariate(-0.5, 0.5))
        return run_s, "failed" if draw.random() < 0.04 else "done"

    async def run(self) -> list[history.Violation]:
        """Plays until all jobs have ended, and returns the violations."""
        fleet = self._fleet
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        troubles = [asyncio.create_task(self._repeat(4.0, self._stop_leader))]
        if "restarts" in self._trouble:
            troubles.append(
                asyncio.create_task(self._repeat(2.5, self._restart_runner))
            )
        if "kills" in self._trouble:
            troubles.append(
                asyncio.create_task(self._repeat(5.0, self._kill_leader))
            )
        jobs = [f"{number:04}" for number in range(_JOBS)]
        for job in jobs:
            asyncio.create_task(self._submit(job))
            await asyncio.sleep(self._random.expovariate(_JOBS_PER_S))
        for trouble in troubles:
            trouble.cancel()
        await asyncio.gather(*troubles, return_exceptions=True)
        for job in jobs:
            await self._wait_for_final_state(job)
        return fleet.check()

    async def _submit(self, job: str) -> None:
        first = model.Step(self._random.randint(1, _MAX_WIDTH), _TASK)
        second = model.Step(2, _TASK, after=(0,))
        while True:
            name = self._random.choice(_NAMES)
            outcome = None
            with contextlib.suppress(model.StoreUnavailableError):
                outcome = await self._fleet.submit(
                    job, first, second, instance=name
                )
            if outcome is model.Outcome.DONE:
                return
            await asyncio.sleep(0.5)

    async def _wait_for_final_state(self, job: str) -> None:
        async with asyncio.timeout(60):
            while True:
                state = await self._fleet.read_state(job)
                if state is not None and state.is_final:
                    return
                await asyncio.sleep(0.1)

    async def _repeat(
        self, mean_s: float, action: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await asyncio.sleep(
                self._random.uniform(0.5 * mean_s, 1.5 * mean_s)
            )
            await action()

    async def _stop_leader(self) -> None:
        leader = self._fleet.get_leader()
        if leader is None:
            return
        self._loop.pause(leader.name)
        try:
            await asyncio.sleep(self._random.choice(_STOPS_S))
        finally:
            order = self._random.choice(list(pausable_loop.ResumeOrder))
            self._loop.resume(leader.name, order, self._random)

    async def _restart_runner(self) -> None:
        self._random.choice(self._fleet.runners).crash(True)

    async def _kill_leader(self) -> None:
        leader = self._fleet.get_leader()
        if leader is None:
            return
        leader.kill()
        await asyncio.sleep(self._random.uniform(0.5, 3.5))
        self._loop.run_as(leader.name, self._fleet.start_instance, leader.name)


@pytest.mark.parametrize("seed", [1, 5, 7])
@pytest.mark.parametrize(
    "trouble",
    [
        "stops",
        "stops, overtaking",
        "stops, kills",
        "stops, restarts, overtaking",
    ],
)
def test_stopped_scheduler_runs_no_task_twice(trouble: str, seed: int) -> None:
    """Guards against a scheduler that acts on what was true before it slept.

    Answers that arrive while it is stopped are handled before or after its
    timers, or at random, and may overtake each other.
    """
    loop = pausable_loop.PausableLoop()

    async def simulate() -> None:
        assert await _Play(loop, seed, trouble).run() == []

    pausable_loop.run_pausably(simulate(), loop)
