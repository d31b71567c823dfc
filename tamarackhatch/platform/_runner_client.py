"""Interface of the client that sends requests to runners."""

import typing

import attrs

from tamarackhatch import model


@attrs.frozen
class RunnerAnswer:
    """Whole answer of a runner."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class RunnerClient(typing.Protocol):
    """Sends a request exactly once; never retries on its own."""

    async def send_request(
        self, address: str, request: model.ServiceRequest
    ) -> RunnerAnswer:
        """Returns the whole answer.

        Raises:
            RunnerUnavailableError: No byte of the request was sent.
            RunnerOutcomeUnknownError: The request may have run.
        """
        ...
