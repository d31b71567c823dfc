"""Sends commands to runners over the platform's protocol."""

from collections.abc import Callable
import datetime
import enum
import functools
import re
import typing

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.platform import _decoding
from tamarackhatch.platform import _runner_errors
from tamarackhatch import transport

_OK = 200
_CONFLICT = 409
# Another incarnation answers at the address.
_MISDIRECTED_REQUEST = 421
# The runner did not carry out the command.
_REJECTED_STATUSES = (429, 503)
# Network latency beyond the wait that a renewal asks for. The most distant
# runners answer within 30 ms, and a lost packet costs one retransmission.
_RENEWAL_ANSWER_ALLOWANCE = datetime.timedelta(milliseconds=800)
_COMMAND_TIMEOUT = datetime.timedelta(milliseconds=800)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_TASK_NAME_PATTERN = re.compile(
    r"([^.\s]{1,64})\.(\d{1,9})\.(\d{1,9})\.(\d{1,9})", re.ASCII
)
# Length of a checkpoint, in characters. Published ones have 16. The progress
# of a job, with the checkpoints of its tasks, is one row of the store.
_MAX_CHECKPOINT = 256
# Length of what is said about an unreadable entry, in characters.
_MAX_FINDING = 200
# Each running task is listed in about one report a second.
_MAX_CACHED_TASK_KEYS = 65_536


