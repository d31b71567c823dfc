"""The scheduler's role of an instance: stands for election and leads."""

import datetime

import attrs

from tamarackhatch import election
from tamarackhatch import scheduler

# The number of waiting jobs may be two seconds old; a takeover takes longer.
_MAX_PENDING_AGE = datetime.timedelta(seconds=5)


class SchedulerRole:
    """Follows the active scheduler, and is it while it holds the term."""

    def __init__(
        self, dependencies: scheduler.SchedulerDependencies, incarnation: str
    ) -> None:
        self._dependencies = dependencies
        configured = dependencies.settings
        self._candidate = election.Candidate(
            configured.instance, incarnation, configured.processor
        )
        self._election = election.Election(
            dependencies.store,
            dependencies.clock,
            self._candidate,
            configured.scheduling.leader_timeout,
            self._lead,
            dependencies.log.for_component("election"),
        )
        self._scheduler: scheduler.Scheduler | None = None
        self._is_stopping = False

    @property
    def is_active(self) -> bool:
        """Whether this instance is the active scheduler."""
        return self._scheduler is not None

    @property
    def term(self) -> int:
        """The latest term that is known here; 0 for none."""
        if self._scheduler is not None:
            return self._scheduler.term
        heartbeat = self._election.heartbeat
        return 0 if heartbeat is None else heartbeat.term

    def get_pending(self) -> dict[str, int] | None:
        """Returns jobs without a start by queue; None if not known."""
        if self._scheduler is not None:
            return self._scheduler.pending
        heartbeat = self._election.heartbeat
        if (
            heartbeat is None
            or self._election.heartbeat_age > _MAX_PENDING_AGE
        ):
            return None
        return heartbeat.pending

    async def run(self) -> None:
        """Stands for election until cancelled."""
        await self._election.run()

    def stop(self) -> None:
        """Hands over the term, and wins no other one."""
        self._is_stopping = True
        self._election.withdraw()
        if self._scheduler is not None:
            self._scheduler.stop()

    async def _lead(self, term: election.Term) -> None:
        dependencies = attrs.evolve(
            self._dependencies,
            log=self._dependencies.log.for_component("scheduler"),
        )
        self._scheduler = scheduler.Scheduler(
            dependencies, term, self._candidate
        )
        if self._is_stopping:
            # The stop came while the term was being won.
            self._scheduler.stop()
        try:
            await self._scheduler.run()
        finally:
            self._scheduler = None
