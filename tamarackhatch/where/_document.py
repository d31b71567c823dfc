"""The JSON form of an answer: attribute names, and times in milliseconds."""

import datetime
import enum
import functools
import typing

import attrs

from tamarackhatch.where import _answer

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SCORE_DIGITS = 4
Document = dict[str, typing.Any]
# Names of attributes that are times, also where their value is None.
_DURATIONS = frozenset({"expected_wait", "latency", "order_latency"})


def write_answer(answer: _answer.Answer) -> Document:
    """Returns the JSON object of an answer."""
    return _write_object(answer)


def _write_object(value: typing.Any) -> Document:
    return {
        (
            f"{field.name}_ms" if field.name in _DURATIONS else field.name
        ): _write(getattr(value, field.name))
        for field in attrs.fields(type(value))
    }


@functools.singledispatch
def _write(value: object) -> typing.Any:
    """Returns the JSON value of an attribute."""
    return _write_object(value) if attrs.has(type(value)) else value


@_write.register
def _(value: tuple) -> list[typing.Any]:  # type: ignore[type-arg]
    return [_write(item) for item in value]


@_write.register
def _(value: datetime.timedelta) -> int:
    return value // _MILLISECOND


@_write.register
def _(value: enum.Enum) -> typing.Any:
    return value.value


@_write.register
def _(value: float) -> float:
    return round(value, _SCORE_DIGITS)
