"""Sends speed limits to runs, one at a time to each."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import typing

from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _state

_MAX_ATTEMPTS = 2

_Send = Callable[[platform.Authority], Awaitable[platform.CommandOutcome]]
_SendWithToken = Callable[
    [_state.TaskRunner, _Send], Awaitable[platform.CommandOutcome]
]


class SpeedLimitSender:
    """Sends each run its latest speed limit.

    Two commands on their way to one run could overtake each other, so a limit
    that is chosen meanwhile follows once the outcome of the earlier one is
    known. An earlier one without an answer has a lower token than the next:
    the runner refuses it if it arrives after that.
    """

    def __init__(
        self,
        context: _context.SchedulerContext,
        send_with_token: _SendWithToken,
    ) -> None:
        self._context = context
        self._send_with_token = send_with_token
        self._runs_in_delivery: set[tuple[model.TaskKey, int]] = set()

    def begin_delivery(
        self, task: _state.TaskEntry
    ) -> Coroutine[typing.Any, typing.Any, None] | None:
        """Returns what sends a task's speed limit; None if that runs already.

        Args:
            task: The task, with a runner. Its speed limit is read before each
                command.
        """
        run = (task.key, task.run)
        if task.runner is None or run in self._runs_in_delivery:
            return None
        self._runs_in_delivery.add(run)
        return self._deliver(task, task.runner, task.run)

    async def _deliver(
        self, task: _state.TaskEntry, entry: _state.TaskRunner, run: int
    ) -> None:
        answered_percent: int | None = None
        attempts = 0
        try:
            while (
                task.run == run
                and task.runner is entry
                and (percent := task.speed_limit_percent) is not None
                and percent != answered_percent
                and self._context.leader_lease.is_valid
            ):
                if await self._send(task, entry, run, percent):
                    answered_percent = percent
                    attempts = 0
                    continue
                # The command may be carried out later.
                answered_percent = None
                attempts += 1
                if (
                    attempts >= _MAX_ATTEMPTS
                    and task.run == run
                    and task.speed_limit_percent == percent
                ):
                    task.speed_limit_percent = None
        finally:
            self._runs_in_delivery.discard((task.key, run))

    async def _send(
        self,
        task: _state.TaskEntry,
        entry: _state.TaskRunner,
        run: int,
        percent: int,
    ) -> bool:
        """Sends one command.

        Returns:
            Whether the runner has answered.
        """
        command = platform.RunCommand(task.key, run)
        commands = self._context.metrics.commands
        try:
            outcome = await self._send_with_token(
                entry,
                lambda authority: self._context.client.set_speed_limit(
                    entry.record, authority, command, percent
                ),
            )
        except (
            platform.RunnerUnavailableError,
            platform.RunnerOutcomeUnknownError,
        ) as error:
            self._context.log.info(
                "command_unanswered",
                kind="pace",
                task=str(task.key),
                run=run,
                runner=entry.identifier,
                reason=error.message,
            )
            commands.labels("pace", "unknown").inc()
            return False
        commands.labels("pace", outcome.value).inc()
        if outcome is platform.CommandOutcome.ACCEPTED:
            entry.load.best_effort_usage.set_speed_limit(
                task.key, percent / 100, self._context.get_now()
            )
        return True
