"""Converts text or plain JSON values to nodes."""

import functools
import pathlib
import re
import typing

import json5
from json5 import loader
from json5 import model

from tamarackhatch.documents import _findings
from tamarackhatch.documents import _nodes
from tamarackhatch import errors

# The parser is iterative, but the conversion to nodes is recursive; this limit
# stays far below the interpreter's recursion limit.
_MAX_NESTING_DEPTH = 32
# Parts of the error messages of json5.
_ERROR_INDEX = re.compile(r"at index (\d+)$")
_EXPECTED_TOKENS = re.compile(r"expecting ([\w ]+?)(?: in or near| at:|$)")


def read_file(path: str, collector: _findings.Collector) -> _nodes.Node | None:
    """Reads and parses a file.

    Args:
        path: Path of the file; findings contain it as given.
        collector: Records the findings.

    Returns:
        The root node, or None if the file is unreadable or malformed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or type(error).__name__
    except UnicodeDecodeError:
        reason = "the text is not UTF-8"
    else:
        return parse_text(text, path, collector)
    collector.add_finding(
        errors.SourceLocation(path, 1, 1),
        errors.ErrorCode.UNREADABLE_FILE,
        f"cannot read the file: {reason}",
    )
    return None


def parse_text(
    text: str, file: str, collector: _findings.Collector
) -> _nodes.Node | None:
    """Returns the root node of JSON with comments, or None if malformed."""
    try:
        document = json5.loads(text, loader=loader.ModelLoader())
    except json5.JSON5DecodeError as error:
        line, column = _locate_error(error, text)
        location = errors.SourceLocation(file, line, column)
        message = _describe_error(error)
    except ValueError:
        # The interpreter limits the digits of whole numbers.
        location = errors.SourceLocation(file, 1, 1)
        message = "a number has too many digits"
    else:
        try:
            return _convert_node(document.value, file, 0)
        except _NestingDepthError as error:
            location = error.location
            message = (
                f"values are nested deeper than {_MAX_NESTING_DEPTH} levels"
            )
    collector.add_finding(location, errors.ErrorCode.SYNTAX, message)
    return None


def build_node(
    value: object, location: errors.SourceLocation, depth: int = 0
) -> _nodes.Node:
    """Converts a plain JSON value to nodes with one common location.

    Raises:
        ValueError: The value is nested too deeply or is not a JSON value.
    """
    if depth > _MAX_NESTING_DEPTH:
        raise ValueError("the value is nested too deeply")
    if isinstance(value, dict):
        members = tuple(
            _nodes.Member(
                location, str(key), build_node(item, location, depth + 1)
            )
            for key, item in value.items()
        )
        return _nodes.ObjectNode(location, members)
    if isinstance(value, (list, tuple)):
        items = tuple(build_node(item, location, depth + 1) for item in value)
        return _nodes.ArrayNode(location, items)
    if value is None or isinstance(value, (str, int, float, bool)):
        return _nodes.ScalarNode(location, value)
    raise ValueError(f"{type(value).__name__} is not a JSON value")


class _NestingDepthError(Exception):
    def __init__(self, location: errors.SourceLocation) -> None:
        super().__init__("nested too deeply")
        self.location = location


def _get_location(node: typing.Any, file: str) -> errors.SourceLocation:
    return errors.SourceLocation(
        file, node.lineno or 1, (node.col_offset or 0) + 1
    )


@functools.singledispatch
def _convert_node(node: typing.Any, file: str, depth: int) -> _nodes.Node:
    return _nodes.ScalarNode(_get_location(node, file), node.value)


@_convert_node.register
def _(node: model.String, file: str, depth: int) -> _nodes.Node:
    return _nodes.ScalarNode(_get_location(node, file), node.characters)


@_convert_node.register
def _(node: model.UnaryOp, file: str, depth: int) -> _nodes.Node:
    number = typing.cast(typing.Any, node.value).value
    if node.op == "-" and not isinstance(node.value, model.Infinity):
        number = -number
    return _nodes.ScalarNode(_get_location(node, file), number)


@_convert_node.register
def _(node: model.JSONArray, file: str, depth: int) -> _nodes.Node:
    location = _get_location(node, file)
    if depth >= _MAX_NESTING_DEPTH:
        raise _NestingDepthError(location)
    items = tuple(_convert_node(item, file, depth + 1) for item in node.values)
    return _nodes.ArrayNode(location, items)


@_convert_node.register
def _(node: model.JSONObject, file: str, depth: int) -> _nodes.Node:
    location = _get_location(node, file)
    if depth >= _MAX_NESTING_DEPTH:
        raise _NestingDepthError(location)
    members = []
    for pair in node.key_value_pairs:
        key: typing.Any = pair.key
        members.append(
            _nodes.Member(
                _get_location(key, file),
                (
                    key.name
                    if isinstance(key, model.Identifier)
                    else key.characters
                ),
                _convert_node(pair.value, file, depth + 1),
            )
        )
    return _nodes.ObjectNode(location, tuple(members))


def _locate_error(error: json5.JSON5DecodeError, text: str) -> tuple[int, int]:
    """Returns line and column, from 1; json5 omits both for some errors."""
    index = len(text)
    match = _ERROR_INDEX.search(error.msg)
    if match:
        index = int(match.group(1))
    elif error.token is not None and error.token.index is not None:
        index = error.token.index
    line = text.count("\n", 0, index) + 1
    return line, index - (text.rfind("\n", 0, index) + 1) + 1


def _describe_error(error: json5.JSON5DecodeError) -> str:
    """Returns a message that does not quote the text."""
    if "Illegal character" in error.msg:
        return "unexpected character"
    expected = _EXPECTED_TOKENS.search(error.msg.splitlines()[-1])
    if error.token is None and "There were" not in error.msg:
        problem = "unexpected end of file"
    else:
        problem = "syntax error"
    return f"{problem}, expecting {expected.group(1)}" if expected else problem
