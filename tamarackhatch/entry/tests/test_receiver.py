"""Tests the internal interface, the rows of instances, and their limits."""

import asyncio
import base64
import datetime
import json
import pathlib
import random
import typing

import orjson
import pytest

from standins import virtual_time
from tamarackhatch.entry.tests import fleet as entry_fleet
from tamarackhatch import model
from tamarackhatch import records

_SECOND = datetime.timedelta(seconds=1)
_ID = "00000000000000a1"
_PATH = f"/v1/forwarded/jobs/{_ID}"


def _make_body(fleet: entry_fleet.EntryFleet) -> dict[str, typing.Any]:
    job = model.Job(
        _ID,
        entry_fleet.QUEUE,
        "work",
        (entry_fleet.STEP,),
        fleet.clock.get_utc(),
    )
    return {
        "timeout_ms": 2000,
        "sent_ms": int(fleet.clock.get_utc().timestamp() * 1000),
        "host": "office.example",
        "path_prefix": "/renewals/",
        "job": orjson.loads(records.encode_job(job)),
    }


async def _post(
    fleet: entry_fleet.EntryFleet, path: str, body: bytes
) -> tuple[int, dict[str, typing.Any]]:
    reply = await fleet.instances["a"].receiver.answer("POST", path, body)
    return reply.status, orjson.loads(reply.body)


def test_message_of_an_earlier_build_is_understood() -> None:
    """Guards against names on the wire that change with the code."""
    body = (
        b'{"timeout_ms":2000,"sent_ms":1767225612000,"host":"office.example",'
        b'"path_prefix":"/renewals/","job":{"queue":["renewals","office",0,1,'
        b'1.0,0,null],"specification":"work","steps":[{"count":1,"resources":'
        b'[100,10,0]}],"accepted_ms":1767225612000,"term":1},"later":true}'
    )

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a")
        await fleet.discover()
        assert await _post(fleet, _PATH, body) == (200, {"outcome": "done"})
        assert fleet.read_job(_ID) is not None

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    "change",
    [
        {"timeout_ms": "5"},
        {"timeout_ms": -1},
        {"timeout_ms": 10**30},
        {"timeout_ms": True},
        {"sent_ms": 10**30},
        {"sent_ms": None},
        {"host": 5},
        {"path_prefix": None},
        {"job": None},
        {"job": []},
        {"job": {}},
        {"job": "x" * 1000},
    ],
)
def test_malformed_submissions_are_rejected(
    change: dict[str, typing.Any],
) -> None:
    """Guards against a peer whose message stops an instance."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a")
        await fleet.discover()
        body = {**_make_body(fleet), **change}
        # Numbers of more than 64 bits are valid JSON.
        text = json.dumps(body).encode()
        status, answer = await _post(fleet, _PATH, text)
        assert status == 400
        assert answer["code"] == "TH504"
        assert fleet.read_job(_ID) is None
        good = orjson.dumps(_make_body(fleet))
        assert (await _post(fleet, _PATH, good))[0] == 200

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("path", "body"),
    [
        (_PATH, b""),
        (_PATH, b"{"),
        (_PATH, b"[]"),
        (_PATH, b"5"),
        (_PATH, b"null"),
        (_PATH, b"[" * 100_000),
        ("/v1/forwarded/jobs/", b"{}"),
        ("/v1/forwarded/jobs/../x", b"{}"),
        (f"/v1/forwarded/jobs/{'a' * 65}", b"{}"),
        (f"/v1/forwarded/other/{_ID}", b"{}"),
        ("/", b"{}"),
        ("", b""),
        (f"/v1/forwarded/cancellations/{_ID}", b"{}"),
        (f"/v1/forwarded/states/{_ID}", b"{}"),
    ],
)
def test_malformed_calls_are_rejected(path: str, body: bytes) -> None:
    """Guards against a peer whose message stops an instance."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a")
        await fleet.discover()
        status, answer = await _post(fleet, path, body)
        assert status == 400
        assert answer["code"] == "TH504"

    virtual_time.run_virtually(simulate())


