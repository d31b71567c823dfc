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
    """How a value changes."""

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
        kind: How the value changes.
        subject: ``defaults SECTION`` or ``SCOPE NAME``.
        key: Key of the value, with its unit.
        before: JSON form of the old value; None if added.
        after: JSON form of the new value; None if removed.
        reason: New reason of the exception, or the old one if it is removed.
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
            for value, excluded_kind in (
                (self.before, ChangeKind.ADDED),
                (self.after, ChangeKind.REMOVED),
            )
            if self.kind is not excluded_kind
        ]
        text = f"{_SIGNS[self.kind]} {self.subject}: {self.key}"
        reason = f" ({self.reason})" if self.reason else ""
        return f"{text} {' -> '.join(values)}{reason}"


@attrs.frozen
class Plan:
    """All changes between two sets of declarations, by subject and key."""

    changes: tuple[Change, ...]

    @property
    def is_empty(self) -> bool:
        """Whether there are no changes."""
        return not self.changes


@attrs.frozen
class _Entry:
    value: typing.Any
    reason: str = ""


def compute_plan(
    old: _declarations.Declarations, new: _declarations.Declarations
) -> Plan:
    """Returns the changes from the old declarations to the new ones."""
    before, after = _flatten(old), _flatten(new)
    changes = []
    for entry_key in sorted(before.keys() | after.keys()):
        old_entry, new_entry = before.get(entry_key), after.get(entry_key)
        if old_entry == new_entry:
            continue
        if old_entry is None:
            kind = ChangeKind.ADDED
        elif new_entry is None:
            kind = ChangeKind.REMOVED
        else:
            kind = ChangeKind.CHANGED
        reason_entry = new_entry or old_entry or _Entry(None)
        changes.append(
            Change(
                kind,
                entry_key[0],
                entry_key[1],
                old_entry and old_entry.value,
                new_entry and new_entry.value,
                reason_entry.reason,
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
