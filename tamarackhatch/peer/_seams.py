"""What the peer protocol needs from, and offers to, other modules."""

import typing

from tamarackhatch import model


class Forwarder(typing.Protocol):
    """Sends a request to the entry instance that owns a runner."""

    async def forward_request(
        self, instance: str, worker: str, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        """Returns the peer's answer.

        Raises:
            PeerUnavailableError: The request was not sent.
            PeerOutcomeUnknownError: The request may have run.
        """
        ...


class PeerHandlers(typing.Protocol):
    """What the peer protocol calls when messages arrive."""

    async def serve_forwarded(
        self, worker: str, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        """Serves a request that a peer forwarded to this owner."""
        ...

    def list_loads(self) -> tuple[model.RunnerLoad, ...]:
        """Returns the loads of the runners that this instance owns."""
        ...

    def update_loads(
        self,
        instance: str,
        loads: tuple[model.RunnerLoad, ...],
        dropped: tuple[str, ...],
    ) -> None:
        """Takes the changed loads that a peer reported."""
        ...

    def note_work(self, workers: tuple[str, ...]) -> None:
        """Learns that the rows of these workers changed."""
        ...

    def note_configuration(self, instance: str, version: int) -> None:
        """Learns the configuration version in force at a peer."""
        ...

    def read_configuration(self, version: int) -> bytes | None:
        """Returns the JSON of a configuration version, if known here."""
        ...

    def get_configuration_version(self) -> int:
        """Returns the configuration version in force here."""
        ...
