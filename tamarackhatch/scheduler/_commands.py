"""Delivery of commands to runners, until their outcome is certain."""

import asyncio
from collections.abc import Coroutine
import datetime
import typing

from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _state

_RETRY_PAUSE = datetime.timedelta(milliseconds=60)
# How long a runner that refused a start gets no new tasks. A renewal, which
# corrects what is known of the runner, comes within this time.
_REFUSAL_PAUSE = datetime.timedelta(milliseconds=300)
_UNHEALTHY_PAUSE = datetime.timedelta(seconds=1)
_MAX_SPEED_LIMIT_TRIES = 2
_FULL_SPEED_PERCENT = 100

_Outcome = platform.CommandOutcome


class CommandSender:
    """Sends commands, each in a task of its own."""

    def __init__(self, context: _context.SchedulerContext) -> None:
        self._context = context
        self._deliveries: set[asyncio.Task[typing.Any]] = set()

    @property
    def in_progress(self) -> int:
        """Number of commands without an outcome."""
        return len(self._deliveries)

    def start(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        speed_limit_percent: int,
    ) -> None:
        """Starts the next run of a task, at a speed limit in per cent."""
        run = self._context.job_tracker.allocate_run(task)
        self._spawn(self._deliver_start(task, entry, run, speed_limit_percent))

    def stop(self, task: _state.TaskEntry) -> None:
        """Stops the latest run of a task, wherever it is."""
        if task.runner is not None:
            self._spawn(self._deliver_stop(task, task.runner, task.run))

    def stop_orphan(
        self, entry: _fleet.RunnerEntry, listed: model.RunningTask
    ) -> None:
        """Stops a listed run that belongs to no task there."""
        self._context.log.warning(
            "stray_run",
            task=str(listed.task),
            run=listed.run,
            runner=entry.identifier,
        )
        command = platform.RunCommand(
            listed.task, listed.run, self._context.token
        )
        self._spawn(self._send_stop(entry, command))

    def set_speed_limit(self, task: _state.TaskEntry, percent: int) -> None:
        """Lets a run work at a share of its speed, in per cent."""
        if task.runner is not None:
            task.speed_limit_percent = percent
            self._spawn(
                self._deliver_speed_limit(task, task.runner, task.run, percent)
            )

    def close(self) -> None:
        """Gives up all commands that are in progress."""
        for delivery in self._deliveries:
            delivery.cancel()

    def _spawn(
        self, delivery: Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        task = asyncio.get_running_loop().create_task(delivery)
        self._deliveries.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[typing.Any]) -> None:
        self._deliveries.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._context.log.error(
                "order_crashed", reason=repr(task.exception())
            )

    def _count(self, kind: str, outcome: str) -> None:
        self._context.metrics.commands.labels(kind, outcome).inc()

    async def _deliver_start(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        run: int,
        speed_limit_percent: int,
    ) -> None:
        context = self._context
        is_uncertain = False
        lease_end = self._grant(entry)
        if lease_end is None:
            context.job_tracker.withdraw_start(task)
            return
        while (
            task.run == run
            and task.runner is entry
            and task.phase is _state.TaskPhase.STARTING
        ):
            outcome = await self._try_start(task, entry, run, lease_end)
            if task.run != run or task.runner is not entry:
                return
            if outcome is _Outcome.ACCEPTED:
                context.job_tracker.confirm_run(task, entry)
                if (
                    speed_limit_percent < _FULL_SPEED_PERCENT
                    and task.speed_limit_percent == _FULL_SPEED_PERCENT
                ):
                    self.set_speed_limit(task, speed_limit_percent)
                return
            if outcome is _Outcome.FENCED:
                context.leader_lease.revoke()
                return
            if outcome is None:
                is_uncertain = True
                await context.clock.sleep(_RETRY_PAUSE)
                continue
            if is_uncertain:
                self._settle(task, entry, outcome)
                return
            self._apply_refusal(task, entry, outcome)
            return

    def _grant(self, entry: _fleet.RunnerEntry) -> datetime.timedelta | None:
        context = self._context
        if not context.leader_lease.is_valid:
            return None
        return entry.compute_lease_end(
            context.get_now(), context.settings.lease
        )

    async def _try_start(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        run: int,
        lease_end: datetime.timedelta,
    ) -> platform.CommandOutcome | None:
        """Returns the outcome; None if the run may start, now or later.

        All tries carry the same lease end, so that the time after which
        none of them can start the run does not move.
        """
        context = self._context
        if not context.leader_lease.is_valid:
            return None
        try:
            outcome = await context.client.start(
                entry.record,
                platform.RunCommand(task.key, run, context.token),
                task.job.job.specification,
                lease_end,
                task.checkpoint,
                task.ticket,
            )
        except platform.RunnerUnavailableError as error:
            self._log_failure("start", task, entry, error.message)
            outcome = _Outcome.UNHEALTHY
        except platform.RunnerOutcomeUnknownError as error:
            self._log_failure("start", task, entry, error.message)
            self._count("start", "unknown")
            return None
        self._count("start", outcome.value)
        return outcome

    def _apply_refusal(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        outcome: platform.CommandOutcome,
    ) -> None:
        context = self._context
        context.log.info(
            "start_refused",
            task=str(task.key),
            run=task.run,
            runner=entry.identifier,
            outcome=outcome.value,
        )
        if outcome is _Outcome.NO_TICKET:
            key = task.key
            step = (key.job, key.occurrence, key.step)
            context.tickets.discard_ticket(step, entry.identifier)
            if task.job.job.queue.advice is None:
                # The policy was added after the job: starts stay refused.
                entry.avoid_until = context.get_now() + _UNHEALTHY_PAUSE
            context.job_tracker.withdraw_start(task)
            return
        pause = _REFUSAL_PAUSE
        if outcome in (_Outcome.UNHEALTHY, _Outcome.RESTARTED):
            pause = _UNHEALTHY_PAUSE
        entry.avoid_until = context.get_now() + pause
        context.job_tracker.withdraw_start(task)

    def _settle(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        outcome: platform.CommandOutcome,
    ) -> None:
        """Ends a start whose first call had no answer and then a refusal."""
        if outcome is _Outcome.OUTDATED:
            # The run began and has exited: the next lists show it.
            self._context.job_tracker.confirm_run(task, entry)
            return
        # The first call may still be carried out; a stop prevents that.
        self._context.job_tracker.evict(task, f"start {outcome.value}")

    async def _deliver_stop(
        self, task: _state.TaskEntry, entry: _fleet.RunnerEntry, run: int
    ) -> None:
        command = platform.RunCommand(task.key, run, self._context.token)
        while task.run == run and task.runner is entry:
            if await self._send_stop(entry, command):
                if task.run == run and task.runner is entry:
                    # Lists of later renewals show the run only if it exists.
                    task.confirmed = self._context.get_now()
                return
            await self._context.clock.sleep(_RETRY_PAUSE)

    async def _send_stop(
        self, entry: _fleet.RunnerEntry, command: platform.RunCommand
    ) -> bool:
        context = self._context
        if not context.leader_lease.is_valid:
            return False
        try:
            outcome = await context.client.stop(entry.record, command)
        except (
            platform.RunnerUnavailableError,
            platform.RunnerOutcomeUnknownError,
        ) as error:
            context.log.info(
                "order_unanswered",
                kind="stop",
                task=str(command.task),
                run=command.run,
                runner=entry.identifier,
                reason=error.message,
            )
            self._count("stop", "unknown")
            return False
        self._count("stop", outcome.value)
        if outcome is _Outcome.FENCED:
            context.leader_lease.revoke()
        return outcome in (_Outcome.ACCEPTED, _Outcome.OUTDATED)

    async def _deliver_speed_limit(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        run: int,
        percent: int,
    ) -> None:
        context = self._context
        for _ in range(_MAX_SPEED_LIMIT_TRIES):
            if task.run != run or task.runner is not entry:
                return
            if (
                task.speed_limit_percent != percent
                or not context.leader_lease.is_valid
            ):
                return
            command = platform.RunCommand(task.key, run, context.token)
            try:
                outcome = await context.client.set_speed_limit(
                    entry.record, command, percent
                )
            except (
                platform.RunnerUnavailableError,
                platform.RunnerOutcomeUnknownError,
            ) as error:
                self._log_failure("pace", task, entry, error.message)
                self._count("pace", "unknown")
                continue
            self._count("pace", outcome.value)
            if outcome is _Outcome.ACCEPTED:
                now = context.get_now()
                entry.load.best_effort_usage.set_speed_limit(
                    task.key, percent / 100, now
                )
            return
        if task.run == run and task.speed_limit_percent == percent:
            task.speed_limit_percent = None

    def _log_failure(
        self,
        kind: str,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        reason: str,
    ) -> None:
        self._context.log.info(
            "order_unanswered",
            kind=kind,
            task=str(task.key),
            run=task.run,
            runner=entry.identifier,
            reason=reason,
        )
