"""Tests of the rows for admission control, and between builds."""

import asyncio
import base64
import datetime
import typing

import attrs
import orjson
import pytest

from standins import fleet as standin_fleet
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_S = datetime.timedelta(seconds=1)
_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_TASK = model.Resources(2000, 100)
_STEP = model.Step(1, _TASK)
_WAITS = (
    model.WaitSummary(
        "office",
        True,
        48_000,
        model.Resources(1000, 63_200),
        (model.BlockedTask(_TASK, "report"),),
        (
            model.WaitLevel(
                2,
                16_000,
                96_000,
                (model.WorkPoint(8000, 32_000),),
                (model.WorkPoint(8000, 48_000), model.WorkPoint(9000, 64_000)),
            ),
        ),
    ),
)
_HEARTBEAT = records.LeaderHeartbeat(
    "a", "a-1", 3, 12, pending={"q": 5}, configuration=7, position=99
)
_ROW_OF_EARLIER_BUILD = (
    b'{"instance":"a","incarnation":"a-1","term":3,"count":12,'
    b'"is_released":false,"pending":{"q":5},"configuration":7,"position":99}'
)
_ROW_WITH_WAITS = (
    _ROW_OF_EARLIER_BUILD[:-1] + b',"waits":[["office",true,48000,'
    b'[1000,63200,0],[[[2000,100,0],"report"]],'
    b"[[2,16000,96000,[[8000,32000]],[[8000,48000],[9000,64000]]]]]]}"
)


def _make_row(waits: typing.Any) -> bytes:
    return orjson.dumps(
        {**orjson.loads(_ROW_OF_EARLIER_BUILD), "waits": waits}
    )


@pytest.mark.parametrize(
    ("row", "waits"), [(_ROW_OF_EARLIER_BUILD, ()), (_ROW_WITH_WAITS, _WAITS)]
)
def test_heartbeat_row_keeps_its_form(
    row: bytes, waits: tuple[model.WaitSummary, ...]
) -> None:
    """Guards against a heartbeat misread by other releases in an upgrade."""
    heartbeat = attrs.evolve(_HEARTBEAT, waits=waits)
    assert records.decode_leader_heartbeat(row) == heartbeat
    assert records.encode_leader_heartbeat(heartbeat) == row


def test_earlier_builds_read_a_heartbeat_with_waits() -> None:
    """Guards against an upgrade in which instances see no live scheduler.

    Earlier builds take the fields that they know and ignore all others.
    """
    known = orjson.loads(_ROW_WITH_WAITS)
    del known["waits"]
    assert known == orjson.loads(_ROW_OF_EARLIER_BUILD)


@pytest.mark.parametrize(
    "waits",
    [
        None,
        5,
        "text",
        {"office": 1},
        [5],
        [[]],
        ["office", True, 48_000, [1], [], []],
        [["office", 1, 48_000, [1, 2, 3], [], []]],
        [["office", True, "48000", [1, 2, 3], [], []]],
        [["office", True, 48_000, [1, 2, 3, 4], [], []]],
        [["office", True, 48_000, [1, 2, 3], [], [[2, 0, 1, [[1]], []]]]],
        [["office", True, 48_000, [1, 2, 3], [], [[2, 0, 1]]]],
        [["office", True, 48_000, [1, 2, 3], [[[1, 2], 7]], []]],
    ],
)
def test_unreadable_waits_do_not_hide_the_scheduler(
    waits: typing.Any,
) -> None:
    """Guards against a takeover because of a field of another build."""
    assert records.decode_leader_heartbeat(_make_row(waits)) == _HEARTBEAT


def test_values_of_later_builds_are_ignored() -> None:
    """Guards against refusals that stop as soon as a value is added."""
    document = orjson.loads(_ROW_WITH_WAITS)
    document["waits"][0].append({"more": 1})
    document["waits"][0][5][0].append(5)
    heartbeat = records.decode_leader_heartbeat(orjson.dumps(document))
    assert heartbeat.waits == _WAITS


