"""Odd registry entries of another writer among those of the runners.

Each names no runner to use, and everything else goes on.
"""

import asyncio
import base64
import collections
import pathlib
import typing

import attrs
import orjson
import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import platform

_ODD_ADDRESS = "10.9.9.9:8000"
_ENTRY: dict[str, typing.Any] = {
    "service": standin_fleet.SERVICE,
    "address": _ODD_ADDRESS,
    "zone": "here",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16_000, "mem_mb": 64_000, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 1,
    "seq": 7,
}
_CAPACITY = b'{"cpu":16000,"mem_mb":64000,"gpu":0}'
# Half of a runner, so that each runner holds one such task.
_TASK = model.Resources(processors=9_000, memory_mb=100)
_FAILURES = {
    "scheduler_failed",
    "reconciler_failed",
    "background_task_failed",
    "background_task_ended",
}


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _change(**fields: typing.Any) -> str:
    """Returns a row value with other fields; None removes a field."""
    entry = {
        name: value
        for name, value in {**_ENTRY, **fields}.items()
        if value is not None
    }
    return _encode(orjson.dumps(entry))


def _replace(former: bytes, latter: bytes) -> str:
    """Returns a row value in which a part of the text is another."""
    text = orjson.dumps(_ENTRY)
    assert former in text
    return _encode(text.replace(former, latter))


