"""Why a call to a runner has failed."""

from tamarackhatch import errors


class RunnerUnavailableError(errors.CodedError):
    """The runner did not carry out the call, and will not do so later."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.RUNNER_UNAVAILABLE, message)


class CallDelayedError(RunnerUnavailableError):
    """The call was not sent in time, which tells nothing of the runner.

    Earlier calls used the connections to it, or this process was late.
    """


class RunnerReplacedError(RunnerUnavailableError):
    """Another runner answers at the address; this one has ended."""


class RunnerStalledError(RunnerUnavailableError):
    """The runner accepts connections, and does not answer."""


class RunnerOutcomeUnknownError(errors.CodedError):
    """The runner may carry out the command, now or later, or not at all.

    Attributes:
        is_stalled: Whether the runner accepts connections.
    """

    def __init__(self, message: str, is_stalled: bool = False) -> None:
        super().__init__(errors.ErrorCode.RUNNER_OUTCOME_UNKNOWN, message)
        self.is_stalled = is_stalled


class FencedError(errors.CodedError):
    """Another scheduler has a higher fencing token."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.SCHEDULER_FENCED, message)
