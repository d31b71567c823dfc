"""The runners that this entry instance knows of, with their loads."""

import collections

import attrs

from tamarackhatch import membership
from tamarackhatch import model
from tamarackhatch.routing import _limits


@attrs.frozen
class Candidate:
    """A usable runner that a request may go to.

    Attributes:
        worker: Worker that the runner sits on.
        instance: Entry instance that owns it.
        distance: 0 in the own data centre, 1 in the own region, else 2.
        load: Requests at the runner and in its queue, as far as known.
    """

    worker: str
    instance: str
    distance: int
    load: int


class RunnerDirectory:
    """Loads reported by peers, and those of the runners owned here.

    Args:
        roster: The entry instances in contact, with their regions.
        ownership: The owners of workers as last read.
        limits: The runners owned by this instance.
    """

    def __init__(
        self,
        roster: membership.RosterView,
        ownership: membership.OwnershipView,
        limits: _limits.RunnerLimits,
    ) -> None:
        self._roster = roster
        self._ownership = ownership
        self._limits = limits
        self._reported: dict[str, dict[str, model.RunnerLoad]] = {}
        self._forwarded: collections.Counter[str] = collections.Counter()

    def update_loads(
        self,
        instance: str,
        loads: tuple[model.RunnerLoad, ...],
        dropped: tuple[str, ...],
    ) -> None:
        """Takes the changed loads of a peer and the workers it dropped."""
        reported = self._reported.setdefault(instance, {})
        for worker in dropped:
            reported.pop(worker, None)
        for load in loads:
            # Re-inserted last, so that the newest report is found last.
            reported.pop(load.worker, None)
            reported[load.worker] = load
            self._drop_elsewhere(instance, load)

    def forget_instance(self, instance: str) -> None:
        """Drops all loads of a peer, which must report them anew."""
        self._reported.pop(instance, None)

    def note_forward(self, worker: str, change: int) -> None:
        """Counts a request to a peer's runner that began (1) or ended (-1).

        Loads are reported once a second; without this count, all requests of
        that second would go to the runner that was last seen idle.
        """
        self._forwarded[worker] += change
        if not self._forwarded[worker]:
            del self._forwarded[worker]

    def list_candidates(self, service: str) -> tuple[Candidate, ...]:
        """Returns the usable runners of a service, by worker."""
        found: dict[str, Candidate] = {}
        own_region = self._get_own_region()
        for member in self._roster.list_members():
            if member.instance == self._roster.instance:
                continue
            distance = self._compute_distance(member, own_region)
            for load in self._reported.get(member.instance, {}).values():
                if load.service != service or not load.is_usable:
                    continue
                if not self._is_owner(member, load.worker):
                    continue
                found[load.worker] = Candidate(
                    load.worker,
                    member.instance,
                    distance,
                    load.busy_slots
                    + load.waiting
                    + self._forwarded[load.worker],
                )
        for load in self._limits.list_loads():
            found.pop(load.worker, None)
            if load.service == service and load.is_usable:
                found[load.worker] = Candidate(
                    load.worker,
                    self._roster.instance,
                    0,
                    load.busy_slots + load.waiting,
                )
        return tuple(found[worker] for worker in sorted(found))

    def _drop_elsewhere(self, instance: str, load: model.RunnerLoad) -> None:
        """Forgets what a previous owner reported of the same worker."""
        for other, reported in self._reported.items():
            if other != instance:
                reported.pop(load.worker, None)

    def _is_owner(self, member: model.SessionRecord, worker: str) -> bool:
        # Ownership rows of other data centres may be unknown or old here,
        # and the owner refuses a request that it has no authority for.
        if member.data_centre != self._roster.data_centre:
            return True
        owner = self._ownership.get_owner(worker)
        return owner is None or owner == member.instance

    def _get_own_region(self) -> str | None:
        for member in self._roster.list_members():
            if member.instance == self._roster.instance:
                return member.region
        return None

    def _compute_distance(
        self, member: model.SessionRecord, own_region: str | None
    ) -> int:
        if member.data_centre == self._roster.data_centre:
            return 0
        return 1 if member.region == own_region else 2
