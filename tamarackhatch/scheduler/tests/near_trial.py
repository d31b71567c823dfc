"""A fleet of racks on which tasks take longer away from the rack they name."""

import asyncio
import datetime
import pathlib
import random
import statistics

import attrs
import orjson

from standins import fleet as standin_fleet
from standins import history
from standins import runner
from tamarackhatch import model

_MS = datetime.timedelta(milliseconds=1)
SLOWDOWN = 1.5
HOT_RACK = "r1"
HOT_SHARE = 0.6
_OBJECTIVE = 20_000 * _MS
QUEUE = attrs.evolve(
    standin_fleet.QUEUE, max_attempts=2, target_latency=_OBJECTIVE
)
URGENT = model.Step(
    10,
    model.Resources(2_700, 500),
    estimate=1_000 * _MS,
    preferred_rack=HOT_RACK,
    image="urgent",
)
STEP = attrs.evolve(URGENT, count=2)
# Fills a runner with five tasks.
BLOCKER = attrs.evolve(URGENT, count=5)
# From a submission until the scheduler has read it and a runner has started
# its tasks.
LATENCY_S = 0.25


@attrs.frozen
class LoadResult:
    """Result of a load, in seconds.

    Attributes:
        mean_latency: Mean time from a submission to the last exit of the
            job, for jobs that name the hot rack.
        longest_wait: Longest time from a submission to a start.
        work: Run time of all tasks.
    """

    mean_latency: float
    longest_wait: float
    work: float


class RackRunner(runner.RunnerStandIn):
    """Runs tasks that name another rack more slowly.

    Names of jobs that prefer the hot rack begin with its name.
    """

    def __init__(
        self, index: int, rack: str, fleet: "standin_fleet.VirtualFleet"
    ) -> None:
        super().__init__(
            f"i-{index}",
            f"10.1.0.{index + 1}:8000",
            standin_fleet.SERVICE,
            self._plan_run,
            fleet.history,
        )
        self.labels = ["a", rack]
        self.works: dict[str, float] = {}

    def _plan_run(self, task: str, run: int) -> tuple[float, str]:
        work_s = self.works.get(task.split(".")[0])
        if work_s is None:
            # Of the same length whatever rack it runs on.
            work_s = random.Random(task).lognormvariate(0.0, 0.3)
        is_near = not task.startswith(HOT_RACK) or HOT_RACK in self.labels
        return work_s * (1.0 if is_near else SLOWDOWN), "done"


