"""The operator's configuration of queues and services."""

import datetime

import attrs


@attrs.frozen
class AdviceTiming:
    """Response times of a queue's placement policy service.

    Attributes:
        decision: Fixed time that one request takes.
        per_runner: Additional time for each runner in the request.
        validity: How long a ticket is valid.
    """

    decision: datetime.timedelta
    per_runner: datetime.timedelta
    validity: datetime.timedelta


@attrs.frozen
class Queue:
    """A queue that callers submit jobs to.

    Attributes:
        name: Unique name.
        host: Host header of requests to the queue.
        path_prefix: Start of the path of requests to the queue. The queue
            with the longest matching prefix is chosen.
        service: Name of the service whose runners run the queue's tasks.
        priority: 0 is the most urgent; larger numbers are less urgent.
        max_attempts: Number of failed runs after which a task has failed, at
            least 1.
        stretch: Factor by which the job's work is multiplied in the latency
            objective.
        target_latency: Fixed part of the latency objective.
        advice: Timing of the placement policy service; None if the queue has
            no placement policy.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency: datetime.timedelta = datetime.timedelta()
    advice: AdviceTiming | None = None

    def compute_objective(
        self, longest_chain: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns the latency objective of a job, from its acceptance on.

        Args:
            longest_chain: Run time of its longest chain of dependent steps.
        """
        return self.stretch * longest_chain + self.target_latency


@attrs.frozen
class Service:
    """A pool of runners.

    Attributes:
        name: Unique name.
        enforces_capacity: Whether the runners reject tasks that do not fit.
        is_spare: Whether the machines of the pool are switched off.
    """

    name: str
    enforces_capacity: bool = False
    is_spare: bool = False


@attrs.frozen
class RequestLimits:
    """Limits of requests from callers.

    Attributes:
        max_header: Largest header of a request, in bytes.
        max_body: Largest body of a request, in bytes.
        header_timeout: Maximum time for the header of a request.
        idle_timeout: Maximum time for which a connection is idle.
    """

    max_header: int = 16384
    max_body: int = 262144
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


@attrs.frozen
class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Number of the version; a newer version has a larger number.
        queues: All queues.
        services: All services.
        limits: Limits of requests from callers.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: RequestLimits = RequestLimits()
    _queues_by_host: dict[str, list[Queue]] = attrs.field(
        init=False, eq=False, repr=False
    )

    @_queues_by_host.default
    def _group_queues_by_host(self) -> dict[str, list[Queue]]:
        """Returns the queues of each host, those with long prefixes first."""
        groups: dict[str, list[Queue]] = {}
        for queue in self.queues:
            groups.setdefault(queue.host, []).append(queue)
        for group in groups.values():
            group.sort(key=lambda queue: -len(queue.path_prefix))
        return groups

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue that a request's host and path select, or None."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def get_queue(self, name: str) -> Queue | None:
        """Returns the queue with the given name, or None."""
        return next((q for q in self.queues if q.name == name), None)

    def get_service(self, name: str) -> Service | None:
        """Returns the service with the given name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def names_service(self, name: str) -> bool:
        """Returns whether a service, or a queue of it, is configured."""
        return self.get_service(name) is not None or any(
            queue.service == name for queue in self.queues
        )
