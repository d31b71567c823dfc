"""Checks histories of concurrent requests over several entry instances."""

import asyncio
import collections

import attrs
import hypothesis
from hypothesis import strategies

from tamarackhatch import declarations
from tamarackhatch import model
from tamarackhatch.routing.tests import harness
from tamarackhatch import testing

_MS = harness.MS
_SLOTS = 2
_POLICY = declarations.ServicePolicy(
    slots=_SLOTS,
    connections=8,
    max_queue=6,
    max_deadline=2 * harness.SECOND,
    watch_length=2 * harness.SECOND,
)
_RUNS = strategies.builds(
    harness.Run,
    length=strategies.sampled_from([10 * _MS, 200 * _MS, 5000 * _MS]),
    is_refused=strategies.sampled_from([False, False, False, True]),
    lost_after=strategies.sampled_from([None, None, None, 5 * _MS]),
    changes=strategies.sampled_from(
        [{}, {}, {}, {"headers": (("Request-Id", "other"),)}]
    ),
)
_PEER_FAULTS = ["", "", "", "unavailable", "lost", "hang", "mixed up"]
_STORE_FAULTS = [None, None, None, *testing.StoreFault]
_EVENTS = ["down", "up", "move", "move clean", "pause", "resume", "share"]


@attrs.frozen
class _Step:
    """One submission, or one event if there is no ID."""

    wait: int
    instance: str
    number: int
    is_repeatable: bool
    is_watch: bool
    timeout: int
    event: str


_STEPS = strategies.lists(
    strategies.builds(
        _Step,
        wait=strategies.sampled_from([0, 0, 10, 100, 500]),
        instance=strategies.sampled_from("abc"),
        number=strategies.integers(0, 8),
        is_repeatable=strategies.booleans(),
        is_watch=strategies.sampled_from([False, False, False, True]),
        timeout=strategies.sampled_from([50, 500, 2000]),
        event=strategies.sampled_from([""] * 12 + _EVENTS),
    ),
    min_size=1,
    max_size=30,
)


class _History:
    """Plays the steps and keeps what each submission was told."""

    def __init__(self, fleet: harness.Fleet) -> None:
        self.fleet = fleet
        self.owner = "a"
        self.tasks: list[
            tuple[model.ServiceRequest, asyncio.Task[model.ServiceAnswer]]
        ] = []
        self.moves: list[asyncio.Task[None]] = []

    def submit(self, step: _Step) -> None:
        kind = "watch" if step.is_watch else "r" if step.is_repeatable else "n"
        request = self.fleet.make_request(
            step.timeout * _MS,
            request_id=f"{kind}{step.number}",
            is_repeatable=step.is_repeatable or step.is_watch,
            is_watch=step.is_watch,
            headers=(("X-Submission", str(len(self.tasks))),),
        )
        router = self.fleet.instances[step.instance].router
        task = asyncio.create_task(router.route_request(request))
        self.tasks.append((request, task))

    def apply(self, event: str, target: str) -> None:
        fleet = self.fleet
        if event in ("down", "up"):
            fleet.tables.set_down(event == "down")
        elif event in ("pause", "resume"):
            fleet.instances[target].ownership.set_authority(event == "resume")
        elif event == "share":
            fleet.share_loads()
        elif not self.moves or self.moves[-1].done():
            self.moves.append(
                asyncio.create_task(self.move(target, event == "move clean"))
            )

    async def move(self, target: str, is_clean: bool) -> None:
        """Moves worker w1 to another owner."""
        old = self.fleet.instances[self.owner]
        new = self.fleet.instances[target].ownership
        if is_clean:
            await old.limits.drain_worker("w1")
        self.owner = target
        old.ownership.drop_worker("w1")
        new.set_epoch("w1", len(self.moves) + 1)
        new.set_claimed_at(
            "w1",
            (
                -10 * harness.SECOND
                if is_clean
                else self.fleet.clock.get_monotonic()
            ),
        )

    async def play(self, steps: list[_Step]) -> None:
        for step in steps:
            await self.fleet.clock.advance(step.wait * _MS)
            if step.event:
                self.apply(step.event, step.instance)
            else:
                self.submit(step)
        self.fleet.tables.set_down(False)
        for instance in self.fleet.instances.values():
            instance.ownership.set_authority(True)
        for task in (*self.moves, *(task for _, task in self.tasks)):
            await self.fleet.finish(asyncio.wait_for(task, None))
        await self.fleet.settle()


def _check(history: _History) -> None:
    runners = history.fleet.runners
    assert runners.most_active <= _SLOTS
    runs: collections.Counter[str] = collections.Counter()
    submissions: collections.Counter[str] = collections.Counter()
    for _, request_id, request in runners.runs:
        runs[request_id] += 1
        submissions[dict(request.headers)["X-Submission"]] += 1
    assert all(
        count == 1 for name, count in runs.items() if name.startswith("n")
    )
    bodies: dict[str, set[bytes]] = collections.defaultdict(set)
    for number, (request, task) in enumerate(history.tasks):
        answer = task.result()
        if answer.outcome is model.Outcome.NOT_RUN:
            assert submissions[str(number)] == 0
        elif answer.outcome is model.Outcome.ANSWERED and answer.body:
            name, _, _ = answer.body.partition(b"#")
            assert name.decode() == request.request_id
            bodies[request.request_id].add(answer.body)
    # Every repetition of a non-repeatable request gets the same answer.
    assert all(
        len(found) == 1
        for name, found in bodies.items()
        if name.startswith("n")
    )


async def _check_end(history: _History) -> None:
    """Without faults, everything is idle and refused IDs work again."""
    fleet = history.fleet
    fleet.runners.script = iter(())
    fleet.forwarder.script = iter(())
    fleet.tables.clear_commit_faults()
    await fleet.clock.advance(200 * harness.SECOND)
    fleet.share_loads()
    for instance in fleet.instances.values():
        for load in instance.limits.list_loads():
            assert (load.busy_slots, load.waiting) == (0, 0)
            assert load.is_usable
    assert not fleet.runners.active.total() and not (
        fleet.runners.watches.total()
    )
    outcomes: dict[str, set[model.Outcome]] = collections.defaultdict(set)
    for request, task in history.tasks:
        outcomes[request.request_id].add(task.result().outcome)
    for name, found in outcomes.items():
        if name.startswith("n") and found == {model.Outcome.NOT_RUN}:
            request = fleet.make_request(request_id=name, is_repeatable=False)
            answer = await fleet.route("c", request)
            assert answer.outcome is model.Outcome.ANSWERED, answer


@hypothesis.settings(
    deadline=None,
    max_examples=60,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
@hypothesis.given(
    _STEPS,
    strategies.lists(_RUNS, max_size=20),
    strategies.lists(strategies.sampled_from(_PEER_FAULTS), max_size=12),
    strategies.lists(strategies.sampled_from(_STORE_FAULTS), max_size=12),
)
def test_histories_keep_the_guarantees(
    steps: list[_Step],
    runs: list[harness.Run],
    peer_faults: list[str],
    store_faults: list[testing.StoreFault | None],
) -> None:
    """Guards against over-commitment, second runs and false "not run"."""

    async def test() -> None:
        fleet = harness.Fleet({"a": ("w1",), "b": ("w2",), "c": ()}, _POLICY)
        fleet.runners.script = iter(runs)
        fleet.forwarder.script = iter(peer_faults)
        fleet.tables.add_commit_faults(*store_faults)
        history = _History(fleet)
        await history.play(steps)
        _check(history)
        await _check_end(history)

    asyncio.run(test())
