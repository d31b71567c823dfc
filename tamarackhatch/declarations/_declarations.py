"""Declarations of operators, and the effective policies they result in."""

import collections
import typing

import attrs

from tamarackhatch.declarations import _keys
from tamarackhatch.declarations import _policies


@attrs.frozen
class Defaults:
    """Default policies of the whole fleet."""

    service: _policies.ServicePolicy = _policies.ServicePolicy()
    batch: _policies.BatchPolicy = _policies.BatchPolicy()
    team: _policies.TeamPolicy = _policies.TeamPolicy()
    worker: _policies.WorkerPolicy = _policies.WorkerPolicy()


@attrs.frozen
class Override:
    """One value of an exception.

    Attributes:
        key: Key as in the file.
        attribute: Attribute of the policy class.
        value: Value of that attribute.
    """

    key: str
    attribute: str
    value: typing.Any


@attrs.frozen
class PolicyException:
    """Values that differ from the defaults for one name.

    Attributes:
        scope: Kind of the name: service, team or worker.
        name: Service, team or worker.
        overrides: The differing values, ordered by key.
        reason: Reason given by the operator; never empty.
    """

    scope: _keys.Section
    name: str
    overrides: tuple[Override, ...]
    reason: str


@attrs.frozen
class Declarations:
    """Defaults and exceptions of the fleet.

    The exceptions are sorted by scope, name and keys.
    """

    defaults: Defaults = Defaults()
    exceptions: tuple[PolicyException, ...] = ()


class PolicySet:
    """Effective policies of one set of declarations.

    Policies of names with exceptions are computed once. All other names
    share the defaults, so that names in requests cannot fill the memory.
    """

    def __init__(self, declarations: Declarations) -> None:
        self._defaults = declarations.defaults
        values_by_name: dict[tuple[_keys.Section, str], dict[str, typing.Any]]
        values_by_name = collections.defaultdict(dict)
        for item in declarations.exceptions:
            values = values_by_name[item.scope, item.name]
            values.update(
                (override.attribute, override.value)
                for override in item.overrides
            )
        self._services: dict[str, _policies.ServicePolicy] = {}
        self._teams: dict[str, _policies.TeamPolicy] = {}
        self._workers: dict[str, _policies.WorkerPolicy] = {}
        for (scope, name), values in values_by_name.items():
            if scope is _keys.Section.SERVICE:
                self._services[name] = attrs.evolve(
                    self._defaults.service, **values
                )
            elif scope is _keys.Section.TEAM:
                self._teams[name] = attrs.evolve(self._defaults.team, **values)
            else:
                self._workers[name] = attrs.evolve(
                    self._defaults.worker, **values
                )

    def get_service_policy(self, service: str) -> _policies.ServicePolicy:
        """Returns the effective policy of a service."""
        return self._services.get(service, self._defaults.service)

    def get_batch_policy(self) -> _policies.BatchPolicy:
        """Returns the effective policy of batch work."""
        return self._defaults.batch

    def get_team_policy(self, team: str) -> _policies.TeamPolicy:
        """Returns the effective policy of a team."""
        return self._teams.get(team, self._defaults.team)

    def get_worker_policy(self, worker: str) -> _policies.WorkerPolicy:
        """Returns the effective policy of a worker."""
        return self._workers.get(worker, self._defaults.worker)
