"""The session of this entry instance in the store."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import secrets

from absl import logging
import attrs

from tamarackhatch import clock as clocks
from tamarackhatch.membership import _timing
from tamarackhatch import model
from tamarackhatch import platform

_INCARNATION_BYTES = 16


@attrs.frozen
class Identity:
    """What does not change while the process runs.

    Attributes:
        instance: Identity of the entry instance.
        data_centre: Where the instance runs.
        region: Region of that data centre.
        peer_address: ``host:port`` of its bound peer listener.
    """

    instance: str
    data_centre: str
    region: str
    peer_address: str


async def _probe_nothing(address: str) -> bool:
    return False


def _make_incarnation() -> str:
    return secrets.token_hex(_INCARNATION_BYTES)


class SessionKeeper:
    """Creates and renews the session; replaces it after it was fenced.

    Args:
        clock: Source of time.
        store: The table service.
        identity: Identity of this instance; its listener must be bound.
        timing: Durations of the rules.
        is_refused: Tells whether an address refuses connections, which
            proves that an earlier process of this instance has ended.
        make_incarnation: Returns a text that was never used before.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        store: platform.TableService,
        identity: Identity,
        timing: _timing.Timing = _timing.Timing(),
        is_refused: Callable[[str], Awaitable[bool]] = _probe_nothing,
        make_incarnation: Callable[[], str] = _make_incarnation,
    ) -> None:
        self._clock = clock
        self._store = store
        self._identity = identity
        self._timing = timing
        self._is_refused = is_refused
        self._make_incarnation = make_incarnation
        self._incarnation = make_incarnation()
        self._state = model.SessionState.LIVE
        self._is_closed = False
        self._is_established = False
        self._version = 0
        self._counter = 0
        self._renewed_at = datetime.timedelta()
        # Begin of each attempt whose outcome is not known, by its counter.
        self._attempts: dict[int, datetime.timedelta] = {}
        self._must_read = True

    @property
    def identity(self) -> Identity:
        """Identity of this instance."""
        return self._identity

    @property
    def incarnation(self) -> str:
        """Incarnation in use; it changes when the session was lost."""
        return self._incarnation

    @property
    def is_established(self) -> bool:
        """Whether the session row is known to have been written."""
        return self._is_established

    @property
    def is_leaving(self) -> bool:
        """Whether this instance prepares to stop."""
        return self._state is not model.SessionState.LIVE

    @property
    def renewed_at(self) -> datetime.timedelta:
        """Monotonic time at which the last successful write was begun."""
        return self._renewed_at

    @property
    def version(self) -> int:
        """Version of the session row after the last successful write."""
        return self._version

    @property
    def record(self) -> model.SessionRecord:
        """The session as peers may know it."""
        return self._build_record(self._counter)

    async def run(self) -> None:
        """Renews the session until it is closed or the task cancelled."""
        while not self._is_closed:
            begun = self._clock.get_monotonic()
            await self.renew()
            is_renewed = self._is_established and self._renewed_at >= begun
            pause = (
                self._timing.renew_every
                if is_renewed
                else self._timing.retry_every
            )
            spent = self._clock.get_monotonic() - begun
            await self._clock.sleep(max(pause - spent, datetime.timedelta()))

    async def renew(self) -> None:
        """Makes one attempt to create or renew the session.

        It raises nothing: without the store the session stays as it is.
        """
        if self._is_closed:
            return
        try:
            if self._must_read or self._attempts:
                await self._resolve_attempts()
            await self._write_session()
        except platform.StoreUnavailableError as error:
            logging.warning("membership: session not renewed: %s", error)
        except platform.StoreOutcomeUnknownError as error:
            logging.warning("membership: renewal unknown: %s", error)
        except platform.ConditionFailedError:
            await self._read_after_conflict()
        except platform.BadPlatformAnswerError as error:
            logging.error("membership: session row unreadable: %s", error)

    async def leave(self) -> None:
        """Marks the session as leaving; peers stop choosing it."""
        self._state = model.SessionState.LEAVING
        await self.renew()

    async def close(self) -> None:
        """Ends the session for good and deletes its row, if it can.

        Authority ends at once. A row that stays is fenced by a peer.
        """
        self._is_closed = True
        was_established = self._is_established
        self._is_established = False
        if not was_established:
            return
        key = self._identity.instance
        try:
            await self._store.commit(
                platform.Transaction(
                    (
                        platform.Condition(
                            platform.Table.SESSIONS, key, self._version
                        ),
                    ),
                    (platform.Write(platform.Table.SESSIONS, key, None),),
                )
            )
        except (
            platform.StoreUnavailableError,
            platform.StoreOutcomeUnknownError,
            platform.ConditionFailedError,
        ) as error:
            logging.warning("membership: session row not deleted: %s", error)

    def note_fenced(self, incarnation: str) -> None:
        """Learns from a scan that a peer has fenced a session."""
        if incarnation == self._incarnation and self._is_established:
            self._replace_session("a scan shows it as fenced")

    def _build_record(self, counter: int) -> model.SessionRecord:
        return model.SessionRecord(
            instance=self._identity.instance,
            incarnation=self._incarnation,
            counter=counter,
            data_centre=self._identity.data_centre,
            region=self._identity.region,
            peer_address=self._identity.peer_address,
            state=self._state,
        )

    async def _write_session(self) -> None:
        """Writes the next counter on condition of the known version."""
        incarnation = self._incarnation
        self._counter += 1
        counter = self._counter
        begun = self._clock.get_monotonic()
        self._attempts[counter] = begun
        key = self._identity.instance
        value = platform.encode_value(self._build_record(counter))
        try:
            versions = await self._store.commit(
                platform.Transaction(
                    (
                        platform.Condition(
                            platform.Table.SESSIONS, key, self._version
                        ),
                    ),
                    (platform.Write(platform.Table.SESSIONS, key, value),),
                )
            )
        except (
            platform.StoreUnavailableError,
            platform.ConditionFailedError,
        ):
            self._attempts.pop(counter, None)
            raise
        if incarnation == self._incarnation:
            self._note_success(counter, versions[0])

    async def _read_after_conflict(self) -> None:
        try:
            await self._resolve_attempts()
        except (
            platform.StoreUnavailableError,
            platform.BadPlatformAnswerError,
        ) as error:
            # The session may have been fenced; the next attempt reads first.
            logging.warning("membership: session row not read: %s", error)
            self._must_read = True

    async def _resolve_attempts(self) -> None:
        """Reads the row and learns which attempt, if any, took effect."""
        incarnation = self._incarnation
        row = await self._store.read_row(
            platform.Table.SESSIONS, self._identity.instance
        )
        if incarnation != self._incarnation or self._is_closed:
            return
        found = (
            platform.decode_row(row.value, model.SessionRecord)
            if row
            else None
        )
        is_own = found is not None and found.incarnation == self._incarnation
        if row is not None and found is not None and is_own:
            if found.state is model.SessionState.FENCED:
                self._replace_session("a peer fenced it")
                self._version = row.version
            elif found.counter in self._attempts:
                self._note_success(found.counter, row.version)
            else:
                self._version = row.version
                self._must_read = False
            return
        if self._is_established:
            self._replace_session("its row is gone or replaced")
        if row is None or found is None:
            self._version = 0
        elif await self._may_replace(found):
            self._version = row.version
        else:
            raise platform.StoreUnavailableError(
                f"an earlier process of {found.instance} at "
                f"{found.peer_address} may still run"
            )

    async def _may_replace(self, found: model.SessionRecord) -> bool:
        """Tells whether the process that wrote the row has certainly ended.

        A row that was only silent is left to the fencing peers, because its
        process may hold authority through promises.
        """
        if found.state is model.SessionState.FENCED:
            return True
        if found.peer_address == self._identity.peer_address:
            return True
        return await self._is_refused(found.peer_address)

    def _note_success(self, counter: int, version: int) -> None:
        begun = self._attempts.get(counter)
        self._version = version
        # Any older attempt still in flight fails on its condition.
        self._attempts.clear()
        if begun is None:
            return
        if not self._is_established:
            logging.info(
                "membership: session %s of %s created",
                self._incarnation,
                self._identity.instance,
            )
        self._is_established = True
        self._must_read = False
        self._renewed_at = begun

    def _replace_session(self, reason: str) -> None:
        logging.error(
            "membership: session %s lost: %s", self._incarnation, reason
        )
        self._incarnation = self._make_incarnation()
        self._is_established = False
        self._must_read = True
        self._attempts.clear()
        self._counter = 0
