"""Small peers on loopback sockets."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import socket

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import peer

KEY = b"shared"
FAST = peer.PeerTiming(
    heartbeat_every=datetime.timedelta(seconds=0.05),
    summary_every=datetime.timedelta(seconds=0.1),
    silent_after=datetime.timedelta(seconds=0.4),
    check_every=datetime.timedelta(seconds=0.02),
    handshake_within=datetime.timedelta(seconds=0.4),
    backoff_first=datetime.timedelta(seconds=0.02),
    backoff_last=datetime.timedelta(seconds=0.1),
)


class Membership:
    """Records what the protocol reports."""

    def __init__(self, own: model.SessionRecord) -> None:
        self.own = own
        self.peers: list[model.SessionRecord] = []
        self.events: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.promise = True
        self.work: list[str] = []

    def get_own_record(self) -> model.SessionRecord:
        return self.own

    def list_peers(self) -> tuple[model.SessionRecord, ...]:
        return tuple(self.peers)

    def accept_hello(self, record: model.SessionRecord) -> None:
        self.events["accepted", record.incarnation] += 1

    def note_hello_answer(self, record: model.SessionRecord) -> None:
        self.events["answered", record.incarnation] += 1

    def note_accepted(self, own_incarnation: str, incarnation: str) -> None:
        self.events["accepted by", incarnation] += 1

    def give_promise(self, incarnation: str) -> bool:
        return self.promise

    def note_promise(
        self,
        own_incarnation: str,
        incarnation: str,
        sent_at: datetime.timedelta,
    ) -> None:
        self.events["promise", incarnation] += 1

    def note_state(
        self, instance: str, incarnation: str, state: model.SessionState
    ) -> None:
        self.events["state", state.value] += 1

    def note_refused(self, incarnation: str) -> None:
        self.events["refused", incarnation] += 1

    def note_goodbye(self, incarnation: str) -> None:
        self.events["goodbye", incarnation] += 1

    def get_store_age(self) -> datetime.timedelta | None:
        return None

    def note_work(self, workers: tuple[str, ...]) -> None:
        self.work += workers


class Handlers:
    """Serves forwarded requests by a function of the test."""

    def __init__(self) -> None:
        self.loads: tuple[model.RunnerLoad, ...] = ()
        self.seen: list[tuple[str, tuple[str, ...], tuple[str, ...]]] = []
        self.served: list[model.ServiceRequest] = []
        self.serve: Callable[
            [model.ServiceRequest], Awaitable[model.ServiceAnswer]
        ] = echo

    async def serve_forwarded(
        self, worker: str, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        self.served.append(request)
        return await self.serve(request)

    def list_loads(self) -> tuple[model.RunnerLoad, ...]:
        return self.loads

    def update_loads(
        self,
        instance: str,
        loads: tuple[model.RunnerLoad, ...],
        dropped: tuple[str, ...],
    ) -> None:
        names = tuple(load.worker for load in loads)
        self.seen.append((instance, names, dropped))

    def note_work(self, workers: tuple[str, ...]) -> None:
        pass

    def note_configuration(self, instance: str, version: int) -> None:
        pass

    def read_configuration(self, version: int) -> bytes | None:
        return b"{}" if version == 7 else None

    def get_configuration_version(self) -> int:
        return 7


async def echo(request: model.ServiceRequest) -> model.ServiceAnswer:
    return model.ServiceAnswer(
        model.Outcome.ANSWERED,
        200,
        headers=(("Request-Id", request.request_id),),
        body=request.body,
    )


@attrs.define(eq=False)
class Node:
    """One peer with its network."""

    membership: Membership
    handlers: Handlers
    network: peer.PeerNetwork
    listener: socket.socket
    run: "asyncio.Task[None] | None" = None

    async def start(self) -> None:
        await self.network.start(self.listener)
        self.run = asyncio.create_task(self.network.run())

    async def stop(self) -> None:
        if self.run is not None:
            self.run.cancel()
            await self.network.close()


def make_node(
    name: str,
    key: bytes = KEY,
    region: str = "r1",
    timing: peer.PeerTiming = FAST,
    bytes_per_second: int = 10_000_000,
    port: int = 0,
) -> Node:
    listener = peer.bind_listener("127.0.0.1", port)
    own = model.SessionRecord(
        name, f"{name}-1", 1, region, region, peer.get_address(listener)
    )
    membership = Membership(own)
    handlers = Handlers()
    network = peer.PeerNetwork(
        clock.SystemClock(),
        membership,
        handlers,
        key,
        bytes_per_second,
        timing,
    )
    return Node(membership, handlers, network, listener)


async def wait_for(condition: Callable[[], object]) -> None:
    """Waits up to 5 s of real time."""
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition did not come true within 5 s")


def make_request(
    body: bytes = b"", seconds: float = 2.0, name: str = "r"
) -> model.ServiceRequest:
    deadline = clock.SystemClock().get_utc() + datetime.timedelta(
        seconds=seconds
    )
    return model.ServiceRequest(
        name, "svc", "POST", "/x?y=1", (("A", "b"),), body, deadline, False
    )
