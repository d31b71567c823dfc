"""Suspends real processes while they are the active scheduler."""

import asyncio
import pathlib
import signal
import typing

import pytest

from standins import network
from standins import processes
from standins import runner

_PREFIX = "/renewals/"
_BATCH = {"spec": "renew", "steps": [{"count": 4, "cpu": 1000, "mem_mb": 64}]}
# Leader lease of the scheduler, in its default settings.
_LEADER_LEASE_S = 5.0


class _RecordingRunner(runner.RunnerStandIn):
    """Runner that records the fencing tokens of the starts that arrive."""

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self.start_tokens: list[int] = []

    async def handle(self, request: network.Request) -> network.Response:
        if request.path == "/-/run-start":
            self.start_tokens.append(request.body["fencing_token"])
        return await super().handle(request)


async def _suspend_leader(
    folder: pathlib.Path, duration_s: float
) -> tuple[processes.ProcessFleet, list[int], int]:
    """Suspends the leader just before it sends a start command.

    Returns:
        The fleet, the tokens of the starts that arrived after the process was
        resumed, and the token of its term.
    """
    fleet = processes.ProcessFleet(folder)
    recorders = [
        _RecordingRunner(
            f"i-{index}",
            "",
            processes.SERVICE,
            lambda task, run: (0.5, "done"),
            fleet.history,
        )
        for index in range(2)
    ]
    try:
        fleet.publish_configuration(1, [_PREFIX])
        for recorder in recorders:
            fleet.add_runner(recorder)
        trigger = folder / "suspend"
        await fleet.start_instance("a", "standins.suspending", str(trigger))
        assert await fleet.find_scheduler() == "a"
        await fleet.start_instance("b")
        await fleet.submit_job("00000000000000a1", _PREFIX, _BATCH)
        assert await fleet.wait_until_completed("00000000000000a1", _PREFIX)
        token = max(t for item in recorders for t in item.start_tokens)
        trigger.touch()
        await fleet.submit_job("00000000000000a2", _PREFIX, _BATCH)
        async with asyncio.timeout(5):
            while trigger.exists():
                await asyncio.sleep(0.01)
        await asyncio.sleep(duration_s)
        for recorder in recorders:
            recorder.start_tokens.clear()
        fleet.processes["a"].send_signal(signal.SIGCONT)
        assert await fleet.wait_until_completed("00000000000000a2", _PREFIX)
        await asyncio.sleep(1)
        tokens = [t for item in recorders for t in item.start_tokens]
        return fleet, tokens, token
    finally:
        await fleet.close()


@pytest.mark.parametrize("duration_s", [3.0, 6.0, 12.0])
def test_suspended_scheduler_sends_nothing_after_its_lease(
    duration_s: float, tmp_path: pathlib.Path
) -> None:
    """Guards against acting on a leader lease that has run out meanwhile.

    The process is suspended between the check of its lease and the sending.
    """
    fleet, tokens, token = asyncio.run(_suspend_leader(tmp_path, duration_s))
    if duration_s > _LEADER_LEASE_S:
        assert token not in tokens
    assert fleet.check() == []
    assert len(fleet.history.runs) == 8
