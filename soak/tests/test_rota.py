"""Traffic, troubles and links of plays of brindle-rota."""

import asyncio
import datetime
import random
import socket
import statistics

import orjson
import pytest

from soak.rota import _call_proxy
from soak.rota import _calls
from soak.rota import _events
from soak.rota import _schedule
from soak.rota import _traffic
from soak.rota import _troubles
from standins import history
from standins import network
from standins import runner
from standins import servers

_DURATION = datetime.timedelta(seconds=60)
_LONG = datetime.timedelta(hours=1)
_TASK = "a000000000000000.0.0.0"


@pytest.mark.parametrize("seed", range(20))
def test_schedule_is_repeatable_ends_in_time_and_does_not_overlap(
    seed: int,
) -> None:
    """Guards against findings that cannot be repeated or explained."""
    schedule = _schedule.make_schedule(seed, _DURATION)
    assert schedule == _schedule.make_schedule(seed, _DURATION)
    ends: dict[tuple[object, ...], datetime.timedelta] = {}
    for item in schedule:
        end = item.start + item.duration
        assert end <= _DURATION
        for target in _schedule.list_targets(item.fault):
            assert ends.get(target, datetime.timedelta()) <= item.start
            ends[target] = end


@pytest.mark.parametrize("seed", range(20))
def test_recuts_cut_runners_off_soon_after_their_restart(seed: int) -> None:
    """Guards against plays in which runners have time to report."""
    schedule = _schedule.make_schedule(
        seed, _DURATION, _schedule.Profile.RECUTS
    )
    restarts = [
        it for it in schedule if isinstance(it.fault, _troubles.RunnerRestart)
    ]
    cuts = [it for it in schedule if isinstance(it.fault, _troubles.RunnerCut)]
    assert len(restarts) == len(cuts) >= 3
    for restart, cut in zip(restarts, cuts):
        assert isinstance(restart.fault, _troubles.RunnerRestart)
        assert isinstance(cut.fault, _troubles.RunnerCut)
        assert restart.fault.machines == cut.fault.machines
        gap = cut.start - restart.start - restart.duration
        assert 0.2 < gap.total_seconds() < 2.4


def test_all_kinds_of_troubles_are_drawn() -> None:
    """Guards against a kind of trouble that is never played."""
    drawn = {
        type(item.fault).__name__
        for seed in range(20)
        for item in _schedule.make_schedule(seed, _DURATION)
    }
    # attrs leaves classes of the same names behind until they are collected.
    kinds = {kind.__name__ for kind in _troubles.Trouble.__subclasses__()}
    assert drawn == kinds


@pytest.mark.parametrize("kind", _traffic.KINDS)
def test_traffic_has_the_rates_and_sizes_of_the_sheet(
    kind: _traffic.Kind,
) -> None:
    """Guards against plays at a lower rate than they claim."""
    arrivals = _traffic.draw_arrivals(1, _LONG, [])
    assert arrivals == _traffic.draw_arrivals(1, _LONG, [])
    own = [arrival for arrival in arrivals if arrival.kind is kind]
    rate = len(own) / _LONG.total_seconds()
    assert rate == pytest.approx(kind.rate, rel=0.15)
    steps = [step for arrival in own for step in arrival.document["steps"]]
    for key, amount in (("count", kind.width), ("cpu", kind.processors)):
        mean = statistics.fmean(step[key] for step in steps)
        assert mean == pytest.approx(amount.mean, rel=0.1)
        assert max(step[key] for step in steps) <= amount.highest


def test_burst_raises_the_rate_of_one_kind() -> None:
    """Guards against bursts that change the jobs outside of them."""
    burst = _traffic.Burst(_traffic.ROSTER_BUILD, 100, 1100, 2.6)
    arrivals = _traffic.draw_arrivals(1, _LONG, [burst])
    inside = [
        arrival
        for arrival in arrivals
        if arrival.kind is burst.kind
        and burst.start <= arrival.time < burst.end
    ]
    rate = len(inside) / 1000
    assert rate == pytest.approx(2.6 * burst.kind.rate, rel=0.1)


