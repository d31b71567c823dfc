"""Several entry instances over fakes of the store, peers and runners."""

import asyncio
import collections
from collections.abc import Coroutine
from collections.abc import Iterator
import datetime
import itertools
import random
import typing

import attrs

from tamarackhatch import clock
from tamarackhatch import declarations
from tamarackhatch import model
from tamarackhatch import peer
from tamarackhatch import platform
from tamarackhatch import routing
from tamarackhatch import testing

_T = typing.TypeVar("_T")
MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)


class FakeObjects:
    """Object store in memory."""

    def __init__(self) -> None:
        self.content: dict[str, bytes] = {}
        self.is_down = False

    async def put_object(self, key: str, content: bytes) -> None:
        if self.is_down:
            raise platform.StoreUnavailableError("injected")
        self.content[key] = content

    async def get_object(self, key: str) -> bytes | None:
        if self.is_down:
            raise platform.StoreUnavailableError("injected")
        return self.content.get(key)

    async def delete_object(self, key: str) -> None:
        self.content.pop(key, None)


@attrs.define
class Run:
    """What one runner does with its next request.

    A run goes on for ``length`` even when its answer is lost after
    ``lost_after``, but never beyond the deadline.
    """

    length: datetime.timedelta = 10 * MS
    is_refused: bool = False
    lost_after: datetime.timedelta | None = None
    changes: dict[str, typing.Any] = attrs.field(factory=dict)


class FakeRunners:
    """Runners that count what runs on them."""

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self.default = Run()
        self.script: Iterator[Run] = iter(())
        self.active: collections.Counter[str] = collections.Counter()
        self.watches: collections.Counter[str] = collections.Counter()
        self.most_active = 0
        self.runs: list[tuple[str, str, model.ServiceRequest]] = []

    def count_runs(self, request_id: str) -> int:
        return sum(1 for item in self.runs if item[1] == request_id)

    async def send_request(
        self, address: str, request: model.ServiceRequest
    ) -> platform.RunnerAnswer:
        run = next(self.script, self.default)
        if run.is_refused:
            raise platform.RunnerUnavailableError("refused")
        self.runs.append((address, request.request_id, request))
        if request.is_watch:
            self.watches[address] += 1
            try:
                await self._clock.sleep(run.length)
            finally:
                self.watches[address] -= 1
        else:
            work = asyncio.create_task(self._work(address, request, run))
            if run.lost_after is not None:
                await self._clock.sleep(run.lost_after)
                raise platform.RunnerOutcomeUnknownError("lost")
            await asyncio.shield(work)
        headers = (("Request-Id", request.request_id),)
        body = f"{request.request_id}#{len(self.runs)}".encode()
        return attrs.evolve(
            platform.RunnerAnswer(200, headers, body), **run.changes
        )

    async def _work(
        self, address: str, request: model.ServiceRequest, run: Run
    ) -> None:
        self.active[address] += 1
        self.most_active = max(self.most_active, self.active[address])
        left = request.deadline - self._clock.get_utc()
        await self._clock.sleep(min(run.length, left))
        self.active[address] -= 1
        if run.length > left:
            raise platform.RunnerOutcomeUnknownError("deadline")


class FixedRoster:
    """Members of three data centres in two regions."""

    def __init__(self, instance: str, places: dict[str, tuple[str, str]]):
        self.instance = instance
        self.data_centre = places[instance][0]
        self.members = tuple(
            model.SessionRecord(name, "i", 1, data_centre, region, "h:1")
            for name, (data_centre, region) in sorted(places.items())
        )

    def list_members(self) -> tuple[model.SessionRecord, ...]:
        return self.members


