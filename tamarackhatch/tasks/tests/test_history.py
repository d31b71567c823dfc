"""Checks of random histories of two instances with differing rosters."""

import asyncio

import attrs
import hypothesis
from hypothesis import strategies

from tamarackhatch import declarations
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch.tasks.tests import bench as benches
from tamarackhatch.tasks.tests import fleet
from tamarackhatch import testing

WORKERS = ("w0", "w1", "w2")
NODES = ("a", "b")
LIMIT = declarations.TeamPolicy(model.Resources(14000, 99999, 0))


@attrs.frozen
class Event:
    """One thing that happens, followed by a while in which time passes."""

    name: str
    index: int
    seconds: float


EVENTS = strategies.builds(
    Event,
    strategies.sampled_from(
        [
            "submit",
            "submit",
            "urgent",
            "cancel",
            "cut",
            "lose",
            "drop",
            "restart",
            "heal",
            "outage",
            "faults",
            "leave",
            "return",
            "shrink",
            "pause",
            "takeover",
            "wake",
            "move",
        ]
    ),
    strategies.integers(0, 5),
    strategies.sampled_from([0, 0.25, 1, 2, 5, 12, 35]),
)


class History:
    """Applies events; every fault is healed in the end."""

    def __init__(self) -> None:
        self.bench = benches.Bench(names=NODES, team=LIMIT)
        for name in NODES:
            # Both believe that they dispatch every team.
            self.bench.nodes[name].roster.members = (name,)
        self.count = 0
        self.jobs: list[str] = []
        self.lost: set[str] = set()
        self.cancelled: set[str] = set()
        self.paused: set[str] = set()

    async def apply(self, event: Event) -> None:
        worker = WORKERS[event.index % 3]
        node = NODES[event.index % 2]
        bench = self.bench
        if event.name in ("submit", "urgent"):
            job = f"j{self.count}"
            self.count += 1
            await bench.submit(
                job,
                count=3 + 3 * event.index,
                command=str(2 + 7 * event.index),
                urgent=event.name == "urgent",
                team=f"t{event.index % 2}",
            )
            self.jobs.append(job)
        elif event.name == "cancel" and self.jobs:
            job = self.jobs[event.index % len(self.jobs)]
            self.cancelled.add(job)
            await bench.service.cancel_job(job)
        elif event.name == "cut":
            bench.fleet.faults[worker] = fleet.Fault.CUT_OFF
        elif event.name == "lose":
            bench.fleet.faults[worker] = fleet.Fault.LOST_ANSWER
        elif event.name == "drop":
            bench.fleet.faults[worker] = fleet.Fault.LOST_REQUEST
        elif event.name == "restart":
            bench.fleet.restart(worker)
        elif event.name == "heal":
            bench.fleet.faults.clear()
        elif event.name == "faults":
            kinds = list(testing.StoreFault)
            bench.tables.add_commit_faults(
                *(kinds[(event.index + step) % 3] for step in range(4))
            )
        elif event.name == "leave":
            benches.set_state(bench, worker, model.ServerState.LEAVING)
        elif event.name == "return":
            benches.set_state(bench, worker, model.ServerState.LIVE)
        elif event.name == "shrink":
            size = model.Resources(2000 + 1000 * event.index, 8192, 0)
            bench.instances.set_backend(
                benches.build_backend(worker, capacity=size)
            )
        elif event.name == "pause":
            self.pause(node)
        elif event.name == "wake":
            self.wake(node)
        elif event.name == "takeover" and len(self.paused) == 1:
            (paused,) = self.paused
            heir = "b" if paused == "a" else "a"
            for name in bench.nodes[paused].ownership.list_owned():
                if bench.owners.get_epoch(name) == bench.nodes[
                    paused
                ].ownership.get_epoch(name):
                    await bench.claim(name, heir)
        elif event.name == "move":
            await self.move(worker, node)

    def pause(self, node: str) -> None:
        self.paused.add(node)
        self.bench.nodes[node].set_paused(True)
        # Authority lasts less long than it takes to fence a session.
        self.bench.nodes[node].ownership.set_authority(False)

    def wake(self, node: str) -> None:
        if node not in self.paused:
            return
        self.paused.remove(node)
        ownership = self.bench.nodes[node].ownership
        for worker in ownership.list_owned():
            if ownership.get_epoch(worker) != self.bench.owners.get_epoch(
                worker
            ):
                ownership.drop_worker(worker)
        ownership.set_authority(True)
        self.bench.nodes[node].set_paused(False)

    async def move(self, worker: str, node: str) -> None:
        """Releases a worker cleanly; its tasks run on."""
        for name in NODES:
            ownership = self.bench.nodes[name].ownership
            if name == node or worker not in ownership.list_owned():
                continue
            if name not in self.paused:
                ownership.drop_worker(worker)
                await self.bench.claim(worker, node)

    async def run(self, events: list[Event]) -> None:
        bench = self.bench
        await bench.start()
        try:
            for event in events:
                if event.name == "outage":
                    bench.tables.set_down(True)
                    await bench.advance(event.seconds + 5)
                    bench.tables.set_down(False)
                    continue
                try:
                    await self.apply(event)
                except errors.CodedError:
                    # A submission may be refused; the job does not count.
                    pass
                await bench.advance(event.seconds)
                assert await bench.find_faults() == []
            await self.finish()
        finally:
            await bench.stop()

    async def finish(self) -> None:
        bench = self.bench
        for name in NODES:
            self.wake(name)
        bench.fleet.faults.clear()
        for worker in WORKERS:
            bench.instances.set_backend(benches.build_backend(worker))
        for _ in range(60):
            await bench.advance(10)
            states = [(await bench.read_job(job)).state for job in self.jobs]
            if model.JobState.ACTIVE not in states:
                break
        await bench.advance(45)
        assert await bench.find_faults(is_idle=True) == []
        for name in self.jobs:
            job = await bench.read_job(name)
            ended = {model.JobState.FINISHED}
            if name in self.cancelled:
                ended.add(model.JobState.CANCELLED)
            assert job.state in ended, job
        self.check_attempts()

    def check_attempts(self) -> None:
        """Each attempt starts on one worker, and attempts only rise."""
        places: dict[tuple[model.TaskId, int], str] = {}
        newest: dict[model.TaskId, int] = {}
        for worker, order in self.bench.fleet.starts:
            assert order.attempt >= newest.get(order.task, 0)
            newest[order.task] = order.attempt
            place = places.setdefault((order.task, order.attempt), worker)
            assert place == worker


@hypothesis.settings(
    max_examples=15,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(strategies.lists(EVENTS, min_size=3, max_size=14))
def test_random_histories(events: list[Event]) -> None:
    """Guards against over-commitment, double runs and lost tasks."""
    asyncio.run(History().run(events))
