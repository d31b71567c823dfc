"""Whether this instance may start new work on the workers that it owns."""

import datetime

import attrs

from tamarackhatch import clock as clocks
from tamarackhatch.membership import _session
from tamarackhatch.membership import _timing


@attrs.define
class _Member:
    """What is known of one process that may fence this session.

    Attributes:
        instance: Its name, for messages.
        safe_until: It has not begun to fence before this time.
        down_at: It cannot begin to fence after this time, or None.
    """

    instance: str
    safe_until: datetime.timedelta
    down_at: datetime.timedelta | None = None


class Authority:
    """The holder's side of the fencing rule; docs/membership.md proves it.

    Only processes whose hello this session accepted may fence it while its
    own process runs. Each of them must be known not to have begun: by a
    renewal, by a promise, or because it ended while one of these still held.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        session: _session.SessionKeeper,
        timing: _timing.Timing = _timing.Timing(),
    ) -> None:
        self._clock = clock
        self._session = session
        self._timing = timing
        self._incarnation = session.incarnation
        self._members: dict[str, _Member] = {}

    def is_certain(self) -> bool:
        """Tells whether nobody can have fenced this session by now."""
        return self.find_doubt() is None

    def find_doubt(self) -> str | None:
        """Returns why the session may have been fenced, or None."""
        if not self._session.is_established:
            return "no session"
        now = self._clock.get_monotonic()
        if now < self._get_renewal_end():
            return None
        if self._incarnation != self._session.incarnation:
            return None
        for member in self._members.values():
            floor = max(member.safe_until, self._get_renewal_end())
            is_out = member.down_at is not None and member.down_at <= floor
            if not is_out and now >= floor:
                return f"no promise of {member.instance}"
        return None

    def note_hello(self, instance: str, incarnation: str) -> None:
        """Accepts a process of this data centre as a possible fencer.

        A process does not fence before ``promise_for`` after its first hello
        was accepted, so the acceptance counts like a promise.
        """
        self._follow_session()
        found = self._members.get(incarnation)
        if found is None:
            self._members[incarnation] = _Member(
                instance,
                self._clock.get_monotonic() + self._timing.hold_for,
            )
        else:
            # The evidence of its end was wrong.
            found.down_at = None

    def note_promise(
        self,
        own_incarnation: str,
        incarnation: str,
        sent_at: datetime.timedelta,
    ) -> None:
        """Takes a promise that answers a heartbeat sent at this time.

        Args:
            own_incarnation: Session that the promise was given to.
            incarnation: Session of the process that gave it.
            sent_at: Monotonic time at which the heartbeat was sent.
        """
        self._follow_session()
        if own_incarnation != self._incarnation:
            return
        member = self._members.get(incarnation)
        if member is not None:
            until = sent_at + self._timing.hold_for
            member.safe_until = max(member.safe_until, until)

    def note_down(self, incarnation: str) -> None:
        """Learns now that a process cannot begin to fence any more."""
        self._follow_session()
        member = self._members.get(incarnation)
        if member is not None and member.down_at is None:
            member.down_at = self._clock.get_monotonic()

    def _get_renewal_end(self) -> datetime.timedelta:
        return self._session.renewed_at + self._timing.hold_for

    def _follow_session(self) -> None:
        """Forgets the members of a lost session; they must say hello anew."""
        if self._incarnation != self._session.incarnation:
            self._incarnation = self._session.incarnation
            self._members.clear()
