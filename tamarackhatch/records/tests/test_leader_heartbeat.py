"""Tests the row of the leader heartbeat."""

import base64
import datetime
import hashlib
import zlib

import attrs
import orjson
import pytest

from tamarackhatch import records


def test_leader_heartbeat_row_keeps_its_form() -> None:
    """Guards against a heartbeat misread by other releases in an upgrade."""
    row = (
        b'{"instance":"a","incarnation":"a-1","term":3,"count":12,'
        b'"is_released":true,"pending":{"q":5}}'
    )
    heartbeat = records.LeaderHeartbeat(
        instance="a",
        incarnation="a-1",
        term=3,
        count=12,
        is_released=True,
        pending={"q": 5},
    )
    assert records.decode_leader_heartbeat(row) == heartbeat
    assert records.encode_leader_heartbeat(heartbeat) == row


_PLAIN_BEAT = (
    b'{"instance":"a","incarnation":"a-1","term":3,"count":12,'
    b'"is_released":false,"pending":{"q":5},"configuration":7,"position":99'
)


@pytest.mark.parametrize(
    ("row", "address"),
    [
        pytest.param(_PLAIN_BEAT + b"}", "", id="earlier build"),
        pytest.param(
            _PLAIN_BEAT + b',"metrics_address":"10.0.0.1:9100"}',
            "10.0.0.1:9100",
            id="this build",
        ),
        pytest.param(
            _PLAIN_BEAT + b',"metrics_address":"10.0.0.1:9100","waits":[1]}',
            "10.0.0.1:9100",
            id="later build with another field",
        ),
        pytest.param(
            _PLAIN_BEAT + b',"metrics_address":{"host":"h"}}',
            "",
            id="later build with another form",
        ),
        pytest.param(_PLAIN_BEAT + b',"metrics_address":null}', "", id="null"),
    ],
)
def test_heartbeats_of_other_builds_are_read(row: bytes, address: str) -> None:
    """Guards against a live scheduler that is taken for dead in an upgrade."""
    assert records.decode_leader_heartbeat(row) == records.LeaderHeartbeat(
        "a",
        "a-1",
        3,
        12,
        pending={"q": 5},
        configuration=7,
        position=99,
        metrics_address=address,
    )


@pytest.mark.parametrize(
    ("address", "row"),
    [
        # Without an address the row is that of earlier builds.
        ("", _PLAIN_BEAT + b"}"),
        (
            "10.0.0.1:9100",
            _PLAIN_BEAT + b',"metrics_address":"10.0.0.1:9100"}',
        ),
    ],
)
def test_heartbeat_with_metrics_address_keeps_its_form(
    address: str, row: bytes
) -> None:
    """Guards against a row that builds before the field cannot read.

    They take the fields that they know and ignore all others.
    """
    heartbeat = records.LeaderHeartbeat(
        "a",
        "a-1",
        3,
        12,
        pending={"q": 5},
        configuration=7,
        position=99,
        metrics_address=address,
    )
    assert records.encode_leader_heartbeat(heartbeat) == row


def test_heartbeat_fits_into_a_row_with_thousands_of_waiting_queues() -> None:
    """Guards against a scheduler whose transactions the store refuses."""
    pending = {f"queue-name-{number:06}": 3 for number in range(4000)}
    heartbeat = records.LeaderHeartbeat("a", "b", 1, pending=pending)
    assert len(records.encode_leader_heartbeat(heartbeat)) <= 65_536


def _make_pending(count: int, digits: int) -> dict[str, int]:
    """Returns numbers of jobs for queues whose names do not compress well."""
    return {
        hashlib.sha256(f"{number}".encode()).hexdigest()[:digits]: number % 7
        for number in range(count)
    }


