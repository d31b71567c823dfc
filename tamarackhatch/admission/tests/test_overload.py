"""Tests refusals on a whole fleet under overload, in virtual time.

Three runners of 16 cores do the work of 3 jobs a second: each has 4 tasks of
2 cores and 2 s. A job is worth something to its caller for 10.5 s.
"""

import asyncio
import collections
import datetime

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import virtual_instance
from standins import virtual_time
from tamarackhatch import model

_S = datetime.timedelta(seconds=1)
_QUEUE = attrs.evolve(
    standin_fleet.QUEUE, priority=2, stretch=1.5, target_latency=0.5 * _S
)
_TASK = model.Resources(2000, 100)
_STEP = model.Step(4, _TASK, 2 * _S)
_ROOM_PER_S = 3.0
_REFUSED = model.Outcome.REFUSED
_DONE = model.Outcome.DONE


def _plan(task: str, run: int) -> tuple[float, str]:
    return 2.0, "done"


def _count_refused(instance: virtual_instance.VirtualInstance) -> float:
    (metric,) = instance.metrics.refused_jobs.collect()
    return next(
        sample.value
        for sample in metric.samples
        if sample.name.endswith("_total")
    )


class _Trial:
    """A fleet with two instances, and the answers to its callers.

    Attributes:
        fleet: The fleet.
        answers: For each job, when it was answered, and the answer.
    """

    def __init__(self) -> None:
        self.fleet = standin_fleet.VirtualFleet(3, _plan)
        for name in ("a", "b", "c"):
            self.fleet.start_instance(name)
        self.answers: dict[str, tuple[float, model.JobLookup]] = {}
        self._submissions: list[asyncio.Task[model.JobLookup]] = []

    async def start(self) -> None:
        """Waits until the scheduler has all runners."""
        await self.fleet.wait_until(
            lambda: self.fleet.get_leader() is not None
        )
        await asyncio.sleep(3)

    async def submit(
        self,
        identifier: str,
        step: model.Step = _STEP,
        queue: model.Queue = _QUEUE,
        instance: str | None = None,
    ) -> model.JobLookup:
        """Submits a job and returns the answer."""
        lookup = await self.fleet.ask_service(
            identifier, step, queue=queue, instance=instance
        )
        now = asyncio.get_running_loop().time()
        self.answers[identifier] = (now, lookup)
        return lookup

    async def run_burst(
        self, load: float, duration_s: float, prefix: str = "1"
    ) -> None:
        """Submits a multiple of what there is room for."""
        rate = load * _ROOM_PER_S
        for number in range(int(duration_s * rate)):
            names = list(self.fleet.instances)
            identifier = f"{prefix}{number:015x}"
            self._submissions.append(
                asyncio.create_task(
                    self.submit(
                        identifier, instance=names[number % len(names)]
                    )
                )
            )
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*self._submissions)

    def count(
        self, outcome: model.Outcome, since_s: float = 0, until_s: float = 1e9
    ) -> int:
        """Returns the number of answers with an outcome in a span of time."""
        return sum(
            since_s <= time < until_s and lookup.outcome is outcome
            for time, lookup in self.answers.values()
        )

    async def check(self) -> None:
        """Checks that refused jobs have not run and accepted ones have."""
        ran = {run.task.split(".")[0] for run in self.fleet.history.runs}
        for identifier, (_, lookup) in self.answers.items():
            assert (identifier in ran) is (lookup.outcome is _DONE)
        assert self.fleet.check() == []


def test_burst_of_twice_the_room_for_many_seconds() -> None:
    """Guards against callers that wait for answers that are worth nothing."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.start()
        await trial.run_burst(2.0, 40)
        # In the first seconds work may still be served in time.
        assert trial.count(_REFUSED, until_s=10) == 0
        refused = trial.count(_REFUSED)
        assert 40 <= refused <= 120
        # The instance of the scheduler refuses as well as the others.
        by_instance = [
            _count_refused(instance)
            for instance in trial.fleet.instances.values()
        ]
        assert all(by_instance)
        assert sum(by_instance) == refused
        await asyncio.sleep(60)
        await trial.check()

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("load", [0.5, 0.95])
def test_nothing_is_refused_in_normal_load(load: float) -> None:
    """Guards against refusals, and further calls, beside free capacity."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.start()
        kinds: collections.Counter[str] = collections.Counter()
        handle = trial.fleet.store.handle

        async def count(request: object) -> object:
            body = getattr(request, "body")
            for put in body.get("puts", ()):
                kinds[put["table"]] += 1
            return await handle(request)  # type: ignore[arg-type]

        trial.fleet.network.serve(
            standin_fleet.STORE_ADDRESS, count  # type: ignore[arg-type]
        )
        await trial.run_burst(load, 30)
        assert trial.count(_REFUSED) == 0
        assert kinds["jobs-0"] == len(trial.answers)

    virtual_time.run_virtually(simulate())


