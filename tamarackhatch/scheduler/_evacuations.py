"""Reads in which data centres the operator lets nothing more start."""

from collections.abc import Callable
import datetime

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform

_PARTITION = ""
# The times below are shares of the bound. An order that a read has just missed
# is found by the next one, so interval and timeout together have to stay below
# half of the bound. After a read without an answer it is still met: 0.2 +
# 0.25 + 0.04 + 0.25.
_INTERVAL_SHARE = 0.2
_TIMEOUT_SHARE = 0.25
_RETRY_SHARE = 0.04
# A read that began longer ago does not show orders whose bound is about to
# end. Two reads in a row may fail: 0.2 + 2 x (0.25 + 0.04). The rest of the
# bound is for starts on their way; they take at most 0.8 s.
_VALIDITY_SHARE = 0.8
# More frequent reads than needed would load a store that many cells share.
_MAX_INTERVAL = datetime.timedelta(seconds=1)
_MAX_TIMEOUT = datetime.timedelta(milliseconds=1250)
_MAX_RETRY_PAUSE = datetime.timedelta(milliseconds=200)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class EvacuationWatcher:
    """Knows the evacuated data centres, from a small read about once a second.

    What is known is kept while reads fail. Nothing may start anywhere before
    the first read has succeeded, nor while the latest one is so old that the
    bound of an order made since may have passed.
    """

    def __init__(
        self,
        store: model.TableStore,
        time_source: clock.Clock,
        bound: datetime.timedelta | None,
        wake: Callable[[], None],
        log: observability.Log,
        metrics: observability.Metrics,
    ) -> None:
        """Creates the watcher of one scheduler.

        Args:
            store: The table store.
            time_source: Source of time.
            bound: Time after the operator's order from which on nothing may
                start in the data centre; None where there are no evacuations.
            wake: Called when tasks may start where they could not before.
            log: Log of the scheduler.
            metrics: Measurements of the process.
        """
        self._store = store
        self._clock = time_source
        self._bound = bound
        self._wake = wake
        self._log = log
        self._metrics = metrics
        self._evacuated: dict[str, datetime.timedelta] = {}
        self._read_began: datetime.timedelta | None = None
        self._is_failing = False
        self._is_outdated_logged = False

    @property
    def is_enabled(self) -> bool:
        """Whether evacuations are followed."""
        return self._bound is not None

    @property
    def is_known(self) -> bool:
        """Whether it is known which data centres are evacuated."""
        return self._bound is None or self._is_current(self._bound)

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether nothing may start in a data centre.

        This includes all data centres while it is not known which of them are
        evacuated.

        Args:
            data_centre: Name of the data centre; empty if it is not known, so
                that it may be any that is evacuated.
        """
        if self._bound is None:
            return False
        if not self._is_current(self._bound):
            return True
        if not data_centre:
            return bool(self._evacuated)
        return data_centre in self._evacuated

    async def run(self) -> None:
        """Reads until cancelled; only for a watcher that is enabled."""
        assert self._bound is not None
        interval = min(self._bound * _INTERVAL_SHARE, _MAX_INTERVAL)
        timeout = min(self._bound * _TIMEOUT_SHARE, _MAX_TIMEOUT)
        retry_pause = min(self._bound * _RETRY_SHARE, _MAX_RETRY_PAUSE)
        try:
            while True:
                began = self._clock.get_monotonic()
                try:
                    data_centres = await self._read_data_centres(timeout)
                except (
                    model.StoreUnavailableError,
                    model.HistoryLostError,
                ) as error:
                    self._record_failure(error.message, self._bound)
                    await self._clock.sleep(retry_pause)
                    continue
                was_current = self._is_current(self._bound)
                self._record_success(began)
                is_reduced = self._apply(data_centres)
                if is_reduced or not was_current:
                    self._wake()
                elapsed = self._clock.get_monotonic() - began
                await self._clock.sleep(max(interval - elapsed, _MILLISECOND))
        finally:
            self._metrics.evacuated_data_centres.set(0)

    def _is_current(self, bound: datetime.timedelta) -> bool:
        if self._read_began is None:
            return False
        age = self._clock.get_monotonic() - self._read_began
        return age < bound * _VALIDITY_SHARE

    async def _read_data_centres(
        self, timeout: datetime.timedelta
    ) -> set[str]:
        """Reads the names of all evacuated data centres.

        Only the keys of evacuations are read: the table also holds the
        configuration, which can have hundreds of kilobytes.

        Args:
            timeout: Maximum time to wait for each page of the answer.
        """
        data_centres: set[str] = set()
        first = platform.FIRST_EVACUATION_KEY
        while True:
            page = await self._store.read(
                platform.OPERATOR_TABLE,
                _PARTITION,
                timeout,
                first,
                platform.EVACUATION_KEYS_END,
            )
            for row in page.rows:
                name = platform.get_evacuated_data_centre(row.ref.key)
                if name is not None:
                    data_centres.add(name)
            if not page.has_more or not page.rows:
                return data_centres
            first = page.rows[-1].ref.key + "\0"

    def _apply(self, data_centres: set[str]) -> bool:
        """Applies a read, and returns whether a data centre was returned."""
        now = self._clock.get_monotonic()
        for name in sorted(data_centres - self._evacuated.keys()):
            self._evacuated[name] = now
            self._log.info("evacuation_started", data_centre=name)
        returned = sorted(self._evacuated.keys() - data_centres)
        for name in returned:
            known_for = now - self._evacuated.pop(name)
            self._log.info(
                "evacuation_ended",
                data_centre=name,
                known_for_ms=known_for // _MILLISECOND,
            )
        self._metrics.evacuated_data_centres.set(len(self._evacuated))
        return bool(returned)

    def _record_success(self, began: datetime.timedelta) -> None:
        if self._is_failing:
            self._log.info("evacuations_read_again")
        self._is_failing = self._is_outdated_logged = False
        self._read_began = began

    def _record_failure(self, reason: str, bound: datetime.timedelta) -> None:
        if not self._is_failing:
            self._is_failing = True
            self._log.warning("evacuations_read_failed", reason=reason)
        if not self._is_outdated_logged and not self._is_current(bound):
            self._is_outdated_logged = True
            self._log.warning(
                "evacuations_unknown", known=sorted(self._evacuated)
            )
