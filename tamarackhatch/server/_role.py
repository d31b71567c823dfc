"""The scheduler's role of an instance: stands for election and leads."""

import datetime

from tamarackhatch import clock
from tamarackhatch import election
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch import scheduler
from tamarackhatch import settings

# The number of waiting jobs may be two seconds old; a takeover takes longer.
_MAX_PENDING_AGE = datetime.timedelta(seconds=5)


class SchedulerRole:
    """Follows the active scheduler, and is it while it holds the term."""

    def __init__(
        self,
        store: model.TableStore,
        client: platform.RunnerClient,
        advice: platform.AdviceClient | None,
        source: clock.Clock,
        configured: settings.Settings,
        incarnation: str,
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        self._store = store
        self._client = client
        self._advice = advice
        self._clock = source
        self._settings = configured
        self._log = log
        self._metrics = metrics
        self._candidate = election.Candidate(
            configured.instance, incarnation, configured.processor
        )
        self._election = election.Election(
            store,
            source,
            self._candidate,
            configured.scheduling.leader_timeout,
            self._lead,
            log.for_part("election"),
        )
        self._scheduler: scheduler.Scheduler | None = None
        self._is_stopping = False

    @property
    def is_active(self) -> bool:
        """Whether this instance is the active scheduler."""
        return self._scheduler is not None

    def get_pending(self) -> dict[str, int] | None:
        """Returns jobs without a start by queue; None if not known."""
        if self._scheduler is not None:
            return self._scheduler.pending
        beat = self._election.beat
        if beat is None or self._election.beat_age > _MAX_PENDING_AGE:
            return None
        return beat.pending

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
        self._scheduler = scheduler.Scheduler(
            self._store,
            self._client,
            self._advice,
            self._clock,
            self._settings,
            term,
            self._candidate,
            self._log.for_part("scheduler"),
            self._metrics,
        )
        if self._is_stopping:
            # The stop came while the term was being won.
            self._scheduler.stop()
        try:
            await self._scheduler.run()
        finally:
            self._scheduler = None