class Trial:
    """A deployment with several runners on each of several racks.

    Attributes:
        fleet: The fleet.
        works: Run time in seconds of the tasks of a job near their data;
            random without an entry.
    """

    def __init__(
        self,
        log_path: pathlib.Path,
        racks: int = 2,
        runners_per_rack: int = 1,
        slowdown: float | None = SLOWDOWN,
    ) -> None:
        self.works: dict[str, float] = {}
        self._log_path = log_path
        self.fleet = standin_fleet.VirtualFleet(0, log_path=str(log_path))
        self.fleet.bounds = attrs.evolve(
            self.fleet.bounds, remote_slowdown=slowdown
        )
        for index in range(racks * runners_per_rack):
            rack = f"r{index // runners_per_rack + 1}"
            added = RackRunner(index, rack, self.fleet)
            added.works = self.works
            self.fleet.adopt_runner(added)

    async def start(self, *names: str) -> None:
        """Starts instances, and proves all runners by a first job."""
        for name in names or ("a",):
            self.fleet.start_instance(name)
        await self.fleet.wait_until(
            lambda: self.fleet.get_leader() is not None
        )
        await asyncio.sleep(1)
        count = len(self.fleet.runners)
        first = attrs.evolve(
            URGENT,
            count=count,
            resources=model.Resources(9_000, 100),
            preferred_rack="",
            image="first",
        )
        self.works["first"] = 0.1
        await self.submit("first", first)
        await self.fleet.wait_for_state("first", model.JobState.COMPLETED)

    async def submit(self, name: str, step: model.Step = URGENT) -> None:
        """Submits a job of one step."""
        await self.fleet.submit(name, step, queue=QUEUE)

    def get_racks(self, job: str) -> list[str]:
        """Returns the racks on which the tasks of a job ran, in order."""
        racks = {
            stand_in.identifier: stand_in.labels[-1]
            for stand_in in self.fleet.runners
        }
        return [racks[run.runner] for run in self.list_runs(job)]

    def list_runs(self, job: str) -> list[history.RunRecord]:
        """Returns the runs of a job, in the order of their starts."""
        return [
            run
            for run in self.fleet.history.runs
            if run.task.startswith(f"{job}.")
        ]

    def list_events(self, name: str) -> list[dict[str, object]]:
        """Returns the log lines of an event so far."""
        return [
            line
            for line in map(
                orjson.loads, self._log_path.read_bytes().splitlines()
            )
            if line["event"] == name
        ]

    def count_outcomes(self) -> dict[str, int]:
        """Returns the number of started tasks by outcome."""
        counts: dict[str, int] = {}
        for instance in self.fleet.instances.values():
            for metric in instance.metrics.near_placements.collect():
                for sample in metric.samples:
                    if sample.name.endswith("_total") and sample.value:
                        name = sample.labels["outcome"]
                        counts[name] = counts.get(name, 0) + int(sample.value)
        return counts

    async def run_load(
        self, rate: float, seed: int, duration_s: float
    ) -> "LoadResult":
        """Submits urgent jobs, 60 % of which name the hot rack.

        Args:
            rate: Mean number of jobs a second.
            seed: Seed of their times.
            duration_s: Time in which jobs are submitted.
        """
        numbers = random.Random(seed)
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        submitted: dict[str, float] = {}
        while loop.time() < end:
            await asyncio.sleep(numbers.expovariate(rate))
            is_hot = numbers.random() < HOT_SHARE
            name = f"{HOT_RACK if is_hot else 'other'}-{len(submitted)}"
            submitted[name] = loop.time()
            rack = HOT_RACK if is_hot else ""
            await self.submit(name, attrs.evolve(URGENT, preferred_rack=rack))
        await asyncio.sleep(15)
        latencies, waits, work = [], [], 0.0
        for name, time in submitted.items():
            runs = self.list_runs(name)
            assert len(runs) == URGENT.count
            waits.append(max(run.started for run in runs) - time)
            work += sum((run.exited or 0) - run.started for run in runs)
            if name.startswith(HOT_RACK):
                latencies.append(max(run.exited or 0 for run in runs) - time)
        return LoadResult(statistics.mean(latencies), max(waits), work)


def get_time() -> float:
    """Returns virtual time in seconds."""
    return asyncio.get_running_loop().time()


async def block_rack(trial: Trial, work_s: float, elapsed_s: float) -> None:
    """Fills the hot rack, and waits for a time from the start of the runs."""
    trial.works["r1-blocker"] = work_s
    await trial.submit("r1-blocker", BLOCKER)
    await trial.fleet.wait_until(
        lambda: len(trial.list_runs("r1-blocker")) == BLOCKER.count
    )
    began = trial.list_runs("r1-blocker")[-1].started
    assert set(trial.get_racks("r1-blocker")) == {HOT_RACK}
    await asyncio.sleep(began + elapsed_s - get_time())


async def run_job(
    trial: Trial, step: model.Step = STEP, work_s: float = 1.0
) -> float:
    """Runs a job, and returns the seconds until its last task started."""
    trial.works["r1-job"] = work_s
    submitted = get_time()
    await trial.submit("r1-job", step)
    await trial.fleet.wait_for_state("r1-job", model.JobState.COMPLETED)
    # The exit of one member completes a gang, which the checker takes for a
    # job that is shown as completed too early.
    assert not [
        violation
        for violation in trial.fleet.check()
        if violation.rule != "MIXED" or not step.is_gang
    ]
    return max(run.started for run in trial.list_runs("r1-job")) - submitted
