"""Sends commands to runners over the platform's protocol."""

from collections.abc import Callable
import datetime
import enum
import typing

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.platform import _decoding
from tamarackhatch.platform import _reports
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
# The kernel repeats a lost connection request only after a second. A new
# attempt finds a runner sooner that is back.
_PROBE_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=200)
# Four starts to one runner take their turn within some 100 ms each. A call
# that waits longer for a connection than this is out of date.
_MAX_SENDING_TIME = datetime.timedelta(milliseconds=1600)
_COMMAND_TIMEOUT = datetime.timedelta(milliseconds=800)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class CommandOutcome(enum.Enum):
    """Answer of a runner to a command.

    Attributes:
        ACCEPTED: The runner carries out the command, or did so before.
        FENCED: The runner has seen a higher fencing token.
        DELAYED: The command was not sent in time, by no fault of the runner.
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
    DELAYED = "not sent in time"
    OUTDATED = "outdated"
    EXPIRED = "expired"
    NO_CAPACITY = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    RESTARTED = "restarted"
    INVALID = "invalid"


_OUTCOME_BY_REASON: typing.Final = {
    "fence": CommandOutcome.FENCED,
    "old": CommandOutcome.OUTDATED,
    "late": CommandOutcome.EXPIRED,
    "room": CommandOutcome.NO_CAPACITY,
    "ticket": CommandOutcome.NO_TICKET,
}


# Names of the commands in logs, by the platform's paths.
_PURPOSES: typing.Final = {
    "/-/run-start": "start",
    "/-/run-stop": "stop",
    "/-/pace": "speed limit",
}

ClockObserver = Callable[[datetime.timedelta], None]


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

    @property
    def traffic(self) -> transport.Traffic:
        """Counts the calls to runners."""
        return self._client.traffic

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
                report of one that does not answer, without a renewal. This
                needs no valid authority.
            wait: How long the runner may wait for an exit before it answers.
            reported_at: Monotonic time at which the incarnation was up that
                listed the acknowledged exit. Another one, which may be at the
                end of a connection that is opened later, gets no
                acknowledgement: it would forget other exits unread.

        Raises:
            RunnerUnavailableError: No report came.
            CallDelayedError: The renewal was not sent in time.
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
        call = _make_call(
            runner,
            "/-/hold",
            body,
            wait + _RENEWAL_ANSWER_ALLOWANCE,
            is_permitted,
            "renewal",
        )
        if acknowledged_exit:
            assert call.body is not None
            other_body = orjson.dumps({**body, "ack_cursor": 0})
            call = attrs.evolve(
                call,
                opened_before=reported_at,
                other_body=other_body.ljust(len(call.body)),
            )
        if lease_end is None:
            call = attrs.evolve(call, connect_timeout=_PROBE_CONNECT_TIMEOUT)
        try:
            answer = await self._send(call)
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
        return _reports.decode_report(answer.body)

    async def start(
        self,
        runner: model.Runner,
        authority: Authority,
        command: RunCommand,
        specification: str,
        lease_end: datetime.timedelta,
        checkpoint: str,
        ticket: str,
        on_clock: ClockObserver = lambda reading: None,
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
            on_clock: Called with the reading of the runner's clock in the
                answer, if it has one.

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
            runner, authority, "/-/run-start", body, on_clock
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
        on_clock: ClockObserver = lambda reading: None,
    ) -> CommandOutcome:
        answer = await self._send(
            _make_call(
                runner,
                path,
                body,
                _COMMAND_TIMEOUT,
                authority.is_valid,
                _PURPOSES[path],
            )
        )
        reading = _decode_clock(answer.body)
        if reading is not None:
            on_clock(reading)
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

    async def _send(self, call: transport.Call) -> transport.Answer:
        try:
            return await self._client.send(call)
        except transport.CallNotSentError as error:
            if error.is_delayed_here:
                raise _runner_errors.CallDelayedError(str(error)) from error
            raise _runner_errors.RunnerUnavailableError(str(error)) from error
        except transport.CallLostError as error:
            raise _runner_errors.RunnerOutcomeUnknownError(
                str(error), error.is_connected
            ) from error


def _make_call(
    runner: model.Runner,
    path: str,
    body: dict[str, typing.Any],
    answer_timeout: datetime.timedelta,
    is_permitted: Callable[[], bool],
    purpose: str,
) -> transport.Call:
    return transport.Call(
        "POST",
        runner.address,
        path,
        _MAX_SENDING_TIME,
        orjson.dumps(body),
        (f"X-Expect-Instance: {runner.identifier}",),
        is_permitted=is_permitted,
        answer_timeout=answer_timeout,
        is_repeatable=False,
        purpose=purpose,
    )


def _encode_command(
    authority: Authority, command: RunCommand
) -> dict[str, typing.Any]:
    return {
        "task": str(command.task),
        "run": command.run,
        "fencing_token": authority.token,
    }


def _decode_clock(body: bytes) -> datetime.timedelta | None:
    """Returns the reading of the runner's clock in an answer, if any."""
    try:
        document = _decoding.decode_object(body)
        reading = _decoding.get_duration(document, "clock_ms")
    except _decoding.MalformedBodyError:
        return None
    return reading if reading > datetime.timedelta() else None


def _decode_rejection(body: bytes) -> CommandOutcome:
    document = _decoding.decode_object(body)
    reason = _decoding.get_text(document, "reason")
    return _OUTCOME_BY_REASON.get(reason, CommandOutcome.INVALID)
