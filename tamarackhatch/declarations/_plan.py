"""Differences between two sets of declarations."""

import enum
import json
import typing

import attrs

from tamarackhatch.declarations import _codec
from tamarackhatch.declarations import _declarations
from tamarackhatch.declarations import _keys
from tamarackhatch import documents


class ChangeKind(enum.Enum):
    """What happens to a value."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


_SIGNS = {
    ChangeKind.ADDED: "+",
    ChangeKind.CHANGED: "~",
    ChangeKind.REMOVED: "-",
}


@attrs.frozen
class Change:
    """One value that differs.

    Attributes:
        kind: What happens to the value.
        subject: ``defaults SECTION`` or ``SCOPE NAME``.
        key: Key of the value, with its unit.
        before: JSON form of the old value; None if added.
        after: JSON form of the new value; None if removed.
        reason: Reason of the exception as it will be, or was if removed.
    """

    kind: ChangeKind
    subject: str
    key: str
    before: typing.Any
    after: typing.Any
    reason: str = ""

    def __str__(self) -> str:
        values = [
            json.dumps(value)
            for value, unused in (
                (self.before, ChangeKind.ADDED),
                (self.after, ChangeKind.REMOVED),
            )
            if self.kind is not unused
        ]
        text = f"{_SIGNS[self.kind]} {self.subject}: {self.key}"
        reason = f" ({self.reason})" if self.reason else ""
        return f"{text} {' -> '.join(values)}{reason}"


@attrs.frozen
class Plan:
    """All changes that an apply would make, by subject and key."""

    changes: tuple[Change, ...]

    @property
    def is_empty(self) -> bool:
        """Whether nothing would change."""
        return not self.changes


@attrs.frozen
class _Entry:
    value: typing.Any
    reason: str = ""


def compute_plan(
    old: _declarations.Declarations, new: _declarations.Declarations
) -> Plan:
    """Returns what changes from the old declarations to the new ones."""
    before, after = _flatten(old), _flatten(new)
    changes = []
    for entry_key in sorted(before.keys() | after.keys()):
        was, will = before.get(entry_key), after.get(entry_key)
        if was == will:
            continue
        if was is None:
            kind = ChangeKind.ADDED
        elif will is None:
            kind = ChangeKind.REMOVED
        else:
            kind = ChangeKind.CHANGED
        shown = will or was or _Entry(None)
        changes.append(
            Change(
                kind,
                entry_key[0],
                entry_key[1],
                was and was.value,
                will and will.value,
                shown.reason,
            )
        )
    return Plan(tuple(changes))


def _flatten(
    declarations: _declarations.Declarations,
) -> dict[tuple[str, str], _Entry]:
    entries = {}
    for section, table in _keys.SECTION_TABLES.items():
        policy = getattr(declarations.defaults, section.value)
        written = documents.write_object(policy, table.keys)
        for key, value in written.items():
            entries[f"defaults {section.value}", key] = _Entry(value)
    for item in declarations.exceptions:
        for key, value in _codec.encode_overrides(item).items():
            subject = f"{item.scope.value} {item.name}"
            entries[subject, key] = _Entry(value, item.reason)
    return entries
