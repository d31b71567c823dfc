"""Tests of the protocol over loopback sockets, with failures."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

import attrs
import grpclib
import grpclib.client
import pytest

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import peer
from tamarackhatch.peer import peer_grpc
from tamarackhatch.peer import peer_pb2
from tamarackhatch.peer.tests import _peers

_Scene = Callable[[_peers.Node, _peers.Node], Awaitable[None]]


def _play(scene: _Scene, *options: dict[str, object]) -> None:
    """Runs a scene with two connected peers."""

    async def run() -> None:
        more = options or ({}, {})
        one = _peers.make_node("a", **more[0])  # type: ignore
        two = _peers.make_node("b", **more[1])  # type: ignore
        one.membership.peers.append(two.membership.own)
        two.membership.peers.append(one.membership.own)
        try:
            await one.start()
            await two.start()
            await scene(one, two)
        finally:
            await one.stop()
            await two.stop()

    asyncio.run(run())


async def _wait_open(node: _peers.Node) -> None:
    await _peers.wait_for(node.network.list_open)


def test_streams_carry_all_messages() -> None:
    """Guards against promises, loads, notices or copies that get lost."""

    async def scene(one: _peers.Node, two: _peers.Node) -> None:
        load = model.RunnerLoad("w", "svc", 1, 0, True)
        one.handlers.loads = (load,)
        await _wait_open(one)
        await _peers.wait_for(lambda: one.membership.events["promise", "b-1"])
        assert two.membership.events["accepted", "a-1"]
        await _peers.wait_for(lambda: ("a", ("w",), ()) in two.handlers.seen)
        count = len(two.handlers.seen)
        one.handlers.loads = ()
        await _peers.wait_for(lambda: ("a", (), ("w",)) in two.handlers.seen)
        assert len(two.handlers.seen) == count + 1
        await one.network.notify_work(("w",))
        await _peers.wait_for(lambda: two.membership.work == ["w"])
        assert await one.network.fetch_configuration("b", 7) == b"{}"
        assert await one.network.fetch_configuration("b", 8) is None

    _play(scene)


def test_answers_out_of_order() -> None:
    """Guards against answers given to the wrong caller (G4)."""

    async def reverse(request: model.ServiceRequest) -> model.ServiceAnswer:
        await asyncio.sleep(0.1 - 0.01 * int(request.request_id))
        return await _peers.echo(request)

    async def scene(one: _peers.Node, two: _peers.Node) -> None:
        two.handlers.serve = reverse
        bodies = [bytes([n]) * (n * 40_000) for n in range(9)]
        answers = await asyncio.gather(
            *(
                one.network.forward_request(
                    "b", "w", _peers.make_request(body, name=str(n))
                )
                for n, body in enumerate(bodies)
            )
        )
        assert [answer.body for answer in answers] == bodies
        names = [answer.headers[0][1] for answer in answers]
        assert names == [str(n) for n in range(9)]

    _play(scene)


async def _never(request: model.ServiceRequest) -> model.ServiceAnswer:
    await asyncio.sleep(30)
    raise AssertionError("not reached")


@pytest.mark.parametrize(("seconds", "is_killed"), [(0.2, False), (5.0, True)])
def test_lost_answer_is_unknown(seconds: float, is_killed: bool) -> None:
    """Guards against "not run" for a request that the peer has (G5)."""

    async def scene(one: _peers.Node, two: _peers.Node) -> None:
        two.handlers.serve = _never
        request = _peers.make_request(seconds=seconds)
        call = asyncio.create_task(
            one.network.forward_request("b", "w", request)
        )
        await _peers.wait_for(lambda: two.handlers.served)
        if is_killed:
            await two.stop()
        with pytest.raises(peer.PeerOutcomeUnknownError):
            await call

    _play(scene)


def test_unsent_request_is_unavailable() -> None:
    """Guards against "unknown" for a request that never left."""

    async def scene(one: _peers.Node, two: _peers.Node) -> None:
        await _wait_open(one)
        huge = _peers.make_request(b"x" * 9_000_000)
        for instance, request in (("b", huge), ("c", _peers.make_request())):
            with pytest.raises(peer.PeerUnavailableError):
                await one.network.forward_request(instance, "w", request)
        assert two.handlers.served == []

    _play(scene)


def test_stopped_peer_refuses_and_says_goodbye() -> None:
    """Guards against a stop that peers learn of only by silence."""

    async def scene(one: _peers.Node, two: _peers.Node) -> None:
        await _wait_open(one)
        await _wait_open(two)
        await two.stop()
        await _peers.wait_for(lambda: one.membership.events["goodbye", "b-1"])
        await _peers.wait_for(lambda: one.membership.events["refused", "b-1"])
        with pytest.raises(peer.PeerUnavailableError):
            await one.network.forward_request("b", "w", _peers.make_request())

    _play(scene)


def test_wrong_key() -> None:
    """Guards against a peer without the shared key."""

    async def scene(one: _peers.Node, two: _peers.Node) -> None:
        await asyncio.sleep(0.3)
        assert one.network.list_open() == two.network.list_open() == ()
        for node in (one, two):
            assert not node.membership.events

    _play(scene, {}, {"key": b"other"})


def test_silent_stream_is_replaced() -> None:
    """Guards against a connection that stays silent while new ones work."""

    async def run() -> None:
        one, two = _peers.make_node("a"), _peers.make_node("b")
        await one.start()
        await two.start()
        host, port = two.membership.own.peer_address.split(":")
        passes: list[bool] = [True]
        writers: list[asyncio.StreamWriter] = []

        async def relay(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            gate: list[bool],
        ) -> None:
            while data := await reader.read(65_536):
                if gate[0]:
                    writer.write(data)

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            gate = passes
            to_reader, to_writer = await asyncio.open_connection(host, port)
            writers.extend((writer, to_writer))
            await asyncio.gather(
                relay(reader, to_writer, gate),
                relay(to_reader, writer, gate),
            )

        relay_server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = relay_server.sockets[0].getsockname()
        target = attrs.evolve(
            two.membership.own, peer_address=f"{address[0]}:{address[1]}"
        )
        two.membership.own = target
        one.membership.peers.append(target)
        await _wait_open(one)
        # Connections made so far go silent; later ones work.
        passes[0], passes = False, [True]
        await _peers.wait_for(lambda: not one.network.list_open())
        await _wait_open(one)
        assert one.membership.events["refused", "b-1"] == 0
        await one.stop()
        await two.stop()
        relay_server.close()
        for writer in writers:
            writer.close()

    asyncio.run(run())


def test_replaced_session_needs_a_new_hello() -> None:
    """Guards against promises that are counted for another session."""

    async def scene(one: _peers.Node, two: _peers.Node) -> None:
        await _wait_open(one)
        two.membership.own = attrs.evolve(
            two.membership.own, incarnation="b-2"
        )
        one.membership.peers[0] = two.membership.own
        await _peers.wait_for(lambda: one.membership.events["promise", "b-2"])
        await _peers.wait_for(lambda: one.membership.events["accepted", "b-2"])

    _play(scene)


def test_far_region_keeps_two_streams_and_the_budget() -> None:
    """Guards against a full mesh between regions, and uncounted bytes."""

    async def run() -> None:
        one = _peers.make_node("a", bytes_per_second=300_000)
        others = [_peers.make_node(n, region="r2") for n in "bcd"]
        one.membership.peers = [node.membership.own for node in others]
        for node in (one, *others):
            await node.start()
        await _peers.wait_for(lambda: len(one.network.list_open()) == 2)
        idle = next(n for n in "bcd" if n not in one.network.list_open())
        system = clock.SystemClock()
        begun = system.get_monotonic()
        for _ in range(3):
            request = _peers.make_request(b"x" * 200_000, seconds=9)
            await one.network.forward_request(idle, "w", request)
        # 600 kB with a burst of 300 kB at 300 kB/s.
        spent = (system.get_monotonic() - begun).total_seconds()
        assert 0.8 <= spent <= 4.0
        assert one.network.counter.sent_far > 600_000
        assert one.network.counter.sent_near == 0
        assert idle in one.network.list_open()
        for node in (one, *others):
            await node.stop()

    asyncio.run(run())


async def _send_raw(
    address: str, data: peer_pb2.PeerRequest
) -> grpclib.Status | None:
    host, _, port = address.rpartition(":")
    channel = grpclib.client.Channel(host, int(port))
    try:
        async with peer_grpc.PeerStub(channel).Connect.open() as stream:
            await stream.send_message(data)
            await stream.recv_message()
            await stream.recv_message()
    except grpclib.GRPCError as error:
        return error.status
    finally:
        channel.close()
    return None


@pytest.mark.parametrize(
    "first",
    [
        peer_pb2.PeerRequest(),
        peer_pb2.PeerRequest(heartbeat=peer_pb2.Heartbeat(sequence=1)),
        peer_pb2.PeerRequest(hello=peer_pb2.Hello(instance="x" * 5000)),
    ],
    ids=["empty", "no hello", "too long"],
)
def test_bad_first_message(first: peer_pb2.PeerRequest) -> None:
    """Guards against strangers that are served or fill the memory."""

    async def run() -> None:
        node = _peers.make_node("a")
        await node.start()
        status = await _send_raw(node.membership.own.peer_address, first)
        assert status is grpclib.Status.INVALID_ARGUMENT
        assert not node.membership.events
        await node.stop()

    asyncio.run(run())


def test_probes() -> None:
    """Guards against a wrong answer on who listens at an address."""

    async def run() -> None:
        system = clock.SystemClock()
        node = _peers.make_node("a")
        own = node.membership.own
        await node.start()
        await peer.verify_address(system, own, _peers.KEY, _peers.FAST)
        other = attrs.evolve(own, incarnation="a-2")
        with pytest.raises(peer.PeerUnavailableError):
            await peer.verify_address(system, other, _peers.KEY, _peers.FAST)
        assert not await peer.is_refused(system, own.peer_address)
        await node.stop()
        assert await peer.is_refused(system, own.peer_address)
        silent = socket.socket()
        silent.bind(("127.0.0.1", 0))
        assert await peer.is_refused(system, peer.get_address(silent))
        silent.close()

    asyncio.run(run())
