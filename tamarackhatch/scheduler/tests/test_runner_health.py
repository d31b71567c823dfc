"""Tests of runners that fail or hang, in virtual time."""

import asyncio
import collections
import pathlib
import random

import attrs
import orjson
import pytest

from standins import fleet as standin_fleet
from standins import runner
from standins import virtual_time
from tamarackhatch import model

_TASK = model.Resources(2_000, 4_000)
_URGENT = attrs.evolve(standin_fleet.QUEUE, max_attempts=2)
# Of each job; twelve runners have a fifth of their capacity to spare.
_TASKS = 19


class _Trial:
    """A fleet on which some runners fail what they start.

    Attributes:
        failing: Indices of the runners that fail.
        failing_of_five: How many of five runs they fail.
        work_s: Seconds that other runs take.
        fleet: The fleet.
    """

    def __init__(
        self, runners: int, failing: set[int], log_path: pathlib.Path
    ) -> None:
        self.failing = failing
        self.failing_of_five = 5
        self.work_s = 0.8
        self._random = random.Random(1)
        self._log_path = log_path
        self.fleet = standin_fleet.VirtualFleet(0, log_path=str(log_path))
        for index in range(runners):
            self.fleet.add_runner(self._make_plan(index), index)

    def _make_plan(self, index: int) -> runner.Plan:
        def plan(task: str, run: int) -> tuple[float, str]:
            if (
                index in self.failing
                and self._random.randrange(5) < self.failing_of_five
            ):
                return 0.2, "failed"
            return self.work_s, "done"

        return plan

    async def start(self, *names: str) -> None:
        """Starts instances and waits until the runners are tracked."""
        for name in names or ("a",):
            self.fleet.start_instance(name)
        await self.fleet.wait_until(
            lambda: self.fleet.get_leader() is not None
        )
        await asyncio.sleep(1)

    async def submit_jobs(
        self, prefix: str, count: int, tasks: int = 6, pause_s: float = 0.2
    ) -> list[str]:
        """Submits jobs one after the other and returns their identifiers."""
        names = [f"{prefix}{number}" for number in range(count)]
        for name in names:
            await self.fleet.submit(
                name,
                model.Step(tasks, _TASK),
                instance=next(iter(self.fleet.instances)),
                queue=_URGENT,
            )
            await asyncio.sleep(pause_s)
        return names

    async def count_states(self, names: list[str]) -> dict[str, int]:
        """Returns the number of jobs by state."""
        states = [await self.fleet.read_state(name) for name in names]
        return collections.Counter(
            "none" if state is None else state.value for state in states
        )

    def count_runs(self, index: int, since: float = 0.0) -> int:
        """Returns the number of runs that a runner has started."""
        return sum(
            1
            for run in self.fleet.history.runs
            if run.runner == f"i-{index}" and run.started >= since
        )

    def list_events(self, name: str) -> list[dict[str, object]]:
        """Returns the log lines of an event."""
        return [
            orjson.loads(line)
            for line in self._log_path.read_bytes().splitlines()
            if name.encode() in line
        ]


