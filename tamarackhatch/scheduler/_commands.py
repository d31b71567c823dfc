"""Sends commands to runners until their outcomes are known."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
import typing

from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _runner_reports
from tamarackhatch.scheduler import _speed_limit_sender
from tamarackhatch.scheduler import _start_attempts
from tamarackhatch.scheduler import _start_refusals
from tamarackhatch.scheduler import _state

_RETRY_PAUSE = datetime.timedelta(milliseconds=60)
_FULL_SPEED_PERCENT = 100

_Outcome = platform.CommandOutcome


class CommandSender:
    """Sends each command in an asyncio task of its own."""

    def __init__(self, context: _context.SchedulerContext) -> None:
        self._context = context
        self._on_restart: Callable[[_fleet.RunnerEntry], None]
        self._on_restart = lambda entry: None
        self._deliveries: set[asyncio.Task[typing.Any]] = set()
        self._speed_limits = _speed_limit_sender.SpeedLimitSender(
            context, self._send_with_token
        )

    @property
    def in_progress(self) -> int:
        """Number of commands whose outcome is not known yet."""
        return len(self._deliveries)

    def set_restart_callback(
        self, on_restart: Callable[[_fleet.RunnerEntry], None]
    ) -> None:
        """Sets the function to call if an answer shows a restart."""
        self._on_restart = on_restart

    def start_task(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        speed_limit_percent: int,
    ) -> None:
        """Starts the next run of a task.

        Args:
            task: The task.
            entry: The runner.
            speed_limit_percent: Speed limit of the run, in per cent.
        """
        run = self._context.job_tracker.allocate_run(task)
        self._context.start_window.begin_start(not task.step.is_best_effort)
        self._spawn_delivery(
            self._deliver_start(task, entry, run, speed_limit_percent)
        )

    def stop_task(self, task: _state.TaskEntry) -> None:
        """Stops the latest run of a task, if one may exist."""
        if task.runner is not None:
            self._spawn_delivery(
                self._deliver_stop(task, task.runner, task.run)
            )

    def stop_orphan(
        self, entry: _fleet.RunnerEntry, listed: model.RunningTask
    ) -> None:
        """Stops a reported run that belongs to no known task there."""
        self._context.log.warning(
            "orphan_run_found",
            task=str(listed.task),
            run=listed.run,
            runner=entry.identifier,
        )
        job_tracker = self._context.job_tracker
        self._context.repeated_runs.record_running(
            entry,
            listed,
            job_tracker.find_task(listed.task),
            job_tracker.find_job(listed.task.job),
        )
        command = platform.RunCommand(listed.task, listed.run)
        self._spawn_delivery(self._send_stop(entry, command))

    def handle_fenced_command(
        self,
        kind: str,
        entry: _state.TaskRunner,
        authority: platform.Authority,
    ) -> bool:
        """Ends the term, unless a later command of its own has a higher token.

        Returns:
            Whether another scheduler has taken over.
        """
        context = self._context
        is_superseded = entry.fence.is_current(authority.token)
        context.log.warning(
            "command_fenced",
            kind=kind,
            runner=entry.identifier,
            token=authority.token,
            superseded=is_superseded,
        )
        if is_superseded:
            context.leader_lease.revoke()
        return is_superseded

    def set_speed_limit(self, task: _state.TaskEntry, percent: int) -> None:
        """Sets the speed limit of a task's run, in per cent of full speed."""
        if task.runner is not None:
            task.speed_limit_percent = percent
            delivery = self._speed_limits.begin_delivery(task)
            if delivery is not None:
                self._spawn_delivery(delivery)

    def close(self) -> None:
        """Cancels all commands that are in progress."""
        for delivery in self._deliveries:
            delivery.cancel()

    def _spawn_delivery(
        self, delivery: Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        task = asyncio.get_running_loop().create_task(delivery)
        self._deliveries.add(task)
        task.add_done_callback(self._handle_delivery_end)

    def _handle_delivery_end(self, task: asyncio.Task[typing.Any]) -> None:
        self._deliveries.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._context.log.error(
                "command_delivery_failed", reason=repr(task.exception())
            )

    def _count_command(self, kind: str, outcome: str) -> None:
        self._context.metrics.commands.labels(kind, outcome).inc()

    async def _deliver_start(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        run: int,
        speed_limit_percent: int,
    ) -> None:
        start_records = self._context.start_records
        window = self._context.start_window
        is_urgent = not task.step.is_best_effort
        delivery = start_records.begin(
            task.key, run, entry.identifier, is_urgent
        )
        try:
            await self._repeat_start(
                task, entry, delivery, speed_limit_percent
            )
        finally:
            start_records.end(delivery)
            window.end_start(is_urgent)
            if window.has_room_again:
                self._context.wake.set()

    async def _may_send_start(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        delivery: _start_attempts.StartDelivery,
    ) -> bool:
        """Waits for the record of a start; returns whether it is still due."""
        await self._context.start_records.wait_until_recorded(delivery)
        return (
            task.run == delivery.run
            and task.runner is entry
            and task.phase is _state.TaskPhase.STARTING
        )

    async def _repeat_start(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        delivery: _start_attempts.StartDelivery,
        speed_limit_percent: int,
    ) -> None:
        context, run = self._context, delivery.run
        is_due = await self._may_send_start(task, entry, delivery)
        context.load_monitor.counters.add_record(
            context.get_now() - delivery.requested
        )
        if not is_due:
            return
        is_uncertain = False
        attempt_ended = context.get_now()
        lease_end = self._grant_lease(entry)
        if lease_end is None or context.start_records.is_closed:
            context.job_tracker.undo_start(task)
            return
        while await self._may_send_start(task, entry, delivery):
            if context.start_records.is_closed:
                return
            outcome = None
            is_closed = (
                entry.record.is_draining
                or entry.load.is_over_capacity()
                or context.evacuations.is_evacuated(entry.record.data_centre)
            )
            # The run may have crashed the runner: while it does not answer
            # renewals, another attempt could reach its next incarnation.
            may_repeat = not (is_uncertain and entry.missed_renewals)
            if may_repeat and not is_closed:
                outcome = await self._send_start(
                    task, entry, run, lease_end, is_uncertain
                )
                attempt_ended = context.get_now()
            elif not is_uncertain:
                context.log.info(
                    "start_withdrawn",
                    task=str(task.key),
                    run=run,
                    runner=entry.identifier,
                )
                context.job_tracker.undo_start(task)
                return
            elif (
                is_closed
                and entry.clock_read is not None
                and entry.clock_read > attempt_ended
            ):
                # The runner drains, has shrunk or is evacuated, and its report
                # does not list the run. A stop prevents that an earlier
                # attempt still starts it.
                context.job_tracker.evict_task(task, "start not repeated")
                return
            if task.run != run or task.runner is not entry:
                return
            if outcome is _Outcome.ACCEPTED:
                context.job_tracker.confirm_run(task, entry)
                entry.capacity_refusals = 0
                if (
                    speed_limit_percent < _FULL_SPEED_PERCENT
                    and task.speed_limit_percent == _FULL_SPEED_PERCENT
                ):
                    self.set_speed_limit(task, speed_limit_percent)
                return
            if outcome is _Outcome.FENCED:
                return
            if outcome is None:
                is_uncertain = True
                context.start_records.repeat(delivery)
                if entry.has_clock_passed(lease_end, context.get_now()):
                    # No attempt can start the run any more. Reports to later
                    # renewals list the run only if one has started it.
                    task.confirmed = context.get_now()
                    return
                await context.clock.sleep(_RETRY_PAUSE)
                continue
            if is_uncertain:
                _start_refusals.resolve_uncertain_start(
                    context, task, entry, outcome
                )
                return
            _start_refusals.apply_refusal(context, task, entry, outcome)
            return

    def _grant_lease(
        self, entry: _fleet.RunnerEntry
    ) -> datetime.timedelta | None:
        context = self._context
        if not context.leader_lease.is_valid:
            return None
        return entry.compute_lease_end(
            context.get_now(), context.settings.lease
        )

    async def _send_start(
        self,
        task: _state.TaskEntry,
        entry: _fleet.RunnerEntry,
        run: int,
        lease_end: datetime.timedelta,
        is_uncertain: bool,
    ) -> platform.CommandOutcome | None:
        """Sends one start command.

        All attempts carry the same lease end, so the time after which none of
        them can start the run stays fixed.

        Args:
            task: The task.
            entry: The runner.
            run: Number of the run.
            lease_end: End of the lease on the runner's clock.
            is_uncertain: Whether an earlier attempt may start the run.

        Returns:
            The outcome; None if the run may still start, because the outcome
            is unknown or the command was not sent.
        """
        context = self._context
        if not context.leader_lease.is_valid:
            return None
        attempts = context.start_attempts
        attempt = attempts.begin(task.key, run, entry.identifier)
        sent = context.get_now()

        def record_clock(reading: datetime.timedelta) -> None:
            if _runner_reports.record_start_answer(
                entry,
                reading,
                sent,
                context.get_now(),
                lease_end,
                context.settings.bounds.max_lease,
            ):
                self._on_restart(entry)

        try:
            outcome = await self._send_with_token(
                entry,
                lambda authority: context.client.start(
                    entry.record,
                    authority,
                    platform.RunCommand(task.key, run),
                    task.job.job.specification,
                    lease_end,
                    task.checkpoint,
                    task.ticket,
                    record_clock,
                ),
            )
        except platform.CallDelayedError:
            attempts.record_answer(attempt)
            self._count_command("start", "delayed")
            return None if is_uncertain else _Outcome.DELAYED
        except platform.RunnerUnavailableError as error:
            attempts.record_answer(attempt)
            self._log_unanswered("start", task, entry, error.message)
            if is_uncertain or not context.leader_lease.is_valid:
                return None
            outcome = _Outcome.UNHEALTHY
        except platform.RunnerOutcomeUnknownError as error:
            attempts.record_unanswered(attempt, entry.fence.token)
            self._log_unanswered("start", task, entry, error.message)
            self._count_command("start", "unknown")
            return None
        attempts.record_answer(attempt)
        context.start_window.record_call(context.get_now() - sent)
        self._count_command("start", outcome.value)
        return outcome

    async def _deliver_stop(
        self, task: _state.TaskEntry, entry: _state.TaskRunner, run: int
    ) -> None:
        command = platform.RunCommand(task.key, run)
        while task.run == run and task.runner is entry:
            if await self._send_stop(entry, command):
                if task.run == run and task.runner is entry:
                    # Reports to later renewals list the run only if it
                    # exists.
                    task.confirmed = self._context.get_now()
                return
            await self._context.clock.sleep(_RETRY_PAUSE)

    async def _send_stop(
        self, entry: _state.TaskRunner, command: platform.RunCommand
    ) -> bool:
        context = self._context
        if not context.leader_lease.is_valid:
            return False
        try:
            outcome = await self._send_with_token(
                entry,
                lambda authority: context.client.stop(
                    entry.record, authority, command
                ),
            )
        except (
            platform.RunnerUnavailableError,
            platform.RunnerOutcomeUnknownError,
        ) as error:
            context.log.info(
                "command_unanswered",
                kind="stop",
                task=str(command.task),
                run=command.run,
                runner=entry.identifier,
                reason=error.message,
            )
            self._count_command("stop", "unknown")
            return False
        self._count_command("stop", outcome.value)
        return outcome in (_Outcome.ACCEPTED, _Outcome.OUTDATED)

    async def _send_with_token(
        self,
        entry: _state.TaskRunner,
        send: Callable[
            [platform.Authority], Awaitable[platform.CommandOutcome]
        ],
    ) -> platform.CommandOutcome:
        """Sends a command, and again if one with a higher token overtook it.

        Args:
            entry: The runner.
            send: Sends the command with an authority.

        Raises:
            RunnerUnavailableError: The command was not carried out.
            RunnerOutcomeUnknownError: The command may be carried out later.
        """
        while True:
            authority = self._context.authorise_command(entry)
            try:
                outcome = await send(authority)
            except platform.RunnerOutcomeUnknownError:
                entry.fence.record_unanswered_command(self._context.get_now())
                raise
            if outcome is not _Outcome.FENCED:
                return outcome
            if self.handle_fenced_command("command", entry, authority):
                return outcome

    def _log_unanswered(
        self,
        kind: str,
        task: _state.TaskEntry,
        entry: _state.TaskRunner,
        reason: str,
    ) -> None:
        self._context.log.info(
            "command_unanswered",
            kind=kind,
            task=str(task.key),
            run=task.run,
            runner=entry.identifier,
            reason=reason,
        )
