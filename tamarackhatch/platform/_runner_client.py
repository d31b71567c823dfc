"""Commands to runners over the platform's protocol."""

import datetime
import enum
import typing

import attrs
import orjson

from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch.platform import _decoding
from tamarackhatch import transport

_OK = 200
_CONFLICT = 409
_OTHER_INCARNATION = 421
_NOT_DONE_STATUSES = (429, 503)
# Time on the way beyond the wait that a renewal asks for. The farthest
# runners answer within 30 ms, and a lost packet costs one resend.
_RENEWAL_SLACK = datetime.timedelta(milliseconds=800)
_COMMAND_TIMEOUT = datetime.timedelta(milliseconds=800)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class RunnerUnavailableError(errors.CodedError):
    """The runner did not do what was asked, and will not do it later."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.RUNNER_UNAVAILABLE, message)


class RunnerOutcomeUnknownError(errors.CodedError):
    """No answer came; the command may be carried out, now or later."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.RUNNER_OUTCOME_UNKNOWN, message)


class CommandOutcome(enum.Enum):
    """Answer of a runner to a command.

    Attributes:
        ACCEPTED: It is carried out, or was before.
        FENCED: The runner has seen a higher fencing token.
        OUTDATED: This run or a higher one was stopped or has exited there.
        EXPIRED: The lease in the command has passed on the runner's clock.
        NO_CAPACITY: The task does not fit.
        NO_TICKET: The placement policy's ticket is missing or expired.
        UNHEALTHY: The runner does nothing at present.
        RESTARTED: Another incarnation answers at the address.
        INVALID: The runner does not understand the command.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OUTDATED = "outdated"
    EXPIRED = "expired"
    NO_CAPACITY = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    RESTARTED = "restarted"
    INVALID = "invalid"


_REASONS: typing.Final = {
    "fence": CommandOutcome.FENCED,
    "old": CommandOutcome.OUTDATED,
    "late": CommandOutcome.EXPIRED,
    "room": CommandOutcome.NO_CAPACITY,
    "ticket": CommandOutcome.NO_TICKET,
}


@attrs.frozen
class RunCommand:
    """Names a run for a command.

    Attributes:
        task: The task.
        run: Number of the run.
        token: Fencing token of the scheduler.
    """

    task: model.TaskKey
    run: int
    token: int


class RunnerClient:
    """Sends commands to runners."""

    def __init__(self, client: transport.HttpClient) -> None:
        self._client = client

    async def renew(
        self,
        runner: model.Runner,
        token: int,
        acknowledged_exit: int,
        lease_end: datetime.timedelta | None,
        wait: datetime.timedelta,
    ) -> model.RunnerReport:
        """Renews the lease of all that runs there, and reads both lists.

        Args:
            runner: The runner.
            token: Fencing token of the scheduler.
            acknowledged_exit: Number of the last exit that is kept durably.
            lease_end: End of the lease on the runner's clock; None only
                looks.
            wait: How long the runner may wait for an exit.

        Raises:
            RunnerUnavailableError: No report came.
            FencedError: The runner has seen a higher token.
        """
        body: dict[str, typing.Any] = {
            "fencing_token": token,
            "ack_cursor": acknowledged_exit,
            "wait_ms": _decoding.count_milliseconds(wait),
        }
        if lease_end is not None:
            body["deadline_ms"] = _decoding.count_milliseconds(lease_end)
        try:
            answer = await self._send(
                runner, "/-/hold", body, wait + _RENEWAL_SLACK
            )
        except RunnerOutcomeUnknownError as error:
            raise RunnerUnavailableError(error.message) from error
        if answer.status == _CONFLICT:
            outcome = _decode_refusal(answer.body)
            if outcome is CommandOutcome.FENCED:
                raise FencedError(f"runner {runner.identifier}")
        if answer.status != _OK:
            raise RunnerUnavailableError(f"status {answer.status}")
        return _decode_report(answer.body)

    async def start(
        self,
        runner: model.Runner,
        command: RunCommand,
        specification: str,
        lease_end: datetime.timedelta,
        checkpoint: str,
        ticket: str,
    ) -> CommandOutcome:
        """Starts a run.

        Raises:
            RunnerUnavailableError: The run did not start and will not.
            RunnerOutcomeUnknownError: The run may start until the lease ends.
        """
        body = _encode_command(command)
        body["spec"] = specification
        body["deadline_ms"] = _decoding.count_milliseconds(lease_end)
        if checkpoint:
            body["checkpoint"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        return await self._send_command(runner, "/-/run-start", body)

    async def stop(
        self, runner: model.Runner, command: RunCommand
    ) -> CommandOutcome:
        """Stops a run, or keeps it from starting.

        Raises:
            RunnerUnavailableError: Nothing was done.
            RunnerOutcomeUnknownError: It may be done, now or later.
        """
        return await self._send_command(
            runner, "/-/run-stop", _encode_command(command)
        )

    async def set_speed_limit(
        self, runner: model.Runner, command: RunCommand, percent: int
    ) -> CommandOutcome:
        """Lets a run work at a share of its speed.

        Raises:
            RunnerUnavailableError: Nothing was done.
            RunnerOutcomeUnknownError: It may be done, now or later.
        """
        body = _encode_command(command)
        body["percent"] = percent
        return await self._send_command(runner, "/-/pace", body)

    async def _send_command(
        self, runner: model.Runner, path: str, body: dict[str, typing.Any]
    ) -> CommandOutcome:
        answer = await self._send(runner, path, body, _COMMAND_TIMEOUT)
        if answer.status == _OK:
            return CommandOutcome.ACCEPTED
        if answer.status == _CONFLICT:
            return _decode_refusal(answer.body)
        if answer.status == _OTHER_INCARNATION:
            return CommandOutcome.RESTARTED
        if answer.status in _NOT_DONE_STATUSES:
            return CommandOutcome.UNHEALTHY
        if answer.status == 400:
            return CommandOutcome.INVALID
        raise RunnerOutcomeUnknownError(f"status {answer.status}")

    async def _send(
        self,
        runner: model.Runner,
        path: str,
        body: dict[str, typing.Any],
        timeout: datetime.timedelta,
    ) -> transport.Answer:
        call = transport.Call(
            "POST",
            runner.address,
            path,
            timeout,
            orjson.dumps(body),
            (f"X-Expect-Instance: {runner.identifier}",),
        )
        try:
            return await self._client.send(call)
        except transport.CallNotSentError as error:
            raise RunnerUnavailableError(str(error)) from error
        except transport.CallLostError as error:
            raise RunnerOutcomeUnknownError(str(error)) from error


class FencedError(errors.CodedError):
    """Another scheduler has a higher fencing token."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.SCHEDULER_FENCED, message)


