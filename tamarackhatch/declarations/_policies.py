"""Effective policies: defaults with the exceptions applied."""

import datetime
import typing

import attrs

from tamarackhatch import model


@attrs.frozen
class ServicePolicy:
    """Effective policy of one service.

    Attributes:
        latency_bound: Bound on the 99th percentile of response times.
        max_deadline: Longest deadline granted to a request.
        watch_length: Longest time that a watch request is held open.
        max_body: Largest request or response body, in bytes.
        max_queue: Requests that may wait for a slot, per entry instance.
        slots: Requests that one runner may process at once.
        connections: Connections that one runner may have.
        retry_ratio: Retries allowed, as a share of recent requests.
        eject_failures: Consecutive failures after which a runner is ejected.
    """

    latency_bound: datetime.timedelta = datetime.timedelta(milliseconds=200)
    max_deadline: datetime.timedelta = datetime.timedelta(seconds=10)
    watch_length: datetime.timedelta = datetime.timedelta(seconds=10)
    max_body: int = 1_048_576
    max_queue: int = 256
    slots: int = 8
    connections: int = 64
    retry_ratio: float = 0.1
    eject_failures: int = 3


@attrs.frozen
class BatchPolicy:
    """Effective policy of batch work.

    Attributes:
        max_attempts: Failed attempts after which a task has failed.
        retry_delay: Delay before the second attempt; it doubles each time.
        lease: Length of a task's lease.
        throttle_percent: Per cent of its processors left to a throttled task.
        throttle_hold: Time between throttling a task and evicting it.
        batch_size: Maximum tasks of a job that one transaction places.
    """

    max_attempts: int = 4
    retry_delay: datetime.timedelta = datetime.timedelta(seconds=1)
    lease: datetime.timedelta = datetime.timedelta(seconds=30)
    throttle_percent: int = 30
    throttle_hold: datetime.timedelta = datetime.timedelta(seconds=10)
    batch_size: int = 32


@attrs.frozen
class TeamPolicy:
    """Effective policy of one team; a None quota means no limit."""

    quota: model.Resources | None = None


@attrs.frozen
class WorkerPolicy:
    """Effective policy of one worker.

    Attributes:
        batch_allowed: Whether batch tasks may run on it.
        service_reserve: Resources reserved for its runner, if it has one.
    """

    batch_allowed: bool = True
    service_reserve: model.Resources = model.Resources(
        processors=4000, memory_mb=4096
    )


class ConfigurationView(typing.Protocol):
    """The configuration in force on this entry instance."""

    @property
    def version(self) -> int:
        """Version in force; 0 until the first one is accepted."""
        ...

    def get_service_policy(self, service: str) -> ServicePolicy:
        """Returns the effective policy of a service."""
        ...

    def get_batch_policy(self) -> BatchPolicy:
        """Returns the effective policy of batch work."""
        ...

    def get_team_policy(self, team: str) -> TeamPolicy:
        """Returns the effective policy of a team."""
        ...

    def get_worker_policy(self, worker: str) -> WorkerPolicy:
        """Returns the effective policy of a worker."""
        ...