def _nest(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


_VALUES = {
    "nothing": "",
    "bytes": _encode(b"\xff\x00"),
    "byte order mark": _encode(b"\xef\xbb\xbf" + orjson.dumps(_ENTRY)),
    "half": _encode(orjson.dumps(_ENTRY)[:60]),
    "not base64": "%%%",
    "nested": _encode(_nest(10_000)),
    "nested labels": _replace(b'["a","r1"]', _nest(1_000)),
    "nested capacity": _replace(_CAPACITY, _nest(1_000)),
    "nested amount": _replace(b"16000", _nest(1_000)),
    "nested state": _replace(b'"ready"', _nest(1_000)),
    "nested birth": _replace(b'"born":1', b'"born":' + _nest(1_000)),
    "amount of 31 digits": _replace(b"16000", b"1" + b"0" * 30),
    "amount of 5000 digits": _replace(b"16000", b"1" * 5_000),
    "amount 2**64": _replace(b"16000", b"18446744073709551616"),
    "amount 2**63": _replace(b"16000", b"9223372036854775808"),
    "amount 1e300": _replace(b"16000", b"1e300"),
    "amount 1e400": _replace(b"16000", b"1e400"),
    "amount NaN": _replace(b"16000", b"NaN"),
    "negative amount": _replace(b"16000", b"-1"),
    "fraction": _replace(b"16000", b"0.5"),
    "birth too large": _replace(b'"born":1', b'"born":1e300'),
    "birth 2**64": _replace(b'"born":1', b'"born":18446744073709551616'),
    "sequence too large": _replace(b'"seq":7', b'"seq":1e300'),
    "cold too large": _change(cold_remaining_ms=1e300),
    "remaining too large": _change(state="draining", remaining_ms=1e300),
    "remaining at the limit": _change(
        state="draining", remaining_ms=8.6399999e16
    ),
    "port 0": _change(address="10.9.9.9:0"),
    "port 65536": _change(address="10.9.9.9:65536"),
    "port 99999": _change(address="10.9.9.9:99999"),
    "port of 8 digits": _change(address="10.9.9.9:99999999"),
    "negative port": _change(address="10.9.9.9:-1"),
    "port in Arabic digits": _change(address="10.9.9.9:\u0668\u0660"),
    "no port": _change(address="10.9.9.9"),
    "no host": _change(address=":8000"),
    "dots": _change(address="...:8000"),
    "IPv4 out of range": _change(address="10.9.9.999:8000"),
    "IPv4 as a number": _change(address="2130706433:8000"),
    "any host": _change(address="0.0.0.0:8000"),
    "IPv6": _change(address="[::1]:8000"),
    "user": _change(address="user@10.9.9.9:8000"),
    "path": _change(address="10.9.9.9:8000/path"),
    "line end": _change(address="10.9.9.9:8000\n"),
    "space": _change(address="10.9.9.9 :8000"),
    "list of addresses": _change(address=[_ODD_ADDRESS]),
    "long host": _change(address="x" * 40_000 + ":8000"),
    "unknown state": _change(state="resting"),
    "long state": _change(state="x" * 40_000),
    "labels of numbers": _change(labels=[1, 2]),
    "labels of objects": _change(labels=[{}]),
    "thousands of labels": _change(labels=["x"] * 5_000),
    "long label": _change(labels=["x" * 40_000]),
    "text of labels": _change(labels="a"),
    "lone surrogate": _replace(b'"here"', b'"\\ud800"'),
    "surrogate bytes": _replace(b'"here"', b'"\xed\xa0\x80"'),
    "unknown service": _change(service="unheard-of"),
    "long service": _change(service="x" * 40_000),
    "no service": _change(service=None),
    "zone 7": _change(zone=7),
    "long zone": _change(zone="x" * 40_000),
    "no zone": _change(zone=None),
    "no slots": _change(slots=None),
    "no version": _change(version=None),
    "no sequence": _change(seq=None),
    "text of slots": _change(slots="many"),
    "list of versions": _change(version=["v1"]),
    "no capacity": _change(capacity=None),
    "no labels": _change(labels=None),
}
_KEYS = ["i-\xe9", "i-1\r\nX-Fencing-Token: 9", "i-1\0", " ", "\u0661"]
_CASES = [("i-0odd", value) for value in _VALUES.values()]
_CASES += [(key, _change()) for key in _KEYS]


class _OddServer:
    """Records the calls that are sent to an odd entry's address."""

    def __init__(self) -> None:
        self.paths: list[str] = []

    async def handle(self, request: network.Request) -> network.Response:
        self.paths.append(request.path)
        return network.Response(200, {"clock_ms": 1, "born": 1})


def _find_address(value: str) -> str:
    """Returns the address of an odd entry as another reader might read it."""
    try:
        address = orjson.loads(base64.b64decode(value))["address"]
    except (ValueError, LookupError, TypeError):
        return _ODD_ADDRESS
    return address if isinstance(address, str) else _ODD_ADDRESS


def _read_events(path: pathlib.Path) -> collections.Counter[str]:
    return collections.Counter(
        orjson.loads(line)["event"] for line in path.read_bytes().splitlines()
    )


async def _fill_runners(
    fleet: standin_fleet.VirtualFleet, identifier: str
) -> None:
    """Runs a job that needs every runner at the same time."""
    count = len(fleet.runners)
    await fleet.submit(identifier, model.Step(count, _TASK))
    await fleet.wait_until(
        lambda: all(stand_in.running for stand_in in fleet.runners), 10
    )
    await fleet.wait_for_state(identifier, model.JobState.COMPLETED, 30)


async def _await_leader(fleet: standin_fleet.VirtualFleet) -> str:
    await fleet.wait_until(lambda: fleet.get_leader() is not None)
    leader = fleet.get_leader()
    assert leader is not None
    return leader.name


@pytest.mark.parametrize(
    ("key", "value"), _CASES, ids=[*_VALUES, *map(repr, _KEYS)]
)
def test_odd_entry_stops_nothing(
    key: str, value: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a term, a feed or a runner that an odd entry ends.

    Odd entries are there before the start, and come and change in operation
    and during a takeover.
    """

    async def simulate() -> None:
        log_path = tmp_path / "log"
        fleet = standin_fleet.VirtualFleet(
            runners=2,
            log_path=str(log_path),
            plan=lambda task, run: (2, "done"),
        )
        odd = _OddServer()
        for address in (_ODD_ADDRESS, _find_address(value)):
            fleet.network.serve(address, odd.handle)
        table = platform.RUNNERS_TABLE
        fleet.store.put(table, key, value)
        for name in ("a", "b"):
            fleet.start_instance(name)
        first = await _await_leader(fleet)
        await _fill_runners(fleet, "00")
        # Sound entries of the same page follow the odd one.
        fleet.store.put(table, key, value)
        fleet.store.put(table, key + "2", value)
        fleet.add_runner(lambda task, run: (2, "done"), 2)
        await _fill_runners(fleet, "01")
        fleet.instances.pop(first).kill()
        fleet.store.put(table, key, value)
        await asyncio.sleep(0.5)
        fleet.store.remove(table, key + "2")
        fleet.store.put(table, key + "3", value)
        second = await _await_leader(fleet)
        assert second != first
        fleet.add_runner(lambda task, run: (2, "done"), 3)
        await _fill_runners(fleet, "02")
        assert odd.paths == []
        assert fleet.check() == []
        events = _read_events(log_path)
        assert events["scheduler_ready"] == 2
        assert not events.keys() & _FAILURES

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    "value", [_change(), _change(state="draining", remaining_ms=0), "%%%"]
)
@pytest.mark.parametrize("is_removed", [False, True])
def test_rows_of_other_partitions_name_no_runner(
    value: str, is_removed: bool
) -> None:
    """Guards against a runner that a row of the same key elsewhere changes.

    The published names of entries mean rows of the empty partition.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=2)
        odd = _OddServer()
        fleet.network.serve(_ODD_ADDRESS, odd.handle)
        fleet.start_instance("a")
        await _await_leader(fleet)
        await _fill_runners(fleet, "00")
        for stand_in in fleet.runners:
            stand_in.is_registering = False
        await asyncio.sleep(1)
        for key in ("i-0", "i-9"):
            fleet.store.put(platform.RUNNERS_TABLE, key, value, "x")
        if is_removed:
            fleet.store.remove(platform.RUNNERS_TABLE, "i-0", "x")
        await asyncio.sleep(1)
        await _fill_runners(fleet, "01")
        assert odd.paths == []
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


def test_runner_whose_entry_turns_odd_gets_no_new_work() -> None:
    """Guards against new tasks for a runner that no readable entry names.

    Its runs go on, and it is used again once its entry can be read.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            runners=2, plan=lambda task, run: (4, "done")
        )
        fleet.start_instance("a")
        await _await_leader(fleet)
        await fleet.submit("00", model.Step(2, _TASK))
        await fleet.wait_until(
            lambda: all(stand_in.running for stand_in in fleet.runners), 10
        )
        changed, other = fleet.runners
        changed.is_registering = False
        await asyncio.sleep(1)
        value = _change(address=changed.address, state="resting")
        fleet.store.put(platform.RUNNERS_TABLE, changed.identifier, value)
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 30)
        assert len(fleet.history.runs) == 2
        await fleet.submit("01", model.Step(2, _TASK))
        await asyncio.sleep(2)
        assert other.running and not changed.running
        changed.is_registering = True
        await fleet.wait_until(lambda: bool(changed.running), 4)
        await fleet.wait_for_state("01", model.JobState.COMPLETED, 30)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("i-0odd", _change()),
        ("i-0odd", _change(service="unheard-of")),
        ("i-0odd", _change(state="draining", remaining_ms=1)),
        ("i-0odd", _change(address="10.1.0.1:8000")),
        ("I-0", _change(address="10.1.0.1:8000")),
        ("i-0odd", _change(address="10.1.0.1:8000", born=2**53)),
    ],
)
def test_entry_without_a_runner_delays_no_takeover(
    key: str, value: str
) -> None:
    """Guards against a successor that waits for a runner that never was.

    Nobody answers at the address, or another runner does.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(
            runners=2, plan=lambda task, run: (2, "done")
        )
        fleet.store.put(platform.RUNNERS_TABLE, key, value)
        for name in ("a", "b"):
            fleet.start_instance(name)
        first = await _await_leader(fleet)
        await _fill_runners(fleet, "00")
        await asyncio.sleep(2)
        await fleet.submit("01", model.Step(2, _TASK))
        fleet.instances.pop(first).kill()
        began = asyncio.get_running_loop().time()
        await _await_leader(fleet)
        await _fill_runners(fleet, "02")
        await fleet.wait_for_state("01", model.JobState.COMPLETED)
        # Without the entry, 6 to 8 s; the wait for a runner is 10 s or more.
        assert asyncio.get_running_loop().time() - began < 10
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("is_needed", [False, True])
def test_runner_of_a_service_is_used_once_it_is_configured(
    is_needed: bool,
) -> None:
    """Guards against a runner that is ignored for good.

    A job may also need a service that is no longer configured.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=1)
        fleet.start_instance("a")
        await _await_leader(fleet)
        queue = attrs.evolve(standin_fleet.QUEUE, service="annex")
        added = runner.RunnerStandIn(
            "i-9",
            "10.1.0.9:8000",
            "annex",
            standin_fleet.plan_success,
            fleet.history,
        )
        fleet.adopt_runner(added)
        await asyncio.sleep(3)
        await fleet.submit("00", model.Step(1, _TASK))
        await fleet.wait_for_state("00", model.JobState.COMPLETED, 10)
        if not is_needed:
            fleet.services.add("annex")
            await asyncio.sleep(3)
        await fleet.submit("01", model.Step(1, _TASK), queue=queue)
        await fleet.wait_for_state("01", model.JobState.COMPLETED, 5)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())