def test_damaged_messages_never_raise() -> None:
    """Guards against a field whose damage no decoder expects."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a")
        await fleet.discover()
        source = orjson.dumps(_make_body(fleet))
        draw = random.Random(5)
        for _ in range(2000):
            damaged = bytearray(source)
            for _ in range(draw.randint(1, 4)):
                index = draw.randrange(len(damaged))
                damaged[index : index + draw.randint(0, 2)] = bytes(
                    draw.choices(b'0-9.e"{}[],:nulltrue', k=draw.randint(0, 3))
                )
            status, _ = await _post(fleet, _PATH, bytes(damaged))
            assert status in (200, 400)

    virtual_time.run_virtually(simulate())


def test_job_of_a_newer_build_is_not_stored_without_its_new_field() -> None:
    """Guards against a job that loses a field on its way."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a")
        await fleet.discover()
        body = _make_body(fleet)
        body["job"]["later_field"] = 1
        assert (await _post(fleet, _PATH, orjson.dumps(body)))[0] == 400
        assert fleet.read_job(_ID) is None

    virtual_time.run_virtually(simulate())


def test_request_that_a_stopped_process_finds_is_not_carried_out() -> None:
    """Guards against a job that runs again after its rows were removed."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a")
        await fleet.discover()
        body = orjson.dumps(_make_body(fleet))
        await asyncio.sleep(10.1)
        assert await _post(fleet, _PATH, body) == (
            200,
            {"outcome": "not here"},
        )
        assert fleet.read_job(_ID) is None

    virtual_time.run_virtually(simulate())


def test_only_post_is_served() -> None:
    """Guards against requests by accident, such as those of a browser."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a")
        reply = await fleet.instances["a"].receiver.answer("GET", _PATH, b"")
        assert reply.status == 405

    virtual_time.run_virtually(simulate())


def test_requests_at_once_are_limited() -> None:
    """Guards against an instance that has no time for its own callers."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a")
        await fleet.discover()
        fleet.store.latency_s = 0.2
        body = orjson.dumps(_make_body(fleet))
        answers = await asyncio.gather(
            *(_post(fleet, _PATH, body) for _ in range(50))
        )
        outcomes = [answer["outcome"] for _, answer in answers]
        assert outcomes.count("done") == 32
        assert outcomes.count("not here") == 18

    virtual_time.run_virtually(simulate())


def test_instance_that_cannot_reach_the_store_answers_at_once() -> None:
    """Guards against senders that wait for an instance in their position."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a")
        await fleet.discover()
        fleet.cut_off("silence", "a")
        await fleet.submit("a", "00000000000000b1")
        began = asyncio.get_running_loop().time()
        _, answer = await _post(fleet, _PATH, orjson.dumps(_make_body(fleet)))
        assert answer == {"outcome": "not here"}
        assert asyncio.get_running_loop().time() - began < 0.01
        fleet.reconnect()
        await asyncio.sleep(6)
        _, answer = await _post(
            fleet,
            _PATH,
            orjson.dumps(_make_body(fleet)),
        )
        assert answer == {"outcome": "done"}

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}",
        b"[]",
        b'{"data_centre":5,"address":"10.0.0.1:5","is_fit":true}',
        b'{"data_centre":"x","address":"10.0.0.1","is_fit":true}',
        b'{"data_centre":"x","address":"10.0.0.1:0","is_fit":true}',
        b'{"data_centre":"x","address":"10.0.0.1:70000","is_fit":true}',
        b'{"data_centre":"x","address":"host.example:5","is_fit":true}',
        b'{"data_centre":"x","address":"10.0.0.1:5","is_fit":1}',
        b'{"data_centre":"x","address":["10.0.0.1:5"],"is_fit":true}',
    ],
)
def test_malformed_rows_are_skipped(value: bytes) -> None:
    """Guards against a row that hides the other instances."""
    with pytest.raises(records.MalformedRowError):
        records.decode_instance("x", value)

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a", "north-a/b")
        fleet.store.put("instances-0", "x", base64.b64encode(value).decode())
        await fleet.discover()
        fleet.cut_off("503", "a")
        answer = await fleet.submit("a", _ID)
        assert answer.outcome is model.Outcome.DONE

    virtual_time.run_virtually(simulate())