def test_job_with_two_attempts_survives_failing_runners(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against last attempts on failing runners.

    The work fills the sound runners. Three runners of twelve fail within
    0.2 s, so that they always have capacity: without ejection, tasks with two
    attempts fail on one after the other.
    """

    async def simulate() -> None:
        trial = _Trial(12, {3, 8, 10}, tmp_path / "log")
        await trial.start()
        names = await trial.submit_jobs("0", 60, _TASKS, 0.15)
        await asyncio.sleep(15)
        assert await trial.count_states(names) == {"completed": 60}
        for index in trial.failing:
            # A handful before the ejection, then a few probes.
            assert trial.count_runs(index) <= 14
        assert trial.list_events("runner_ejected")
        assert trial.list_events("runner_probed")
        assert trial.fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_failing_runner_gets_few_runs_of_a_burst(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a burst of failures on an empty runner that is new."""

    async def simulate() -> None:
        trial = _Trial(12, {5}, tmp_path / "log")
        await trial.start()
        names = await trial.submit_jobs("0", 10, 8, 0.0)
        await asyncio.sleep(1.0)
        assert trial.count_runs(5) <= 8
        await asyncio.sleep(8)
        assert await trial.count_states(names) == {"completed": 10}

    virtual_time.run_virtually(simulate())


def test_takeover_while_runners_are_ejected(tmp_path: pathlib.Path) -> None:
    """Guards against a successor that fails jobs while it learns again."""

    async def simulate() -> None:
        trial = _Trial(12, {3, 8, 10}, tmp_path / "log")
        await trial.start("a", "b")
        leader = trial.fleet.get_leader()
        assert leader is not None
        names = await trial.submit_jobs("0", 20, _TASKS, 0.15)
        assert trial.list_events("runner_ejected")
        leader.kill()
        del trial.fleet.instances[leader.name]
        names += await trial.submit_jobs("1", 30, _TASKS, 0.15)
        await asyncio.sleep(20)
        assert await trial.count_states(names) == {"completed": 50}
        assert trial.fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_all_runners_fail(tmp_path: pathlib.Path) -> None:
    """Guards against a service without runners where the work is at fault."""

    async def simulate() -> None:
        trial = _Trial(6, set(range(6)), tmp_path / "log")
        await trial.start()
        names = await trial.submit_jobs("0", 30)
        await asyncio.sleep(5)
        assert await trial.count_states(names) == {"failed": 30}
        trial.failing.clear()
        began = asyncio.get_running_loop().time()
        names = await trial.submit_jobs("1", 10)
        await asyncio.sleep(6)
        assert await trial.count_states(names) == {"completed": 10}
        used = sum(trial.count_runs(index, began) > 0 for index in range(6))
        assert used >= 4

    virtual_time.run_virtually(simulate())


def test_recovered_runner_is_used_again(tmp_path: pathlib.Path) -> None:
    """Guards against capacity that is lost after a fault has ended."""

    async def simulate() -> None:
        trial = _Trial(6, {2}, tmp_path / "log")
        await trial.start()
        await trial.submit_jobs("0", 20, 9)
        assert trial.list_events("runner_ejected")
        trial.failing.clear()
        await trial.submit_jobs("1", 60, 9)
        assert trial.list_events("runner_readmitted")
        began = asyncio.get_running_loop().time()
        await trial.submit_jobs("2", 20, 9)
        assert trial.count_runs(2, began) >= 10

    virtual_time.run_virtually(simulate())


def test_runs_leave_a_runner_that_hangs(tmp_path: pathlib.Path) -> None:
    """Guards against runs that never end on a runner that answers."""

    async def simulate() -> None:
        trial = _Trial(6, set(), tmp_path / "log")
        for added in trial.fleet.runners:
            added.checkpoint_interval_s = 0.5
        await trial.start()
        await trial.submit_jobs("0", 10, 9)
        hanging = trial.fleet.runners[1]
        hanging.speed = 0.0
        names = await trial.submit_jobs("1", 60, 9)
        assert trial.list_events("runner_ejected")
        await asyncio.sleep(8)
        assert await trial.count_states(names) == {"completed": 60}
        began = asyncio.get_running_loop().time()
        hanging.speed = 1.0
        await trial.submit_jobs("2", 80, 9)
        assert trial.count_runs(1, began) >= 5

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_first_work_of_a_term_does_not_wait_for_proof(
    tmp_path: pathlib.Path, max_attempts: int
) -> None:
    """Guards against a slow start of the day, when no runner has exits."""

    async def simulate() -> None:
        trial = _Trial(3, set(), tmp_path / "log")
        await trial.start()
        queue = attrs.evolve(_URGENT, max_attempts=max_attempts)
        # More than four for each runner, and less than fits.
        await trial.fleet.submit("00", model.Step(22, _TASK), queue=queue)
        await asyncio.sleep(0.3)
        assert len(trial.fleet.history.runs) == 22

    virtual_time.run_virtually(simulate())


def test_runner_that_fails_two_fifths(tmp_path: pathlib.Path) -> None:
    """Guards against runners that fail part of their work unnoticed.

    Successes between the failures must not keep such a runner in use.
    """

    async def simulate() -> None:
        trial = _Trial(12, {3, 8, 10}, tmp_path / "log")
        trial.failing_of_five = 2
        await trial.start()
        names = await trial.submit_jobs("0", 100, _TASKS, 0.15)
        await asyncio.sleep(25)
        assert await trial.count_states(names) == {"completed": 100}
        failed = sum(
            run.exit_reason == "failed" for run in trial.fleet.history.runs
        )
        assert failed <= 60

    virtual_time.run_virtually(simulate())


def test_service_with_long_running_tasks_only(tmp_path: pathlib.Path) -> None:
    """Guards against runners that return to no service without batch work.

    Tasks that run until they are cancelled serve as probes by being ready.
    """

    async def simulate() -> None:
        trial = _Trial(3, {1}, tmp_path / "log")
        trial.work_s = 600.0
        await trial.start()
        step = model.Step(1, _TASK, is_long_running=True)
        for number in range(20):
            await trial.fleet.submit(f"{number:02}", step)
        await asyncio.sleep(20)
        trial.failing.clear()
        for number in range(20, 24):
            await trial.fleet.submit(f"{number:02}", step)
        await asyncio.sleep(60)
        running = sum(len(added.running) for added in trial.fleet.runners)
        assert running == 24

    virtual_time.run_virtually(simulate())


def test_work_with_a_single_attempt_gets_a_recovered_runner(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against runners that stay ejected where no task may probe.

    Work with a single attempt returns to it once it has waited for others.
    """

    async def simulate() -> None:
        trial = _Trial(6, {2}, tmp_path / "log")
        await trial.start()
        queue = attrs.evolve(_URGENT, max_attempts=1)

        async def submit(prefix: str, count: int, tasks: int) -> None:
            for number in range(count):
                name = f"{prefix}{number}"
                await trial.fleet.submit(
                    name, model.Step(tasks, _TASK), queue=queue
                )
                await asyncio.sleep(0.2)

        await submit("0", 20, 9)
        assert trial.list_events("runner_ejected")
        trial.failing.clear()
        await submit("1", 200, 9)
        began = asyncio.get_running_loop().time()
        await submit("2", 40, 13)
        assert trial.count_runs(2, began) >= 10

    virtual_time.run_virtually(simulate())


def test_runner_that_flaps_is_limited(tmp_path: pathlib.Path) -> None:
    """Guards against work on a runner that answers only now and then."""

    async def simulate() -> None:
        trial = _Trial(6, set(), tmp_path / "log")
        await trial.start()
        await trial.submit_jobs("0", 10)
        flapping = trial.fleet.runners[2]
        for _ in range(4):
            flapping.is_down = True
            await asyncio.sleep(0.6)
            flapping.is_down = False
            await asyncio.sleep(1.6)
        (event,) = trial.list_events("runner_unproven")
        assert event["runner"] == flapping.identifier
        names = await trial.submit_jobs("1", 10)
        await asyncio.sleep(3)
        assert await trial.count_states(names) == {"completed": 10}

    virtual_time.run_virtually(simulate())
