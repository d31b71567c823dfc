"""What the peer protocol needs from, and offers to, other modules."""

import datetime
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


class PeerMembership(typing.Protocol):
    """The membership as the peer protocol sees it.

    Times are monotonic. Incarnations name the sessions that the two sides
    gave in their hellos.
    """

    def get_own_record(self) -> model.SessionRecord:
        """Returns the session of this instance."""
        ...

    def list_peers(self) -> tuple[model.SessionRecord, ...]:
        """Returns all other members, by name."""
        ...

    def accept_hello(self, record: model.SessionRecord) -> None:
        """Takes a dialler that proved its identity.

        It is called before the first promise is given on the stream.
        """
        ...

    def note_hello_answer(self, record: model.SessionRecord) -> None:
        """Takes a dialled peer that proved its identity."""
        ...

    def note_accepted(self, own_incarnation: str, incarnation: str) -> None:
        """Learns that a peer has accepted the hello of this instance."""
        ...

    def give_promise(self, incarnation: str) -> bool:
        """Promises not to fence a session; False if it may be fenced."""
        ...

    def note_promise(
        self,
        own_incarnation: str,
        incarnation: str,
        sent_at: datetime.timedelta,
    ) -> None:
        """Takes a promise that answers a heartbeat sent at this time."""
        ...

    def note_state(
        self, instance: str, incarnation: str, state: model.SessionState
    ) -> None:
        """Takes the state that a peer gave in a heartbeat."""
        ...

    def note_refused(self, incarnation: str) -> None:
        """Learns that the address of a session refused a connection."""
        ...

    def note_goodbye(self, incarnation: str) -> None:
        """Learns that a peer has ended its session for good."""
        ...

    def get_store_age(self) -> datetime.timedelta | None:
        """Returns the time since the store was last read, or None."""
        ...

    def note_work(self, workers: tuple[str, ...]) -> None:
        """Learns that the rows of these workers changed."""
        ...
