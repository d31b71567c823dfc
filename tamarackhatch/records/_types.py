"""Checks that decoded values have the types that their classes declare."""

import functools
import reprlib
import types
import typing

import attrs


def check_types(value: object) -> None:
    """Checks the attributes of an attrs object, and of those within it.

    Stored rows are decoded into attrs objects, which accept any value.

    Raises:
        TypeError: An attribute does not have its declared type.
    """
    cls: typing.Any = type(value)
    for name, expected in _get_types(cls).items():
        _check(getattr(value, name), expected, name)


@functools.cache
def _get_types(cls: typing.Any) -> dict[str, typing.Any]:
    """Returns the types of the attributes of an attrs class; else nothing."""
    if not attrs.has(cls):
        return {}
    hints = typing.get_type_hints(cls)
    return {
        field.name: hints[field.name]
        for field in attrs.fields(cls)
        if field.init
    }


def _check(value: object, expected: typing.Any, name: str) -> None:
    origin, arguments = typing.get_origin(expected), typing.get_args(expected)
    if origin in (types.UnionType, typing.Union):
        if value is None and type(None) in arguments:
            return
        (expected,) = (item for item in arguments if item is not type(None))
        _check(value, expected, name)
    elif origin is tuple:
        _check_class(value, tuple, name)
        for item in typing.cast(tuple[object, ...], value):
            _check(item, arguments[0], name)
    elif origin is dict:
        _check_class(value, dict, name)
        for key, item in typing.cast(dict[object, object], value).items():
            _check(key, arguments[0], name)
            _check(item, arguments[1], name)
    elif expected is float:
        _check_class(value, (int, float), name)
    else:
        _check_class(value, expected, name)
        check_types(value)


def _check_class(
    value: object, expected: type | tuple[type, ...], name: str
) -> None:
    is_boolean = isinstance(value, bool) and expected is not bool
    if not isinstance(value, expected) or is_boolean:
        # Unlike repr, this does not fail on deeply nested values.
        raise TypeError(f"{name} is {reprlib.repr(value)}, of a wrong type")
