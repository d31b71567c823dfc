"""Publishes changes of the configuration to the other instances."""

import datetime

import attrs

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import records

# Rows that hold the latest changes, in turn. An instance that has missed more
# changes reads the operator's row.
_SLOTS = 8
# A process that starts reads the operator's row if it has fewer queues, which
# are tens of kilobytes, or else a compressed copy and the changes since.
_MIN_COPIED_QUEUES = 250
_MIN_COPY_INTERVAL = datetime.timedelta(seconds=2)


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

    def __init__(
        self,
        source: model.ConfigurationSource | None,
        time_source: clock.Clock,
    ) -> None:
        """Creates the publisher of one term.

        Args:
            source: Configuration as this process reads it; None publishes
                nothing.
            time_source: Source of time.
        """
        self._source = source
        self._clock = time_source
        self._copied_version = 0
        self._copied_at: datetime.timedelta | None = None
        self._published: model.Configuration | None = None
        self._prepared: model.Configuration | None = None
        self._changes = 0
        self._is_publication_prepared = False
        self._has_publication = False

    @property
    def is_due(self) -> bool:
        """Whether a heartbeat must tell of the configuration at once."""
        return self.has_change or (
            not self._has_publication
            and self._source is not None
            and self._source.position is not None
        )

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
        self._is_publication_prepared = position is not None
        puts += self._prepare_copy(current)
        return ConfigurationWrite(
            puts,
            (
                None
                if position is None
                else model.Publication(current.version, position)
            ),
        )

    def _prepare_copy(
        self, current: model.Configuration
    ) -> tuple[model.Put, ...]:
        """Returns the rows of a new copy, if one is due."""
        now = self._clock.get_monotonic()
        if (
            len(current.queues) < _MIN_COPIED_QUEUES
            or current.version == self._copied_version
            or self._copied_at is not None
            and now - self._copied_at < _MIN_COPY_INTERVAL
        ):
            return ()
        self._copied_at = now
        # If this write fails, the copy is out of date until the next version,
        # and processes that start read the operator's row.
        self._copied_version = current.version
        return tuple(records.encode_copy(current))

    def record_commit(self) -> None:
        """Records that the latest prepared write is durable."""
        self._has_publication = self._is_publication_prepared
        if self._prepared is not None and self.has_change:
            self._published = self._prepared
            self._changes += 1
