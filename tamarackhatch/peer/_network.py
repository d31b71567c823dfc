"""All streams of this instance."""

import asyncio
import random
import socket

from absl import logging
import attrs
import xxhash

from tamarackhatch import clock as clocks
from tamarackhatch import model
from tamarackhatch.peer import _budget
from tamarackhatch.peer import _errors
from tamarackhatch.peer import _link
from tamarackhatch.peer import _seams
from tamarackhatch.peer import _server
from tamarackhatch.peer import _streams
from tamarackhatch.peer import _timing

# A burst must hold one whole chunk and a summary.
_MIN_BURST = 4 * _timing.CHUNK_BYTES


@attrs.define(eq=False)
class _Held:
    """A link and its task."""

    link: _link.PeerLink
    task: asyncio.Task[None]
    is_on_demand: bool


class PeerNetwork:
    """Implements Forwarder; holds the server and one link for each peer.

    Args:
        clock: Source of time.
        membership: Where peers come from and news of them go.
        handlers: What serves requests and takes loads and notices.
        key: The shared key of all entry instances.
        bytes_per_second: Budget for sending to other regions.
        timing: Durations and limits.
        jitter: Source of randomness for the backoff.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        membership: _seams.PeerMembership,
        handlers: _seams.PeerHandlers,
        key: bytes,
        bytes_per_second: int,
        timing: _timing.PeerTiming = _timing.PeerTiming(),
        jitter: random.Random | None = None,
    ) -> None:
        if not key:
            raise ValueError("the shared key must not be empty")
        self._clock = clock
        self._membership = membership
        self._handlers = handlers
        self._key = key
        self._timing = timing
        self._jitter = jitter or random.Random()
        self._counter = _budget.ByteCounter()
        bucket = _budget.TokenBucket(
            clock, bytes_per_second, max(bytes_per_second, _MIN_BURST)
        )
        self._near = _streams.Meter(self._counter, None)
        self._far = _streams.Meter(self._counter, bucket)
        self._server = _server.PeerServer(
            clock, membership, handlers, key, self._get_meter, timing
        )
        self._links: dict[str, _Held] = {}
        self._is_closed = False

    @property
    def counter(self) -> _budget.ByteCounter:
        """Bytes sent and received."""
        return self._counter

    def list_open(self) -> tuple[str, ...]:
        """Returns the peers with an open stream from here, by name."""
        return tuple(
            sorted(name for name, it in self._links.items() if it.link.is_open)
        )

    async def start(self, listener: socket.socket) -> None:
        """Starts to accept streams on a socket of ``bind_listener``."""
        await self._server.start(listener)

    async def run(self) -> None:
        """Follows the roster until cancelled."""
        while not self._is_closed:
            await self.follow_roster()
            await self._clock.sleep(self._timing.check_every)

    async def follow_roster(self) -> None:
        """Starts the links that are missing and stops those not needed."""
        wanted = {record.instance: record for record in self._list_targets()}
        known = {
            record.instance: record for record in self._membership.list_peers()
        }
        for name, held in tuple(self._links.items()):
            target = known.get(name)
            if target is None or not _is_same(held.link.target, target):
                await self._stop_link(name)
            elif name in wanted:
                held.is_on_demand = False
            elif not held.is_on_demand or self._is_idle(held.link):
                if not held.link.is_busy:
                    await self._stop_link(name)
        for name, record in wanted.items():
            if name not in self._links:
                self._start_link(record, False)

    async def forward_request(
        self, instance: str, worker: str, request: model.ServiceRequest
    ) -> model.ServiceAnswer:
        held = self._find_link(instance)
        return await held.link.forward_request(worker, request)

    async def fetch_configuration(
        self, instance: str, version: int
    ) -> bytes | None:
        """Returns a configuration version as a peer has it, or None.

        Raises:
            PeerUnavailableError: No answer came.
        """
        held = self._find_link(instance)
        return await held.link.fetch_configuration(version)

    async def notify_work(self, workers: tuple[str, ...]) -> None:
        """Tells the peers of this data centre that rows changed."""
        own = self._membership.get_own_record()
        for held in self._links.values():
            if held.link.target.data_centre == own.data_centre:
                held.link.notify_work(workers)

    def notify_owner(self, instance: str, workers: tuple[str, ...]) -> None:
        """Tells the owner of workers that their rows changed."""
        held = self._links.get(instance)
        if held is not None:
            held.link.notify_work(workers)

    async def close(self, reason: str = "planned stop") -> None:
        """Says goodbye to all peers and closes all streams.

        The session must have been closed and the ownership keeper stopped,
        because peers rely on the goodbye.
        """
        self._is_closed = True
        goodbyes = [
            held.link.say_goodbye(reason) for held in self._links.values()
        ]
        try:
            await _streams.run_within(
                self._clock,
                asyncio.gather(*goodbyes),
                self._timing.goodbye_within,
            )
        except TimeoutError:
            logging.warning("peer: not all peers took the goodbye")
        for name in tuple(self._links):
            await self._stop_link(name)
        await self._server.close()

    def _get_meter(self, region: str) -> _streams.Meter:
        own = self._membership.get_own_record()
        return self._near if region == own.region else self._far

    def _list_targets(self) -> list[model.SessionRecord]:
        """Returns all peers of the region, and a few of each other one.

        The few are chosen by rendezvous hashing, so that the streams spread
        over the members of a data centre and stay when others join.
        """
        own = self._membership.get_own_record()
        near = []
        far: dict[str, list[model.SessionRecord]] = {}
        for record in self._membership.list_peers():
            if record.region == own.region:
                near.append(record)
            else:
                far.setdefault(record.data_centre, []).append(record)
        for members in far.values():
            members.sort(
                key=lambda record: xxhash.xxh3_64_intdigest(
                    f"{own.instance}\0{record.instance}".encode()
                )
            )
            near += members[: self._timing.members_per_data_centre]
        return near

    def _is_idle(self, link: _link.PeerLink) -> bool:
        unused = self._clock.get_monotonic() - link.used_at
        return unused >= self._timing.idle_after

    def _find_link(self, instance: str) -> _Held:
        held = self._links.get(instance)
        if held is not None:
            return held
        if not self._is_closed:
            for record in self._membership.list_peers():
                if record.instance == instance:
                    return self._start_link(record, True)
        raise _errors.PeerUnavailableError(f"{instance}: not a known member")

    def _start_link(
        self, record: model.SessionRecord, is_on_demand: bool
    ) -> _Held:
        link = _link.PeerLink(
            self._clock,
            record,
            self._membership,
            self._handlers,
            self._key,
            self._get_meter(record.region),
            self._timing,
            self._jitter,
        )
        task = asyncio.get_running_loop().create_task(
            link.run(), name=f"peer link to {record.instance}"
        )
        held = _Held(link, task, is_on_demand)
        self._links[record.instance] = held
        return held

    async def _stop_link(self, name: str) -> None:
        held = self._links.pop(name)
        held.task.cancel()
        results = await asyncio.gather(held.task, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                logging.error("peer: link to %s failed: %r", name, result)


def _is_same(link: model.SessionRecord, roster: model.SessionRecord) -> bool:
    return (
        link.incarnation == roster.incarnation
        and link.peer_address == roster.peer_address
    )
