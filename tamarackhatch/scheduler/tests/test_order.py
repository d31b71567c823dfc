"""The order in which waiting tasks get capacity."""

import asyncio
import datetime

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import history
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import records
from tamarackhatch.scheduler import _restored_occurrences
from tamarackhatch.scheduler import _state

_SECOND = datetime.timedelta(seconds=1)
# Fills a runner, so that its tasks run one at a time.
_WIDE = model.Resources(processors=16_000, memory_mb=100)
_BATCH = model.Step(1, _WIDE)
_LARGE = model.Step(3, _WIDE)
_LONG_RUNNING = model.Step(1, _WIDE, is_long_running=True)
_URGENT = standin_fleet.QUEUE
_LATER = attrs.evolve(standin_fleet.QUEUE, priority=3)
_TIMELY = attrs.evolve(standin_fleet.QUEUE, target_latency=10 * _SECOND)
# The blocker outlasts this objective.
_HURRIED = attrs.evolve(standin_fleet.QUEUE, target_latency=2 * _SECOND)
_POLICY = placement.PlacementPolicy()
_BLOCKER = "00"
_BLOCKED_S = 4.0

Submission = tuple[str, model.Step, model.Queue, float]


def _plan(task: str, _number: int) -> tuple[float, str]:
    if task.startswith(_BLOCKER):
        return _BLOCKED_S, "done"
    if task.startswith("long-running"):
        return 100.0, "done"
    return 0.2, "done"


@pytest.mark.parametrize(
    ("submissions", "policy", "expected"),
    [
        pytest.param(
            (("large", _LARGE, _URGENT, 0), ("small", _BATCH, _URGENT, 1)),
            _POLICY,
            ["small", "large"],
            id="small job before large job",
        ),
        pytest.param(
            (("large", _LARGE, _URGENT, 0), ("small", _BATCH, _LATER, 1)),
            _POLICY,
            ["large", "small"],
            id="urgent job before small job",
        ),
        pytest.param(
            (("large", _LARGE, _URGENT, 0), ("small", _BATCH, _URGENT, 3)),
            attrs.evolve(_POLICY, batch_wait=2 * _SECOND),
            ["large", "small"],
            id="large job is not starved",
        ),
        pytest.param(
            (
                ("long-running", _LONG_RUNNING, _URGENT, 0),
                ("small", _BATCH, _URGENT, 1),
            ),
            _POLICY,
            ["small", "long-running"],
            id="batch task before long-running task",
        ),
        pytest.param(
            (
                ("long-running", _LONG_RUNNING, _URGENT, 0),
                ("small", _BATCH, _URGENT, 3),
            ),
            attrs.evolve(_POLICY, long_running_wait=2 * _SECOND),
            ["long-running"],
            id="long-running task is not starved",
        ),
        pytest.param(
            (
                ("long-running", _LONG_RUNNING, _TIMELY, 0),
                ("small", _BATCH, _TIMELY, 3),
            ),
            attrs.evolve(_POLICY, long_running_wait=2 * _SECOND),
            ["small", "long-running"],
            id="batch task that can meet its objective before long-running",
        ),
        pytest.param(
            (
                ("long-running", _LONG_RUNNING, _TIMELY, 0),
                ("small", _BATCH, _TIMELY, 3),
            ),
            attrs.evolve(
                _POLICY,
                long_running_wait=2 * _SECOND,
                max_long_running_wait=3 * _SECOND,
            ),
            ["long-running"],
            id="long-running task does not wait without bound",
        ),
        pytest.param(
            (("small", _BATCH, _HURRIED, 0), ("large", _LARGE, _HURRIED, 3)),
            _POLICY,
            ["large", "small"],
            id="large job in time before small job that is late",
        ),
    ],
)
def test_order_of_waiting_jobs(
    submissions: tuple[Submission, ...],
    policy: placement.PlacementPolicy,
    expected: list[str],
) -> None:
    """Guards against large or long-running jobs that delay small jobs.

    Large and long-running jobs must not starve either.
    """

    async def simulate() -> list[str]:
        fleet = standin_fleet.VirtualFleet(1, _plan, policy=policy)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await fleet.submit(_BLOCKER, _BATCH)
        await fleet.wait_until(lambda: bool(fleet.history.runs))
        begin = asyncio.get_running_loop().time()
        for name, step, queue, after_s in submissions:
            await asyncio.sleep(
                begin + after_s - asyncio.get_running_loop().time()
            )
            await fleet.submit(name, step, queue=queue)
        await asyncio.sleep(8.0)
        jobs = [run.task.split(".")[0] for run in fleet.history.runs[1:]]
        return list(dict.fromkeys(jobs))

    assert virtual_time.run_virtually(simulate()) == expected


