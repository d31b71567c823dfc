"""Reading and writing of objects described by a table of keys."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import difflib
import typing

import attrs

from tamarackhatch.documents import _findings
from tamarackhatch.documents import _kinds
from tamarackhatch.documents import _nodes
from tamarackhatch import errors


@attrs.frozen
class Key:
    """One key of an object.

    Attributes:
        name: Name in the file, with the unit where there is one.
        kind: Kind of the value.
        attribute: Attribute of the attrs class, if it differs from the name.
        is_required: Whether the key must be present.
        is_nullable: Whether null is allowed; it is read as None.
    """

    name: str
    kind: _kinds.Kind
    attribute: str = attrs.field()
    is_required: bool = False
    is_nullable: bool = False

    @attribute.default
    def _get_attribute(self) -> str:
        return self.name


@attrs.frozen
class Nested:
    """An object as the value of a key.

    Attributes:
        build: Makes the value; called with the attributes read, by name.
        keys: Keys of the object.
    """

    build: Callable[..., typing.Any]
    keys: tuple[Key, ...]

    def read(
        self, node: _nodes.Node, path: str, collector: _findings.Collector
    ) -> typing.Any:
        count_before = collector.count
        values = read_object(node, path, self.keys, collector)
        if values is None or collector.count > count_before:
            return None
        return self.build(**values)

    def write(self, value: typing.Any) -> typing.Any:
        return write_object(value, self.keys)


def read_object(
    node: _nodes.Node,
    path: str,
    keys: Sequence[Key],
    collector: _findings.Collector,
) -> dict[str, typing.Any] | None:
    """Reads an object described by a table of keys.

    Args:
        node: The value to read.
        path: Name of the object in findings; empty for the root.
        keys: The allowed keys.
        collector: Records the findings.

    Returns:
        The valid values by attribute, or None if the node is not an object.
    """
    if not isinstance(node, _nodes.ObjectNode):
        collector.add_finding(
            node.location,
            errors.ErrorCode.WRONG_TYPE,
            f"{path or 'the document'} must be an object, "
            f"not {_nodes.describe_node(node)}",
        )
        return None
    by_name = {key.name: key for key in keys}
    first_locations: dict[str, errors.SourceLocation] = {}
    values: dict[str, typing.Any] = {}
    for member in node.members:
        key_path = _join_path(path, member.key)
        key = by_name.get(member.key)
        if key is None:
            collector.add_finding(
                member.location,
                errors.ErrorCode.UNKNOWN_KEY,
                f"unknown key {key_path}{_suggest_key(member.key, by_name)}",
            )
            continue
        if member.key in first_locations:
            first_location = first_locations[member.key]
            collector.add_finding(
                member.location,
                errors.ErrorCode.DUPLICATE,
                f"{key_path} is given twice, first at {first_location}",
            )
            continue
        first_locations[member.key] = member.location
        if key.is_nullable and _is_null(member.value):
            values[key.attribute] = None
            continue
        value = key.kind.read(member.value, key_path, collector)
        if value is not None:
            values[key.attribute] = value
    for key in keys:
        if key.is_required and key.name not in first_locations:
            collector.add_finding(
                node.location,
                errors.ErrorCode.MISSING_KEY,
                f"{_join_path(path, key.name)} is missing",
            )
    return values


def write_object(
    value: object, keys: Sequence[Key]
) -> Mapping[str, typing.Any]:
    """Returns the JSON object of an attrs instance.

    None is written as null for a nullable key, and left out otherwise.
    """
    written = {}
    for key in keys:
        content = getattr(value, key.attribute)
        if content is not None:
            written[key.name] = key.kind.write(content)
        elif key.is_nullable:
            written[key.name] = None
    return written


def _is_null(node: _nodes.Node) -> bool:
    return isinstance(node, _nodes.ScalarNode) and node.value is None


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _suggest_key(name: str, known: Mapping[str, Key]) -> str:
    matches = difflib.get_close_matches(name, known, n=1, cutoff=0)
    return f"; the nearest known key is {matches[0]}" if matches else ""
