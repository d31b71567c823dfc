"""Entry instances in virtual time, with faults, for the history check.

The real keepers and rules run on an event loop whose time jumps to the next
timer. Only the store, the network and the clocks are simulated.
"""

import asyncio
from collections.abc import Callable
import datetime
import random
import selectors
import typing

import attrs

from tamarackhatch import membership
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch import testing

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_SILENT_AFTER = 3.0
_LIST_LAG = 5.0


class _VirtualSelector(selectors.DefaultSelector):
    """Waits by moving the loop's time."""

    loop: "VirtualLoop"

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("every task waits for another one")
        self.loop.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        selector = _VirtualSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


@attrs.frozen
class Pause:
    """Stops a process for a time."""

    index: int
    seconds: float


@attrs.frozen
class Cut:
    """Cuts two members off from one another."""

    index: int
    other: int
    seconds: float


@attrs.frozen
class StoreCut:
    """Cuts one member, or all if None, off from the store."""

    index: int | None
    seconds: float


@attrs.frozen
class Kill:
    """Kills a process; it may come back under the same name.

    With ``is_machine`` its address becomes silent instead of refusing.
    """

    index: int
    restart_after: float | None
    is_machine: bool = False
    is_new_address: bool = False


@attrs.frozen
class Join:
    """Starts an instance with a new name."""


@attrs.frozen
class Lose:
    """Loses the answers of coming writes; they take effect later, if ever."""

    index: int
    count: int
    delay: float | None


Fault: typing.TypeAlias = Pause | Cut | StoreCut | Kill | Join | Lose


@attrs.frozen
class Step:
    """A fault, and the time in seconds until the next one."""

    fault: Fault
    wait: float


@attrs.frozen
class Rules:
    """The rules under test; a test may break one."""

    timing: membership.Timing = membership.Timing()
    authority: type[membership.Authority] = membership.Authority
    fencing: type[membership.FencingRule] = membership.FencingRule


class _Clock:
    """Clock of one process, with its own rate."""

    def __init__(self, process: "Process", rate: float) -> None:
        self._process = process
        self._rate = rate

    def get_utc(self) -> datetime.datetime:
        return _START + datetime.timedelta(seconds=self._process.world.now)

    def get_monotonic(self) -> datetime.timedelta:
        return datetime.timedelta(
            seconds=1000 + self._process.world.now * self._rate
        )

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(duration.total_seconds() / self._rate)
        await self._process.pass_gate()


class _Store(testing.FakeTableService):
    """The shared rows."""

    def apply(self, transaction: platform.Transaction) -> tuple[int, ...]:
        self._check_conditions(transaction)
        return tuple(self._apply(write) for write in transaction.writes)

    def list_rows(
        self, table: platform.Table, prefix: str
    ) -> tuple[platform.Row, ...]:
        return tuple(
            row
            for (in_table, key), row in sorted(
                self._rows.items(), key=lambda item: item[0][1]
            )
            if in_table is table and key.startswith(prefix)
        )


class _StoreClient:
    """The store as one process reaches it."""

    def __init__(self, process: "Process") -> None:
        self._process = process
        self._world = process.world

    async def read_row(
        self, table: platform.Table, key: str
    ) -> platform.Row | None:
        rows = await self.scan_rows(table, key)
        return next((row for row in rows if row.key == key), None)

    async def scan_rows(
        self, table: platform.Table, prefix: str
    ) -> tuple[platform.Row, ...]:
        rows = await self._call(
            lambda: self._world.store.list_rows(table, prefix)
        )
        return typing.cast(tuple[platform.Row, ...], rows)

    async def commit(
        self, transaction: platform.Transaction
    ) -> tuple[int, ...]:
        if self._process.lost_answers:
            delay = self._process.lost_answers.pop()
            if delay is not None:
                asyncio.get_running_loop().call_later(
                    delay, self._apply_late, transaction
                )
            await self._world.wait_transit()
            await self._process.pass_gate()
            raise platform.StoreOutcomeUnknownError("lost")
        versions = await self._call(lambda: self._world.commit(transaction))
        return typing.cast(tuple[int, ...], versions)

    async def _call(self, operation: Callable[[], object]) -> object:
        """Runs an operation at the store; it happens even after a kill."""
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[object] = loop.create_future()

        def arrive() -> None:
            try:
                if self._world.is_store_cut(self._process):
                    raise platform.StoreUnavailableError("cut")
                answer.set_result(operation())
            except (
                platform.StoreUnavailableError,
                platform.ConditionFailedError,
            ) as error:
                answer.set_exception(error)
                answer.exception()

        loop.call_later(self._world.draw_transit(), arrive)
        await asyncio.wait({answer})
        await self._world.wait_transit()
        await self._process.pass_gate()
        return answer.result()

    def _apply_late(self, transaction: platform.Transaction) -> None:
        try:
            self._world.commit(transaction)
        except platform.ConditionFailedError:
            pass


