"""Extreme values in the messages of other instances."""

import orjson
import pytest

from tamarackhatch.entry import _messages

_NESTED = b"[" * 1_000 + b"]" * 1_000
_LONG = b'"' + b"x" * 100_000 + b'"'


@pytest.mark.parametrize("kind", list(_messages.Kind))
@pytest.mark.parametrize("field", ["outcome", "state", "retry_after_ms"])
@pytest.mark.parametrize("outcome", ["done", "refused"])
@pytest.mark.parametrize(
    "value",
    [
        _NESTED,
        b"[" * 10_000 + b"]" * 10_000,
        b"1" + b"0" * 30,
        _LONG,
        b"1e300",
    ],
    ids=["nested", "beyond the decoder", "31 digits", "long", "1e300"],
)
def test_extreme_answer_raises_only_the_declared_error(
    kind: _messages.Kind, field: str, outcome: str, value: bytes
) -> None:
    """Guards against an answer that ends the forwarding of a request."""
    document = {"outcome": outcome, "state": "running", "retry_after_ms": 5}
    document[field] = "(extreme)"
    body = orjson.dumps(document).replace(b'"(extreme)"', value)
    try:
        _messages.decode_answer(kind, body)
    except _messages.MalformedMessageError as error:
        assert len(error.message) <= 500
