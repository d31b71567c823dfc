"""Reads typed fields of JSON bodies that other systems write."""

import datetime
import reprlib
import typing

import orjson

from tamarackhatch import errors

_MILLISECOND = datetime.timedelta(milliseconds=1)
# Larger numbers are not exact as JSON numbers. Sums of numbers up to here fit
# into 64 bits, which the encoder requires, and sums of as many milliseconds
# into a timedelta.
MAX_MAGNITUDE: typing.Final = 2**53


class MalformedBodyError(errors.CodedError):
    """A body does not have the published form."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.BAD_PLATFORM_ANSWER, message)


def decode_object(body: bytes) -> dict[str, typing.Any]:
    """Returns the JSON object of a body.

    Raises:
        MalformedBodyError: The body is not a JSON object.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedBodyError(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise MalformedBodyError("the body is not a JSON object")
    return document


def get_text(document: dict[str, typing.Any], name: str) -> str:
    """Returns a text field; empty if it is missing.

    Raises:
        MalformedBodyError: The field has another type.
    """
    value = document.get(name, "")
    if not isinstance(value, str):
        raise MalformedBodyError(f"{name} is not text")
    return value


def get_integer(document: dict[str, typing.Any], name: str) -> int:
    """Returns a whole-number field; 0 if it is missing.

    Raises:
        MalformedBodyError: The field is not a whole number, or too large.
    """
    return check_integer(document.get(name, 0), name)


def check_integer(value: object, name: str) -> int:
    """Returns a value that must be a whole number.

    Args:
        value: The value.
        name: Its name in error messages.

    Raises:
        MalformedBodyError: The value is not a whole number, or too large.
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedBodyError(f"{name} is not a whole number")
    if abs(value) > MAX_MAGNITUDE:
        raise MalformedBodyError(f"{name} is too large")
    return value


def get_flag(document: dict[str, typing.Any], name: str) -> bool:
    """Returns a boolean field; false if it is missing.

    Raises:
        MalformedBodyError: The field is neither true nor false.
    """
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise MalformedBodyError(f"{name} is neither true nor false")
    return value


def get_duration(
    document: dict[str, typing.Any], name: str
) -> datetime.timedelta:
    """Returns a duration field given in milliseconds; 0 if it is missing.

    Raises:
        MalformedBodyError: The field is not a number, or too large.
    """
    value = document.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedBodyError(f"{name} is not a number")
    # Written so that it also rejects NaN.
    if not abs(value) <= MAX_MAGNITUDE:
        raise MalformedBodyError(f"{name} is too large")
    return value * _MILLISECOND


def get_list(document: dict[str, typing.Any], name: str) -> list[typing.Any]:
    """Returns a list field; empty if it is missing or null.

    Raises:
        MalformedBodyError: The field is not a list.
    """
    value = document.get(name) or []
    if not isinstance(value, list):
        raise MalformedBodyError(f"{name} is not a list")
    return value


def get_object(value: object, name: str) -> dict[str, typing.Any]:
    """Returns a value that must be a JSON object.

    Args:
        value: The value.
        name: Its name in error messages.

    Raises:
        MalformedBodyError: The value is not an object.
    """
    if not isinstance(value, dict):
        raise MalformedBodyError(f"{name} is not an object")
    return value


def describe(value: object) -> str:
    """Returns a short description of a value for error messages.

    Unlike `repr`, it does not fail on deeply nested values.
    """
    return reprlib.repr(value)


def count_milliseconds(duration: datetime.timedelta) -> int:
    """Returns a duration in whole milliseconds, rounded down."""
    return duration // _MILLISECOND