class FakeForwarder:
    """Calls the router of a peer, with faults on demand."""

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet
        self.script: Iterator[str] = iter(())

    async def forward_request(
        self, instance: str, worker: str, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        fault = next(self.script, "")
        if fault == "unavailable":
            raise peer.PeerUnavailableError("injected")
        router = self._fleet.instances[instance].router
        if fault == "hang":
            asyncio.ensure_future(router.serve_forwarded(worker, request))
            await asyncio.Event().wait()
        answer = await router.serve_forwarded(worker, request)
        if fault == "lost":
            raise peer.PeerOutcomeUnknownError("injected")
        if fault == "mixed up":
            return attrs.evolve(answer, headers=(("Request-Id", "other"),))
        return answer


@attrs.define
class Instance:
    """One entry instance."""

    ownership: testing.FixedOwnership
    limits: routing.RunnerLimits
    directory: routing.RunnerDirectory
    decisions: routing.DecisionStore
    router: routing.RequestRouter


class Fleet:
    """Entry instances that share a store and a set of runners.

    Args:
        owned: Workers of each instance.
        policy: Policy of the service "s".
        places: Data centre and region of each instance.
    """

    def __init__(
        self,
        owned: dict[str, tuple[str, ...]],
        policy: declarations.ServicePolicy | None = None,
        places: dict[str, tuple[str, str]] | None = None,
    ) -> None:
        self.clock = clock.ManualClock()
        self.tables = testing.FakeTableService()
        self.objects = FakeObjects()
        self.runners = FakeRunners(self.clock)
        self.forwarder = FakeForwarder(self)
        self.list = testing.FixedInstances(
            tuple(
                make_backend(worker)
                for workers in owned.values()
                for worker in workers
            )
        )
        self.configuration = testing.FixedConfiguration(service=policy)
        places = places or {name: ("d1", "r1") for name in owned}
        self.instances = {
            name: self._build(name, workers, places)
            for name, workers in owned.items()
        }
        self._ids = itertools.count()
        self.share_loads()

    def _build(
        self,
        name: str,
        workers: tuple[str, ...],
        places: dict[str, tuple[str, str]],
    ) -> Instance:
        roster = FixedRoster(name, places)
        ownership = testing.FixedOwnership(name, dict.fromkeys(workers, 1))
        limits = routing.RunnerLimits(
            self.clock, ownership, self.list, self.configuration
        )
        directory = routing.RunnerDirectory(roster, ownership, limits)
        decisions = routing.DecisionStore()
        router = routing.RequestRouter(
            self.clock,
            roster,
            self.list,
            self.configuration,
            limits,
            directory,
            routing.RequestJournal(self.clock, self.tables, self.objects),
            self.forwarder,
            self.runners,
            random.Random(1),
            decisions,
        )
        return Instance(ownership, limits, directory, decisions, router)

    def share_loads(self) -> None:
        """Does what a round of heartbeats does."""
        for name, instance in self.instances.items():
            loads = instance.limits.list_loads()
            for other, receiver in self.instances.items():
                if other != name:
                    receiver.directory.forget_instance(name)
                    receiver.directory.update_loads(name, loads, ())

    def make_request(
        self, timeout: datetime.timedelta = 2 * SECOND, **changes: typing.Any
    ) -> model.ServiceRequest:
        request = model.ServiceRequest(
            f"q{next(self._ids)}",
            "s",
            "POST",
            "x",
            (),
            b"body",
            self.clock.get_utc() + timeout,
            is_repeatable=True,
        )
        return attrs.evolve(request, **changes)

    async def finish(self, work: Coroutine[typing.Any, typing.Any, _T]) -> _T:
        """Moves the time until the work has ended."""
        task = asyncio.ensure_future(work)
        for _ in range(4000):
            if task.done():
                return task.result()
            await self.clock.advance(20 * MS)
        raise AssertionError("the work does not end")

    async def route(
        self, instance: str, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        return await self.finish(
            self.instances[instance].router.route_request(request)
        )

    async def settle(self) -> None:
        """Waits until no instance has anything in flight."""
        for instance in self.instances.values():
            await self.finish(instance.router.wait_idle())


def make_backend(
    worker: str, state: model.ServerState = model.ServerState.LIVE
) -> model.BackendServer:
    return model.BackendServer(
        worker,
        state,
        "d1",
        "k1",
        model.Resources(),
        runner_address=f"{worker}:80",
        service="s",
    )
