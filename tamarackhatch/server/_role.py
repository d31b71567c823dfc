"""Role of an instance as candidate and as active scheduler."""

from collections.abc import Callable
import datetime

import attrs

from tamarackhatch import election
from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch import scheduler
from tamarackhatch import where

# Two intervals of the heartbeat, and a slow answer of the store.
_MAX_PUBLICATION_AGE = datetime.timedelta(milliseconds=1600)


class SchedulerRole:
    """Stands for election, and runs the scheduler while it holds the term.

    Args:
        dependencies: What the scheduler is built from.
        incarnation: Identity of this process.
        on_row: Called with each configuration change that the active
            scheduler has published.
    """

    def __init__(
        self,
        dependencies: scheduler.SchedulerDependencies,
        incarnation: str,
        on_row: Callable[[model.Row], None] = lambda row: None,
    ) -> None:
        self._dependencies = dependencies
        initial_settings = dependencies.settings
        self._candidate = election.Candidate(
            initial_settings.instance, incarnation, initial_settings.processor
        )
        self._election = election.Election(
            dependencies.store,
            dependencies.clock,
            self._candidate,
            initial_settings.scheduling.leader_timeout,
            self._run_scheduler,
            dependencies.log.for_component("election"),
            on_row,
            dependencies.on_heartbeat,
        )
        self._scheduler: scheduler.Scheduler | None = None
        self._own_term = 0
        self._is_stopping = False

    @property
    def is_active(self) -> bool:
        """Whether this instance is the active scheduler."""
        return self._scheduler is not None

    @property
    def term(self) -> int:
        """The latest term that this instance knows of; 0 for none."""
        heartbeat = self._election.heartbeat
        # No heartbeat is read while this process is the scheduler, so that
        # the latest one may be of an earlier term.
        return max(self._own_term, heartbeat.term if heartbeat else 0)

    @property
    def publication(self) -> model.Publication | None:
        """The configuration that the active scheduler has published.

        None if that is not known, or if this process is that scheduler.
        """
        if self._scheduler is not None:
            return None
        return self._election.get_publication(_MAX_PUBLICATION_AGE)

    @property
    def is_leader_alive(self) -> bool:
        """Whether another process is certainly the active scheduler."""
        return self._scheduler is None and self._election.has_heartbeat(
            _MAX_PUBLICATION_AGE
        )

    @property
    def last_answer(self) -> datetime.timedelta:
        """Monotonic time of the store's latest answer to the election."""
        return self._election.last_answer

    @property
    def active_scheduler(self) -> records.LeaderHeartbeat | None:
        """Heartbeat of the active scheduler in another process, if any.

        A heartbeat that may have been written long before it was read does
        not count.
        """
        heartbeat = self._election.heartbeat
        if (
            self._scheduler is not None
            or heartbeat is None
            or heartbeat.is_released
            or not self._election.has_heartbeat(
                self._dependencies.settings.scheduling.leader_timeout
            )
        ):
            return None
        return heartbeat

    @property
    def is_scheduler_ready(self) -> bool:
        """Whether this is the active scheduler, and has read its state."""
        return self._scheduler is not None and self._scheduler.is_ready

    def try_placement(
        self, job: model.Job, configuration: int
    ) -> where.Answer | None:
        """Returns where a job would be placed now, without submitting it.

        None unless this is the active scheduler, and it is ready.

        Args:
            job: The job.
            configuration: Version of the configuration.
        """
        if self._scheduler is None or not self._scheduler.is_ready:
            return None
        return self._scheduler.try_placement(job, configuration)

    async def poll_publication(self) -> None:
        """Reads what the active scheduler has published up to now.

        Raises:
            HistoryLostError: The store has discarded changes.
            StoreUnavailableError: The store could not be read.
        """
        await self._election.poll()

    def request_publication(self) -> None:
        """Publishes a new configuration, if this is the active scheduler."""
        if self._scheduler is not None:
            self._scheduler.request_publication()

    def get_pending_count(self) -> model.PendingCount | None:
        """Returns the latest numbers of pending jobs; None if not known.

        A job is pending until one of its tasks has started. Only the moment
        of the numbers tells how old they are: a young heartbeat may repeat
        old ones.
        """
        if self._scheduler is not None:
            return self._scheduler.pending
        heartbeat = self._election.heartbeat
        return None if heartbeat is None else heartbeat.pending_count

    async def run(self) -> None:
        """Stands for election until cancelled."""
        await self._election.run()

    def stop(self) -> None:
        """Hands over the term, and stands for no further election."""
        self._is_stopping = True
        self._election.stop_campaigning()
        if self._scheduler is not None:
            self._scheduler.stop()

    async def _run_scheduler(self, term: election.Term) -> None:
        dependencies = attrs.evolve(
            self._dependencies,
            log=self._dependencies.log.for_component("scheduler"),
        )
        self._own_term = term.number
        self._scheduler = scheduler.Scheduler(
            dependencies, term, self._candidate
        )
        if self._is_stopping:
            # stop() was called while this instance was winning the term.
            self._scheduler.stop()
        try:
            await self._scheduler.run()
        finally:
            self._scheduler = None
