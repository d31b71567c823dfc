"""Throttling of best-effort tasks after takeovers and target violations."""

import asyncio
import datetime
import typing

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import placement

_BEST_EFFORT_CPU = 3000
_BEST_EFFORT = model.Step(
    4,
    model.Resources(_BEST_EFFORT_CPU, 100),
    is_best_effort=True,
    image="best-effort",
)
_SERVING = model.Step(
    1,
    model.Resources(8000, 100),
    is_long_running=True,
    image="serving",
    tail_latency_target=datetime.timedelta(milliseconds=50),
)
# A third of the target, so that no best-effort task causes a target violation.
_TAIL_LATENCY_MS = 15


class _SamplingRunner(runner.RunnerStandIn):
    """Reports tail latencies and CPU use, and records speed limits."""

    speed_limit_percents: list[int]
    max_tail_latency_ms: int = _TAIL_LATENCY_MS

    @property
    def best_effort_cpu(self) -> float:
        """CPU that the best-effort tasks may use together."""
        return sum(
            _BEST_EFFORT_CPU * run.speed_limit
            for run in self._runs.values()
            if not run.task.startswith("long-running")
        )

    def throttle_best_effort_tasks(self, speed_limit: float) -> None:
        """Sets a speed limit, as if an earlier scheduler had sent it."""
        now = asyncio.get_running_loop().time()
        for run in self._runs.values():
            if not run.task.startswith("long-running"):
                run.set_speed_limit(now, speed_limit)

    def _list_run(self, run: runner.Run) -> list[typing.Any]:
        sample = round(_BEST_EFFORT_CPU * run.speed_limit)
        if run.task.startswith("long-running"):
            # The first task of a job has the highest tail latency.
            is_first = run.task.endswith(".0")
            sample = self.max_tail_latency_ms if is_first else _TAIL_LATENCY_MS
        return [run.task, run.run, "", 100, sample]

    def _set_speed_limit(self, body: network.Body) -> network.Response:
        self.speed_limit_percents.append(body["percent"])
        return super()._set_speed_limit(body)


def _adopt_runner(fleet: standin_fleet.VirtualFleet) -> _SamplingRunner:
    sampling = _SamplingRunner(
        "i-0",
        "10.1.0.1:8000",
        standin_fleet.SERVICE,
        lambda task, run: (60.0, "done"),
        fleet.history,
    )
    sampling.speed_limit_percents = []
    fleet.adopt_runner(sampling)
    return sampling


@pytest.mark.parametrize("speed_limit", [1.0, 0.5])
def test_successor_keeps_the_speed_limits_of_best_effort_tasks(
    speed_limit: float,
) -> None:
    """Guards against slowing best-effort tasks after each takeover.

    The successor does not know own loads yet. Assuming the highest ones would
    leave the best-effort tasks little CPU.
    """

    async def simulate() -> list[int]:
        # All best-effort tasks are to run, even before their interference
        # factor is known.
        policy = placement.PlacementPolicy(
            full_speed_wait=datetime.timedelta(), min_speed=0.0
        )
        fleet = standin_fleet.VirtualFleet(runners=0, policy=policy)
        sampling = _adopt_runner(fleet)
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("long-running", _SERVING)
        await asyncio.sleep(1)
        await fleet.submit("00", _BEST_EFFORT)
        await asyncio.sleep(5)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        sampling.throttle_best_effort_tasks(speed_limit)
        sampling.speed_limit_percents.clear()
        await fleet.wait_until(
            lambda: len(sampling.speed_limit_percents) >= _BEST_EFFORT.count
        )
        return sampling.speed_limit_percents[: _BEST_EFFORT.count]

    speed_limit_percents = virtual_time.run_virtually(simulate())
    assert (
        speed_limit_percents == [round(speed_limit * 100)] * _BEST_EFFORT.count
    )


def test_best_effort_tasks_stop_beside_a_long_target_violation() -> None:
    """Guards against a serving task that is over its target for four seconds.

    Only one task of the job is over its target, so neither the median nor the
    model shows it (found in bazar-zholy, scale-1, 199421180366, and quiet-1,
    234776243375).
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=0)
        sampling = _adopt_runner(fleet)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        small = model.Resources(2000, 100)
        await fleet.submit(
            "long-running", attrs.evolve(_SERVING, count=3, resources=small)
        )
        await asyncio.sleep(2)
        await fleet.submit("00", attrs.evolve(_BEST_EFFORT, count=1))
        await asyncio.sleep(5)
        sampling.speed_limit_percents.clear()
        sampling.max_tail_latency_ms = 60
        await fleet.wait_until(lambda: 0 in sampling.speed_limit_percents, 2.5)
        sampling.max_tail_latency_ms = _TAIL_LATENCY_MS
        await fleet.wait_until(
            lambda: 100 in sampling.speed_limit_percents, 2.5
        )

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("processors", "max_best_effort_cpu"),
    [(16_000, 12_000), (8_000, 8_000), (4_000, 4_000), (0, 0)],
)
@pytest.mark.parametrize("is_leader_killed", [False, True])
def test_best_effort_tasks_are_throttled_on_a_shrunk_runner(
    processors: int, max_best_effort_cpu: int, is_leader_killed: bool
) -> None:
    """Guards against best-effort tasks that use more than a runner still has.

    The serving task does not report a higher tail latency yet.
    """

    async def simulate() -> None:
        policy = placement.PlacementPolicy(
            full_speed_wait=datetime.timedelta(), min_speed=0.0
        )
        fleet = standin_fleet.VirtualFleet(runners=0, policy=policy)
        sampling = _adopt_runner(fleet)
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("long-running", _SERVING)
        await asyncio.sleep(1)
        await fleet.submit("00", _BEST_EFFORT)
        await asyncio.sleep(10)
        sampling.capacity = model.Resources(processors, 64_000)
        if is_leader_killed:
            leader = fleet.get_leader()
            assert leader is not None
            leader.kill()
            del fleet.instances[leader.name]
        await asyncio.sleep(5)
        assert len(sampling.running) == 5
        assert sampling.best_effort_cpu <= max_best_effort_cpu
        assert (sampling.best_effort_cpu == 12_000) == (processors == 16_000)
        sampling.capacity = model.Resources(16_000, 64_000)
        await fleet.wait_until(lambda: sampling.best_effort_cpu == 12_000, 6)

    virtual_time.run_virtually(simulate())


def test_best_effort_tasks_leave_a_runner_that_starves_them() -> None:
    """Guards against jobs that wait for a capacity that does not return."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=0)
        sampling = _adopt_runner(fleet)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit("long-running", _SERVING)
        await asyncio.sleep(1)
        await fleet.submit("00", attrs.evolve(_BEST_EFFORT, count=1))
        await asyncio.sleep(5)
        assert len(sampling.running) == 2
        fleet.add_runner(standin_fleet.plan_success, 1)
        sampling.capacity = model.Resources(0, 64_000)
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 12)
        assert sampling.running == ["long-running.0.0.0"]
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
