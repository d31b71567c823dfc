"""Parsed values with their source locations."""

import typing

import attrs

from tamarackhatch import errors


@attrs.frozen
class ScalarNode:
    """A string, number, boolean or null."""

    location: errors.SourceLocation
    value: str | int | float | bool | None


@attrs.frozen
class ArrayNode:
    """An array."""

    location: errors.SourceLocation
    items: tuple["Node", ...]


@attrs.frozen
class Member:
    """One key of an object and its value; ``location`` is that of the key."""

    location: errors.SourceLocation
    key: str
    value: "Node"


@attrs.frozen
class ObjectNode:
    """An object; duplicate keys are kept, so that they can be reported."""

    location: errors.SourceLocation
    members: tuple[Member, ...]


Node: typing.TypeAlias = ScalarNode | ArrayNode | ObjectNode


def describe_node(node: Node) -> str:
    """Returns the type of a value in words, without the value itself.

    Findings never quote values, because a value may be a secret.
    """
    if isinstance(node, ObjectNode):
        return "an object"
    if isinstance(node, ArrayNode):
        return "an array"
    if node.value is None:
        return "null"
    if isinstance(node.value, bool):
        return "true or false"
    if isinstance(node.value, str):
        return "text"
    return "a number"