@pytest.mark.parametrize(
    ("count", "max_bytes"), [(0, 200), (200, 4_096), (1769, 16_384)]
)
def test_heartbeat_carries_the_numbers_of_all_waiting_queues(
    count: int, max_bytes: int
) -> None:
    """Guards against callers that get 0 for a queue in which jobs wait.

    Guards also against a heartbeat that fills the links of the instances.
    """
    pending = _make_pending(count, 9)
    heartbeat = records.LeaderHeartbeat("a", "b", 1, pending=pending)
    value = records.encode_leader_heartbeat(heartbeat)
    assert len(value) <= max_bytes
    assert records.decode_leader_heartbeat(value) == heartbeat


def test_heartbeat_without_room_for_the_numbers_says_so() -> None:
    """Guards against a scheduler whose transactions the store refuses.

    Guards also against answering 0 where the number is not known.
    """
    pending = _make_pending(10_000, 40)
    heartbeat = records.LeaderHeartbeat("a", "b", 1, pending=pending)
    value = records.encode_leader_heartbeat(heartbeat)
    assert len(value) <= 65_536
    assert records.decode_leader_heartbeat(value) == attrs.evolve(
        heartbeat, pending={}, is_pending_known=False
    )


def test_earlier_builds_read_a_heartbeat_with_many_queues() -> None:
    """Guards against an upgrade in which instances see no live scheduler.

    Earlier builds take these fields from the row and ignore all others.
    """
    heartbeat = records.LeaderHeartbeat(
        "a", "b", 3, 12, True, _make_pending(1769, 9), 7, 99
    )
    document = orjson.loads(records.encode_leader_heartbeat(heartbeat))
    fields = ("instance", "incarnation", "term", "count", "is_released")
    assert [document[name] for name in fields] == ["a", "b", 3, 12, True]
    assert document["pending"] == {}
    assert (document["configuration"], document["position"]) == (7, 99)


@pytest.mark.parametrize(
    "packed",
    [
        5,
        "\u00e9",
        "abc",
        base64.b85encode(b"no zlib stream").decode(),
        base64.b85encode(zlib.compress(b"[]")).decode(),
        base64.b85encode(zlib.compress(b'[["q"],[]]')).decode(),
        base64.b85encode(zlib.compress(b'[["q"],["x"]]')).decode(),
        base64.b85encode(zlib.compress(b'[[["q"]],[1]]')).decode(),
        base64.b85encode(zlib.compress(b'[["q"],[1]]')[:-6]).decode(),
        base64.b85encode(zlib.compress(bytes(10**7))).decode(),
    ],
)
def test_malformed_packed_numbers_are_reported(packed: object) -> None:
    """Guards against a crash of instances on a damaged heartbeat."""
    document = {
        "instance": "a",
        "incarnation": "a-1",
        "term": 3,
        "packed_pending": packed,
    }
    with pytest.raises(records.MalformedRowError):
        records.decode_leader_heartbeat(orjson.dumps(document))


_MS = datetime.timedelta(milliseconds=1)


@pytest.mark.parametrize(
    ("field", "lease"),
    [
        ("", None),
        (',"earlier_lease_ms":0', 0 * _MS),
        (',"earlier_lease_ms":1250', 1250 * _MS),
        (',"earlier_lease_ms":-1', None),
        (',"earlier_lease_ms":true', None),
        (',"earlier_lease_ms":"0"', None),
        (',"earlier_lease_ms":1e300', None),
        (',"earlier_lease_ms":99999999999999999999', None),
        (',"earlier_lease":0', None),
    ],
)
def test_lease_of_earlier_schedulers_is_read_from_rows_of_all_builds(
    field: str, lease: datetime.timedelta | None
) -> None:
    """Guards against trust in a term of a build that does not know it."""
    row = '{"instance":"a","incarnation":"a-1","term":3' + field + "}"
    heartbeat = records.LeaderHeartbeat("a", "a-1", 3, earlier_lease=lease)
    assert records.decode_leader_heartbeat(row.encode()) == heartbeat
    encoded = records.encode_leader_heartbeat(heartbeat)
    assert (b"earlier_lease_ms" in encoded) is (lease is not None)
    assert records.decode_leader_heartbeat(encoded) == heartbeat
