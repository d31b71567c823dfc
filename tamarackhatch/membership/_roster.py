"""The entry instances known to this one."""

from collections.abc import Iterable
import datetime

from absl import logging
import attrs

from tamarackhatch import clock as clocks
from tamarackhatch.membership import _authority
from tamarackhatch.membership import _fencing
from tamarackhatch.membership import _session
from tamarackhatch.membership import _timing
from tamarackhatch import model


@attrs.define
class _Known:
    """A member as known from its row, its hello, or both."""

    record: model.SessionRecord
    known_since: datetime.timedelta
    is_in_store: bool


class Roster:
    """Implements RosterView from session rows and from hellos of peers.

    It changes only on news, so it stays as it is while the store is out.
    All evidence that a process has ended comes together here.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        session: _session.SessionKeeper,
        authority: _authority.Authority,
        timing: _timing.Timing = _timing.Timing(),
    ) -> None:
        self._clock = clock
        self._session = session
        self._authority = authority
        self._timing = timing
        self._members: dict[str, _Known] = {}
        self._down: dict[str, str] = {}
        # Incarnation and UTC time of the first list that did not show it.
        self._unlisted: dict[str, datetime.datetime] = {}

    @property
    def instance(self) -> str:
        return self._session.identity.instance

    @property
    def data_centre(self) -> str:
        return self._session.identity.data_centre

    def list_members(self) -> tuple[model.SessionRecord, ...]:
        others = [
            known.record
            for known in self._members.values()
            if known.record.state is model.SessionState.LIVE
            and known.record.incarnation not in self._down
        ]
        everyone = [self._session.record, *others]
        return tuple(sorted(everyone, key=lambda record: record.instance))

    def list_peers(self) -> tuple[model.SessionRecord, ...]:
        """Returns all other members that may be reached, leaving ones too."""
        found = [
            known.record
            for known in self._members.values()
            if known.record.state is not model.SessionState.FENCED
        ]
        return tuple(sorted(found, key=lambda record: record.instance))

    def get_member(self, instance: str) -> model.SessionRecord | None:
        """Returns another member by its name, or None."""
        known = self._members.get(instance)
        return known.record if known else None

    def list_owners(self, grace: datetime.timedelta) -> tuple[str, ...]:
        """Returns the live members of this data centre that may own workers.

        Args:
            grace: How long a member must be known to be counted.
        """
        now = self._clock.get_monotonic()
        names = [
            record.instance
            for record in self.list_members()
            if record.data_centre == self.data_centre
            and record.instance != self.instance
            and self._members[record.instance].is_in_store
            and now - self._members[record.instance].known_since >= grace
        ]
        if self._session.is_established and not self._session.is_leaving:
            names.append(self.instance)
        return tuple(sorted(names))

    def is_down(self, incarnation: str) -> bool:
        """Tells whether a process is known to have ended."""
        return incarnation in self._down

    def note_rows(self, rows: Iterable[_fencing.SessionRow]) -> None:
        """Takes all session rows of one read of the store."""
        now = self._clock.get_monotonic()
        names = set()
        for row in rows:
            record = row.record
            names.add(record.instance)
            if record.instance == self.instance:
                continue
            known = self._members.get(record.instance)
            if record.state is model.SessionState.FENCED:
                if known and known.record.incarnation == record.incarnation:
                    self._drop_member(record.instance, "session fenced")
            elif known is None or record.incarnation not in self._down:
                self._set_member(record, now, True)
        for instance, known in tuple(self._members.items()):
            if known.is_in_store and instance not in names:
                self._drop_member(instance, "session row gone")
            elif not known.is_in_store and self.is_down(
                known.record.incarnation
            ):
                del self._members[instance]

    def note_hello(
        self, record: model.SessionRecord, is_inbound: bool
    ) -> None:
        """Takes a member that proved its identity on a stream.

        Args:
            record: What the member says of itself.
            is_inbound: Whether this instance accepts the other's hello;
                False if the other answered the hello of this instance.
        """
        if record.instance == self.instance:
            return
        if not is_inbound:
            # Only the answer to a dial proves who listens at an address; the
            # address in a hello is what the sender believes.
            self._note_listener(record)
        self._down.pop(record.incarnation, None)
        self._set_member(record, self._clock.get_monotonic(), False)
        if is_inbound and record.data_centre == self.data_centre:
            self._authority.note_hello(record.instance, record.incarnation)

    def _note_listener(self, record: model.SessionRecord) -> None:
        for known in tuple(self._members.values()):
            if (
                known.record.peer_address == record.peer_address
                and known.record.incarnation != record.incarnation
            ):
                self.note_down(known.record.incarnation, "address taken over")

    def note_state(
        self, instance: str, incarnation: str, state: model.SessionState
    ) -> None:
        """Takes the state that a member gave in a heartbeat."""
        known = self._members.get(instance)
        if known and known.record.incarnation == incarnation:
            if known.record.state is not state:
                known.record = attrs.evolve(known.record, state=state)

    def note_down(self, incarnation: str, reason: str) -> None:
        """Learns that a process has ended, or has stopped owning workers."""
        self._authority.note_down(incarnation)
        if incarnation not in self._down:
            self._down[incarnation] = reason
            logging.info("membership: %s is down: %s", incarnation, reason)

    def note_instances(self, snapshot: model.InstanceSnapshot) -> None:
        """Looks for members that the instance list no longer shows.

        A list that does not show this instance is not trusted. Absence must
        last ``gone_after`` by the list's own time and begin after the member
        was first known, because a new instance may be listed late.
        """
        listed = {entry.instance for entry in snapshot.entries}
        if self.instance not in listed:
            return
        for instance, known in self._members.items():
            incarnation = known.record.incarnation
            if instance in listed:
                self._unlisted.pop(incarnation, None)
                continue
            since = self._unlisted.setdefault(
                incarnation, max(snapshot.as_of, self._clock.get_utc())
            )
            if snapshot.as_of - since >= self._timing.gone_after:
                self.note_down(incarnation, "not on the instance list")

    def _set_member(
        self,
        record: model.SessionRecord,
        now: datetime.timedelta,
        is_in_store: bool,
    ) -> None:
        known = self._members.get(record.instance)
        if known and known.record.incarnation == record.incarnation:
            if known.record.counter > record.counter:
                record = attrs.evolve(known.record, state=record.state)
            known.record = record
            known.is_in_store = is_in_store or known.is_in_store
            return
        logging.info(
            "membership: %s (%s) of %s joined",
            record.instance,
            record.incarnation,
            record.data_centre,
        )
        self._members[record.instance] = _Known(record, now, is_in_store)

    def _drop_member(self, instance: str, reason: str) -> None:
        known = self._members.pop(instance)
        self.note_down(known.record.incarnation, reason)
        self._unlisted.pop(known.record.incarnation, None)
