"""Conversion between messages and the model, with validation."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime

import attrs

from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch.peer import _errors
from tamarackhatch.peer import _timing
from tamarackhatch.peer import peer_pb2

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
_MICROSECOND = datetime.timedelta(microseconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)


def build_hello(record: model.SessionRecord, nonce: bytes) -> peer_pb2.Hello:
    """Returns a hello without a proof."""
    return peer_pb2.Hello(
        instance=record.instance,
        incarnation=record.incarnation,
        data_centre=record.data_centre,
        region=record.region,
        peer_address=record.peer_address,
        nonce=nonce,
    )


def parse_hello(hello: peer_pb2.Hello) -> model.SessionRecord:
    """Returns the session that a hello names.

    Raises:
        BadPeerMessageError: A field is missing.
    """
    for field in ("instance", "incarnation", "data_centre", "peer_address"):
        if not getattr(hello, field):
            raise _errors.BadPeerMessageError(f"Hello.{field}", "missing")
    return model.SessionRecord(
        instance=hello.instance,
        incarnation=hello.incarnation,
        counter=0,
        data_centre=hello.data_centre,
        region=hello.region,
        peer_address=hello.peer_address,
    )


def build_load(load: model.RunnerLoad) -> peer_pb2.RunnerLoad:
    """Returns the message for the load of one runner."""
    return peer_pb2.RunnerLoad(
        worker=load.worker,
        service=load.service,
        busy_slots=load.busy_slots,
        waiting=load.waiting,
        is_usable=load.is_usable,
    )


def parse_loads(heartbeat: peer_pb2.Heartbeat) -> tuple[model.RunnerLoad, ...]:
    """Returns the loads in a heartbeat.

    Raises:
        BadPeerMessageError: A load names no worker.
    """
    for load in heartbeat.loads:
        if not load.worker:
            raise _errors.BadPeerMessageError("RunnerLoad.worker", "missing")
    return tuple(
        model.RunnerLoad(
            worker=load.worker,
            service=load.service,
            busy_slots=load.busy_slots,
            waiting=load.waiting,
            is_usable=load.is_usable,
        )
        for load in heartbeat.loads
    )


def parse_state(text: str) -> model.SessionState:
    """Returns the session state of a heartbeat.

    Raises:
        BadPeerMessageError: The state is not known.
    """
    try:
        return model.SessionState(text)
    except ValueError as error:
        raise _errors.BadPeerMessageError(
            "Heartbeat.session_state", f"unknown state {text[:40]!r}"
        ) from error


def split_forward(
    correlation: int, worker: str, request: model.ServiceRequest
) -> Iterator[peer_pb2.PeerRequest]:
    """Returns the messages that carry a request, in chunks."""
    first, *rest = _split_body(request.body)
    yield peer_pb2.PeerRequest(
        forward=peer_pb2.Forward(
            correlation=correlation,
            worker=worker,
            request_id=request.request_id,
            service=request.service,
            method=request.method,
            path=request.path,
            headers=_build_headers(request.headers),
            deadline_us=(request.deadline - _EPOCH) // _MICROSECOND,
            is_repeatable=request.is_repeatable,
            is_watch=request.is_watch,
            body=first,
            has_more=bool(rest),
        )
    )
    for body in _build_bodies(correlation, rest):
        yield peer_pb2.PeerRequest(forward_body=body)


def split_answer(
    correlation: int, answer: model.ServiceAnswer
) -> Iterator[peer_pb2.PeerReply]:
    """Returns the messages that carry an answer, in chunks."""
    first, *rest = _split_body(answer.body)
    retry_after = answer.retry_after or datetime.timedelta()
    yield peer_pb2.PeerReply(
        forward_answer=peer_pb2.ForwardAnswer(
            correlation=correlation,
            outcome=answer.outcome.value,
            status=answer.status,
            headers=_build_headers(answer.headers),
            body=first,
            code=answer.code.value if answer.code else "",
            reason=answer.reason,
            retry_after_ms=retry_after // _MILLISECOND,
            has_more=bool(rest),
            body_length=len(answer.body),
        )
    )
    for body in _build_bodies(correlation, rest):
        yield peer_pb2.PeerReply(forward_body=body)


@attrs.frozen
class Forwarded:
    """A whole request as a peer forwarded it."""

    correlation: int
    worker: str
    request: model.ServiceRequest


@attrs.frozen
class Answered:
    """A whole answer to a forwarded request."""

    correlation: int
    answer: model.ServiceAnswer


@attrs.define
class _Partial:
    """A head whose body is still arriving."""

    head: peer_pb2.Forward | peer_pb2.ForwardAnswer
    chunks: list[bytes]
    size: int


class Assembler:
    """Puts the chunks of the bodies on one stream together.

    Args:
        max_body: Largest body, in bytes.
        max_partial: Most bodies that may be incomplete at once.
    """

    def __init__(self, max_body: int, max_partial: int) -> None:
        self._max_body = max_body
        self._max_partial = max_partial
        self._partial: dict[int, _Partial] = {}

    def add_forward(self, forward: peer_pb2.Forward) -> Forwarded | None:
        """Returns the request if it is whole; raises BadPeerMessageError."""
        self._add_head("Forward", forward)
        return self._finish_request(forward.correlation, forward.has_more)

    def add_request_body(self, body: peer_pb2.ForwardBody) -> Forwarded | None:
        """Returns the request if it is whole; raises BadPeerMessageError."""
        self._add_chunk(body)
        return self._finish_request(body.correlation, body.has_more)

    def add_answer(self, answer: peer_pb2.ForwardAnswer) -> Answered | None:
        """Returns the answer if it is whole; raises BadPeerMessageError."""
        self._add_head("ForwardAnswer", answer)
        return self._finish_answer(answer.correlation, answer.has_more)

    def add_answer_body(self, body: peer_pb2.ForwardBody) -> Answered | None:
        """Returns the answer if it is whole; raises BadPeerMessageError."""
        self._add_chunk(body)
        return self._finish_answer(body.correlation, body.has_more)

    def _add_head(
        self, name: str, head: peer_pb2.Forward | peer_pb2.ForwardAnswer
    ) -> None:
        if head.correlation == 0:
            raise _errors.BadPeerMessageError(f"{name}.correlation", "missing")
        if head.correlation in self._partial:
            raise _errors.BadPeerMessageError(f"{name}.correlation", "in use")
        if len(self._partial) >= self._max_partial:
            raise _errors.BadPeerMessageError(name, "too many at once")
        if count_header_bytes(head.headers) > _timing.MAX_HEADER_BYTES:
            raise _errors.BadPeerMessageError(f"{name}.headers", "too large")
        partial = _Partial(head, [], 0)
        self._partial[head.correlation] = partial
        self._append(f"{name}.body", partial, head.body)

    def _add_chunk(self, body: peer_pb2.ForwardBody) -> None:
        partial = self._partial.get(body.correlation)
        if partial is None:
            raise _errors.BadPeerMessageError(
                "ForwardBody.correlation", "nothing to continue"
            )
        self._append("ForwardBody.body", partial, body.body)

    def _append(self, field: str, partial: _Partial, body: bytes) -> None:
        partial.size += len(body)
        if partial.size > self._max_body:
            raise _errors.BadPeerMessageError(
                field, f"longer than {self._max_body} bytes"
            )
        partial.chunks.append(body)

    def _finish_request(
        self, correlation: int, has_more: bool
    ) -> Forwarded | None:
        if has_more:
            return None
        partial = self._partial.pop(correlation)
        forward = partial.head
        if not isinstance(forward, peer_pb2.Forward):
            raise _errors.BadPeerMessageError(
                "ForwardBody.correlation", "belongs to an answer"
            )
        for field in ("worker", "request_id", "service", "method", "path"):
            if not getattr(forward, field):
                raise _errors.BadPeerMessageError(
                    f"Forward.{field}", "missing"
                )
        request = model.ServiceRequest(
            request_id=forward.request_id,
            service=forward.service,
            method=forward.method,
            path=forward.path,
            headers=_parse_headers(forward.headers),
            body=b"".join(partial.chunks),
            deadline=_parse_deadline(forward.deadline_us),
            is_repeatable=forward.is_repeatable,
            is_watch=forward.is_watch,
        )
        return Forwarded(correlation, forward.worker, request)

    def _finish_answer(
        self, correlation: int, has_more: bool
    ) -> Answered | None:
        if has_more:
            return None
        partial = self._partial.pop(correlation)
        answer = partial.head
        if not isinstance(answer, peer_pb2.ForwardAnswer):
            raise _errors.BadPeerMessageError(
                "ForwardBody.correlation", "belongs to a request"
            )
        if partial.size != answer.body_length:
            raise _errors.BadPeerMessageError(
                "ForwardAnswer.body_length",
                f"{answer.body_length} bytes announced, {partial.size} came",
            )
        retry_after = answer.retry_after_ms * _MILLISECOND
        return Answered(
            correlation,
            model.ServiceAnswer(
                outcome=_parse_outcome(answer.outcome),
                status=answer.status,
                headers=_parse_headers(answer.headers),
                body=b"".join(partial.chunks),
                code=_parse_code(answer.code),
                reason=answer.reason,
                retry_after=retry_after or None,
            ),
        )


def count_header_bytes(headers: Iterable[peer_pb2.Header]) -> int:
    """Returns the bytes of all names and values."""
    return sum(len(item.name) + len(item.value) for item in headers)


def _split_body(body: bytes) -> list[bytes]:
    step = _timing.CHUNK_BYTES
    return [body[at : at + step] for at in range(0, len(body), step)] or [b""]


def _build_bodies(
    correlation: int, chunks: list[bytes]
) -> Iterator[peer_pb2.ForwardBody]:
    for index, chunk in enumerate(chunks, start=1):
        yield peer_pb2.ForwardBody(
            correlation=correlation, body=chunk, has_more=index < len(chunks)
        )


def _build_headers(
    headers: tuple[tuple[str, str], ...],
) -> list[peer_pb2.Header]:
    return [peer_pb2.Header(name=name, value=value) for name, value in headers]


def _parse_headers(
    headers: Iterable[peer_pb2.Header],
) -> tuple[tuple[str, str], ...]:
    return tuple((header.name, header.value) for header in headers)


def _parse_deadline(deadline_us: int) -> datetime.datetime:
    try:
        return _EPOCH + deadline_us * _MICROSECOND
    except OverflowError as error:
        raise _errors.BadPeerMessageError(
            "Forward.deadline_us", "out of range"
        ) from error


def _parse_outcome(text: str) -> model.Outcome:
    try:
        return model.Outcome(text)
    except ValueError as error:
        raise _errors.BadPeerMessageError(
            "ForwardAnswer.outcome", f"unknown outcome {text[:40]!r}"
        ) from error


def _parse_code(text: str) -> errors.ErrorCode | None:
    if not text:
        return None
    try:
        return errors.ErrorCode(text)
    except ValueError as error:
        raise _errors.BadPeerMessageError(
            "ForwardAnswer.code", f"unknown code {text[:40]!r}"
        ) from error
