"""The error that ends a superseded scheduler."""

from tamarackhatch import errors


class LeadershipLostError(errors.CodedError):
    """Another scheduler has taken over."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.SCHEDULER_FENCED, message)
