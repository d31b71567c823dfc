"""Errors of calls to peers."""

from tamarackhatch import errors


class PeerUnavailableError(errors.CodedError):
    """The message was not sent; the peer did nothing."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.PEER_UNAVAILABLE, message)


class PeerOutcomeUnknownError(errors.CodedError):
    """The message may have reached the peer, but no whole answer came."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.PEER_OUTCOME_UNKNOWN, message)
