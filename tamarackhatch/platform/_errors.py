"""Errors of the platform's clients.

The "unavailable" errors mean that the operation did not happen; the "outcome
unknown" errors mean that it may have happened.
"""

from collections.abc import Sequence

from tamarackhatch import errors
from tamarackhatch.platform import _table_service


class StoreUnavailableError(errors.CodedError):
    """The store did not do the operation."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.STORE_UNAVAILABLE, message)


class StoreOutcomeUnknownError(errors.CodedError):
    """The store may or may not have done the write."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.STORE_OUTCOME_UNKNOWN, message)


class ConditionFailedError(errors.CodedError):
    """A transaction was refused because conditions did not hold."""

    def __init__(self, failed: Sequence[_table_service.Condition]) -> None:
        rows = ", ".join(f"{item.table.value}/{item.key}" for item in failed)
        super().__init__(
            errors.ErrorCode.CONDITION_FAILED, f"rows changed: {rows}"
        )
        self._failed = tuple(failed)

    @property
    def failed(self) -> tuple[_table_service.Condition, ...]:
        """The conditions that did not hold."""
        return self._failed


class BadPlatformAnswerError(errors.CodedError):
    """An answer of the platform does not follow its protocol."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.BAD_PLATFORM_ANSWER, message)


class WorkerUnavailableError(errors.CodedError):
    """The worker did not do the operation."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.WORKER_UNAVAILABLE, message)


class WorkerOutcomeUnknownError(errors.CodedError):
    """The worker may or may not have done the operation."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.WORKER_OUTCOME_UNKNOWN, message)


class WorkerRefusedError(errors.CodedError):
    """The worker refused: old token, no room, or unknown task."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.WORKER_REFUSED, message)


class RunnerUnavailableError(errors.CodedError):
    """No byte of the request reached the runner."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.RUNNER_UNAVAILABLE, message)


class RunnerOutcomeUnknownError(errors.CodedError):
    """The runner may have run the request, but no whole answer came."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.RUNNER_OUTCOME_UNKNOWN, message)