def test_large_task_is_not_starved_by_small_ones() -> None:
    """Guards against small jobs that take each free piece of a runner.

    Load: more small urgent jobs than the runners have room for, without a
    pause, and one job whose task needs a whole runner.
    """
    piece = model.Step(1, model.Resources(processors=4_000, memory_mb=100))

    def plan(_task: str, _number: int) -> tuple[float, str]:
        return 0.5, "done"

    async def simulate() -> float:
        fleet = standin_fleet.VirtualFleet(2, plan)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        loop = asyncio.get_running_loop()
        begin = loop.time()
        submitted = 0
        while loop.time() < begin + 12.0:
            await fleet.submit(f"small-{submitted}", piece)
            submitted += 1
            if submitted == 60:
                await fleet.submit("large", _BATCH)
                begin_large = loop.time()
            # Eight run at a time for half a second each.
            await asyncio.sleep(0.05)
        return min(
            run.started - begin_large
            for run in fleet.history.runs
            if run.task.startswith("large")
        )

    assert virtual_time.run_virtually(simulate()) < 4.0


class _RefusingRunner(runner.RunnerStandIn):
    """Refuses the first start of each long-running task as unhealthy."""

    def __init__(self) -> None:
        super().__init__(
            "i-0",
            "10.1.0.1:8000",
            standin_fleet.SERVICE,
            _plan,
            history.History(),
        )
        self._refused: set[str] = set()

    async def handle(self, request: network.Request) -> network.Response:
        """Answers one call."""
        task = request.body.get("task", "")
        if (
            request.path == runner.START_PATH
            and task.startswith("long-running")
            and task not in self._refused
        ):
            self._refused.add(task)
            return network.Response(503)
        return await super().handle(request)


def test_refused_start_does_not_restart_the_wait() -> None:
    """Guards against a long-running task that waits behind batch tasks anew.

    The platform tolerates that it is down for 9 s while there is capacity.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(0)
        refusing = _RefusingRunner()
        fleet.adopt_runner(refusing)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1)
        await fleet.submit("large", attrs.evolve(_BATCH, count=100))
        await fleet.submit("long-running", _LONG_RUNNING)
        await fleet.wait_until(
            lambda: "long-running.0.0.0" in refusing.running, timeout_s=9
        )

    virtual_time.run_virtually(simulate())


def test_images_are_not_mixed_on_a_runner() -> None:
    """Guards against image mixing, beside which few best-effort tasks fit."""
    half = model.Resources(processors=8_000, memory_mb=100)
    first = model.Step(
        2,
        half,
        is_long_running=True,
        image="first",
        tail_latency_target=_SECOND,
    )

    async def simulate() -> dict[str, set[str]]:
        fleet = standin_fleet.VirtualFleet(3, _plan)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(1.0)
        images = {"long-running-1": "first", "long-running-2": "first"}
        images["long-running-3"] = "second"
        await fleet.submit("long-running-1", first)
        await fleet.submit(
            "long-running-2", attrs.evolve(first, max_per_runner=1)
        )
        await fleet.submit(
            "long-running-3", attrs.evolve(first, image="second")
        )
        await asyncio.sleep(2.0)
        placed: dict[str, set[str]] = {}
        for run in fleet.history.runs:
            image = images[run.task.split(".")[0]]
            placed.setdefault(run.runner, set()).add(image)
        return placed

    placed = virtual_time.run_virtually(simulate())
    assert len(placed) == 3
    assert all(len(images) == 1 for images in placed.values())


def test_demand_counts_unfinished_tasks() -> None:
    """Guards against the order of a job by tasks that are done."""
    steps = (
        model.Step(3, model.Resources(processors=2_000)),
        model.Step(2, model.Resources(processors=500), after=(0,)),
    )
    accepted = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    entry = _state.JobEntry(
        model.Job("00", standin_fleet.QUEUE, "work", steps, accepted), 1
    )
    # Of the first occurrence, tasks 0 and 2 of the first step are done.
    done = records.OccurrenceProgress(done_tasks={0: 0b101})
    for number, progress in enumerate((done, None)):
        entry.occurrences[number] = _restored_occurrences.build_occurrence(
            entry, number, progress
        )
    assert entry.compute_demand() == (2_000 + 1_000) + (6_000 + 1_000)
    assert entry.compute_demand() == sum(
        task.step.resources.processors
        for task in entry.iterate_tasks()
        if task.phase is not _state.TaskPhase.DONE
    )
