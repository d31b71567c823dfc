"""The newest instance list, polled."""

import datetime

from absl import logging

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch.platform import _errors
from tamarackhatch.platform import _instance_list

_POLL_INTERVAL = datetime.timedelta(seconds=1)
# Clocks are assumed to agree within 1 s. A list from further ahead would
# block every later list until its time has come. An instance whose own clock
# is that far behind gets no list; its leases would be wrong too.
_MAX_AHEAD = datetime.timedelta(seconds=2)


class InstanceListCache:
    """Implements InstanceView; keeps the last list during an outage."""

    def __init__(
        self,
        source: clock.Clock,
        instances: _instance_list.InstanceList,
        interval: datetime.timedelta = _POLL_INTERVAL,
    ) -> None:
        self._clock = source
        self._instances = instances
        self._interval = interval
        self._snapshot: model.InstanceSnapshot | None = None
        self._backends: dict[str, model.BackendServer] = {}
        self._is_failing = False

    @property
    def snapshot(self) -> model.InstanceSnapshot | None:
        return self._snapshot

    def get_backend(self, worker: str) -> model.BackendServer | None:
        return self._backends.get(worker)

    def list_backends(self) -> tuple[model.BackendServer, ...]:
        return tuple(self._backends.values())

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            started = self._clock.get_monotonic()
            await self.poll_once()
            taken = self._clock.get_monotonic() - started
            await self._clock.sleep(
                max(self._interval - taken, datetime.timedelta())
            )

    async def poll_once(self) -> None:
        """Reads the list once; a failure leaves the last one in place."""
        try:
            snapshot = await self._instances.read_instances()
            self._adopt(snapshot)
        except (
            _errors.StoreUnavailableError,
            _errors.BadPlatformAnswerError,
        ) as error:
            if not self._is_failing:
                logging.warning("platform: instance list not read: %s", error)
            self._is_failing = True
            return
        if self._is_failing:
            logging.info("platform: instance list read again")
        self._is_failing = False

    def _adopt(self, snapshot: model.InstanceSnapshot) -> None:
        if snapshot.as_of > self._clock.get_utc() + _MAX_AHEAD:
            raise _errors.BadPlatformAnswerError(
                f"instance list is from the future: {snapshot.as_of}"
            )
        if self._snapshot and snapshot.as_of < self._snapshot.as_of:
            return
        self._snapshot = snapshot
        self._backends = {
            backend.worker: backend
            for backend in sorted(
                snapshot.backends, key=lambda item: item.worker
            )
        }
