"""Differences between two versions of the configuration."""

import typing

import attrs

from tamarackhatch.model import _configuration


@attrs.frozen
class ConfigurationChange:
    """What changes from one version of the configuration to a later one.

    Attributes:
        base: Version to which the change can be applied.
        version: Version that results.
        queues: Queues that were added or have changed.
        removed: Names of the queues that were removed.
        services: All services of the later version.
        limits: Limits of requests of the later version.
    """

    base: int
    version: int
    queues: tuple[_configuration.Queue, ...]
    removed: tuple[str, ...]
    services: tuple[_configuration.Service, ...]
    limits: _configuration.RequestLimits

    def apply_to(
        self, configuration: _configuration.Configuration
    ) -> _configuration.Configuration:
        """Returns the later version.

        Args:
            configuration: The configuration of version `base`.

        Raises:
            ValueError: The configuration has another version.
        """
        if configuration.version != self.base:
            raise ValueError(
                f"change from version {self.base} does not apply to version "
                f"{configuration.version}"
            )
        queues = {queue.name: queue for queue in configuration.queues}
        for name in self.removed:
            queues.pop(name, None)
        for queue in self.queues:
            queues[queue.name] = queue
        return _configuration.Configuration(
            self.version, tuple(queues.values()), self.services, self.limits
        )


# A change from it contains a whole configuration.
EMPTY_CONFIGURATION: typing.Final = _configuration.Configuration(0)


@attrs.frozen
class Publication:
    """Which configuration the active scheduler knows and has published.

    Attributes:
        version: Version of the configuration.
        position: Version of the store up to which the scheduler has read the
            changes of the operator's table. The configuration has not changed
            up to there.
    """

    version: int
    position: int


class ConfigurationSource(typing.Protocol):
    """Configuration as this process has read it."""

    @property
    def configuration(self) -> _configuration.Configuration | None:
        """The newest configuration; None until the first one is read."""
        ...

    @property
    def position(self) -> int | None:
        """Version of the store up to which the operator's table was read.

        None while the table cannot be read, or is not read directly.
        """
        ...


def compute_change(
    earlier: _configuration.Configuration, later: _configuration.Configuration
) -> ConfigurationChange:
    """Returns what changes from one configuration to a later one."""
    known = {queue.name: queue for queue in earlier.queues}
    names = {queue.name for queue in later.queues}
    return ConfigurationChange(
        earlier.version,
        later.version,
        tuple(
            queue for queue in later.queues if known.get(queue.name) != queue
        ),
        tuple(name for name in known if name not in names),
        later.services,
        later.limits,
    )