class _Instances:
    """The instance list, lagging."""

    def __init__(self, world: "World") -> None:
        self._world = world

    @property
    def snapshot(self) -> model.InstanceSnapshot | None:
        as_of = self._world.now - _LIST_LAG
        entries = tuple(
            model.EntryServer(process.name, model.ServerState.LIVE, "dc")
            for process in self._world.processes
            if process.started_at <= as_of
            and (process.gone_at is None or process.gone_at > as_of)
        )
        return model.InstanceSnapshot(
            _START + datetime.timedelta(seconds=as_of),
            self.list_backends(),
            entries,
        )

    def get_backend(self, worker: str) -> model.BackendServer | None:
        found = [it for it in self.list_backends() if it.worker == worker]
        return found[0] if found else None

    def list_backends(self) -> tuple[model.BackendServer, ...]:
        return self._world.backends


class Process:
    """One entry instance; a restart makes a new object."""

    def __init__(self, world: "World", name: str, address: str) -> None:
        self.world = world
        self.name = name
        self.address = address
        self.started_at = world.now
        self.gone_at: float | None = None
        self.is_alive = True
        self.is_machine_up = True
        self.resumes_at = 0.0
        self.lost_answers: list[float | None] = []
        rules = world.rules
        self.clock = _Clock(self, world.random.uniform(0.97, 1.03))
        store = _StoreClient(self)
        identity = membership.Identity(name, "dc", "region", address)
        self.session = membership.SessionKeeper(
            self.clock, store, identity, rules.timing, self._probe
        )
        self.authority = rules.authority(
            self.clock, self.session, rules.timing
        )
        self.roster = membership.Roster(
            self.clock, self.session, self.authority, rules.timing
        )
        self.fencing = rules.fencing(self.clock, self.session, rules.timing)
        self.ownership = membership.OwnershipKeeper(
            self.clock,
            store,
            self.session,
            self.roster,
            self.authority,
            self.fencing,
            _Instances(world),
            notify=self._notify,
            timing=rules.timing,
        )
        self.membership = membership.Membership(
            self.clock,
            self.session,
            self.roster,
            self.authority,
            self.fencing,
            self.ownership,
        )
        self._links: dict[str, asyncio.Task[None]] = {}
        self._tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self.session.run(),
                self.ownership.run(),
                self._follow_roster(),
            )
        ]

    async def pass_gate(self) -> None:
        while self.world.now < self.resumes_at:
            await asyncio.sleep(self.resumes_at - self.world.now)

    def kill(self) -> None:
        self.is_alive = False
        for task in (*self._tasks, *self._links.values()):
            task.cancel()

    async def wait_ended(self) -> None:
        tasks = (*self._tasks, *self._links.values())
        await asyncio.gather(*tasks, return_exceptions=True)

    def find_crash(self) -> BaseException | None:
        for task in (*self._tasks, *self._links.values()):
            if task.done() and not task.cancelled():
                return task.exception()
        return None

    async def _probe(self, address: str) -> bool:
        await self.world.wait_transit()
        await self.pass_gate()
        return self.world.is_refused(address)

    async def _notify(self, workers: tuple[str, ...]) -> None:
        for other in self.world.list_alive():
            if other is not self and not self.world.is_cut(self, other):
                asyncio.get_running_loop().call_later(
                    self.world.draw_transit(),
                    other.ownership.note_work,
                    workers,
                )

    async def _follow_roster(self) -> None:
        while True:
            for record in self.membership.list_peers():
                link = self._links.get(record.instance)
                if link is None or link.done():
                    self._links[record.instance] = asyncio.create_task(
                        self._keep_link(record)
                    )
            await self.clock.sleep(datetime.timedelta(seconds=0.5))

    async def _keep_link(self, target: model.SessionRecord) -> None:
        """One dial and the stream that follows, as PeerLink does it."""
        await self.world.wait_transit()
        other = self.world.find_last(target.peer_address)
        if (
            other is None
            or not other.is_machine_up
            or self.world.is_cut(self, other)
        ):
            await asyncio.sleep(_SILENT_AFTER)
            return
        if not other.is_alive:
            await self.pass_gate()
            self.membership.note_refused(target.incarnation)
            return
        own = self.membership.get_own_record()
        await self.world.wait_transit()
        await other.pass_gate()
        peer = other.membership.get_own_record()
        await self.world.wait_transit()
        await self.pass_gate()
        if not other.is_alive:
            return
        self.membership.note_hello_answer(peer)
        if peer.instance != target.instance:
            return
        await self.world.wait_transit()
        await other.pass_gate()
        if not other.is_alive or self.world.is_cut(self, other):
            return
        other.membership.accept_hello(own)
        while await self._beat(other, own, peer):
            await self.clock.sleep(datetime.timedelta(seconds=1))

    async def _beat(
        self,
        other: "Process",
        own: model.SessionRecord,
        peer: model.SessionRecord,
    ) -> bool:
        """Sends one heartbeat; False if the stream has ended."""
        if (
            self.membership.get_own_record().incarnation != own.incarnation
            or other.membership.get_own_record().incarnation
            != peer.incarnation
        ):
            return False
        sent_at = self.clock.get_monotonic()
        await self.world.wait_transit()
        await other.pass_gate()
        if not other.is_alive or self.world.is_cut(self, other):
            await asyncio.sleep(_SILENT_AFTER if other.is_alive else 0.0)
            return False
        promise = other.membership.give_promise(own.incarnation)
        await self.world.wait_transit()
        await self.pass_gate()
        if self.world.is_cut(self, other):
            return False
        self.membership.note_accepted(own.incarnation, peer.incarnation)
        if promise:
            self.membership.note_promise(
                own.incarnation, peer.incarnation, sent_at
            )
        return True


