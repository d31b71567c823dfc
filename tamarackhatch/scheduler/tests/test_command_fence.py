"""Tests the fencing tokens of the commands to one runner."""

import asyncio

import pytest

from standins import fleet as standin_fleet
from standins import network
from standins import runner
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch.scheduler import _command_fence

_STEP = model.Step(1, model.Resources(processors=1_000, memory_mb=100))


@pytest.mark.parametrize(
    ("is_unanswered", "confirmed", "token", "is_outdated"),
    [
        (False, 7, 7, False),
        (False, 9, 7, False),
        (True, 7, 7, True),
        (True, 9, 9, False),
    ],
)
def test_unanswered_command_raises_the_token_of_later_ones(
    is_unanswered: bool, confirmed: int, token: int, is_outdated: bool
) -> None:
    """Guards against later commands that do not shut out a late one."""
    fence = _command_fence.CommandFence()
    assert fence.advance(7) == 7
    if is_unanswered:
        fence.record_unanswered_command()
    assert fence.advance(confirmed) == token
    assert fence.is_outdated is is_outdated


@pytest.mark.parametrize(
    ("token", "is_current"), [(6, False), (8, False), (9, True)]
)
def test_refusal_of_an_own_earlier_token_ends_no_term(
    token: int, is_current: bool
) -> None:
    """Guards against a term that its own commands end."""
    fence = _command_fence.CommandFence()
    fence.advance(7)
    fence.record_unanswered_command()
    fence.advance(9)
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