class CommandOutcome(enum.Enum):
    """Answer of a runner to a command.

    Attributes:
        ACCEPTED: The runner carries out the command, or did so before.
        FENCED: The runner has seen a higher fencing token.
        OUTDATED: This run, or one with a higher number, was stopped or has
            exited on the runner.
        EXPIRED: The lease in the command has expired by the runner's clock.
        NO_CAPACITY: The task does not fit.
        NO_TICKET: The placement policy's ticket is missing or expired.
        UNHEALTHY: The runner carries out no commands at present.
        RESTARTED: Another incarnation answers at the address.
        INVALID: The runner does not understand the command, or rejects it for
            an unknown reason.
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


_Row = typing.TypeVar("_Row")
_EXIT_REASON_BY_NAME: typing.Final = {
    reason.value: reason for reason in model.ExitReason
}
_OUTCOME_BY_REASON: typing.Final = {
    "fence": CommandOutcome.FENCED,
    "old": CommandOutcome.OUTDATED,
    "late": CommandOutcome.EXPIRED,
    "room": CommandOutcome.NO_CAPACITY,
    "ticket": CommandOutcome.NO_TICKET,
}


@attrs.frozen
class RunCommand:
    """Identifies the run that a command is about.

    Attributes:
        task: The task.
        run: Number of the run.
    """

    task: model.TaskKey
    run: int


@attrs.frozen
class Authority:
    """Authority of a scheduler to send commands.

    Attributes:
        token: Fencing token of the scheduler.
        is_valid: Returns whether commands may be sent now.
    """

    token: int
    is_valid: Callable[[], bool]


class RunnerClient:
    """Sends commands to runners."""

    def __init__(self, client: transport.HttpClient) -> None:
        self._client = client

    async def renew(
        self,
        runner: model.Runner,
        authority: Authority,
        acknowledged_exit: int,
        lease_end: datetime.timedelta | None,
        wait: datetime.timedelta,
        reported_at: datetime.timedelta = datetime.timedelta.min,
    ) -> model.RunnerReport:
        """Renews the lease of all runs on a runner, and returns its report.

        Args:
            runner: The runner.
            authority: Authority of the scheduler.
            acknowledged_exit: Number of the last exit that is stored durably.
            lease_end: End of the lease on the runner's clock; None reads the
                report without a renewal, which needs no valid authority.
            wait: How long the runner may wait for an exit before it answers.
            reported_at: Monotonic time at which the incarnation was up that
                listed the acknowledged exit. Another one, which may be at the
                end of a connection that is opened later, gets no
                acknowledgement: it would forget other exits unread.

        Raises:
            RunnerUnavailableError: No report came.
            RunnerStalledError: No report came over a new connection.
            RunnerReplacedError: Another runner answers at the address.
            FencedError: The runner has seen a higher token.
            MalformedBodyError: The answer does not have the published form.
        """
        # "ack_cursor" is the last acknowledged exit, "deadline_ms" the end of
        # the lease. The path "/-/hold" renews leases.
        body: dict[str, typing.Any] = {
            "fencing_token": authority.token,
            "ack_cursor": acknowledged_exit,
            "wait_ms": _decoding.count_milliseconds(wait),
        }
        is_permitted: Callable[[], bool] = lambda: True
        if lease_end is not None:
            body["deadline_ms"] = _decoding.count_milliseconds(lease_end)
            is_permitted = authority.is_valid
        try:
            answer = await self._send(
                runner,
                "/-/hold",
                body,
                wait + _RENEWAL_ANSWER_ALLOWANCE,
                is_permitted,
                reported_at if acknowledged_exit else None,
                {**body, "ack_cursor": 0},
            )
        except _runner_errors.RunnerOutcomeUnknownError as error:
            if error.is_stalled:
                raise _runner_errors.RunnerStalledError(
                    error.message
                ) from error
            raise _runner_errors.RunnerUnavailableError(
                error.message
            ) from error
        if answer.status == _CONFLICT:
            outcome = _decode_rejection(answer.body)
            if outcome is CommandOutcome.FENCED:
                raise _runner_errors.FencedError(
                    f"runner {runner.identifier} has seen a higher token"
                )
        if answer.status == _MISDIRECTED_REQUEST:
            raise _runner_errors.RunnerReplacedError(
                f"another runner answers at {runner.address}"
            )
        if answer.status != _OK:
            raise _runner_errors.RunnerUnavailableError(
                f"runner answered status {answer.status} to a lease renewal"
            )
        return _decode_report(answer.body)

    async def start(
        self,
        runner: model.Runner,
        authority: Authority,
        command: RunCommand,
        specification: str,
        lease_end: datetime.timedelta,
        checkpoint: str,
        ticket: str,
    ) -> CommandOutcome:
        """Starts a run.

        Args:
            runner: The runner.
            authority: Authority of the scheduler.
            command: The run.
            specification: Text of the job for its tasks.
            lease_end: End of the lease on the runner's clock.
            checkpoint: Checkpoint to resume from; empty for none.
            ticket: Ticket of the placement policy service; empty for none.

        Raises:
            RunnerUnavailableError: The run did not start and will not.
            RunnerOutcomeUnknownError: The run may start until the lease ends.
        """
        body = _encode_command(authority, command)
        body["spec"] = specification
        body["deadline_ms"] = _decoding.count_milliseconds(lease_end)
        if checkpoint:
            body["checkpoint"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        return await self._send_command(
            runner, authority, "/-/run-start", body
        )

    async def stop(
        self,
        runner: model.Runner,
        authority: Authority,
        command: RunCommand,
    ) -> CommandOutcome:
        """Stops a run, or prevents its start.

        Raises:
            RunnerUnavailableError: The runner did not do it and will not.
            RunnerOutcomeUnknownError: The runner may do it, now or later.
        """
        return await self._send_command(
            runner,
            authority,
            "/-/run-stop",
            _encode_command(authority, command),
        )

    async def set_speed_limit(
        self,
        runner: model.Runner,
        authority: Authority,
        command: RunCommand,
        percent: int,
    ) -> CommandOutcome:
        """Sets the speed limit of a run.

        Args:
            runner: The runner.
            authority: Authority of the scheduler.
            command: The run.
            percent: Speed limit, 0 to 100 percent of the run's full speed.

        Raises:
            RunnerUnavailableError: The runner did not do it and will not.
            RunnerOutcomeUnknownError: The runner may do it, now or later.
        """
        # The path "/-/pace" sets speed limits.
        body = _encode_command(authority, command)
        body["percent"] = percent
        return await self._send_command(runner, authority, "/-/pace", body)

    async def _send_command(
        self,
        runner: model.Runner,
        authority: Authority,
        path: str,
        body: dict[str, typing.Any],
    ) -> CommandOutcome:
        answer = await self._send(
            runner, path, body, _COMMAND_TIMEOUT, authority.is_valid
        )
        if answer.status == _OK:
            return CommandOutcome.ACCEPTED
        if answer.status == _CONFLICT:
            try:
                return _decode_rejection(answer.body)
            except _decoding.MalformedBodyError as error:
                # Without its reason, the rejection may mean that an earlier
                # attempt was carried out.
                raise _runner_errors.RunnerOutcomeUnknownError(
                    error.message
                ) from error
        if answer.status == _MISDIRECTED_REQUEST:
            return CommandOutcome.RESTARTED
        if answer.status in _REJECTED_STATUSES:
            return CommandOutcome.UNHEALTHY
        if answer.status == 400:
            return CommandOutcome.INVALID
        raise _runner_errors.RunnerOutcomeUnknownError(
            f"runner answered status {answer.status} to a command"
        )

    async def _send(
        self,
        runner: model.Runner,
        path: str,
        body: dict[str, typing.Any],
        timeout: datetime.timedelta,
        is_permitted: Callable[[], bool],
        opened_before: datetime.timedelta | None = None,
        other_body: dict[str, typing.Any] | None = None,
    ) -> transport.Answer:
        encoded = orjson.dumps(body)
        call = transport.Call(
            "POST",
            runner.address,
            path,
            timeout,
            encoded,
            (f"X-Expect-Instance: {runner.identifier}",),
            is_permitted=is_permitted,
            is_repeatable=False,
            opened_before=opened_before,
            other_body=(
                orjson.dumps(other_body).ljust(len(encoded))
                if other_body
                else b""
            ),
        )
        try:
            return await self._client.send(call)
        except transport.CallNotSentError as error:
            raise _runner_errors.RunnerUnavailableError(str(error)) from error
        except transport.CallLostError as error:
            raise _runner_errors.RunnerOutcomeUnknownError(
                str(error), error.is_connected
            ) from error


@functools.lru_cache(maxsize=_MAX_CACHED_TASK_KEYS)
def parse_task_key(text: str) -> model.TaskKey:
    """Returns the task that a wire name identifies.

    Raises:
        MalformedBodyError: The name is not ``JOB.OCCURRENCE.STEP.INDEX``.
    """
    match = _TASK_NAME_PATTERN.fullmatch(text)
    if match is None:
        raise _decoding.MalformedBodyError(
            f"task name {text[:80]!r} is not JOB.OCCURRENCE.STEP.INDEX"
        )
    job, occurrence, step, index = match.groups()
    return model.TaskKey(job, int(occurrence), int(step), int(index))


def _encode_command(
    authority: Authority, command: RunCommand
) -> dict[str, typing.Any]:
    return {
        "task": str(command.task),
        "run": command.run,
        "fencing_token": authority.token,
    }


def _decode_rejection(body: bytes) -> CommandOutcome:
    document = _decoding.decode_object(body)
    reason = _decoding.get_text(document, "reason")
    return _OUTCOME_BY_REASON.get(reason, CommandOutcome.INVALID)


def _decode_report(body: bytes) -> model.RunnerReport:
    document = _decoding.decode_object(body)
    # "born" is the start of the runner's process in Unix ms, "clock_ms" the
    # reading of its steady clock, and "ended" the list of exits.
    running, unreadable_running = _decode_rows(
        _decode_running, _decoding.get_list(document, "running")
    )
    exits, unreadable_exits = _decode_rows(
        _decode_exit, _decoding.get_list(document, "ended")
    )
    return model.RunnerReport(
        _decoding.get_integer(document, "born"),
        _decoding.get_duration(document, "clock_ms"),
        running,
        exits,
        unreadable_running,
        unreadable_exits,
    )


def _decode_rows(
    decode: Callable[[typing.Any], _Row], rows: list[typing.Any]
) -> tuple[tuple[_Row, ...], tuple[str, ...]]:
    """Returns the decoded rows, and why each of the others is unreadable."""
    decoded: list[_Row] = []
    findings: list[str] = []
    for position, row in enumerate(rows):
        try:
            decoded.append(decode(row))
        except (
            _decoding.MalformedBodyError,
            LookupError,
            TypeError,
            ValueError,
        ) as error:
            findings.append(f"entry {position}: {str(error)[:_MAX_FINDING]}")
    return tuple(decoded), tuple(findings)


def _decode_running(row: list[typing.Any]) -> model.RunningTask:
    # Rows are [task, run, saved, percent, sample]: "saved" is the checkpoint,
    # "percent" the progress, and "sample" the tail latency of a serving task
    # in ms or the CPU use of another task in thousandths of a core.
    sample = row[4] if len(row) > 4 else 0
    return model.RunningTask(
        parse_task_key(row[0]),
        _decoding.check_integer(row[1], "run"),
        _decode_checkpoint(row[2]),
        _decoding.check_integer(row[3], "percent"),
        _decoding.check_integer(sample or 0, "sample"),
    )


def _decode_exit(row: list[typing.Any]) -> model.RunExit:
    # Rows are [number, task, run, how, saved]: "how" is the exit reason and
    # "saved" the last checkpoint.
    reason = _EXIT_REASON_BY_NAME.get(row[3], model.ExitReason.UNKNOWN)
    return model.RunExit(
        _decoding.check_integer(row[0], "number"),
        parse_task_key(row[1]),
        _decoding.check_integer(row[2], "run"),
        reason,
        _decode_checkpoint(row[4]),
    )


def _decode_checkpoint(value: object) -> str:
    """Returns a checkpoint; empty for none, and for one that is too long.

    Without it the task starts from the beginning. The rest of the entry
    counts, because a run or an exit must not be overlooked.
    """
    text = value or ""
    if not isinstance(text, str):
        raise _decoding.MalformedBodyError(
            f"checkpoint {_decoding.describe(value)} is not text"
        )
    return text if len(text) <= _MAX_CHECKPOINT else ""
