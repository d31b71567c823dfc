"""Puts the parts of configuration changes together."""

from tamarackhatch import model
from tamarackhatch.records import _configuration_changes

# Changes of which some parts have not arrived. The parts of one change are
# written together, so that few changes are incomplete at a time.
_MAX_INCOMPLETE_CHANGES = 16


class ChangeAssembler:
    """Collects parts in any order until a change is complete."""

    def __init__(self) -> None:
        self._parts: dict[
            tuple[int, int, int], dict[int, _configuration_changes.ChangePart]
        ] = {}

    def add_part(
        self, part: _configuration_changes.ChangePart
    ) -> model.ConfigurationChange | None:
        """Adds a part, and returns its change if that is complete.

        Raises:
            MalformedRowError: The parts do not make up a change.
        """
        key = (part.base, part.version, part.parts)
        parts = self._parts.setdefault(key, {})
        parts[part.part] = part
        if len(parts) < part.parts:
            if len(self._parts) > _MAX_INCOMPLETE_CHANGES:
                del self._parts[next(iter(self._parts))]
            return None
        del self._parts[key]
        return _configuration_changes.decode_change(
            [parts[index] for index in range(part.parts)]
        )