class World:
    """All processes, the store and the network."""

    def __init__(
        self,
        rules: Rules,
        seed: int,
        size: int,
        workers: int,
        has_slow_transit: bool,
    ) -> None:
        self.rules = rules
        self.has_slow_transit = has_slow_transit
        self.random = random.Random(seed)
        self.store = _Store()
        self.backends = tuple(
            model.BackendServer(
                f"w{number}",
                model.ServerState.LIVE,
                "dc",
                "rack",
                model.Resources(),
            )
            for number in range(workers)
        )
        self.processes: list[Process] = []
        self.violations: list[str] = []
        self._address_count = 0
        self._cuts: dict[frozenset[str], float] = {}
        self._store_cuts: dict[str | None, float] = {}
        for number in range(size):
            self.start(f"e{number}", f"127.0.0.1:{number}")

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def start(self, name: str, address: str) -> None:
        if not any(it.name == name for it in self.list_alive()):
            self.processes.append(Process(self, name, address))

    def list_alive(self) -> list[Process]:
        return [process for process in self.processes if process.is_alive]

    def find_last(self, address: str) -> Process | None:
        """Returns the last process that was bound to an address."""
        found = [it for it in self.processes if it.address == address]
        return found[-1] if found else None

    def is_refused(self, address: str) -> bool:
        """Tells whether nobody listens but the machine answers."""
        last = self.find_last(address)
        return last is not None and not last.is_alive and last.is_machine_up

    def is_cut(self, one: Process, other: Process) -> bool:
        pair = frozenset((one.name, other.name))
        return self.now < self._cuts.get(pair, 0.0)

    def is_store_cut(self, process: Process) -> bool:
        until = max(
            self._store_cuts.get(None, 0.0),
            self._store_cuts.get(process.name, 0.0),
        )
        return self.now < until

    def draw_transit(self) -> float:
        """Mostly a millisecond, rarely long enough to upset a deadline."""
        if self.has_slow_transit and self.random.random() < 0.01:
            return self.random.uniform(0.0, 4.0)
        return self.random.uniform(0.0005, 0.005)

    async def wait_transit(self) -> None:
        await asyncio.sleep(self.draw_transit())

    def commit(self, transaction: platform.Transaction) -> tuple[int, ...]:
        versions = self.store.apply(transaction)
        self.check()
        return versions

    def check(self) -> None:
        """Notes every worker over which two processes have authority."""
        for backend in self.backends:
            holders = [
                process.name
                for process in self.list_alive()
                if self.now >= process.resumes_at
                and process.ownership.has_authority(backend.worker)
            ]
            if len(holders) > 1:
                self.violations.append(
                    f"{self.now:.2f}: {backend.worker} held by {holders}"
                )

    def inject(self, fault: Fault) -> None:
        alive = self.list_alive()
        if isinstance(fault, Join):
            number = len(self.processes) + 100
            self.start(f"e{number}", f"127.0.0.1:{number}")
        elif isinstance(fault, StoreCut):
            name = None
            if fault.index is not None and alive:
                name = alive[fault.index % len(alive)].name
            self._store_cuts[name] = self.now + fault.seconds
        elif alive:
            self._inject_into(alive[fault.index % len(alive)], fault, alive)

    def _inject_into(
        self, process: Process, fault: Fault, alive: list[Process]
    ) -> None:
        if isinstance(fault, Pause):
            process.resumes_at = self.now + fault.seconds
        elif isinstance(fault, Cut):
            other = alive[fault.other % len(alive)]
            pair = frozenset((process.name, other.name))
            self._cuts[pair] = self.now + fault.seconds
        elif isinstance(fault, Lose):
            process.lost_answers = [fault.delay] * fault.count
        elif isinstance(fault, Kill):
            self._kill(process, fault)

    def _kill(self, process: Process, fault: Kill) -> None:
        process.kill()
        if fault.is_machine:
            process.is_machine_up = False
            for earlier in self.processes:
                if earlier.name == process.name:
                    earlier.gone_at = self.now
        if fault.restart_after is not None:
            address = process.address
            if fault.is_new_address:
                self._address_count += 1
                address = f"127.0.0.2:{self._address_count}"
            asyncio.get_running_loop().call_later(
                fault.restart_after, self.start, process.name, address
            )


_Watch: typing.TypeAlias = Callable[[World], None]


def run_history(
    steps: typing.Sequence[Step],
    seed: int = 0,
    rules: Rules = Rules(),
    size: int = 3,
    workers: int = 4,
    warm_up: float = 20.0,
    cool_down: float = 40.0,
    watch: _Watch | None = None,
    has_slow_transit: bool = True,
) -> World:
    """Runs the steps after a warm-up; returns the world at the end."""

    async def run() -> World:
        world = World(rules, seed, size, workers, has_slow_transit)
        await _observe(world, warm_up, None)
        for step in steps:
            world.inject(step.fault)
            await _observe(world, step.wait, watch)
        await _observe(world, cool_down, watch)
        for process in world.processes:
            crash = process.find_crash()
            process.kill()
            await process.wait_ended()
            if crash is not None:
                raise crash
        return world

    loop = VirtualLoop()
    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


async def _observe(world: World, seconds: float, watch: _Watch | None) -> None:
    until = world.now + seconds
    while world.now < until and not world.violations:
        await asyncio.sleep(0.1)
        world.check()
        if watch is not None:
            watch(world)
