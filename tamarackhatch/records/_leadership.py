"""Row of the leader heartbeat."""

import datetime

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _limits
from tamarackhatch.records import _pending_counts
from tamarackhatch.records import _progress
from tamarackhatch.records import _types
from tamarackhatch.records import _waits

# Instances read each heartbeat, so that the numbers of pending jobs are
# compressed well before the row is as long as it may be.
_MAX_PLAIN_BYTES = 4_096
_PACKED_PENDING = "packed_pending"
_METRICS_ADDRESS = "metrics_address"
_WAITS = "waits"
_EARLIER_LEASE = "earlier_lease_ms"
# A longer one is unreadable, and so unknown.
_MAX_LEASE_MS = 600_000
_PENDING_MOMENT = "pending_at"
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Readings of the store's clock are below that of three hundred years.
_MAX_CLOCK_MS = 10**13


@attrs.frozen
class LeaderHeartbeat:
    """Heartbeat of the active scheduler.

    The fence row has the same form. Field names are the keys in the row.

    Attributes:
        instance: Instance of the scheduler.
        incarnation: Identifies the scheduler's process among those of the
            instance.
        term: Number of the term, from 1.
        count: Number of the heartbeat in this term.
        is_released: Whether the scheduler has handed its term over.
        pending: For each queue, the number of jobs of which no task has
            started yet. The other instances answer callers from it.
        configuration: Version of the newest configuration that the scheduler
            has read; all changes up to it are published. None while it
            cannot read the operator's table.
        position: Version of the store up to which it has read that table.
        is_pending_known: Whether ``pending`` is complete; if not, it is empty.
        metrics_address: ``host:port`` at which the scheduler answers
            operators; empty if it has none, and in rows of earlier builds.
        earlier_lease: Longest time, from when the row was written, for which
            a scheduler of an earlier term may still send commands; None if
            unknown, as in rows of earlier builds.
        waits: Waiting batch work; empty if no new work has to wait, or if
            nothing is known of it.
        pending_moment: Moment for which ``pending`` holds, which may be long
            before the heartbeat; None if unknown, as in rows of earlier
            builds.
    """

    instance: str
    incarnation: str
    term: int
    count: int = 0
    is_released: bool = False
    pending: dict[str, int] = attrs.field(factory=dict)
    configuration: int | None = None
    position: int = 0
    is_pending_known: bool = True
    metrics_address: str = ""
    earlier_lease: datetime.timedelta | None = None
    waits: tuple[model.WaitSummary, ...] = ()
    pending_moment: model.StoreMoment | None = None

    @property
    def pending_count(self) -> model.PendingCount | None:
        """The numbers of pending jobs with their moment; None if not known."""
        if not self.is_pending_known:
            return None
        return model.PendingCount(self.pending, self.pending_moment)

    def with_pending(
        self, count: model.PendingCount | None
    ) -> "LeaderHeartbeat":
        """Returns a heartbeat with these numbers of pending jobs.

        Args:
            count: The numbers; None if they are not known.
        """
        return attrs.evolve(
            self,
            pending={} if count is None else count.by_queue,
            is_pending_known=count is not None,
            pending_moment=None if count is None else count.moment,
        )

    @property
    def publication(self) -> model.Publication | None:
        """The configuration that all changes lead to; None if not known."""
        if self.configuration is None:
            return None
        return model.Publication(self.configuration, self.position)


_HEARTBEAT_FIELDS = tuple(
    field.name
    for field in attrs.fields(LeaderHeartbeat)
    if field.name not in ("earlier_lease", "pending_moment")
)


