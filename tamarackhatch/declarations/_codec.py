"""Conversion of declarations to and from the JSON of the store row."""

import typing

from tamarackhatch.declarations import _declarations
from tamarackhatch.declarations import _keys
from tamarackhatch.declarations import _reader
from tamarackhatch import documents
from tamarackhatch import errors


def encode_declarations(
    declarations: _declarations.Declarations,
) -> dict[str, typing.Any]:
    """Returns the JSON form, with the keys of the declarations files.

    All defaults are written out, so that a release with other built-in
    defaults does not change the meaning of a stored version.
    """
    defaults = {
        section.value: documents.write_object(
            getattr(declarations.defaults, section.value), table.keys
        )
        for section, table in _keys.SECTION_TABLES.items()
    }
    exceptions = [
        {
            item.scope.value: item.name,
            "values": encode_overrides(item),
            "reason": item.reason,
        }
        for item in declarations.exceptions
    ]
    return {"defaults": defaults, "exceptions": exceptions}


def encode_overrides(
    item: _declarations.PolicyException,
) -> dict[str, typing.Any]:
    """Returns the JSON form of an exception's values, by key."""
    keys = {key.name: key for key in _keys.SECTION_TABLES[item.scope].keys}
    return {
        override.key: (
            None
            if override.value is None
            else keys[override.key].kind.write(override.value)
        )
        for override in item.overrides
    }


def decode_declarations(
    value: object, source: str, *, ignore_unknown: bool = False
) -> _declarations.Declarations:
    """Returns the declarations of a JSON form.

    Args:
        value: The JSON form.
        source: Name of the source in findings.
        ignore_unknown: Whether unknown keys are ignored. A stored version may
            come from a later release; the keys that this release knows must
            still take effect.

    Raises:
        FindingsError: The value is invalid; all findings are reported.
    """
    location = errors.SourceLocation(source, 1, 1)
    ignored = {errors.ErrorCode.UNKNOWN_KEY} if ignore_unknown else set()
    collector = documents.Collector(frozenset(ignored))
    try:
        node = documents.build_node(value, location)
    except ValueError as error:
        finding = errors.Finding(
            location, errors.ErrorCode.SYNTAX, f"bad JSON value: {error}"
        )
        raise errors.FindingsError((finding,)) from error
    declarations = _reader.read_nodes((node,), collector)
    collector.raise_findings()
    return declarations
