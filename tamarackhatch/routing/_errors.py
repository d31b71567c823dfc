"""Refusals of requests that were not run."""

import datetime

from tamarackhatch import errors


class RequestRefusedError(errors.CodedError):
    """The request was refused before any byte went to a runner."""

    def __init__(
        self,
        code: errors.ErrorCode,
        message: str,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        super().__init__(code, message)
        self._retry_after = retry_after

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """When a retry may help, else None."""
        return self._retry_after
