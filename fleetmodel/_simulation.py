"""Simulates one day of a deployment in virtual time."""

import asyncio
import collections
import datetime
import os

from fleetmodel import _interference
from fleetmodel import _profile
from fleetmodel import _runner
from fleetmodel import _score
from fleetmodel import _work
from standins import fleet as standin_fleet
from standins import network
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import placement

_SAMPLE_INTERVAL_S = 0.1
_POLL_INTERVAL_S = 0.05
_INSTANCE = "a"
_CALL_KINDS = {"/-/hold": "renew", "/-/pace": "pace", "/-/run-start": "start"}


def simulate_day(
    profile: _profile.Profile,
    seed: int,
    policy: placement.PlacementPolicy,
    log_path: str = os.devnull,
) -> _score.Score:
    """Simulates a day and returns its score.

    Args:
        profile: The deployment.
        seed: Seed of the load and of the true interference.
        policy: Placement policy of the scheduler.
        log_path: File to which the instance's log lines are appended.

    Raises:
        RuntimeError: The history of the runs violates a rule.
    """
    return virtual_time.run_virtually(
        _DaySimulation(profile, seed, policy, log_path).run()
    )


class _DaySimulation:
    """Simulation of one day of a deployment."""

    def __init__(
        self,
        profile: _profile.Profile,
        seed: int,
        policy: placement.PlacementPolicy,
        log_path: str,
    ) -> None:
        self._profile = profile
        self._policy = policy
        self._log_path = log_path
        self._interference = _interference.Interference(profile, seed)
        self._jobs = _work.LoadGenerator(profile, seed).generate_jobs()
        self._jobs_by_identifier = {job.identifier: job for job in self._jobs}
        self._call_counts: collections.Counter[str] = collections.Counter()
        # Number of runs of each task on all runners.
        self._run_counts: collections.Counter[str] = collections.Counter()
        self._completed: dict[str, float] = {}

    async def run(self) -> _score.Score:
        """Simulates the day and returns its score."""
        profile = self._profile
        fleet = standin_fleet.VirtualFleet(
            runners=0, log_path=self._log_path, policy=self._policy
        )
        runners = [
            self._make_runner(fleet, n) for n in range(profile.runner_count)
        ]
        for model_runner in runners:
            fleet.adopt_runner(model_runner)
            fleet.network.serve(
                model_runner.address, self._count_calls(model_runner)
            )
        instance = fleet.start_instance(_INSTANCE)
        scorer = _score.Scorer(profile)
        loop = asyncio.get_running_loop()
        end = profile.warmup_s + profile.traffic_s + profile.wind_down_s
        submissions = asyncio.create_task(self._submit_all(fleet))
        completions = asyncio.create_task(self._record_completions(fleet))
        while loop.time() < end:
            await asyncio.sleep(_SAMPLE_INTERVAL_S)
            scorer.add_samples(
                self._jobs, runners, loop.time(), _SAMPLE_INTERVAL_S
            )
        for task in (submissions, completions):
            task.cancel()
        violations = fleet.check()
        if violations:
            raise RuntimeError(f"run history violates rules: {violations[:3]}")
        instance.kill()
        return scorer.compute_score(
            self._jobs, self._completed, self._call_counts, end
        )

    def _make_runner(
        self, fleet: standin_fleet.VirtualFleet, number: int
    ) -> _runner.ModelRunner:
        profile = self._profile
        size_factor = 1.5 if number % 3 == 2 else 1.0
        return _runner.ModelRunner(
            number,
            standin_fleet.SERVICE,
            model.Resources(
                int(profile.processors * size_factor),
                int(profile.memory_mb * size_factor),
            ),
            self._jobs_by_identifier,
            self._interference,
            self._run_counts,
            fleet.history,
        )

    def _count_calls(
        self, model_runner: _runner.ModelRunner
    ) -> network.Handler:
        async def handle(request: network.Request) -> network.Response:
            self._call_counts[_CALL_KINDS.get(request.path, "other")] += 1
            return await model_runner.handle(request)

        return handle

    async def _submit_all(self, fleet: standin_fleet.VirtualFleet) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            for job in self._jobs:
                await asyncio.sleep(max(0.0, job.submitted - loop.time()))
                group.create_task(self._submit_and_cancel(fleet, job))

    async def _submit_and_cancel(
        self, fleet: standin_fleet.VirtualFleet, job: _work.GeneratedJob
    ) -> None:
        kind = job.kind
        priority = getattr(kind, "priority", 0)
        queue = model.Queue(
            name=kind.name,
            host="",
            path_prefix="/",
            service=standin_fleet.SERVICE,
            priority=priority,
            max_attempts=4,
        )
        await fleet.submit(job.identifier, *job.steps, queue=queue)
        loop = asyncio.get_running_loop()
        if job.cancelled < 1e6:
            await asyncio.sleep(job.cancelled - loop.time())
            deadline = fleet.clock.get_monotonic() + datetime.timedelta(
                seconds=3
            )
            instance = fleet.instances[_INSTANCE]
            await instance.jobs.cancel(job.identifier, deadline)

    async def _record_completions(
        self, fleet: standin_fleet.VirtualFleet
    ) -> None:
        """Records the times at which all tasks of a job are done."""
        loop = asyncio.get_running_loop()
        done_tasks: collections.Counter[str] = collections.Counter()
        task_counts = {
            job.identifier: sum(step.count for step in job.steps)
            for job in self._jobs
        }
        exited_runs: set[int] = set()
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            for number, record in enumerate(fleet.history.runs):
                if number in exited_runs or record.exited is None:
                    continue
                exited_runs.add(number)
                if record.exit_reason != "done":
                    continue
                job = record.task.split(".")[0]
                done_tasks[job] += 1
                if done_tasks[job] == task_counts[job]:
                    self._completed[job] = loop.time()