@pytest.mark.parametrize("run", range(1, 4))
@pytest.mark.parametrize("kind", _traffic.KINDS)
def test_runs_are_planned_from_the_spec_alone(
    kind: _traffic.Kind, run: int
) -> None:
    """Guards against a restarted runner that runs a task differently."""
    arrivals = _traffic.draw_arrivals(1, _LONG, [])
    arrival = next(it for it in arrivals if it.kind is kind)
    task = f"{arrival.job}.0.0.0"
    specs = [_traffic.decode_spec(arrival.document["spec"]) for _ in "ab"]
    assert specs[0].plan_run(task, run) == specs[1].plan_run(task, run)
    step = arrival.document["steps"][0]
    assert specs[0].steps[0].reserved.processors == step["cpu"]


def _make_start() -> bytes:
    body = orjson.dumps({"task": _TASK, "run": 1, "fencing_token": 7})
    head = f"POST {runner.START_PATH} HTTP/1.1\r\nHost: a\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def _call(address: str, timeout_s: float) -> bytes | None:
    """Sends a start, and returns the status line; None for no answer."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_make_start())
            line = await reader.readline()
            writer.close()
    except TimeoutError:
        return None
    except OSError:
        return b"broken"
    return line or b"broken"


class _Trial:
    """A proxy in front of two servers, which run one after the other."""

    def __init__(self) -> None:
        self.received: list[int] = []
        self.proxy = _call_proxy.CallProxy(random.Random(1))

    async def open(self, incarnation: int) -> servers.StandInServer:
        """Has the proxy pass calls on to a new server."""

        async def handle(request: network.Request) -> network.Response:
            self.received.append(incarnation)
            return network.Response(200)

        server = servers.StandInServer(handle)
        self.proxy.set_target(server.address, "r-0")
        return server


async def _play_late_call() -> tuple[list[int], _calls.Call]:
    trial = _Trial()
    first = await trial.open(1)
    trial.proxy.set_port(_call_proxy.Port.OPEN)
    trial.proxy.disturbances.late_share = 1.0
    trial.proxy.disturbances.late_delays_s = (0.3, 0.3)
    assert await _call(trial.proxy.address, 0.1) in (None, b"broken")
    await first.close()
    trial.proxy.break_connections(is_silent=False)
    second = await trial.open(2)
    await asyncio.sleep(0.6)
    await trial.proxy.close()
    await second.close()
    return trial.received, trial.proxy.starts[0]


def test_late_call_reaches_the_next_incarnation() -> None:
    """Guards against late calls that end with the process of the runner."""
    received, start = asyncio.run(_play_late_call())
    assert received == [2]
    assert (start.is_late, start.status, start.token) == (True, 200, 7)


async def _play_port(port: _call_proxy.Port) -> list[bytes | None]:
    trial = _Trial()
    server = await trial.open(1)
    trial.proxy.set_port(port)
    answers = [await _call(trial.proxy.address, 0.3)]
    trial.proxy.set_port(_call_proxy.Port.OPEN)
    answers.append(await _call(trial.proxy.address, 5.0))
    await trial.proxy.close()
    await server.close()
    return answers


@pytest.mark.parametrize(
    ("port", "answer"),
    [
        (_call_proxy.Port.OPEN, b"HTTP/1.1 200 OK\r\n"),
        (_call_proxy.Port.DARK, None),
        (_call_proxy.Port.CLOSED, b"broken"),
    ],
)
def test_machine_accepts_ignores_or_refuses_connections(
    port: _call_proxy.Port, answer: bytes | None
) -> None:
    """Guards against a cut machine that still accepts connections."""
    answers = asyncio.run(_play_port(port))
    assert answers == [answer, b"HTTP/1.1 200 OK\r\n"]


async def _play_dark() -> list[int]:
    trial = _Trial()
    server = await trial.open(1)
    trial.proxy.set_port(_call_proxy.Port.OPEN)
    host, port = trial.proxy.address.split(":")
    # The loop does not run before the machine is dark.
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(_make_start())
        trial.proxy.set_port(_call_proxy.Port.DARK)
        await asyncio.sleep(0.1)
        trial.proxy.set_port(_call_proxy.Port.OPEN)
        await asyncio.sleep(0.3)
    await trial.proxy.close()
    await server.close()
    return trial.received


def test_calls_to_a_dark_machine_are_not_served_later() -> None:
    """Guards against commands that a dark machine keeps for its successor."""
    assert asyncio.run(_play_dark()) == []


async def _play_power_loss(is_silent: bool) -> tuple[float, bytes | None]:
    """Returns when a client learns that a process has ended, and of what."""
    trial = _Trial()
    first = await trial.open(1)
    trial.proxy.set_port(_call_proxy.Port.OPEN)
    host, port = trial.proxy.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(_make_start())
    await reader.readline()
    await first.close()
    trial.proxy.break_connections(is_silent)
    second = await trial.open(2)
    loop = asyncio.get_running_loop()
    began = loop.time()
    loop.call_later(0.5, writer.write, _make_start())
    try:
        while await reader.read(1000):
            pass
    except ConnectionError:
        pass
    after_s = loop.time() - began
    answer = await _call(trial.proxy.address, 1.0)
    await trial.proxy.close()
    await second.close()
    return after_s, answer


@pytest.mark.parametrize(("is_silent", "least_s"), [(True, 0.5), (False, 0.0)])
def test_machine_without_power_is_noticed_with_the_next_call(
    is_silent: bool, least_s: float
) -> None:
    """Guards against restarts that instances notice sooner than they can."""
    after_s, answer = asyncio.run(_play_power_loss(is_silent))
    assert least_s <= after_s < least_s + 0.4
    assert answer is not None and b"200" in answer


async def _close_after_power_loss() -> None:
    trial = _Trial()
    trial.proxy.set_port(_call_proxy.Port.OPEN)
    host, _, port = trial.proxy.address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    await asyncio.sleep(0.1)
    trial.proxy.break_connections(is_silent=True)
    try:
        await asyncio.wait_for(trial.proxy.close(), 5)
    finally:
        writer.close()


def test_proxy_closes_beside_a_connection_to_an_ended_process() -> None:
    """Guards against a play that does not end.

    The client has not noticed that the machine has lost its power.
    """
    asyncio.run(_close_after_power_loss())


async def _play_cut(
    requests: bool, answers: bool
) -> tuple[bytes | None, list[int], list[int]]:
    trial = _Trial()
    server = await trial.open(1)
    trial.proxy.set_port(_call_proxy.Port.OPEN)
    trial.proxy.cut(requests, answers)
    answer = await _call(trial.proxy.address, 0.3)
    during = list(trial.received)
    trial.proxy.cut(False, False)
    await asyncio.sleep(0.3)
    await trial.proxy.close()
    await server.close()
    return answer, during, trial.received


@pytest.mark.parametrize(
    ("requests", "answers", "during"),
    [(True, False, []), (False, True, [1]), (True, True, [])],
)
def test_cut_holds_one_direction_back(
    requests: bool, answers: bool, during: list[int]
) -> None:
    """Guards against cuts that act in the wrong direction."""
    found = asyncio.run(_play_cut(requests, answers))
    assert found == (None, during, [1])


@pytest.mark.parametrize(
    ("is_late", "passed_on", "is_first", "cause"),
    [
        (True, 1.0, False, _events.Cause.LATE),
        (True, 1.0, True, _events.Cause.LATE_AND_FIRST),
        (False, 1.0, True, _events.Cause.NOT_LATE),
        (True, 1.5, True, _events.Cause.NOT_LATE),
        (True, None, True, _events.Cause.NOT_LATE),
    ],
)
def test_late_starts_are_matched_with_runs(
    is_late: bool,
    passed_on: float | None,
    is_first: bool,
    cause: _events.Cause,
) -> None:
    """Guards against violations that are put down to a wrong cause."""
    run = history.RunRecord("r-0", 1, _TASK, 1, 7, 1.2)
    start = _calls.Call(
        runner.START_PATH, _TASK, 1, 7, 0.5, "", "r-0", passed_on
    )
    start.is_late, start.is_first = is_late, is_first
    assert _events.find_cause([run], [start]) is cause
