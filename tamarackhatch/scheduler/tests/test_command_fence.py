"""Tests the fencing tokens of the commands to one runner."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime

import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch.scheduler import _command_fence

_STEP = model.Step(1, model.Resources(processors=1_000, memory_mb=100))


@pytest.mark.parametrize(
    ("unanswered", "confirmed", "tokens"),
    [
        (False, [7], [7, 7]),
        (False, [7, 9], [7, 7]),
        (True, [7], [7, 7]),
        (True, [7, 9], [9, 9]),
        (True, [7, 9, 12], [9, 9]),
        (True, [8, 9, 12], [8, 8]),
    ],
)
def test_unanswered_command_raises_the_token_of_later_ones(
    unanswered: bool, confirmed: list[int], tokens: list[int]
) -> None:
    """Guards against later commands that do not shut out a late one."""
    fence = _command_fence.CommandFence()
    assert fence.advance([7]) == 7
    if unanswered:
        fence.record_unanswered_command(datetime.timedelta())
    assert [fence.advance(confirmed), fence.advance(confirmed)] == tokens


def test_token_rises_as_soon_as_the_store_confirms_the_term() -> None:
    """Guards against a late command that is shut out never."""
    fence = _command_fence.CommandFence()
    fence.advance([7])
    fence.require_higher_token()
    assert fence.advance([7]) == 7
    assert fence.advance([7, 9]) == 9


@pytest.mark.parametrize(
    ("token", "is_current"), [(6, False), (8, False), (9, True)]
)
def test_refusal_of_an_own_earlier_token_ends_no_term(
    token: int, is_current: bool
) -> None:
    """Guards against a term that its own commands end."""
    fence = _command_fence.CommandFence()
    fence.advance([7])
    fence.require_higher_token()
    fence.advance([7, 9])
    assert fence.is_current(token) is is_current


class _OvertakenStart:
    """Loses the first start, and holds the second one back.

    Attributes:
        refused_tokens: Tokens of the commands that the runner has refused.
    """

    def __init__(self, fleet: standin_fleet.VirtualFleet) -> None:
        self.refused_tokens: list[int] = []
        self._runner = fleet.runners[0]
        self._starts = 0
        fleet.network.serve(self._runner.address, self._handle)

    async def _handle(self, request: network.Request) -> network.Response:
        if request.path == runner.START_PATH:
            self._starts += 1
            if self._starts == 1:
                raise network.NoResponseError
            if self._starts == 2:
                await asyncio.sleep(0.6)
        response = await self._runner.handle(request)
        if response.body.get("reason") == "fence":
            self.refused_tokens.append(request.body["fencing_token"])
        return response


def test_start_that_a_later_command_overtakes_is_sent_again() -> None:
    """Guards against a lost start, or a lost term, after a raised token."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        starts = _OvertakenStart(fleet)
        await fleet.submit("00", _STEP)
        await asyncio.sleep(0.5)
        await fleet.submit("01", _STEP)
        for job in ("00", "01"):
            await fleet.wait_for_state(job, model.JobState.COMPLETED, 4)
        assert len(starts.refused_tokens) == 1
        tokens = {run.token for run in fleet.history.runs}
        assert min(tokens) > starts.refused_tokens[0]
        assert len(fleet.history.runs) == 2
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("restarts", [1, 3])
def test_successor_is_obeyed_after_tokens_were_raised(restarts: int) -> None:
    """Guards against a token that is above that of the next term."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1, lambda task, run: (60.0, "done"))
        for name in ("a", "b"):
            fleet.start_instance(name)
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        for number in range(restarts):
            await fleet.submit(f"0{number}", _STEP)
            await asyncio.sleep(1)
            fleet.runners[0].crash(resets_connections=True)
            await asyncio.sleep(1)
        leader = fleet.get_leader()
        assert leader is not None
        leader.kill()
        del fleet.instances[leader.name]
        await fleet.submit("09", _STEP)
        await fleet.wait_until(lambda: "09.0.0.0" in fleet.runners[0].running)
        assert fleet.check() == []

    virtual_time.run_virtually(simulate())


class _Observer:
    """Notes the token of each command that a runner gets, with its time."""

    def __init__(self, fleet: standin_fleet.VirtualFleet) -> None:
        self.tokens: list[tuple[float, int]] = []
        self._runner = fleet.runners[0]
        fleet.network.serve(self._runner.address, self._handle)

    async def _handle(self, request: network.Request) -> network.Response:
        time = asyncio.get_running_loop().time()
        self.tokens.append((time, request.body["fencing_token"]))
        return await self._runner.handle(request)


async def _cut_off(fleet: standin_fleet.VirtualFleet) -> None:
    faults = fleet.network.get_faults(fleet.runners[0].address)
    faults.unreachable_from.add("*")
    await asyncio.sleep(3)
    faults.unreachable_from.clear()


async def _restart(fleet: standin_fleet.VirtualFleet) -> None:
    fleet.runners[0].is_registering = False
    fleet.runners[0].crash()


async def _restart_and_register(fleet: standin_fleet.VirtualFleet) -> None:
    fleet.runners[0].crash()
    fleet.runners[0].register(fleet.store)


@pytest.mark.parametrize(
    ("trouble", "longest_s"),
    [
        pytest.param(_cut_off, 1.1, id="missed-renewals"),
        pytest.param(_restart, 1.7, id="report-of-a-new-incarnation"),
        pytest.param(_restart_and_register, 0.5, id="row-of-a-new-one"),
    ],
)
@pytest.mark.parametrize("offset_ms", [0, 300, 700, 1100])
def test_trouble_of_a_runner_raises_the_token_soon(
    offset_ms: int,
    trouble: Callable[[standin_fleet.VirtualFleet], Awaitable[None]],
    longest_s: float,
) -> None:
    """Guards against late commands that stay valid for long."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2 + offset_ms / 1000)
        observer = _Observer(fleet)
        await fleet.submit("00", _STEP)
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        highest = max(token for _, token in observer.tokens)
        await trouble(fleet)
        ended = asyncio.get_running_loop().time()
        await asyncio.sleep(longest_s)
        later = [token for time, token in observer.tokens if time >= ended]
        assert max(later, default=0) > highest

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("back_after_s", [9.0, 11.0, 13.0])
def test_lost_runner_is_asked_as_long_as_late_commands_may_reach_it(
    back_after_s: float,
) -> None:
    """Guards against a runner that is forgotten, and obeys a late start.

    It is back at its address, and not in the registry yet.
    """

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(1)
        fleet.start_instance("a")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        await asyncio.sleep(2)
        item = fleet.runners[0]
        observer = _Observer(fleet)
        faults = fleet.network.get_faults(item.address)
        faults.late_clients.add("a")
        await fleet.submit("00", _STEP)
        await asyncio.sleep(0.5)
        faults.late_clients.clear()
        await fleet.wait_for_state("00", model.JobState.COMPLETED)
        item.is_registering = False
        fleet.store.remove("servers", item.identifier)
        faults.unreachable_from.add("*")
        await asyncio.sleep(back_after_s)
        item.crash()
        observer.tokens.clear()
        faults.unreachable_from.clear()
        await asyncio.sleep(1)
        assert observer.tokens

    virtual_time.run_virtually(simulate())
