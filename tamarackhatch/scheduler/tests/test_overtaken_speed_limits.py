"""Speed limits of one run that overtake each other on their way."""

import asyncio
import datetime
import types
import typing

import pytest

from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.scheduler import _command_fence
from tamarackhatch.scheduler import _commands


class _Client:
    """Delays the first call, as another connection does.

    Attributes:
        speed_limit: The runner's latest speed limit, in per cent.
    """

    def __init__(self, delay_s: float) -> None:
        self.speed_limit = 100
        self._delay_s = delay_s
        self._calls = 0

    async def set_speed_limit(
        self,
        record: object,
        authority: platform.Authority,
        command: platform.RunCommand,
        percent: int,
    ) -> platform.CommandOutcome:
        """Sets the speed limit."""
        self._calls += 1
        await asyncio.sleep(self._delay_s if self._calls == 1 else 0.01)
        self.speed_limit = percent
        return platform.CommandOutcome.ACCEPTED


@pytest.mark.parametrize("delay_s", [0.1, 0.3, 0.6])
def test_runner_keeps_the_latest_speed_limit(delay_s: float) -> None:
    """Guards against a run that stays slow though full speed was sent last."""

    async def simulate() -> None:
        client = _Client(delay_s)
        fence = _command_fence.CommandFence()
        labels = types.SimpleNamespace(inc=lambda: None)
        context = types.SimpleNamespace(
            client=client,
            leader_lease=types.SimpleNamespace(is_valid=True),
            authorise_command=lambda entry: platform.Authority(
                fence.advance([7]), lambda: True
            ),
            get_now=datetime.timedelta,
            metrics=types.SimpleNamespace(
                commands=types.SimpleNamespace(labels=lambda *args: labels)
            ),
        )
        usage = types.SimpleNamespace(set_speed_limit=lambda *args: None)
        entry = types.SimpleNamespace(
            record=None,
            fence=fence,
            load=types.SimpleNamespace(best_effort_usage=usage),
        )
        task = types.SimpleNamespace(
            key=model.TaskKey("00", 0, 0, 0), run=1, runner=entry
        )
        sender = _commands.CommandSender(typing.cast(typing.Any, context))
        for percent in (30, 100):
            sender.set_speed_limit(typing.cast(typing.Any, task), percent)
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        assert task.speed_limit_percent == client.speed_limit

    virtual_time.run_virtually(simulate())


class _LossyClient:
    """Carries some commands out without an answer, and late.

    Attributes:
        speed_limit: The runner's latest speed limit, in per cent.
        sent: All speed limits sent, in per cent.
    """

    def __init__(self, unanswered: tuple[int, ...]) -> None:
        self.speed_limit = 100
        self.sent: list[int] = []
        self._unanswered = unanswered
        self._obeyed_token = 0

    async def set_speed_limit(
        self,
        record: object,
        authority: platform.Authority,
        command: platform.RunCommand,
        percent: int,
    ) -> platform.CommandOutcome:
        """Sets the speed limit, or loses the answer."""
        self.sent.append(percent)
        if len(self.sent) in self._unanswered:
            asyncio.get_running_loop().call_later(
                0.5, self._obey, authority.token, percent
            )
            await asyncio.sleep(0.2)
            raise platform.RunnerOutcomeUnknownError("no answer")
        await asyncio.sleep(0.05)
        self._obey(authority.token, percent)
        return platform.CommandOutcome.ACCEPTED

    def _obey(self, token: int, percent: int) -> None:
        if token >= self._obeyed_token:
            self._obeyed_token = token
            self.speed_limit = percent


@pytest.mark.parametrize(
    ("percents", "unanswered", "expected"),
    [
        pytest.param((30, 100), (1,), 100, id="first-unanswered"),
        pytest.param((30, 100, 30), (2,), 30, id="back-to-the-first"),
        pytest.param((30, 60, 90, 45), (), 45, id="many"),
        pytest.param((30,), (1,), 30, id="repeated"),
        pytest.param((30,), (1, 2), None, id="given-up"),
    ],
)
def test_limit_follows_one_whose_outcome_is_unknown(
    percents: tuple[int, ...],
    unanswered: tuple[int, ...],
    expected: int | None,
) -> None:
    """Guards against a late speed limit that replaces the latest one."""

    async def simulate() -> None:
        client = _LossyClient(unanswered)
        fence = _command_fence.CommandFence()
        labels = types.SimpleNamespace(inc=lambda: None)
        context = types.SimpleNamespace(
            client=client,
            leader_lease=types.SimpleNamespace(is_valid=True),
            authorise_command=lambda entry: platform.Authority(
                fence.advance(range(7, 20)), lambda: True
            ),
            get_now=datetime.timedelta,
            log=types.SimpleNamespace(info=lambda *args, **kwargs: None),
            metrics=types.SimpleNamespace(
                commands=types.SimpleNamespace(labels=lambda *args: labels)
            ),
        )
        usage = types.SimpleNamespace(set_speed_limit=lambda *args: None)
        entry = types.SimpleNamespace(
            identifier="r1",
            record=None,
            fence=fence,
            load=types.SimpleNamespace(best_effort_usage=usage),
        )
        task = types.SimpleNamespace(
            key=model.TaskKey("00", 0, 0, 0), run=1, runner=entry
        )
        sender = _commands.CommandSender(typing.cast(typing.Any, context))
        for percent in percents:
            sender.set_speed_limit(typing.cast(typing.Any, task), percent)
            await asyncio.sleep(0.06)
        await asyncio.sleep(2)
        assert task.speed_limit_percent == expected
        assert expected in (None, client.speed_limit)
        assert len(client.sent) <= len(percents) + len(unanswered)

    virtual_time.run_virtually(simulate())
