"""Tests of the conversion and validation of messages."""

from collections.abc import Callable
import datetime

import hypothesis
from hypothesis import strategies
import pytest

from tamarackhatch import model
from tamarackhatch import peer
from tamarackhatch.peer import _authentication
from tamarackhatch.peer import _messages
from tamarackhatch.peer import peer_pb2
from tamarackhatch.peer.tests import _peers

_FORWARD = dict(
    correlation=1,
    worker="w",
    request_id="r",
    service="s",
    method="GET",
    path="/",
)
_ANSWER = dict(correlation=1, outcome="answered", status=200)
_HELLO = dict(
    instance="e", incarnation="i", data_centre="d", peer_address="a:1"
)


def _make_assembler() -> _messages.Assembler:
    return _messages.Assembler(max_body=10, max_partial=2)


def _add_forward(**fields: object) -> Callable[[], object]:
    forward = peer_pb2.Forward(**{**_FORWARD, **fields})  # type: ignore
    return lambda: _make_assembler().add_forward(forward)


def _add_answer(**fields: object) -> Callable[[], object]:
    answer = peer_pb2.ForwardAnswer(**{**_ANSWER, **fields})  # type: ignore
    return lambda: _make_assembler().add_answer(answer)


def _add_twice() -> object:
    assembler = _make_assembler()
    forward = peer_pb2.Forward(correlation=1, has_more=True)
    assembler.add_forward(forward)
    return assembler.add_forward(forward)


def _add_long_body() -> object:
    assembler = _make_assembler()
    assembler.add_forward(peer_pb2.Forward(correlation=1, has_more=True))
    body = peer_pb2.ForwardBody(correlation=1, body=b"x" * 11, has_more=True)
    return assembler.add_request_body(body)


def _mix_kinds() -> object:
    assembler = _make_assembler()
    assembler.add_forward(peer_pb2.Forward(correlation=1, has_more=True))
    return assembler.add_answer_body(peer_pb2.ForwardBody(correlation=1))


def _parse_hello(**fields: str) -> Callable[[], object]:
    hello = peer_pb2.Hello(**{**_HELLO, **fields})  # type: ignore
    return lambda: _messages.parse_hello(hello)


@pytest.mark.parametrize(
    ("call", "field"),
    [
        (_add_forward(correlation=0), "Forward.correlation"),
        (_add_forward(worker=""), "Forward.worker"),
        (_add_forward(request_id=""), "Forward.request_id"),
        (_add_forward(deadline_us=2**63), "Forward.deadline_us"),
        (_add_forward(body=b"x" * 11), "Forward.body"),
        (
            _add_forward(
                headers=[peer_pb2.Header(name="n", value="v" * 65536)]
            ),
            "Forward.headers",
        ),
        (_add_twice, "Forward.correlation"),
        (_add_long_body, "ForwardBody.body"),
        (_mix_kinds, "ForwardBody.correlation"),
        (
            lambda: _make_assembler().add_answer_body(
                peer_pb2.ForwardBody(correlation=5)
            ),
            "ForwardBody.correlation",
        ),
        (_add_answer(outcome="maybe"), "ForwardAnswer.outcome"),
        (_add_answer(code="TH000"), "ForwardAnswer.code"),
        (_add_answer(body=b"ab", body_length=3), "ForwardAnswer.body_length"),
        (_parse_hello(instance=""), "Hello.instance"),
        (_parse_hello(incarnation=""), "Hello.incarnation"),
        (_parse_hello(peer_address=""), "Hello.peer_address"),
        (lambda: _messages.parse_state("gone"), "Heartbeat.session_state"),
        (
            lambda: _messages.parse_loads(
                peer_pb2.Heartbeat(loads=[peer_pb2.RunnerLoad()])
            ),
            "RunnerLoad.worker",
        ),
    ],
)
def test_malformed_message(call: Callable[[], object], field: str) -> None:
    """Guards against untyped errors, or acting on a broken message."""
    with pytest.raises(peer.BadPeerMessageError) as caught:
        call()
    assert caught.value.field == field


@hypothesis.settings(deadline=None, database=None, derandomize=True)
@hypothesis.given(
    strategies.lists(strategies.integers(0, 200_000), min_size=1, max_size=4),
    strategies.randoms(use_true_random=False),
)
def test_interleaved_answers(sizes: list[int], order: object) -> None:
    """Guards against answers that get bytes of one another (G4)."""
    queues = [
        list(
            _messages.split_answer(
                number,
                model.ServiceAnswer(
                    model.Outcome.ANSWERED,
                    200,
                    body=bytes([number]) * size,
                    retry_after=datetime.timedelta(milliseconds=number),
                ),
            )
        )
        for number, size in enumerate(sizes, start=1)
    ]
    assembler = _messages.Assembler(200_000, 4)
    whole = {}
    while any(queues):
        queue = order.choice([it for it in queues if it])  # type: ignore
        reply = queue.pop(0)
        done = (
            assembler.add_answer(reply.forward_answer)
            if reply.HasField("forward_answer")
            else assembler.add_answer_body(reply.forward_body)
        )
        if done:
            whole[done.correlation] = done.answer.body
    assert whole == {
        number: bytes([number]) * size
        for number, size in enumerate(sizes, start=1)
    }


@pytest.mark.parametrize("size", [0, 1, 65_536, 65_537, 200_000])
def test_request_round_trip(size: int) -> None:
    """Guards against a request that changes on its way."""
    request = _peers.make_request(b"z" * size)
    assembler = _messages.Assembler(200_000, 1)
    whole = None
    for message in _messages.split_forward(3, "w", request):
        assert whole is None
        whole = (
            assembler.add_forward(message.forward)
            if message.HasField("forward")
            else assembler.add_request_body(message.forward_body)
        )
    assert whole == _messages.Forwarded(3, "w", request)


@pytest.mark.parametrize(
    ("key", "side", "change"),
    [
        (b"other", _authentication.Side.DIALLER, {}),
        (_peers.KEY, _authentication.Side.LISTENER, {}),
        (_peers.KEY, _authentication.Side.DIALLER, {"instance": "x"}),
        (_peers.KEY, _authentication.Side.DIALLER, {"data_centre": "x"}),
    ],
    ids=["key", "reflected", "name", "data centre"],
)
def test_wrong_proof(
    key: bytes, side: _authentication.Side, change: dict[str, str]
) -> None:
    """Guards against a proof made with another key, side or identity."""
    own = peer_pb2.Hello(nonce=b"1" * 32, instance="e", data_centre="d")
    other = peer_pb2.Hello(nonce=b"2" * 32, instance="f", data_centre="d")
    own.proof = _authentication.make_proof(
        key, _authentication.Side.DIALLER, own, other
    )
    for name, value in change.items():
        setattr(own, name, value)
    with pytest.raises(peer.PeerUnauthenticatedError):
        _authentication.check_proof(_peers.KEY, side, own, other)
