"""Publishes changes of the configuration to the other instances."""

import attrs

from tamarackhatch import model
from tamarackhatch import records

# Rows that hold the latest changes, in turn. An instance that has missed more
# changes reads the operator's row.
_SLOTS = 8


@attrs.frozen
class ConfigurationWrite:
    """What a transaction tells about the configuration.

    Attributes:
        puts: Rows with a change that is not published yet.
        publication: What is published once the transaction is applied; None
            if the newest configuration is not known at present.
    """

    puts: tuple[model.Put, ...] = ()
    publication: model.Publication | None = None


class ConfigurationPublisher:
    """Turns new configurations into rows that contain only the changes.

    The operator's row can have hundreds of kilobytes. If each instance read
    each version of it, they would fill the links between regions, which
    leases and acknowledgements share.
    """

    def __init__(self, source: model.ConfigurationSource | None) -> None:
        """Creates the publisher of one term.

        Args:
            source: Configuration as this process reads it; None publishes
                nothing.
        """
        self._source = source
        self._published: model.Configuration | None = None
        self._prepared: model.Configuration | None = None
        self._changes = 0

    @property
    def has_change(self) -> bool:
        """Whether a newer configuration is not published yet."""
        if self._source is None:
            return False
        current = self._source.configuration
        return (
            current is not None
            and self._published is not None
            and current.version > self._published.version
        )

    def prepare_write(self) -> ConfigurationWrite:
        """Returns what the next transaction has to contain."""
        source = self._source
        if source is None or source.configuration is None:
            return ConfigurationWrite()
        current = source.configuration
        position = source.position
        puts: tuple[model.Put, ...] = ()
        if self._published is None:
            # Instances with an older configuration read the operator's row.
            self._published = current
        elif self.has_change:
            change = model.compute_change(self._published, current)
            puts = tuple(records.encode_change(change, self._changes % _SLOTS))
        self._prepared = current
        return ConfigurationWrite(
            puts,
            (
                None
                if position is None
                else model.Publication(current.version, position)
            ),
        )

    def record_commit(self) -> None:
        """Records that the latest prepared write is durable."""
        if self._prepared is not None and self.has_change:
            self._published = self._prepared
            self._changes += 1