def parse_task_key(text: str) -> model.TaskKey:
    """Returns the task of a name on the wire.

    Raises:
        BadAnswerError: The name does not have four parts.
    """
    parts = text.split(".")
    try:
        job, occurrence, step, index = parts
        return model.TaskKey(job, int(occurrence), int(step), int(index))
    except ValueError as error:
        raise _decoding.BadAnswerError(f"bad task name {text!r}") from error


def _encode_command(command: RunCommand) -> dict[str, typing.Any]:
    return {
        "task": str(command.task),
        "run": command.run,
        "fencing_token": command.token,
    }


def _decode_refusal(body: bytes) -> CommandOutcome:
    document = _decoding.decode_object(body)
    reason = _decoding.get_text(document, "reason")
    return _REASONS.get(reason, CommandOutcome.INVALID)


def _decode_report(body: bytes) -> model.RunnerReport:
    document = _decoding.decode_object(body)
    try:
        return model.RunnerReport(
            _decoding.get_integer(document, "born"),
            _decoding.get_integer(document, "clock_ms") * _MILLISECOND,
            tuple(
                _decode_running(row)
                for row in _decoding.get_list(document, "running")
            ),
            tuple(
                _decode_exit(row)
                for row in _decoding.get_list(document, "ended")
            ),
        )
    except (IndexError, TypeError, ValueError) as error:
        raise _decoding.BadAnswerError(f"bad report: {error}") from error


def _decode_running(row: list[typing.Any]) -> model.RunningTask:
    # Rows are [task, run, saved, percent, sample]; "saved" is the checkpoint.
    sample = row[4] if len(row) > 4 else 0
    return model.RunningTask(
        parse_task_key(row[0]),
        int(row[1]),
        row[2] or "",
        int(row[3]),
        int(sample or 0),
    )


def _decode_exit(row: list[typing.Any]) -> model.RunExit:
    # Rows are [number, task, run, how, saved].
    return model.RunExit(
        int(row[0]),
        parse_task_key(row[1]),
        int(row[2]),
        model.ExitReason(row[3]),
        row[4] or "",
    )
