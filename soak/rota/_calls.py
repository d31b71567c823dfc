"""Commands and renewals to a runner, as its proxy saw them."""

import attrs
import orjson

from standins import runner

HEAD_END = b"\r\n\r\n"


@attrs.define
class Call:
    """A call; loop times are in seconds.

    Attributes:
        path: Its path.
        task: Name of the task; empty for a renewal.
        run: Number of the run; 0 for a renewal.
        token: Its fencing token.
        received: Time at which it was received.
        detail: Checkpoint of a start, or acknowledged exit of a renewal.
        runner: Identifier of the runner that it was passed on to.
        passed_on: Time at which it was passed on to the runner.
        status: Status that the runner answered; 0 for none.
        is_late: Whether it was held back for seconds.
        highest_token: Highest fencing token that was passed on to the process
            before; 0 for none.
        is_first: Whether only late calls were passed on to the process before.
    """

    path: str
    task: str
    run: int
    token: int
    received: float
    detail: str = ""
    runner: str = ""
    passed_on: float | None = None
    status: int = 0
    is_late: bool = False
    highest_token: int = 0
    is_first: bool = False

    def __str__(self) -> str:
        passed_on = "not passed on"
        if self.passed_on is not None:
            passed_on = f"passed on to {self.runner} at {self.passed_on:.3f} s"
        late = ""
        if self.is_late:
            late = f" LATE after token {self.highest_token}"
            late += ", first" * self.is_first
        subject = f" {self.task} run {self.run}" if self.task else ""
        return (
            f"{self.path}{subject} with token {self.token} "
            f"({self.detail or '-'}) sent at {self.received:.3f} s, "
            f"{passed_on}{late}, status {self.status}"
        )


def decode(message: bytes, now: float) -> Call | None:
    """Returns a call that was received now; None for one without a body."""
    head, _, content = message.partition(HEAD_END)
    if not content:
        return None
    path = head.split(b" ", 2)[1].decode()
    body = orjson.loads(content)
    detail = body.get("checkpoint", "")
    if path == runner.RENEWAL_PATH:
        detail = f"ack_cursor {body.get('ack_cursor', 0)}"
    token = body.get("fencing_token", 0)
    task, run = body.get("task", ""), body.get("run", 0)
    return Call(path, task, run, token, now, detail)
