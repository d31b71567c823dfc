"""Puts extreme values into each field of what other systems write.

Each decoder may return a value or raise its declared error, and nothing else;
what it returns can be encoded again.
"""

from collections.abc import Callable
from collections.abc import Iterator
import typing

import orjson
import pytest

from tamarackhatch.platform.tests import test_fuzz
from tamarackhatch import records

_MARK = "(extreme)"
_VALUES = {
    # The decoder's limit is 1,024 levels, that of the interpreter is less.
    "nested 1,000": b"[" * 1_000 + b"]" * 1_000,
    "nested 100,000": b"[" * 100_000 + b"]" * 100_000,
    "nested objects": b'{"a":' * 1_000 + b"1" + b"}" * 1_000,
    "31 digits": b"1" + b"0" * 30,
    "5,000 digits": b"1" * 5_000,
    "2**63": b"9223372036854775808",
    "2**64": b"18446744073709551616",
    "-2**63": b"-9223372036854775808",
    "1e300": b"1e300",
    "-1e300": b"-1e300",
    "8.64e16": b"86400000000000000",
    "1e400": b"1e400",
    "1e-400": b"1e-400",
    "NaN": b"NaN",
    "Infinity": b"Infinity",
    "lone surrogate": b'"\\ud800"',
    "surrogate bytes": b'"\xed\xa0\x80"',
    "bytes": b'"\xff"',
    "NUL": b'"\\u0000"',
    "line end": b'"\\r\\n"',
    "digits of another script": b'"\\u0661\\u0662"',
    "long text": b'"' + b"x" * 200_000 + b'"',
    "long list": b"[" + b"0," * 50_000 + b"0]",
    "two keys": b'{"a":1,"a":[]}',
}
_CASES = [
    *(
        (name, valid, decode, error)
        for name, valid, decode, error in test_fuzz._CASES
    ),
    (
        "instance row",
        {"data_centre": "z", "address": "10.0.0.1:80", "is_fit": True},
        lambda body: records.decode_instance("i", body),
        records.MalformedRowError,
    ),
]


def _replace_each(value: typing.Any) -> Iterator[typing.Any]:
    """Yields a JSON value with the mark in place of each of its parts."""
    yield _MARK
    if isinstance(value, dict):
        for key, part in value.items():
            for changed in _replace_each(part):
                yield {**value, key: changed}
        yield {**value, _MARK: 1}
    elif isinstance(value, list):
        for index, part in enumerate(value):
            for changed in _replace_each(part):
                yield [*value[:index], changed, *value[index + 1 :]]


@pytest.mark.parametrize("extreme", _VALUES.values(), ids=_VALUES)
@pytest.mark.parametrize(
    ("valid", "decode", "error"),
    [case[1:] for case in _CASES],
    ids=[case[0] for case in _CASES],
)
def test_extreme_value_raises_only_the_declared_error(
    valid: object,
    decode: Callable[[bytes], object],
    error: typing.Any,
    extreme: bytes,
) -> None:
    """Guards against an unexpected error that ends a task of the process."""
    mark = orjson.dumps(_MARK)
    for changed in _replace_each(valid):
        body = orjson.dumps(changed).replace(mark, extreme)
        try:
            decode(body)
        except error as caught:
            assert len(str(caught)) < 2_000
