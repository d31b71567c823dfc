"""Answers how many jobs of a queue wait."""

import typing

from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import records


class PendingCountSource(typing.Protocol):
    """Source of the numbers of pending jobs."""

    @property
    def is_active(self) -> bool:
        """Whether this instance is the active scheduler."""
        ...

    @property
    def term(self) -> int:
        """Term of the latest scheduler that is known; 0 for none."""
        ...

    def get_pending_count(self) -> model.PendingCount | None:
        """Returns the numbers of pending jobs; None while not known."""
        ...


class PendingCounter:
    """Counts the pending jobs of a queue for callers."""

    def __init__(
        self,
        source: PendingCountSource,
        store_clock: records.StoreClock,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the counter of one instance.

        Args:
            source: Source of the numbers.
            store_clock: Tells how old they are.
            log: Logger of the service.
            metrics: Metrics of the instance.
        """
        self._source = source
        self._store_clock = store_clock
        self._log = log
        self._metrics = metrics

    async def count(self, queue: str) -> int | None:
        """Returns how many jobs of a queue have no started task yet.

        Returns None while the number is not known.

        Args:
            queue: Name of the queue.
        """
        count = self._source.get_pending_count()
        number = None if count is None else count.by_queue.get(queue, 0)
        origin = "scheduler" if self._source.is_active else "heartbeat"
        self._record(queue, number, count, origin)
        return number

    def _record(
        self,
        queue: str,
        number: int | None,
        count: model.PendingCount | None,
        origin: str,
    ) -> None:
        moment = None if count is None else count.moment
        age = self._store_clock.compute_age(moment)
        if count is None:
            origin = "unknown"
        self._metrics.pending_answers.labels(origin).inc()
        if age is not None:
            self._metrics.pending_count_age.observe(age.total_seconds())
        self._log.info(
            "pending_counted",
            queue=queue,
            pending=number,
            origin=origin,
            term=self._source.term,
            version=moment and moment.version,
            age_ms=None if age is None else round(age.total_seconds() * 1000),
        )