def test_short_burst_is_not_refused() -> None:
    """Guards against refusing a burst that passes within the objective."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.start()
        await trial.run_burst(4.0, 2)
        await trial.run_burst(0.5, 10, prefix="2")
        assert trial.count(_REFUSED) == 0

    virtual_time.run_virtually(simulate())


def test_room_that_returns_ends_the_refusals() -> None:
    """Guards against refusals that outlast the overload."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.start()
        await trial.run_burst(2.5, 30)
        assert trial.count(_REFUSED) > 0
        # Late work is served first by then, or nobody waits for it any more.
        await asyncio.sleep(2)
        lookup = await trial.submit("2" * 16)
        assert lookup.outcome is _DONE
        await trial.fleet.wait_for_state("2" * 16, model.JobState.COMPLETED, 9)

    virtual_time.run_virtually(simulate())


def test_added_runners_end_the_refusals() -> None:
    """Guards against a refusal beside capacity that has become free."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.start()
        burst = asyncio.create_task(trial.run_burst(2.0, 60))
        await asyncio.sleep(30)
        for index in range(3, 15):
            trial.fleet.add_runner(_plan, index)
        added = asyncio.get_running_loop().time()
        await burst
        assert trial.count(_REFUSED, until_s=added) > 0
        assert trial.count(_REFUSED, since_s=added + 8) == 0

    virtual_time.run_virtually(simulate())


def test_small_job_beside_large_ones_is_accepted() -> None:
    """Guards against refusing a task that starts without a wait."""

    async def simulate() -> None:
        trial = _Trial()
        # Two tasks of 7 cores leave 2 cores free on each runner.
        large = model.Step(6, model.Resources(7000, 100), 2 * _S)
        await trial.start()
        for number in range(90):
            await trial.submit(f"1{number:015x}", large)
            await asyncio.sleep(0.25)
        assert trial.count(_REFUSED) > 0
        for number in range(10):
            small = model.Step(1, model.Resources(1900, 100), 2 * _S)
            identifier = f"2{number:015x}"
            lookup = await trial.submit(identifier, small)
            assert lookup.outcome is _DONE
            await trial.submit(f"3{number:015x}", large)
            await trial.fleet.wait_for_state(
                identifier, model.JobState.COMPLETED, 3
            )

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("step", "queue"),
    [
        (attrs.evolve(_STEP, is_long_running=True), _QUEUE),
        (_STEP, attrs.evolve(_QUEUE, target_latency=0 * _S)),
        (_STEP, attrs.evolve(_QUEUE, priority=0)),
        (_STEP, attrs.evolve(_QUEUE, stretch=20.0)),
    ],
)
def test_other_work_is_not_refused_in_a_burst(
    step: model.Step, queue: model.Queue
) -> None:
    """Guards against refusing work without an objective, or urgent work."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.start()
        burst = asyncio.create_task(trial.run_burst(2.0, 30))
        await asyncio.sleep(20)
        for number in range(10):
            lookup = await trial.submit(f"2{number:015x}", step, queue)
            assert lookup.outcome is _DONE
            await asyncio.sleep(1)
        await burst
        assert trial.count(_REFUSED) > 0

    virtual_time.run_virtually(simulate())


def test_takeover_under_overload() -> None:
    """Guards against refusals by the figures of a scheduler that has ended."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.start()
        burst = asyncio.create_task(trial.run_burst(2.5, 50))
        loop = asyncio.get_running_loop()
        await asyncio.sleep(25)
        leader = trial.fleet.get_leader()
        assert leader is not None
        leader.kill()
        del trial.fleet.instances[leader.name]
        killed = loop.time()
        await trial.fleet.wait_until(
            lambda: trial.fleet.get_leader() is not None
        )
        taken_over = loop.time()
        burst.cancel()
        await asyncio.gather(burst, return_exceptions=True)
        assert trial.count(_REFUSED, until_s=killed) > 0
        assert trial.count(_REFUSED, since_s=killed + 1.7) == 0
        # The successor needs two reports of its own.
        await trial.run_burst(2.5, 40, prefix="2")
        assert trial.count(_REFUSED, taken_over, taken_over + 1) == 0
        assert trial.count(_REFUSED, taken_over + 1) > 0

    virtual_time.run_virtually(simulate())


def test_no_refusal_while_the_store_is_down() -> None:
    """Guards against a refusal that cannot be recorded."""

    async def simulate() -> None:
        trial = _Trial()
        await trial.start()
        burst = asyncio.create_task(trial.run_burst(2.5, 40))
        await asyncio.sleep(25)
        trial.fleet.store.is_down = True
        down = asyncio.get_running_loop().time()
        await asyncio.sleep(4)
        trial.fleet.store.is_down = False
        up = asyncio.get_running_loop().time()
        await burst
        assert trial.count(_REFUSED, until_s=down) > 0
        assert trial.count(_REFUSED, down + 0.1, up) == 0
        await asyncio.sleep(60)
        await trial.check()

    virtual_time.run_virtually(simulate())
