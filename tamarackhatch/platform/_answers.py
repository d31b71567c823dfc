"""Strict reading of the platform's JSON answers."""

from collections.abc import Iterator
import datetime
import enum
import json
import re
import typing

from tamarackhatch.platform import _errors
from tamarackhatch.platform import _http_pool

_E = typing.TypeVar("_E", bound=enum.Enum)
_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+):([0-9]{1,5})")


class AnswerObject:
    """A JSON object of an answer, with its place for error messages.

    Unknown keys are allowed, so that the platform can add some.
    """

    def __init__(self, value: object, place: str) -> None:
        if not isinstance(value, dict):
            raise _errors.BadPlatformAnswerError(f"{place} is no object")
        self._value: dict[str, typing.Any] = value
        self._place = place

    @property
    def place(self) -> str:
        """Where in the answer the object is."""
        return self._place

    def read_text(self, key: str) -> str:
        """Returns a text that is not empty."""
        value = self._value.get(key)
        if not isinstance(value, str) or not value:
            raise self._build_error(key, "must be a text")
        return value

    def read_optional_text(self, key: str) -> str | None:
        """Returns a text, or None for null or a missing key."""
        return None if self._value.get(key) is None else self.read_text(key)

    def read_note(self, key: str) -> str:
        """Returns a text for people; it may be empty, null or missing."""
        value = self._value.get(key) or ""
        if not isinstance(value, str):
            raise self._build_error(key, "must be a text")
        return value

    def read_count(self, key: str, minimum: int = 0) -> int:
        """Returns a whole number of at least the minimum."""
        value = self._value.get(key)
        if type(value) is not int or value < minimum:
            raise self._build_error(
                key, f"must be a whole number from {minimum}"
            )
        return value

    def read_time(self, key: str) -> datetime.datetime:
        """Returns a time in UTC; the text must carry its offset."""
        text = self.read_text(key)
        try:
            value = datetime.datetime.fromisoformat(text)
            if value.tzinfo is not None:
                return value.astimezone(datetime.timezone.utc)
        except (ValueError, OverflowError):
            pass
        raise self._build_error(key, "must be a time with offset")

    def read_enum(self, key: str, cls: type[_E]) -> _E:
        """Returns a member of an enumeration."""
        try:
            return cls(self.read_text(key))
        except ValueError as error:
            names = "|".join(str(member.value) for member in cls)
            raise self._build_error(key, f"must be {names}") from error

    def read_address(self, key: str) -> str | None:
        """Returns ``host:port``, or None for null or a missing key."""
        text = self.read_optional_text(key)
        if text is None:
            return None
        match = _ADDRESS.fullmatch(text)
        if not match or not 0 < int(match.group(2)) < 65536:
            raise self._build_error(key, "must be host:port")
        return text

    def read_object(self, key: str) -> dict[str, typing.Any]:
        """Returns a JSON object as it is."""
        value = self._value.get(key)
        if not isinstance(value, dict):
            raise self._build_error(key, "must be an object")
        return value

    def read_list(self, key: str) -> list[typing.Any]:
        """Returns a JSON list as it is."""
        value = self._value.get(key)
        if not isinstance(value, list):
            raise self._build_error(key, "must be a list")
        return value

    def iterate_objects(self, key: str) -> Iterator["AnswerObject"]:
        """Yields the objects of a list."""
        for index, value in enumerate(self.read_list(key)):
            yield AnswerObject(value, f"{self._place}.{key}[{index}]")

    def _build_error(
        self, key: str, message: str
    ) -> _errors.BadPlatformAnswerError:
        return _errors.BadPlatformAnswerError(f"{self._place}.{key} {message}")


def parse_object(answer: _http_pool.HttpAnswer) -> AnswerObject:
    """Returns the JSON object of an answer.

    Raises:
        BadPlatformAnswerError: The body is no JSON object.
    """
    try:
        value = json.loads(answer.body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise _errors.BadPlatformAnswerError(
            f"answer with status {answer.status} is no JSON"
        ) from error
    return AnswerObject(value, "answer")


def _refuse_constant(text: str) -> typing.NoReturn:
    raise ValueError(f"{text} is no JSON")