def test_waits_are_left_out_first_if_the_row_is_full() -> None:
    """Guards against a heartbeat that the store refuses.

    Callers are answered from the numbers of pending jobs.
    """
    pending = {f"{hash((1, n)):x}{n * 7919 % 10_007}": n for n in range(2_400)}
    summary = attrs.evolve(_WAITS[0], service="a" * 900)
    heartbeat = records.LeaderHeartbeat(
        "a", "b", 1, pending=pending, waits=(summary,) * 60
    )
    row = records.encode_leader_heartbeat(heartbeat)
    assert len(row) <= 65_536
    assert records.decode_leader_heartbeat(row) == attrs.evolve(
        heartbeat, waits=()
    )


def test_refusal_row_keeps_its_form() -> None:
    """Guards against a refusal that other releases do not understand."""
    row = b'{"first_ms":1767225600250,"count":3,"token":"ab12"}'
    refusal = records.Refusal(_NOW + 0.25 * _S, 3, "ab12")
    assert records.decode_refusal(row) == refusal
    assert records.encode_refusal(refusal) == row
    assert records.get_refusal_ref("00000000000000Ab") == model.RowRef(
        "jobs-0", "b", "00000000000000Ab.refused"
    )


@pytest.mark.parametrize(
    "row",
    [
        b"",
        b"{}",
        b"[]",
        b"5",
        b'{"first_ms":"1","count":3,"token":"a"}',
        b'{"first_ms":1,"count":true,"token":"a"}',
        b'{"first_ms":1,"count":3,"token":5}',
        b'{"first_ms":1e300,"count":3,"token":"a"}',
        b'{"first_ms":9999999999999999,"count":3,"token":"a"}',
    ],
)
def test_malformed_refusal_row(row: bytes) -> None:
    """Guards against a damaged row that keeps a job from being submitted."""
    assert records.decode_refusal(row) is None

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        ref = records.get_refusal_ref("00")
        value = base64.b64encode(row).decode()
        fleet.store.put(ref.table, ref.key, value, ref.partition)
        await asyncio.sleep(2)
        lookup = await fleet.ask_service("00", _STEP)
        assert lookup.outcome is model.Outcome.DONE
        await fleet.wait_for_state("00", model.JobState.COMPLETED)

    virtual_time.run_virtually(simulate())


def _put_refusal(fleet: standin_fleet.VirtualFleet, job: str) -> None:
    ref = records.get_refusal_ref(job)
    refusal = records.Refusal(_NOW, 1, "token")
    value = base64.b64encode(records.encode_refusal(refusal)).decode()
    fleet.store.put(ref.table, ref.key, value, ref.partition)


def _has_refusal(fleet: standin_fleet.VirtualFleet, job: str) -> bool:
    ref = records.get_refusal_ref(job)
    return fleet.store.get(ref.table, ref.key, ref.partition) is not None


def test_old_refusal_rows_are_removed() -> None:
    """Guards against tables that grow without bound.

    Job 00 is refused, 01 again 300 s later, and 02 is accepted after it.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        jobs = ("00", "01", "02")
        for job in jobs:
            _put_refusal(fleet, job)
        await asyncio.sleep(2)
        lookup = await fleet.ask_service("02", _STEP)
        assert lookup.outcome is model.Outcome.DONE
        await asyncio.sleep(300)
        _put_refusal(fleet, "01")
        await asyncio.sleep(290)
        assert [_has_refusal(fleet, job) for job in jobs] == [True] * 3
        await asyncio.sleep(30)
        assert [_has_refusal(fleet, job) for job in jobs] == [
            False,
            True,
            False,
        ]
        await asyncio.sleep(300)
        assert not _has_refusal(fleet, "01")
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_successor_removes_refusal_rows() -> None:
    """Guards against rows that a takeover leaves for ever."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet()
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        _put_refusal(fleet, "00")
        await asyncio.sleep(300)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        await asyncio.sleep(590)
        assert _has_refusal(fleet, "00")
        await asyncio.sleep(30)
        assert not _has_refusal(fleet, "00")

    virtual_time.run_virtually(simulate())
