"""What the peer protocol asks of, and tells to, the membership."""

import datetime

from tamarackhatch import clock as clocks
from tamarackhatch.membership import _authority
from tamarackhatch.membership import _fencing
from tamarackhatch.membership import _ownership
from tamarackhatch.membership import _roster
from tamarackhatch.membership import _session
from tamarackhatch import model


class Membership:
    """Implements peer.PeerMembership on the parts of this package."""

    def __init__(
        self,
        clock: clocks.Clock,
        session: _session.SessionKeeper,
        roster: _roster.Roster,
        authority: _authority.Authority,
        fencing: _fencing.FencingRule,
        ownership: _ownership.OwnershipKeeper,
    ) -> None:
        self._clock = clock
        self._session = session
        self._roster = roster
        self._authority = authority
        self._fencing = fencing
        self._ownership = ownership

    def get_own_record(self) -> model.SessionRecord:
        return self._session.record

    def list_peers(self) -> tuple[model.SessionRecord, ...]:
        return self._roster.list_peers()

    def accept_hello(self, record: model.SessionRecord) -> None:
        self._roster.note_hello(record, True)

    def note_hello_answer(self, record: model.SessionRecord) -> None:
        self._roster.note_hello(record, False)

    def note_accepted(self, own_incarnation: str, incarnation: str) -> None:
        self._fencing.note_accepted(own_incarnation, incarnation)

    def give_promise(self, incarnation: str) -> bool:
        return self._fencing.give_promise(incarnation)

    def note_promise(
        self,
        own_incarnation: str,
        incarnation: str,
        sent_at: datetime.timedelta,
    ) -> None:
        self._authority.note_promise(own_incarnation, incarnation, sent_at)

    def note_state(
        self, instance: str, incarnation: str, state: model.SessionState
    ) -> None:
        self._roster.note_state(instance, incarnation, state)

    def note_refused(self, incarnation: str) -> None:
        self._roster.note_down(incarnation, "connection refused")

    def note_goodbye(self, incarnation: str) -> None:
        self._roster.note_down(incarnation, "said goodbye")

    def get_store_age(self) -> datetime.timedelta | None:
        last = self._fencing.last_read
        return None if last is None else self._clock.get_monotonic() - last

    def note_work(self, workers: tuple[str, ...]) -> None:
        self._ownership.note_work(workers)
