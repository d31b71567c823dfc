"""When this instance may fence the session of another one."""

import datetime

import attrs

from tamarackhatch import clock as clocks
from tamarackhatch.membership import _session
from tamarackhatch.membership import _timing
from tamarackhatch import model


@attrs.frozen
class SessionRow:
    """A session row as read."""

    version: int
    record: model.SessionRecord


@attrs.frozen
class _Observation:
    """A row version and the end of the first read that showed it."""

    incarnation: str
    version: int
    seen_at: datetime.timedelta


class FencingRule:
    """The fencer's side of the rule; docs/membership.md proves it."""

    def __init__(
        self,
        clock: clocks.Clock,
        session: _session.SessionKeeper,
        timing: _timing.Timing = _timing.Timing(),
    ) -> None:
        self._clock = clock
        self._session = session
        self._timing = timing
        self._own_incarnation = session.incarnation
        self._observations: dict[str, _Observation] = {}
        self._last_read: datetime.timedelta | None = None
        # All keyed by the holder's incarnation.
        self._promised_until: dict[str, datetime.timedelta] = {}
        self._accepted_at: dict[str, datetime.timedelta] = {}
        self._ended: set[str] = set()
        self._begun: dict[str, int] = {}

    @property
    def last_read(self) -> datetime.timedelta | None:
        """Monotonic end of the last read of the sessions, or None."""
        return self._last_read

    def give_promise(self, incarnation: str) -> bool:
        """Promises not to fence a session, unless that has begun."""
        if incarnation in self._begun or incarnation in self._ended:
            return False
        until = self._clock.get_monotonic() + self._timing.promise_for
        self._promised_until[incarnation] = until
        return True

    def note_accepted(self, own_incarnation: str, incarnation: str) -> None:
        """Learns that a holder has accepted this process's hello.

        Args:
            own_incarnation: Session that the hello named.
            incarnation: Session of the holder.
        """
        self._follow_session()
        if own_incarnation != self._own_incarnation:
            return
        self._accepted_at.setdefault(incarnation, self._clock.get_monotonic())

    def note_rows(self, rows: tuple[SessionRow, ...]) -> None:
        """Takes the session rows of one read that has just ended."""
        now = self._clock.get_monotonic()
        last = self._last_read
        if last is None or now - last > self._timing.read_gap:
            self._observations.clear()
        self._last_read = now
        observations = {}
        for row in rows:
            known = self._observations.get(row.record.instance)
            if known is None or known.version != row.version:
                known = _Observation(row.record.incarnation, row.version, now)
            observations[row.record.instance] = known
            if row.record.state is model.SessionState.FENCED:
                self._ended.add(row.record.incarnation)
        self._observations = observations
        self._resolve_begun(rows)
        self._forget_old(rows, now)

    def may_fence(self, row: SessionRow, is_down: bool) -> bool:
        """Tells whether fencing this session may begin now.

        Args:
            row: The session as read last.
            is_down: Whether its process is known to have ended.
        """
        self._follow_session()
        now = self._clock.get_monotonic()
        incarnation = row.record.incarnation
        seen = self._observations.get(row.record.instance)
        if seen is None or seen.version != row.version:
            return False
        if incarnation in self._begun:
            return False
        if now - seen.seen_at < self._timing.fence_after:
            return False
        promised = self._promised_until.get(incarnation)
        if promised is not None and now < promised:
            return False
        if is_down:
            return True
        accepted = self._accepted_at.get(incarnation)
        return (
            accepted is not None and now >= accepted + self._timing.promise_for
        )

    def begin_fence(self, row: SessionRow) -> None:
        """Ends all promises to a session, before the write is sent."""
        self._begun[row.record.incarnation] = row.version

    def end_fence(self, row: SessionRow, is_fenced: bool) -> None:
        """Takes the certain outcome of a fencing write.

        After an unknown outcome this is not called: the write may still take
        effect, until a read shows another version of the row.
        """
        self._begun.pop(row.record.incarnation, None)
        if is_fenced:
            self._ended.add(row.record.incarnation)

    def _resolve_begun(self, rows: tuple[SessionRow, ...]) -> None:
        versions = {row.record.incarnation: row.version for row in rows}
        for incarnation, version in tuple(self._begun.items()):
            current = versions.get(incarnation)
            if current is None:
                self._ended.add(incarnation)
            if current != version:
                del self._begun[incarnation]

    def _forget_old(
        self, rows: tuple[SessionRow, ...], now: datetime.timedelta
    ) -> None:
        for incarnation, until in tuple(self._promised_until.items()):
            if until <= now:
                del self._promised_until[incarnation]

    def _follow_session(self) -> None:
        """A new own session needs new acceptances; promises stay binding."""
        if self._own_incarnation != self._session.incarnation:
            self._own_incarnation = self._session.incarnation
            self._accepted_at.clear()
