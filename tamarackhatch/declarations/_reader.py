"""Reads declarations from files and from stored JSON."""

from collections.abc import Iterable
import pathlib
import typing

import attrs

from tamarackhatch.declarations import _declarations
from tamarackhatch.declarations import _keys
from tamarackhatch.declarations import _policies
from tamarackhatch import documents
from tamarackhatch import errors

SUFFIXES: typing.Final = (".json", ".jsonc", ".json5")
# Exceptions are expected to be few; 250 teams with quotas stay far below this.
_MAX_EXCEPTIONS = 2_000
_NAME_KIND = documents.Text(
    pattern=r"[A-Za-z0-9][A-Za-z0-9._:-]*",
    rule="a name of letters, digits, '.', '_', ':' and '-'",
    maximum=253,
)
_REASON_KIND = documents.Text(maximum=2_000)


@attrs.frozen
class _LocatedException:
    location: errors.SourceLocation
    value: _declarations.PolicyException


@attrs.frozen
class _AnyArray:
    """Accepts an array and returns its items."""

    def read(
        self,
        node: documents.Node,
        path: str,
        collector: documents.Collector,
    ) -> tuple[documents.Node, ...] | None:
        if isinstance(node, documents.ArrayNode):
            return node.items
        collector.add_finding(
            node.location,
            errors.ErrorCode.WRONG_TYPE,
            f"{path} must be an array",
        )
        return None

    def write(self, value: typing.Any) -> typing.NoReturn:
        raise TypeError("encode_declarations writes this value")


@attrs.frozen
class _AnyNode:
    """Accepts any value, which is read once its section is known."""

    def read(
        self,
        node: documents.Node,
        path: str,
        collector: documents.Collector,
    ) -> documents.Node:
        return node

    def write(self, value: typing.Any) -> typing.NoReturn:
        raise TypeError("encode_declarations writes this value")


_ROOT_KEYS = (
    documents.Key("defaults", _AnyNode()),
    documents.Key("exceptions", _AnyArray()),
)
_DEFAULTS_KEYS = tuple(
    documents.Key(section.value, _AnyNode()) for section in _keys.Section
)
_EXCEPTION_KEYS = (
    *(documents.Key(scope.value, _NAME_KIND) for scope in _keys.SCOPES),
    documents.Key("values", _AnyNode(), is_required=True),
    documents.Key("reason", _REASON_KIND),
)


def load_directory(path: str) -> _declarations.Declarations:
    """Loads all declarations files of a directory.

    Raises:
        FindingsError: A file is invalid, or there is none; the findings of
            all files are reported.
    """
    collector = documents.Collector()
    paths = list_files(path, collector)
    declarations = read_files(paths, collector)
    collector.raise_findings()
    return declarations


def list_files(path: str, collector: documents.Collector) -> tuple[str, ...]:
    """Returns the paths of the declarations files, sorted by name.

    Records a finding if there are none.
    """
    try:
        paths = sorted(
            str(item)
            for item in pathlib.Path(path).iterdir()
            if item.suffix in SUFFIXES and not item.name.startswith(".")
        )
    except OSError as error:
        paths = []
        message = f"cannot read the directory: {error.strerror}"
    else:
        # Read as empty declarations, a wrong path would remove all exceptions
        # of the fleet.
        message = f"the directory has no file named *{', *'.join(SUFFIXES)}"
    if not paths:
        collector.add_finding(
            errors.SourceLocation(path, 1, 1),
            errors.ErrorCode.UNREADABLE_FILE,
            message,
        )
    return tuple(paths)


def read_files(
    paths: Iterable[str], collector: documents.Collector
) -> _declarations.Declarations:
    """Reads files that form one set of declarations."""
    nodes = (documents.read_file(path, collector) for path in paths)
    return read_nodes([node for node in nodes if node], collector)


def read_nodes(
    nodes: Iterable[documents.Node], collector: documents.Collector
) -> _declarations.Declarations:
    """Reads parsed documents that form one set of declarations.

    The result is valid only if the collector has no findings.
    """
    sections: dict[_keys.Section, typing.Any] = {}
    locations: dict[_keys.Section, errors.SourceLocation] = {}
    exceptions: list[_LocatedException] = []
    for node in nodes:
        values = documents.read_object(node, "", _ROOT_KEYS, collector) or {}
        if "defaults" in values:
            _read_defaults(values["defaults"], sections, locations, collector)
        for index, item in enumerate(values.get("exceptions", ())):
            exception = _read_exception(
                item, f"exceptions[{index}]", collector
            )
            if exception is not None:
                exceptions.append(_LocatedException(item.location, exception))
    defaults = _declarations.Defaults(
        **{section.value: policy for section, policy in sections.items()}
    )
    service_location = locations.get(_keys.Section.SERVICE)
    if service_location is not None:
        _check_service_policy(
            defaults.service,
            "defaults.service",
            service_location,
            collector,
        )
    _check_exceptions(defaults, exceptions, collector)
    ordered = sorted(
        (item.value for item in exceptions),
        key=lambda item: (
            item.scope.value,
            item.name,
            [override.key for override in item.overrides],
        ),
    )
    return _declarations.Declarations(defaults, tuple(ordered))


