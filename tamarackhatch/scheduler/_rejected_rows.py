"""Finds which rows of a rejected transaction are at fault.

A store rejects a transaction as a whole, for instance for one value that is
too long. Repeated as it is, it would be rejected for ever, and with it the
heartbeat and the progress of all other jobs.
"""

from collections.abc import Collection
import datetime

import attrs

from tamarackhatch import clock

# Rows that were rejected by themselves are tried again after this time, which
# doubles each time: their job may have changed, or the store.
_FIRST_PAUSE = datetime.timedelta(seconds=2)
_MAX_PAUSE = datetime.timedelta(seconds=60)


@attrs.frozen
class _Rejection:
    """Rows that were rejected by themselves.

    Attributes:
        until: Monotonic time until which they are not tried again.
        pause: How long that is.
    """

    until: datetime.timedelta
    pause: datetime.timedelta


class RejectionIsolator:
    """Decides which groups of rows the next transaction may contain.

    A group is what is written together, such as the rows of a job. The groups
    of a rejected transaction are suspects. These are tried in transactions of
    their own, half of them at a time, until the groups at fault are found.
    Transactions without suspects go on in between.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        """Creates an isolator without suspects.

        Args:
            time_source: Source of time.
        """
        self._clock = time_source
        # Ordered sets.
        self._suspects: dict[str, None] = {}
        self._rejections: dict[str, _Rejection] = {}
        self._trial: frozenset[str] | None = None
        self._trial_size = 1

    @property
    def is_trial(self) -> bool:
        """Whether the present transaction tries suspects."""
        return self._trial is not None

    @property
    def has_suspects(self) -> bool:
        """Whether groups wait for a transaction that tries them."""
        return bool(self._suspects)

    def begin_transaction(self, may_try: bool) -> None:
        """Decides whether the next transaction tries suspects.

        Args:
            may_try: Whether it may; not if it has to contain a heartbeat, or
                if the last one tried some.
        """
        now = self._clock.get_monotonic()
        for name, rejection in self._rejections.items():
            if rejection.until <= now:
                self._suspects.setdefault(name)
        self._trial = None
        if may_try and self._suspects:
            names = list(self._suspects)
            # One that was rejected by itself is tried by itself.
            size = 1 if names[0] in self._rejections else self._trial_size
            self._trial = frozenset(names[:size])

    def may_include(self, name: str) -> bool:
        """Returns whether the present transaction may contain a group."""
        if self._trial is not None:
            return name in self._trial
        return name not in self._suspects and name not in self._rejections

    def may_be_due(self, name: str) -> bool:
        """Returns whether a group has not been rejected by itself lately."""
        rejection = self._rejections.get(name)
        return (
            rejection is None or rejection.until <= self._clock.get_monotonic()
        )

    def record_commit(self, names: Collection[str]) -> None:
        """Records that the present transaction is durable.

        Args:
            names: Groups that it contained.
        """
        # Suspects may have nothing to write any more.
        for name in {*names, *(self._trial or ())}:
            self._suspects.pop(name, None)
            self._rejections.pop(name, None)
        if self._trial is not None:
            self._trial_size *= 2

    def record_rejection(self, names: Collection[str]) -> str | None:
        """Records that the store has rejected the present transaction.

        Args:
            names: Groups that it contained.

        Returns:
            The group at fault; None if it is not known yet.
        """
        if len(names) > 1:
            self._suspects.update(dict.fromkeys(names))
            self._trial_size = max(1, len(names) // 2)
            return None
        for name in names:
            self._suspects.pop(name, None)
            earlier = self._rejections.get(name)
            pause = _FIRST_PAUSE
            if earlier is not None:
                pause = min(earlier.pause * 2, _MAX_PAUSE)
            now = self._clock.get_monotonic()
            self._rejections[name] = _Rejection(now + pause, pause)
            return name
        return None
