"""Simulates one day in virtual time."""

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

_SAMPLE_S = 0.1
_POLL_S = 0.05
_INSTANCE = "a"
_PATHS = {"/-/hold": "renew", "/-/pace": "pace", "/-/run-start": "start"}


def simulate_day(
    profile: _profile.Profile,
    seed: int,
    policy: placement.PlacementPolicy,
    log_path: str = os.devnull,
) -> _score.Score:
    """Simulates a day and returns its figures.

    Args:
        profile: The deployment.
        seed: Decides the load and the truth about interference.
        policy: Placement policy of the scheduler.
        log_path: File that the instance's log lines are appended to.
    """
    return virtual_time.run_virtually(
        _Day(profile, seed, policy, log_path).run()
    )


class _Day:
    """One day of a deployment."""

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
        self._jobs = _work.LoadGenerator(profile, seed).draw()
        self._by_identifier = {job.identifier: job for job in self._jobs}
        self._counts: collections.Counter[str] = collections.Counter()
        # Runs of each task on all runners.
        self._attempts: collections.Counter[str] = collections.Counter()
        self._completed: dict[str, float] = {}

    async def run(self) -> _score.Score:
        """Simulates it."""
        profile = self._profile
        fleet = standin_fleet.VirtualFleet(
            runners=0, log_path=self._log_path, policy=self._policy
        )
        runners = [self._make_runner(fleet, n) for n in range(profile.runners)]
        for item in runners:
            fleet.adopt_runner(item)
            fleet.network.serve(item.address, self._count(item))
        instance = fleet.start_instance(_INSTANCE)
        scorer = _score.Scorer(profile)
        loop = asyncio.get_running_loop()
        end = profile.lead_s + profile.traffic_s + profile.finish_s
        submissions = asyncio.create_task(self._submit_all(fleet))
        watch = asyncio.create_task(self._watch(fleet))
        while loop.time() < end:
            await asyncio.sleep(_SAMPLE_S)
            scorer.sample(self._jobs, runners, loop.time(), _SAMPLE_S)
        for task in (submissions, watch):
            task.cancel()
        violations = fleet.check()
        if violations:
            raise RuntimeError(f"broken rules: {violations[:3]}")
        instance.kill()
        return scorer.compute(self._jobs, self._completed, self._counts, end)

    def _make_runner(
        self, fleet: standin_fleet.VirtualFleet, number: int
    ) -> _runner.ModelRunner:
        profile = self._profile
        size = 1.5 if number % 3 == 2 else 1.0
        return _runner.ModelRunner(
            number,
            standin_fleet.SERVICE,
            model.Resources(
                int(profile.processors * size), int(profile.memory * size)
            ),
            self._by_identifier,
            self._interference,
            self._attempts,
            fleet.history,
        )

    def _count(self, item: _runner.ModelRunner) -> network.Handler:
        async def handle(request: network.Request) -> network.Response:
            self._counts[_PATHS.get(request.path, "other")] += 1
            return await item.handle(request)

        return handle

    async def _submit_all(self, fleet: standin_fleet.VirtualFleet) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            for job in self._jobs:
                await asyncio.sleep(max(0.0, job.submitted - loop.time()))
                group.create_task(self._live(fleet, job))

    async def _live(
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

    async def _watch(self, fleet: standin_fleet.VirtualFleet) -> None:
        """Notes when the tasks of jobs have all ended."""
        loop = asyncio.get_running_loop()
        done: collections.Counter[str] = collections.Counter()
        counts = {
            job.identifier: sum(step.count for step in job.steps)
            for job in self._jobs
        }
        seen: set[int] = set()
        while True:
            await asyncio.sleep(_POLL_S)
            for number, record in enumerate(fleet.history.runs):
                if number in seen or record.exited is None:
                    continue
                seen.add(number)
                if record.exit_reason != "done":
                    continue
                job = record.task.split(".")[0]
                done[job] += 1
                if done[job] == counts[job]:
                    self._completed[job] = loop.time()
