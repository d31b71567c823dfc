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


class PeerUnauthenticatedError(errors.CodedError):
    """The other side did not prove that it knows the shared key."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.PEER_UNAUTHENTICATED, message)


class BadPeerMessageError(errors.CodedError):
    """A message does not follow the protocol.

    Args:
        field: Message and field at fault, such as ``Forward.deadline_us``.
        message: What is wrong with it.
    """

    def __init__(self, field: str, message: str) -> None:
        super().__init__(
            errors.ErrorCode.BAD_PEER_MESSAGE, f"{field}: {message}"
        )
        self._field = field

    @property
    def field(self) -> str:
        """Message and field at fault."""
        return self._field
