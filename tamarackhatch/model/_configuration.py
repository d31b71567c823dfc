"""The operator's configuration of queues and services."""

import datetime

import attrs


@attrs.frozen
class AdviceTiming:
    """Timing of a queue's placement policy service.

    Attributes:
        decision: Fixed time of one question.
        per_runner: Further time for each runner named.
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
        host: Host header that selects it.
        path_prefix: Path that selects it; the longest match wins.
        service: Service whose runners run its tasks.
        priority: 0 is the most urgent.
        max_attempts: Failed runs after which a task has failed.
        stretch: Factor of the latency objective on the job's work.
        target_latency: Fixed part of the latency objective.
        advice: Timing of the placement policy; None without one.
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


@attrs.frozen
class Service:
    """A pool of runners.

    Attributes:
        name: Unique name.
        enforces_capacity: Whether runners reject tasks that do not fit.
        is_spare: Whether its machines are switched off.
    """

    name: str
    enforces_capacity: bool = False
    is_spare: bool = False


@attrs.frozen
class RequestLimits:
    """Limits of requests from callers, in bytes and as durations."""

    max_header: int = 16384
    max_body: int = 262144
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


@attrs.frozen
class Configuration:
    """One version of the operator's configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: RequestLimits = RequestLimits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a request, or None."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best

    def get_queue(self, name: str) -> Queue | None:
        """Returns the queue of a name, or None."""
        return next((q for q in self.queues if q.name == name), None)

    def get_service(self, name: str) -> Service | None:
        """Returns the service of a name, or None."""
        return next((s for s in self.services if s.name == name), None)
