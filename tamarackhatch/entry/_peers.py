"""Which other instances a request can be forwarded to. Pure code."""

from collections.abc import Iterable
import datetime

import attrs

from tamarackhatch import records

_SECOND = datetime.timedelta(seconds=1)
# Three intervals between two writes of a row.
MAX_ROW_AGE = 30 * _SECOND
# An address that does not answer costs a request 0.4 s.
_SILENCE_AVOIDANCE = 5 * _SECOND
# An instance that cannot help now answers at once, and costs a request little.
_REFUSAL_AVOIDANCE = 2 * _SECOND
# More rows than there are instances in the largest deployment, several times.
_MAX_PEERS = 500


@attrs.frozen
class ReadInstance:
    """A row of an instance as it was read, with its version."""

    record: records.InstanceRecord
    version: int


@attrs.define
class _Entry:
    """A known instance.

    Attributes:
        record: Its latest row.
        version: Version of that row.
        changed_at: Monotonic time of the read that first found this version.
        avoided_until: Monotonic time until which others are preferred.
    """

    record: records.InstanceRecord
    version: int
    changed_at: datetime.timedelta
    avoided_until: datetime.timedelta = datetime.timedelta()


class PeerDirectory:
    """Knows the other instances from their rows and from their answers.

    An instance writes its row at least every 10 s. A row whose version does
    not change for 30 s belongs to an instance that is gone. Only time between
    successful reads counts, so that an instance which is cut off from the
    store keeps the peers that it knew.
    """

    def __init__(self, name: str, data_centre: str) -> None:
        """Creates the directory of an instance.

        Args:
            name: Name of the instance itself.
            data_centre: Its data centre.
        """
        self._name = name
        self._data_centre = data_centre
        self._entries: dict[str, _Entry] = {}
        self._read_at = datetime.timedelta()
        self._requests = 0

    @property
    def is_empty(self) -> bool:
        """Whether no other instance is known."""
        return not self._entries

    @property
    def has_fit_neighbour(self) -> bool:
        """Whether another instance of the data centre is known to be fit."""
        return any(
            entry.record.is_fit
            and entry.record.data_centre == self._data_centre
            for entry in self._entries.values()
            if not self._is_stale(entry)
        )

    def update(
        self, rows: Iterable[ReadInstance], now: datetime.timedelta
    ) -> None:
        """Replaces what is known by a complete read of the table."""
        entries: dict[str, _Entry] = {}
        for row in rows:
            name = row.record.name
            if name == self._name or len(entries) >= _MAX_PEERS:
                continue
            entry = self._entries.get(name)
            if entry is None:
                entry = _Entry(row.record, row.version, now)
            elif entry.version != row.version:
                entry.version, entry.changed_at = row.version, now
                entry.record = row.record
            entries[name] = entry
        self._entries = entries
        self._read_at = now

    def record_silence(self, name: str, now: datetime.timedelta) -> None:
        """Records that an instance did not answer in time."""
        self._avoid(name, now + _SILENCE_AVOIDANCE)

    def record_refusal(self, name: str, now: datetime.timedelta) -> None:
        """Records that an instance cannot carry out requests at present."""
        self._avoid(name, now + _REFUSAL_AVOIDANCE)

    def record_success(self, name: str) -> None:
        """Records that an instance has carried out a request."""
        self._avoid(name, datetime.timedelta())

    def list_candidates(
        self, now: datetime.timedelta
    ) -> list[records.InstanceRecord]:
        """Returns the instances to forward a request to, the best one first.

        Instances that lately did not answer or could not help come last.
        Fit ones go before others, near ones before distant ones. Among equals
        the order begins at the instance's own place in the order of names and
        moves on with each request, so that the requests of an instance are
        spread.
        """
        names = sorted([*self._entries, self._name])
        start = names.index(self._name) + self._requests
        self._requests += 1
        turned = [
            self._entries[name]
            for name in _rotate(names, start)
            if name != self._name
        ]
        usable = [entry for entry in turned if not self._is_stale(entry)]
        usable.sort(
            key=lambda entry: (
                entry.avoided_until > now,
                not entry.record.is_fit,
                self._rank_distance(entry.record.data_centre),
            )
        )
        return [entry.record for entry in usable]

    def list_stale(self) -> list[ReadInstance]:
        """Returns the rows of instances that are gone."""
        return [
            ReadInstance(entry.record, entry.version)
            for entry in self._entries.values()
            if self._is_stale(entry)
        ]

    def is_near(self, record: records.InstanceRecord) -> bool:
        """Returns whether an instance is in the same data centre."""
        return record.data_centre == self._data_centre

    def _avoid(self, name: str, until: datetime.timedelta) -> None:
        entry = self._entries.get(name)
        if entry is not None:
            entry.avoided_until = until

    def _is_stale(self, entry: _Entry) -> bool:
        return self._read_at - entry.changed_at > MAX_ROW_AGE

    def _rank_distance(self, data_centre: str) -> int:
        """Returns 0 for the same data centre, 1 for the same region, else 2.

        The platform names a data centre ``REGION-NAME``. Elsewhere, all other
        data centres count as equally far.
        """
        if data_centre == self._data_centre:
            return 0
        region, separator, _ = self._data_centre.partition("-")
        other, _, _ = data_centre.partition("-")
        return 1 if separator and region == other else 2


def _rotate(names: list[str], start: int) -> list[str]:
    start %= len(names)
    return names[start:] + names[:start]
