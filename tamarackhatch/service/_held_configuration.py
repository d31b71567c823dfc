"""The newest configuration that is known."""

from collections.abc import Callable

from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import records

# Changes that are kept until the version that they apply to is read.
_MAX_KEPT_CHANGES = 64


class HeldConfiguration:
    """Holds the newest configuration; never replaces it by an older one.

    It changes by the operator's row and by published changes of it.
    """

    def __init__(self, log: observability.Log) -> None:
        self._log = log
        self._configuration: model.Configuration | None = None
        self._on_change: Callable[[], None] = lambda: None
        self._assembler = records.ChangeAssembler()
        self._changes: dict[int, model.ConfigurationChange] = {}

    @property
    def configuration(self) -> model.Configuration | None:
        """The newest configuration; None until the first one is read."""
        return self._configuration

    def set_callback(self, on_change: Callable[[], None]) -> None:
        """Sets the function to call after each change."""
        self._on_change = on_change

    def apply_change_row(self, row: model.Row) -> None:
        """Applies a change that the active scheduler has published.

        A change of another version than the present one is kept, since that
        version may be read later.
        """
        if row.is_deleted or not records.is_change_ref(row.ref):
            return
        try:
            part = records.decode_change_part(row.value)
            change = self._assembler.add_part(part)
        except records.MalformedRowError as error:
            self._log.error("configuration_malformed", reason=error.message)
            return
        if change is None:
            return
        self._changes[change.base] = change
        if len(self._changes) > _MAX_KEPT_CHANGES:
            del self._changes[min(self._changes)]
        self.apply_changes()

    def apply_row(self, row: model.Row) -> None:
        """Applies the operator's row; other rows are ignored."""
        if row.ref.key != platform.CONFIGURATION_KEY or row.is_deleted:
            return
        try:
            configuration = platform.decode_configuration(row.value)
        except platform.MalformedBodyError as error:
            self._log.error("configuration_malformed", reason=error.message)
            return
        self.replace_configuration(configuration)

    def apply_changes(self) -> None:
        """Applies all changes that lead on from the present version."""
        while (current := self._configuration) is not None:
            change = self._changes.pop(current.version, None)
            if change is None:
                return
            self.replace_configuration(change.apply_to(current))

    def replace_configuration(
        self, configuration: model.Configuration
    ) -> None:
        """Replaces the configuration, unless the given one is not newer."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._log.info(
            "configuration_applied",
            version=configuration.version,
            queues=len(configuration.queues),
        )
        self._on_change()
