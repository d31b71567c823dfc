"""Conversion between attrs classes and JSON values of rows."""

import datetime
import typing

import cattrs
import cattrs.preconf.json

from tamarackhatch.platform import _errors
from tamarackhatch.platform import _table_service

_T = typing.TypeVar("_T")


def _build_converter() -> cattrs.Converter:
    converter = cattrs.preconf.json.make_converter()
    converter.register_unstructure_hook(
        datetime.timedelta, lambda value: value.total_seconds()
    )
    converter.register_structure_hook(
        datetime.timedelta, lambda value, _: datetime.timedelta(seconds=value)
    )
    return converter


_CONVERTER = _build_converter()


def encode_value(value: object) -> _table_service.JsonValue:
    """Returns the JSON form of an attrs instance."""
    return typing.cast(_table_service.JsonValue, _CONVERTER.unstructure(value))


def decode_row(value: _table_service.JsonValue, cls: type[_T]) -> _T:
    """Returns the attrs instance for a JSON value.

    Raises:
        BadPlatformAnswerError: The value does not fit the class.
    """
    try:
        return _CONVERTER.structure(value, cls)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        faults = "; ".join(cattrs.transform_error(error))
        raise _errors.BadPlatformAnswerError(
            f"row does not fit {cls.__name__}: {faults}"
        ) from error