def encode_leader_heartbeat(heartbeat: LeaderHeartbeat) -> bytes:
    """Returns the row value of a heartbeat.

    The numbers of pending jobs are compressed if there are many, so that the
    row stays small. What does not fit even then is left out, the waits first,
    because without a heartbeat the scheduler would lose its term.
    """
    document = attrs.asdict(heartbeat, recurse=False)
    del document[_WAITS], document["pending_moment"]
    if heartbeat.waits:
        document[_WAITS] = _waits.encode_waits(heartbeat.waits)
    if heartbeat.configuration is None:
        del document["configuration"], document["position"]
    if heartbeat.is_pending_known:
        del document["is_pending_known"]
    del document["earlier_lease"]
    if heartbeat.earlier_lease is not None:
        document[_EARLIER_LEASE] = heartbeat.earlier_lease // _MILLISECOND
    if not heartbeat.metrics_address:
        del document[_METRICS_ADDRESS]
    moment = heartbeat.pending_moment
    if moment is not None and heartbeat.is_pending_known:
        document[_PENDING_MOMENT] = [
            moment.version,
            moment.time // _MILLISECOND,
        ]
    value = orjson.dumps(document)
    if len(value) <= _MAX_PLAIN_BYTES:
        return value
    # Earlier builds ignore the packed numbers. They must find the other
    # fields, or they would take the scheduler for dead.
    document["pending"] = {}
    document[_PACKED_PENDING] = _pending_counts.pack_pending(heartbeat.pending)
    value = orjson.dumps(document)
    if len(value) <= _limits.MAX_VALUE_BYTES:
        return value
    if document.pop(_WAITS, None) is not None:
        value = orjson.dumps(document)
        if len(value) <= _limits.MAX_VALUE_BYTES:
            return value
    del document[_PACKED_PENDING]
    document.pop(_PENDING_MOMENT, None)
    document["is_pending_known"] = False
    return orjson.dumps(document)


def decode_leader_heartbeat(value: bytes) -> LeaderHeartbeat:
    """Returns the heartbeat of a row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        document = orjson.loads(value)
        if _PACKED_PENDING in document:
            document["pending"] = _pending_counts.unpack_pending(
                document[_PACKED_PENDING]
            )
        if _METRICS_ADDRESS in document and not isinstance(
            document[_METRICS_ADDRESS], str
        ):
            # Operators' calls depend on it, and the election does not.
            del document[_METRICS_ADDRESS]
        if _WAITS in document:
            document[_WAITS] = _waits.decode_waits(document[_WAITS])
        # A newer build may add fields. It must be possible to take over from
        # it.
        heartbeat = LeaderHeartbeat(
            **{
                name: document[name]
                for name in _HEARTBEAT_FIELDS
                if name in document
            },
            earlier_lease=_decode_earlier_lease(document),
            pending_moment=_decode_pending_moment(document),
        )
        _types.check_types(heartbeat)
        return heartbeat
    except (ValueError, TypeError) as error:
        raise _progress.MalformedRowError(
            f"malformed leader heartbeat in row beat or fence: {error!r}"
        ) from error


def _decode_earlier_lease(document: object) -> datetime.timedelta | None:
    """Returns the field of a heartbeat row; None if absent or malformed."""
    if not isinstance(document, dict):
        return None
    milliseconds = document.get(_EARLIER_LEASE)
    if type(milliseconds) is int and 0 <= milliseconds <= _MAX_LEASE_MS:
        return milliseconds * _MILLISECOND
    return None


def _decode_pending_moment(document: object) -> model.StoreMoment | None:
    """Returns the field of a heartbeat row; None if absent or malformed."""
    if not isinstance(document, dict):
        return None
    fields = document.get(_PENDING_MOMENT)
    if not isinstance(fields, list) or len(fields) != 2:
        return None
    version, time_ms = fields
    if (
        type(version) is int
        and type(time_ms) is int
        and version >= 0
        and 0 <= time_ms <= _MAX_CLOCK_MS
    ):
        return model.StoreMoment(version, time_ms * _MILLISECOND)
    return None


def find_row(
    rows: tuple[model.Row, ...], ref: model.RowRef
) -> model.Row | None:
    """Returns the first row that has the name ref, or None."""
    return next((row for row in rows if row.ref == ref), None)