def test_row_of_an_earlier_build_is_understood() -> None:
    """Guards against names in rows that change with the code."""
    value = (
        b'{"data_centre":"north-a","address":"10.2.0.1:7800","is_fit":true}'
    )
    record = records.InstanceRecord("a", "north-a", "10.2.0.1:7800", True)
    assert records.encode_instance(record) == value
    later = value.replace(b"}", b',"later":1}')
    assert records.decode_instance("a", later) == record


def test_rows_cost_few_calls(tmp_path: pathlib.Path) -> None:
    """Guards against calls to the store, each of which has a price."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet(
            *(f"north-a/{index}" for index in range(6)),
            log_path=str(tmp_path / "log"),
        )
        await asyncio.sleep(60)
        # One write every 10 s and one at the start.
        assert fleet.store.writes <= 6 * 7

    virtual_time.run_virtually(simulate())


def test_row_of_an_instance_that_is_gone_is_removed() -> None:
    """Guards against a table that grows with each instance that ever ran."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a", "north-a/b", "north-a/c")
        await fleet.discover()
        fleet.instances["c"].kill()
        await asyncio.sleep(25)
        assert fleet.store.get("instances-0", "c") is not None
        await asyncio.sleep(35)
        assert fleet.store.get("instances-0", "c") is None
        assert fleet.store.get("instances-0", "a") is not None
        assert fleet.store.get("instances-0", "b") is not None

    virtual_time.run_virtually(simulate())


def test_change_of_fitness_is_published_soon() -> None:
    """Guards against requests to an instance that is about to end."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a")
        await fleet.discover()
        fleet.instances["a"].is_stopping = True
        await asyncio.sleep(1)
        value = fleet.store.get("instances-0", "a")
        assert value is not None
        record = records.decode_instance("a", base64.b64decode(value))
        assert not record.is_fit

    virtual_time.run_virtually(simulate())


def test_instance_that_starts_slowly_is_in_rotation_at_once() -> None:
    """Guards against 3 s of waiting after the first configuration."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a", "north-a/b")
        instance = fleet.instances["a"]
        instance.configuration.configuration = None
        instance.configuration.time_since_answer = 9999 * _SECOND
        await fleet.discover()
        assert instance.node is not None
        assert instance.node.is_in_rotation
        body = orjson.dumps(_make_body(fleet))
        assert (await _post(fleet, _PATH, body))[1] == {"outcome": "not here"}
        instance.configuration.configuration = entry_fleet.CONFIGURATION
        instance.configuration.time_since_answer = 0 * _SECOND
        await asyncio.sleep(2)
        assert instance.node.is_in_rotation
        body = orjson.dumps(_make_body(fleet))
        assert (await _post(fleet, _PATH, body))[1] == {"outcome": "done"}

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("fault", ["503", "429", "reset", "silence"])
def test_refused_instance_leaves_the_rotation_and_returns(fault: str) -> None:
    """Guards against readiness that ignores what the store answers."""

    async def simulate() -> None:
        fleet = entry_fleet.EntryFleet("north-a/a", "north-a/b")
        await fleet.discover()
        node = fleet.instances["a"].node
        assert node is not None
        fleet.cut_off(fault, "a")
        await asyncio.sleep(5)
        assert not node.is_in_rotation
        await asyncio.sleep(4)
        fleet.reconnect()
        await asyncio.sleep(6)
        assert node.is_in_rotation

    virtual_time.run_virtually(simulate())