def _read_defaults(
    node: documents.Node,
    sections: dict[_keys.Section, typing.Any],
    locations: dict[_keys.Section, errors.SourceLocation],
    collector: documents.Collector,
) -> None:
    values = documents.read_object(node, "defaults", _DEFAULTS_KEYS, collector)
    for name, content in (values or {}).items():
        section = _keys.Section(name)
        if section in locations:
            collector.add_finding(
                content.location,
                errors.ErrorCode.DUPLICATE,
                f"defaults.{name} is given twice, "
                f"first at {locations[section]}",
            )
            continue
        locations[section] = content.location
        table = _keys.SECTION_TABLES[section]
        read = documents.read_object(
            content, f"defaults.{name}", table.keys, collector
        )
        sections[section] = table.policy(**(read or {}))


def _read_exception(
    node: documents.Node, path: str, collector: documents.Collector
) -> _declarations.PolicyException | None:
    values = documents.read_object(node, path, _EXCEPTION_KEYS, collector)
    if values is None or not isinstance(node, documents.ObjectNode):
        return None
    given_keys = {member.key for member in node.members}
    scopes = [scope for scope in _keys.SCOPES if scope.value in given_keys]
    reason = values.get("reason", "").strip()
    if not reason and ("reason" in values or "reason" not in given_keys):
        collector.add_finding(
            node.location,
            errors.ErrorCode.MISSING_REASON,
            f"{path} has no reason; every exception needs one",
        )
    if len(scopes) != 1:
        scope_names = ", ".join(scope.value for scope in _keys.SCOPES)
        collector.add_finding(
            node.location,
            (
                errors.ErrorCode.CONTRADICTION
                if scopes
                else errors.ErrorCode.MISSING_KEY
            ),
            f"{path} must name exactly one of {scope_names}",
        )
        return None
    scope = scopes[0]
    overrides = _read_overrides(
        values.get("values"), scope, f"{path}.values", collector
    )
    name = values.get(scope.value)
    if name is None or not overrides:
        return None
    return _declarations.PolicyException(scope, name, overrides, reason)


def _read_overrides(
    node: documents.Node | None,
    scope: _keys.Section,
    path: str,
    collector: documents.Collector,
) -> tuple[_declarations.Override, ...]:
    if node is None:
        return ()
    table = _keys.SECTION_TABLES[scope]
    values = documents.read_object(node, path, table.keys, collector)
    if isinstance(node, documents.ObjectNode) and not node.members:
        collector.add_finding(
            node.location,
            errors.ErrorCode.MISSING_KEY,
            f"{path} is empty; an exception overrides at least one value",
        )
    return tuple(
        _declarations.Override(key.name, key.attribute, values[key.attribute])
        for key in sorted(table.keys, key=lambda key: key.name)
        if values and key.attribute in values
    )


def _check_exceptions(
    defaults: _declarations.Defaults,
    exceptions: list[_LocatedException],
    collector: documents.Collector,
) -> None:
    if len(exceptions) > _MAX_EXCEPTIONS:
        collector.add_finding(
            exceptions[_MAX_EXCEPTIONS].location,
            errors.ErrorCode.OUT_OF_RANGE,
            f"there are more than {_MAX_EXCEPTIONS} exceptions",
        )
    first_by_key: dict[tuple[_keys.Section, str, str], _LocatedException] = {}
    values: dict[tuple[_keys.Section, str, str], typing.Any] = {}
    services: dict[str, errors.SourceLocation] = {}
    for item in exceptions:
        scope, name = item.value.scope, item.value.name
        if scope is _keys.Section.SERVICE:
            services[name] = item.location
        for override in item.value.overrides:
            key = (scope, name, override.key)
            if key not in first_by_key:
                first_by_key[key] = item
                values[key] = override.value
                continue
            is_same = values[key] == override.value
            collector.add_finding(
                item.location,
                (
                    errors.ErrorCode.DUPLICATE
                    if is_same
                    else errors.ErrorCode.CONTRADICTION
                ),
                f"{override.key} of {scope.value} {name} "
                f"{'repeats' if is_same else 'contradicts'} the exception "
                f"at {first_by_key[key].location}",
            )
    policies = _declarations.PolicySet(
        _declarations.Declarations(
            defaults, tuple(item.value for item in exceptions)
        )
    )
    for name, location in services.items():
        _check_service_policy(
            policies.get_service_policy(name),
            f"service {name}",
            location,
            collector,
        )


def _check_service_policy(
    policy: _policies.ServicePolicy,
    subject: str,
    location: errors.SourceLocation,
    collector: documents.Collector,
) -> None:
    """Reports values that are valid alone but contradict each other."""
    problems = []
    if policy.slots > policy.connections:
        problems.append("slots exceed connections")
    if policy.latency_bound > policy.max_deadline:
        problems.append("latency_bound_ms exceeds max_deadline_ms")
    for problem in problems:
        collector.add_finding(
            location, errors.ErrorCode.CONTRADICTION, f"{subject}: {problem}"
        )
